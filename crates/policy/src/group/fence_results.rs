//! Results of the fencing step of an election, and the choice of the next primary.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::bundle::Group;
use crate::bundle::Upstream;
use crate::names::UpstreamName;
use crate::position::Position;

/// Positions that upstreams had received when they were fenced, and upstreams that failed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FenceResults {
    fenced: BTreeMap<UpstreamName, Position>,
    failed: BTreeSet<UpstreamName>,
    majority_at: Option<Duration>,
}

impl FenceResults {
    /// Adds a fenced upstream with the position that it has received.
    pub fn add_fenced(&mut self, upstream: UpstreamName, received: Position) {
        self.failed.remove(&upstream);
        self.fenced.insert(upstream, received);
    }

    /// Adds an upstream that could not be fenced.
    pub fn add_failed(&mut self, upstream: UpstreamName) {
        if !self.fenced.contains_key(&upstream) {
            self.failed.insert(upstream);
        }
    }

    /// Returns the upstreams that are not fenced yet.
    pub fn missing<'a>(&'a self, group: &'a Group) -> impl Iterator<Item = &'a UpstreamName> {
        let names = group.upstreams.iter().map(|upstream| &upstream.name);
        names.filter(|name| !self.fenced.contains_key(*name))
    }

    /// Chooses the next primary, once a majority is fenced.
    ///
    /// Waits for the remaining upstreams until each was fenced or failed, but at most for `grace`
    /// after the first call that finds a majority. The upstream with the most advanced log is
    /// chosen. Leaving upstreams are excluded if the others form a majority without them, since
    /// these then have every confirmed write.
    pub fn choose_primary(
        &mut self,
        group: &Group,
        grace: Duration,
        now: Duration,
    ) -> Option<&UpstreamName> {
        let remaining: Vec<_> = self.candidates(group, |upstream| !upstream.leaving);
        let all = self.candidates(group, |_| true);
        if all.len() < majority(group) {
            return None;
        }
        let since = *self.majority_at.get_or_insert(now);
        let answered = self.fenced.len() + self.failed.len() >= group.upstreams.len();
        if !answered && now < since + grace {
            return None;
        }
        let candidates = if remaining.len() >= majority(group) {
            remaining
        } else {
            all
        };
        let best = most_advanced(&candidates)?;
        self.fenced.get_key_value(best).map(|(name, _)| name)
    }

    fn candidates<'a>(
        &self,
        group: &'a Group,
        include: impl Fn(&Upstream) -> bool,
    ) -> Vec<(&'a Upstream, Position)> {
        let upstreams = group.upstreams.iter().filter(|upstream| include(upstream));
        upstreams
            .filter_map(|upstream| Some((upstream, *self.fenced.get(&upstream.name)?)))
            .collect()
    }
}

/// Returns the upstream with the most advanced log.
///
/// Of equals, one that is not leaving is preferred, then the first in the bundle.
fn most_advanced<'a>(candidates: &[(&'a Upstream, Position)]) -> Option<&'a UpstreamName> {
    let best = candidates
        .iter()
        .rev()
        .max_by_key(|(upstream, position)| (*position, !upstream.leaving));
    best.map(|(upstream, _)| &upstream.name)
}

fn majority(group: &Group) -> usize {
    group.upstreams.len() / 2 + 1
}
