//! Assignment of targets to the live instances, and choice of the peers that exchange tasks.

use std::collections::{BTreeMap, BTreeSet};
use verbenapass::id;
use verbenapass::unit::Millicores;
use xxhash_rust::xxh3::xxh3_64;

/// Properties of an instance that decide which targets it is assigned.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Member {
    /// Data centre in which the instance runs.
    pub data_centre: id::DataCentre,
    /// Processor share of the instance, its weight in the assignment; zero counts as one.
    pub cpu: Millicores,
}

/// Assigns each target to an instance of its own data centre, or to any instance if its data centre
/// has none. Within a data centre, the targets of an instance are about in proportion to its
/// processors and never exceed its share, rounded up. Without instances, nothing is assigned.
///
/// Uses weighted rendezvous hashing with that bound, so that a change of one instance moves few
/// targets.
pub fn assign<'a>(
    targets: impl IntoIterator<Item = (&'a id::Target, &'a id::DataCentre)>,
    instances: &BTreeMap<id::Instance, Member>,
) -> BTreeMap<id::Target, id::Instance> {
    let served: BTreeSet<&id::DataCentre> =
        instances.values().map(|member| &member.data_centre).collect();
    let mut groups: BTreeMap<Option<&id::DataCentre>, Vec<&id::Target>> = BTreeMap::new();
    for (target, data_centre) in targets {
        let is_served = served.contains(data_centre);
        groups.entry(is_served.then_some(data_centre)).or_default().push(target);
    }
    let mut owners = BTreeMap::new();
    for (data_centre, group) in groups {
        let members: Vec<(&id::Instance, &Member)> = instances
            .iter()
            .filter(|(_, member)| data_centre.is_none_or(|wanted| member.data_centre == *wanted))
            .collect();
        let candidates: Vec<(u64, u64)> = members
            .iter()
            .map(|(instance, member)| (hash(instance.as_str()), member.cpu.get().max(1)))
            .collect();
        // Rows of instances may hold any number, so sums and products may exceed 64 bits.
        let total: u128 = candidates.iter().map(|(_, weight)| u128::from(*weight)).sum();
        if total == 0 {
            continue;
        }
        let size = group.len() as u128;
        let mut remaining: Vec<u128> = candidates
            .iter()
            .map(|(_, weight)| (size * u128::from(*weight)).div_ceil(total))
            .collect();
        let mut hashed: Vec<(u64, &id::Target)> =
            group.into_iter().map(|target| (hash(target.as_str()), target)).collect();
        hashed.sort_unstable();
        for (key, target) in hashed {
            let chosen = (0..candidates.len())
                .filter(|&i| remaining[i] > 0)
                .map(|i| (score(key, candidates[i]), i))
                .max_by(|(a, _), (b, _)| a.total_cmp(b));
            if let Some((_, chosen)) = chosen {
                remaining[chosen] -= 1;
                owners.insert(target.clone(), members[chosen].0.clone());
            }
        }
    }
    owners
}

/// Partners of an instance in its own data centre. For the fleet sizes in the requirements, pooling
/// the targets of six instances loses little against pooling the targets of all instances.
const NEAR_PARTNERS: usize = 5;
/// Partners of an instance in other data centres, which balance the load between data centres.
const FAR_PARTNERS: usize = 3;

/// Returns the peers with which an instance exchanges tasks: all peers of a small fleet, and a
/// bounded number in a large one. They are the next ones on a hash ring of all names, so that each
/// instance is a partner of about equally many others.
pub fn partners(
    own: &id::Instance,
    data_centre: &id::DataCentre,
    peers: &BTreeMap<id::Instance, Member>,
) -> BTreeSet<id::Instance> {
    let position = |name: &id::Instance| (xxh3_64(name.as_str().as_bytes()), name.clone());
    let start = position(own);
    let mut ring: Vec<&id::Instance> = peers.keys().filter(|name| *name != own).collect();
    // Sorts the names by their distance behind the own position on the ring.
    ring.sort_by_key(|name| (position(name) < start, position(name)));
    let is_near = |name: &&&id::Instance| {
        peers.get(**name).is_some_and(|member| member.data_centre == *data_centre)
    };
    let near = ring.iter().filter(is_near).take(NEAR_PARTNERS);
    let mut partners: BTreeSet<id::Instance> = near.map(|name| (*name).clone()).collect();
    let most = NEAR_PARTNERS + FAR_PARTNERS;
    let far = ring.iter().filter(|name| !is_near(name)).take(most - partners.len());
    partners.extend(far.map(|name| (*name).clone()));
    partners
}

fn hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Score for weighted rendezvous hashing: the probability of the highest score is in proportion to
/// the weight.
fn score(target: u64, (instance, weight): (u64, u64)) -> f64 {
    let hash = xxh3_64(&[target.to_le_bytes(), instance.to_le_bytes()].concat());
    let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -(weight as f64) / uniform.ln()
}
