//! The command `idle`: CPU time and memory of entry instances without traffic.

use crate::error::Error;
use crate::site::{DataCentre, Options, Site};
use std::time::{Duration, Instant};

/// Clock ticks per second in `/proc/<id>/stat`, which Linux fixes for user space.
const TICKS_PER_SECOND: f64 = 100.0;

/// Data centres of each measured fleet.
const DATA_CENTRES: [&str; 3] = ["north", "east", "south"];

/// Mean cost of an entry instance in a fleet without traffic.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cost {
    /// Number of entry instances in the fleet.
    pub instances: usize,
    /// CPU time per entry instance, in percent of a core.
    pub core_percent: f64,
    /// Resident memory per entry instance, in MiB.
    pub resident_mb: f64,
}

/// Starts fleets of several sizes, leaves each without traffic for a time and prints the mean cost of
/// an entry instance.
pub async fn idle(seconds: u64, targets: usize) -> Result<(), Error> {
    println!("{targets} targets in each of {} data centres, {seconds} s idle", DATA_CENTRES.len());
    println!("instances   % of a core   resident MB");
    for per_data_centre in [1, 2, 4, 7] {
        let cost = measure(per_data_centre, targets, Duration::from_secs(seconds)).await?;
        println!(
            "{:>9}   {:>11.2}   {:>11.1}",
            cost.instances, cost.core_percent, cost.resident_mb
        );
    }
    Ok(())
}

async fn measure(per_data_centre: usize, targets: usize, span: Duration) -> Result<Cost, Error> {
    let centre = |name: &&'static str| DataCentre::new(name, per_data_centre, targets);
    let data_centres = DATA_CENTRES.iter().map(centre).collect();
    let site = Site::start(Options { data_centres, ..Options::default() }).await?;
    let ids: Vec<u32> = site.entries.iter().map(|entry| entry.process.id()).collect();
    let begin = Instant::now();
    let before = ids.iter().map(|id| cpu_seconds(*id)).sum::<Result<f64, Error>>()?;
    tokio::time::sleep(span).await;
    let after = ids.iter().map(|id| cpu_seconds(*id)).sum::<Result<f64, Error>>()?;
    let elapsed = begin.elapsed().as_secs_f64();
    let resident = ids.iter().map(|id| resident_kb(*id)).sum::<Result<f64, Error>>()?;
    site.stop().await?;
    let instances = ids.len();
    Ok(Cost {
        instances,
        core_percent: (after - before) / elapsed * 100.0 / instances as f64,
        resident_mb: resident / 1_024.0 / instances as f64,
    })
}

fn read_proc_file(id: u32, file: &str) -> Result<String, Error> {
    let path = format!("/proc/{id}/{file}");
    std::fs::read_to_string(&path).map_err(|cause| Error::Check(format!("{path}: {cause}")))
}

/// Returns the user and system CPU time of a process.
fn cpu_seconds(id: u32) -> Result<f64, Error> {
    let text = read_proc_file(id, "stat")?;
    // The program name, in parentheses, can contain spaces.
    let fields = text.rsplit(')').next().unwrap_or_default().split_whitespace();
    let ticks: f64 = fields.skip(11).take(2).filter_map(|field| field.parse::<f64>().ok()).sum();
    Ok(ticks / TICKS_PER_SECOND)
}

fn resident_kb(id: u32) -> Result<f64, Error> {
    let text = read_proc_file(id, "status")?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
    let number = line.split_whitespace().next().and_then(|number| number.parse().ok());
    number.ok_or_else(|| Error::Check(format!("/proc/{id}/status: no resident size")))
}
