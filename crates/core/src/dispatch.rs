//! Choice of the next task and of its target.

use crate::engine::Command;
use crate::id;
use crate::table::Tables;

/// Starts queued tasks while there are free slots: jobs in the order of arrival, on the least
/// loaded target.
pub(crate) fn run(tables: &mut Tables, out: &mut Vec<Command>) {
    let services: Vec<id::Service> = tables.ready.keys().cloned().collect();
    for service in services {
        let mut after = 0;
        while let Some(sequence) = next_job(tables, &service, after) {
            let Some(target) = tables.choose_target(sequence, &service) else { break };
            if has_quota(tables, sequence) {
                tables.start(sequence, &service, &target, out);
            } else {
                after = sequence + 1;
            }
        }
    }
}

fn next_job(tables: &Tables, service: &id::Service, after: u64) -> Option<u64> {
    tables.ready.get(service)?.range(after..).next().copied()
}

fn has_quota(tables: &Tables, sequence: u64) -> bool {
    let Some(job) = tables.jobs.get(&sequence) else { return false };
    let team = &job.submission.team;
    let quota = tables
        .settings
        .as_ref()
        .and_then(|tree| tree.teams.get(team))
        .map_or(0, |team| team.quota_slots.get());
    tables.teams.get(team).is_none_or(|row| row.in_flight < quota)
}
