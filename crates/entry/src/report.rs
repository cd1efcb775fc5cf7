//! Conversion of reports and settings between instances to and from Cap'n Proto.

use capnp::struct_list;
use std::str::FromStr;
use verbenapass::config::Revision;
use verbenapass::id;
use verbenapass::peer::{InForce, Leaving, Load, Report, Usage};
use verbenapass::time::Timestamp;
use verbenapass::unit::Slots;
use verbenapass_proto::peer_capnp::{in_force, report, subtree};

/// Writes a report into an empty message.
pub fn write(from: &Report, mut to: report::Builder<'_>) {
    to.set_from(from.from.as_str());
    to.set_data_centre(from.data_centre.as_str());
    to.set_made_at(from.made_at.as_micros());
    to.set_stopping(from.stopping);
    let mut loads = to.reborrow().init_loads(from.loads.len() as u32);
    for (index, load) in from.loads.iter().enumerate() {
        let mut item = loads.reborrow().get(index as u32);
        item.set_service(load.service.as_str());
        item.set_queued(load.queued);
        item.set_in_flight(load.in_flight);
        item.set_held(load.held.get());
    }
    let mut usages = to.reborrow().init_usages(from.usages.len() as u32);
    for (index, usage) in from.usages.iter().enumerate() {
        let mut item = usages.reborrow().get(index as u32);
        item.set_team(usage.team.as_str());
        item.set_queued(usage.queued);
        item.set_in_flight(usage.in_flight);
    }
    let mut leaving = to.reborrow().init_leaving(from.leaving.len() as u32);
    for (index, target) in from.leaving.iter().enumerate() {
        let mut item = leaving.reborrow().get(index as u32);
        item.set_target(target.target.as_str());
        item.set_forget_at(target.forget_at.as_micros());
    }
    write_in_force(&from.in_force, to.init_in_force(from.in_force.len() as u32));
}

/// Reads a report. Fails if the message is malformed or contains an invalid identifier.
pub fn read(from: report::Reader<'_>) -> Result<Report, capnp::Error> {
    let mut loads = Vec::new();
    for load in from.get_loads()? {
        loads.push(Load {
            service: parse(load.get_service()?)?,
            queued: load.get_queued(),
            in_flight: load.get_in_flight(),
            held: Slots::new(load.get_held()),
        });
    }
    let mut usages = Vec::new();
    for usage in from.get_usages()? {
        usages.push(Usage {
            team: parse(usage.get_team()?)?,
            queued: usage.get_queued(),
            in_flight: usage.get_in_flight(),
        });
    }
    let mut leaving = Vec::new();
    for target in from.get_leaving()? {
        leaving.push(Leaving {
            target: parse(target.get_target()?)?,
            forget_at: Timestamp::from_micros(target.get_forget_at()),
        });
    }
    Ok(Report {
        from: parse(from.get_from()?)?,
        data_centre: parse(from.get_data_centre()?)?,
        made_at: Timestamp::from_micros(from.get_made_at()),
        loads,
        usages,
        leaving,
        in_force: read_in_force(from.get_in_force()?)?,
        stopping: from.get_stopping(),
    })
}

/// Writes versions in force into a list of the same length.
pub fn write_in_force(from: &[InForce], mut to: struct_list::Builder<'_, in_force::Owned>) {
    for (index, entry) in from.iter().enumerate() {
        let mut item = to.reborrow().get(index as u32);
        item.set_subtree(&entry.subtree);
        item.set_version(entry.version.get());
    }
}

/// Reads versions in force. Fails if the message is malformed.
pub fn read_in_force(
    from: struct_list::Reader<'_, in_force::Owned>,
) -> Result<Vec<InForce>, capnp::Error> {
    from.iter()
        .map(|entry| {
            Ok(InForce {
                subtree: entry.get_subtree()?.to_string()?,
                version: id::Version::new(entry.get_version()),
            })
        })
        .collect()
}

/// Parses an identifier. Fails if the text is not UTF-8 or not a valid identifier.
pub fn parse<T>(text: capnp::text::Reader<'_>) -> Result<T, capnp::Error>
where
    T: FromStr<Err = id::Error>,
{
    text.to_str()?.parse().map_err(|error: id::Error| capnp::Error::failed(error.to_string()))
}

/// Writes settings subtrees into a list of the same length.
pub fn write_subtrees(from: &[Revision], mut to: struct_list::Builder<'_, subtree::Owned>) {
    for (index, entry) in from.iter().enumerate() {
        let mut item = to.reborrow().get(index as u32);
        item.set_path(&entry.path);
        item.set_version(entry.version.get());
        item.set_changes(entry.changes_text());
        item.set_yaml(entry.yaml.as_deref().unwrap_or_default());
    }
}

/// Reads settings subtrees. Fails if the message is malformed or a subtree is invalid.
pub fn read_subtrees(
    from: struct_list::Reader<'_, subtree::Owned>,
) -> Result<Vec<Revision>, capnp::Error> {
    from.iter()
        .map(|entry| {
            Revision::from_message(
                entry.get_path()?.to_str()?,
                id::Version::new(entry.get_version()),
                entry.get_changes()?.to_str()?,
                entry.get_yaml()?.to_str()?,
            )
            .map_err(|error| capnp::Error::failed(error.to_string()))
        })
        .collect()
}
