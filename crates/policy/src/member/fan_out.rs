//! Choice of the stewards that receive a steward's heartbeats.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::member::hash64;
use crate::names::DomainName;
use crate::names::VmName;

/// Most other failure domains in which a steward is chosen.
const MAX_OTHER_DOMAINS: usize = 3;
/// Fewest stewards that receive regular heartbeats, if that many exist.
const MIN_FAN_OUT: usize = 3;

/// Returns the stewards that receive regular heartbeats of `me`, chosen by rendezvous hashing.
///
/// These are one of its own failure domain and one of each of a few other domains. If there are
/// too few domains, stewards of any domain are added.
pub(super) fn fan_out<'a>(
    me: &VmName,
    domain: &DomainName,
    others: impl Iterator<Item = (&'a VmName, &'a DomainName)>,
) -> BTreeSet<VmName> {
    let mut ranked: Vec<_> = others
        .map(|(vm, domain)| (score(me, vm), vm, domain))
        .collect();
    ranked.sort_unstable();
    let mut firsts: BTreeMap<&DomainName, (u64, &VmName)> = BTreeMap::new();
    for (score, vm, domain) in &ranked {
        firsts.entry(domain).or_insert((*score, vm));
    }
    let mut chosen: BTreeSet<VmName> = firsts
        .remove(domain)
        .into_iter()
        .map(|(_, vm)| vm.clone())
        .collect();
    let mut rest: Vec<_> = firsts.into_values().collect();
    rest.sort_unstable();
    chosen.extend(
        rest.iter()
            .take(MAX_OTHER_DOMAINS)
            .map(|(_, vm)| (*vm).clone()),
    );
    for (_, vm, _) in &ranked {
        if chosen.len() >= MIN_FAN_OUT {
            break;
        }
        chosen.insert((*vm).clone());
    }
    chosen
}

fn score(me: &VmName, vm: &VmName) -> u64 {
    hash64(&[me.as_str().as_bytes(), vm.as_str().as_bytes()])
}
