//! The cases. Each names the rule that it checks. Workers and clients record what they see; that no
//! task runs twice at the same time is checked in all of them.

use crate::fleet::{self, Folder, Instance, KILL, TERM};
use crate::http::Outcome;
use crate::store::Store;
use crate::worker::Worker;
use crate::{Job, RESEND, put_config, record, sleep_ms};
use std::time::{Duration, Instant};

pub fn run(name: &str, has_trouble: bool) {
    match name {
        "cancel" => cancel(has_trouble),
        "drain" => drain(has_trouble),
        "orphan" => orphan(has_trouble),
        "cut" => cut(has_trouble, &Cut::SHORT_LIMIT),
        "cut-large" => cut(has_trouble, &Cut::LARGE_FLEET),
        "owners" => owners(has_trouble),
        _ => crate::cannot_run("no such case"),
    }
}

/// Time after which no task of a cancelled job may start (`cancel_ms`).
const CANCEL_TIME: Duration = Duration::from_millis(3_000);
/// Time that a stop may take (`stopTimeoutMs`).
const STOP_TIME: Duration = Duration::from_millis(50);

/// How long a worker leaves orders unanswered, and the largest share of all orders for that
/// (`applied_late`: at most 5.9 s and 0.064).
const LATE_SPAN: Duration = Duration::from_millis(3_500);
const LATE_SHARE: f64 = 0.064;

/// The parts of a small deployment. The processes end when it is dropped.
struct Deployment {
    instances: Vec<Instance>,
    workers: Vec<Worker>,
    store: Store,
    _folder: Folder,
}

impl Deployment {
    /// Starts an instance for each zone of `zones` and a worker of one core for each of `workers`.
    fn start(zones: &[&str], workers: &[&str], slo_ms: u64) -> Self {
        let workers: Vec<(&str, u64)> = workers.iter().map(|zone| (*zone, 1_000)).collect();
        Self::start_with(zones, &workers, slo_ms)
    }

    /// Starts an instance for each zone of `zones` and a worker for each zone and size of `workers`.
    fn start_with(zones: &[&str], workers: &[(&str, u64)], slo_ms: u64) -> Self {
        let folder = Folder::new();
        let store = Store::default();
        put_config(&store, 3, slo_ms);
        let workers = workers
            .iter()
            .enumerate()
            .map(|(index, (zone, cpu))| Worker::new(&format!("w{}", index + 1), zone, *cpu, &store))
            .collect();
        let mut instances = Instance::all(zones, &store, &folder);
        fleet::start_all(&mut instances);
        Self { instances, workers, store, _folder: folder }
    }
}

/// UNASKED: a DELETE is acknowledged, and the tasks of the job run on and more of them start.
fn cancel(has_trouble: bool) {
    let deployment = Deployment::start(&["a", "b"], &["a"], 500);
    // Six tasks one after the other on a worker with room for one.
    let job = Job::new(0xa1, 1_500, 6, 900, Duration::from_secs(30));
    let front = deployment.instances[0].front();
    let submitted = job.clone();
    let client = std::thread::spawn(move || submitted.submit(front));
    sleep_ms(700);
    if has_trouble {
        let Outcome::Answer(answer) = job.ask(front, "DELETE") else {
            crate::cannot_run("the DELETE has no answer");
        };
        if answer.status() != 410 && answer.status() / 100 != 2 {
            crate::cannot_run("the DELETE is not acknowledged");
        }
        let acknowledged = Instant::now();
        std::thread::sleep(CANCEL_TIME + STOP_TIME);
        let at_work: Vec<String> =
            (0..job.tasks).map(|index| job.task(index)).filter(|t| record::is_running(t)).collect();
        if !at_work.is_empty() {
            record::broken("UNASKED", format!("{at_work:?} run on after the job was cancelled"));
        }
        client.join().expect("the client ends");
        let late = record::started_after(&job.id, acknowledged + CANCEL_TIME);
        if !late.is_empty() {
            record::broken("UNASKED", format!("{late:?} started after the job was cancelled"));
        }
    } else {
        client.join().expect("the client ends");
    }
}

/// LOST: an instance gets a SIGTERM while a job waits there for room, and ends without an answer.
fn drain(has_trouble: bool) {
    let mut deployment = Deployment::start(&["a", "b"], &["a", "b"], 500);
    // Takes both workers until 6.4 s after the second job was sent.
    let first = Job::new(0xb1, 8_000, 2, 900, Duration::from_secs(20));
    let other = deployment.instances[1].front();
    let occupying = std::thread::spawn(move || first.submit(other));
    sleep_ms(1_600);
    // With an estimate of 9 s it can start up to 6.7 s after it was sent.
    let waiting = Job::new(0xb2, 9_000, 1, 900, Duration::from_secs(20));
    let front = deployment.instances[0].front();
    let client = std::thread::spawn(move || waiting.submit(front));
    sleep_ms(300);
    if has_trouble {
        deployment.instances[0].signal(TERM);
        if !deployment.instances[0].wait(Duration::from_secs(6)) {
            crate::cannot_run("the instance does not end within its grace period");
        }
    }
    let outcome = client.join().expect("the client ends");
    if let Outcome::Broken(reason) = &outcome {
        record::broken("LOST", format!("the connection ended without an answer: {reason}"));
    }
    occupying.join().expect("the client ends");
}

/// TWICE: the owner of a worker is killed, and the worker leaves the stops of the next owner unanswered.
fn orphan(has_trouble: bool) {
    /// Workers of the other zone that are busy all the time.
    const BUSY: u64 = 28;
    let mut deployment = Deployment::start(&["a", "a", "b"], &["a"], 500);
    let home = deployment.instances[2].front();
    let job = Job { estimate_ms: 6_000, ..Job::new(0xc1, 8_000, 1, 900, Duration::from_secs(30)) };
    let client = std::thread::spawn(move || job.submit(home));
    sleep_ms(500);
    for number in 2..BUSY + 3 {
        let worker = Worker::new(&format!("w{number}"), "b", 1_000, &deployment.store);
        deployment.workers.push(worker);
    }
    sleep_ms(1_500);
    let background = Job::new(0xc2, 12_000, BUSY, 900, Duration::from_secs(30));
    let occupying = std::thread::spawn(move || background.submit(home));
    sleep_ms(1_000);
    if has_trouble {
        let is_owner = |i: &&Instance| !i.log_lines("target: held").is_empty();
        let owner = deployment.instances.iter().take(2).find(is_owner);
        let before: u64 = deployment.workers.iter().map(Worker::orders).sum();
        deployment.workers[0].delay_stops(LATE_SPAN, Duration::from_secs(5));
        owner.expect("the worker has an owner").signal(KILL);
        std::thread::sleep(LATE_SPAN);
        let after: u64 = deployment.workers.iter().map(Worker::orders).sum();
        let late = deployment.workers[0].late_orders();
        let share = late as f64 / (after - before) as f64;
        record::log(format!(
            "{late} of {} orders had no answer, a share of {share:.3}",
            after - before
        ));
        if share > LATE_SHARE {
            crate::cannot_run("more orders than allowed had no answer");
        }
    }
    client.join().expect("the client ends");
    occupying.join().expect("the client ends");
}

/// A fleet and its jobs for [`cut`].
struct Cut {
    /// Instances of the zone with the clients, each of which accepts one job.
    homes: usize,
    /// How long each task works, what its client estimates, and its time limit.
    work_ms: u64,
    estimate_ms: u64,
    limit: Duration,
}

impl Cut {
    /// The time limits of the jobs pass during the cut, and their clients submit them again.
    const SHORT_LIMIT: Self =
        Self { homes: 26, work_ms: 9_000, estimate_ms: 5_000, limit: Duration::from_millis(5_100) };
    /// The homes themselves start the tasks again.
    const LARGE_FLEET: Self =
        Self { homes: 56, work_ms: 12_000, estimate_ms: 10_000, limit: Duration::from_secs(30) };
    /// Instances of the zone that is cut off.
    const CUT_OFF: usize = 9;
}

/// TWICE: a zone is cut off while its worker runs tasks for homes in the other zone.
fn cut(has_trouble: bool, plan: &Cut) {
    let mut zones = vec!["b"; plan.homes + Cut::CUT_OFF];
    zones[plan.homes..].fill("a");
    let room = plan.homes as u64 * 1_000;
    let deployment = Deployment::start_with(&zones, &[("a", room)], 500);
    let mut clients = Vec::new();
    for home in 0..plan.homes {
        let fronts =
            [home, (home + 1) % plan.homes].map(|index| deployment.instances[index].front());
        let job = Job::new(0x100 + home as u64, plan.work_ms, 1, 900, plan.limit);
        let job = Job { estimate_ms: plan.estimate_ms, ..job };
        clients.push(std::thread::spawn(move || {
            if matches!(job.submit(fronts[0]), Outcome::Answer(answer) if answer.status() == 200) {
                return;
            }
            std::thread::sleep(RESEND);
            job.submit(fronts[1]);
        }));
    }
    sleep_ms(2_500);
    // Until now the only worker was in the zone that will be cut off, so all tasks are there.
    let store = &deployment.store;
    let _added: Vec<Worker> = (2..=plan.homes + 1)
        .map(|number| Worker::new(&format!("w{number}"), "b", 1_000, store))
        .collect();
    sleep_ms(2_000);
    if has_trouble {
        deployment.store.network.set_cut(true);
        sleep_ms(5_400);
        deployment.store.network.set_cut(false);
    }
    clients.into_iter().for_each(|client| client.join().expect("the client ends"));
    sleep_ms(1_500);
}

/// Time from a hold of the present owner to the start of the other instance, which claims the worker
/// soon after the next hold.
const START_AFTER_HOLD: u64 = 800;

/// Time for which the worker is down.
const WORKER_DOWN: Duration = Duration::from_millis(150);

/// LIMIT: an instance is restarted while it is cut off from the other one, and claims a worker of that
/// one. The worker restarts, and both start tasks there.
fn owners(has_trouble: bool) {
    let mut deployment = Deployment::start(&["a", "b"], &["a"], 500);
    let worker = deployment.workers[0].clone();
    let network = deployment.store.network.clone();
    let fronts = [deployment.instances[0].front(), deployment.instances[1].front()];
    for round in 0..4 {
        if has_trouble {
            network.set_peers_cut(true);
            // The instance of the other zone claims the worker meanwhile.
            sleep_ms(1_500);
            deployment.instances[0].signal(KILL);
            deployment.instances[0].wait(Duration::from_secs(1));
            worker.wait_for_hold(Duration::from_secs(2));
            sleep_ms(START_AFTER_HOLD);
            deployment.instances[0].start();
            while worker.wait_for_hold(Duration::from_secs(3)) == Some(false) {}
            worker.restart(WORKER_DOWN);
            worker.report(&deployment.store);
        }
        sleep_ms(20);
        // First a job at the owner of before, then one at the new owner.
        let mut clients = Vec::new();
        for (number, front) in [fronts[1], fronts[0]].into_iter().enumerate() {
            let id = 0xf0 + round * 2 + number as u64;
            let job = Job::new(id, 300, 1, 900, Duration::from_millis(1_500));
            clients.push(std::thread::spawn(move || job.submit(front)));
            sleep_ms(20);
        }
        sleep_ms(500);
        if has_trouble {
            network.set_peers_cut(false);
        }
        clients.into_iter().for_each(|client| drop(client.join()));
        sleep_ms(4_500);
    }
}
