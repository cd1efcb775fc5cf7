//! Division of the targets among the live instances.

use std::collections::BTreeMap;
use verbenapass::id;
use xxhash_rust::xxh3::xxh3_64;

/// Divides targets among instances: each goes to an instance of its own data centre, or, if that
/// has none, to any. Instances of a data centre get equal numbers, give or take one.
///
/// The highest hash of target and instance wins, so that a change of one instance moves few targets.
pub fn assign<'a>(
    targets: impl IntoIterator<Item = (&'a id::Target, &'a id::DataCentre)>,
    instances: &BTreeMap<id::Instance, id::DataCentre>,
) -> BTreeMap<id::Target, id::Instance> {
    let mut groups: BTreeMap<Option<&id::DataCentre>, Vec<&id::Target>> = BTreeMap::new();
    for (target, data_centre) in targets {
        let is_served = instances.values().any(|own| own == data_centre);
        groups.entry(is_served.then_some(data_centre)).or_default().push(target);
    }
    let mut owners = BTreeMap::new();
    for (data_centre, mut group) in groups {
        let candidates: Vec<&id::Instance> = instances
            .iter()
            .filter(|(_, own)| data_centre.is_none_or(|wanted| *own == wanted))
            .map(|(instance, _)| instance)
            .collect();
        if candidates.is_empty() {
            continue;
        }
        let most = group.len().div_ceil(candidates.len());
        let mut counts = vec![0_usize; candidates.len()];
        group.sort_by_key(|target| xxh3_64(target.as_str().as_bytes()));
        for target in group {
            let chosen = (0..candidates.len())
                .filter(|&i| counts[i] < most)
                .max_by_key(|&i| score(target, candidates[i]));
            if let Some(chosen) = chosen {
                counts[chosen] += 1;
                owners.insert(target.clone(), candidates[chosen].clone());
            }
        }
    }
    owners
}

fn score(target: &id::Target, instance: &id::Instance) -> u64 {
    xxh3_64(format!("{target}/{instance}").as_bytes())
}
