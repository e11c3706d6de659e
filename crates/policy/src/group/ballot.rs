//! Fenced upstreams of an election and the choice among them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::bundle::Group;
use crate::bundle::Upstream;
use crate::names::UpstreamName;
use crate::position::Position;

/// Collects what upstreams had received when they were fenced.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ballot {
    fenced: BTreeMap<UpstreamName, Position>,
    failed: BTreeSet<UpstreamName>,
    majority_at: Option<Duration>,
}

impl Ballot {
    /// Notes an upstream that is fenced, with what it has received.
    pub fn fenced(&mut self, upstream: UpstreamName, received: Position) {
        self.failed.remove(&upstream);
        self.fenced.insert(upstream, received);
    }

    /// Notes an upstream that could not be fenced.
    pub fn failed(&mut self, upstream: UpstreamName) {
        if !self.fenced.contains_key(&upstream) {
            self.failed.insert(upstream);
        }
    }

    /// Returns the upstreams that are not fenced.
    pub fn missing<'a>(&'a self, group: &'a Group) -> impl Iterator<Item = &'a UpstreamName> {
        let names = group.upstreams.iter().map(|upstream| &upstream.name);
        names.filter(|name| !self.fenced.contains_key(*name))
    }

    /// Returns the primary to be, once a majority is fenced and the rest had its chance.
    ///
    /// The furthest log wins. Leaving upstreams are passed over while the others are a majority
    /// by themselves, since every confirmed write is then among theirs.
    pub fn choice(
        &mut self,
        group: &Group,
        grace: Duration,
        now: Duration,
    ) -> Option<&UpstreamName> {
        let staying: Vec<_> = self.candidates(group, |upstream| !upstream.leaving);
        let all = self.candidates(group, |_| true);
        if all.len() < majority(group) {
            return None;
        }
        let since = *self.majority_at.get_or_insert(now);
        let answered = self.fenced.len() + self.failed.len() >= group.upstreams.len();
        if !answered && now < since + grace {
            return None;
        }
        let candidates = if staying.len() >= majority(group) {
            staying
        } else {
            all
        };
        let best = furthest(&candidates)?;
        self.fenced.get_key_value(best).map(|(name, _)| name)
    }

    fn candidates<'a>(
        &self,
        group: &'a Group,
        wanted: impl Fn(&Upstream) -> bool,
    ) -> Vec<(&'a Upstream, Position)> {
        let upstreams = group.upstreams.iter().filter(|upstream| wanted(upstream));
        upstreams
            .filter_map(|upstream| Some((upstream, *self.fenced.get(&upstream.name)?)))
            .collect()
    }
}

/// Returns the furthest upstream; of equals one that stays, then the first of the bundle.
fn furthest<'a>(candidates: &[(&'a Upstream, Position)]) -> Option<&'a UpstreamName> {
    let best = candidates
        .iter()
        .rev()
        .max_by_key(|(upstream, position)| (*position, !upstream.leaving));
    best.map(|(upstream, _)| &upstream.name)
}

fn majority(group: &Group) -> usize {
    group.upstreams.len() / 2 + 1
}
