//! Selection of the upstream that serves a batch.

use std::time::Duration;
use std::time::Instant;

use crate::bundle::Group;
use crate::bundle::Upstream;
use crate::names::DomainName;
use crate::names::UpstreamName;
use crate::position::Position;
use crate::route::Positions;
use crate::statement::Access;
use crate::view::GroupState;

/// Age of an observed position after which the replica may have caught up and is tried again.
const STALE_AFTER: Duration = Duration::from_millis(100);
/// Time for which reads avoid a replica after a failure.
const FAILURE_WINDOW: Duration = Duration::from_millis(500);
/// Batches by which a replica in another domain counts as more loaded.
const REMOTE_LOAD_PENALTY: u32 = 2;

/// Requirements of a batch on its upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Need {
    /// Whether the batch reads or writes.
    pub access: Access,
    /// Position that reads must see; `None` while the session's floor is unknown.
    pub floor: Option<Position>,
    /// Greatest age of data that reads accept; if set, the floor may be unknown.
    pub max_age: Option<Duration>,
}

/// Upstream chosen for a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice<'a> {
    /// Upstream that serves the batch.
    pub upstream: &'a Upstream,
    /// Whether it is the group's primary.
    pub primary: bool,
}

/// State of a group from which an upstream is chosen.
#[derive(Debug, Clone, Copy)]
pub struct RouteContext<'v, 's> {
    /// Configuration of the group.
    pub group: &'v Group,
    /// Current term and primary.
    pub state: &'s GroupState,
    /// Last known positions of the upstreams.
    pub positions: &'s Positions,
    /// Failure domain of the local vm.
    pub local_domain: &'s DomainName,
    /// Upstreams that were already tried for this batch.
    pub tried: &'s [UpstreamName],
    /// Time of the choice.
    pub now: Instant,
}

/// Chooses an upstream for a batch, or `None` if none may serve it.
///
/// Writes go to the primary. Reads go to the least loaded replica that meets the requirements,
/// preferably one in the local domain, or to the primary if there is none. `load` returns the
/// number of batches of this process that an upstream is serving.
#[must_use]
pub fn choose<'a>(
    context: &RouteContext<'a, '_>,
    need: &Need,
    load: impl Fn(&UpstreamName) -> u32,
) -> Option<Choice<'a>> {
    if need.access.is_read()
        && let Some(upstream) = replica(context, need, load)
    {
        return Some(Choice {
            upstream,
            primary: false,
        });
    }
    primary(context).map(|upstream| Choice {
        upstream,
        primary: true,
    })
}

fn primary<'a>(context: &RouteContext<'a, '_>) -> Option<&'a Upstream> {
    let name = context.state.primary.as_ref()?;
    let upstream = context.group.upstreams.iter().find(|u| u.name == *name)?;
    let usable = !upstream.leaving && !context.tried.contains(name);
    usable.then_some(upstream)
}

fn replica<'a>(
    context: &RouteContext<'a, '_>,
    need: &Need,
    load: impl Fn(&UpstreamName) -> u32,
) -> Option<&'a Upstream> {
    let cost = |u: &&Upstream| {
        let remote = if u.domain == *context.local_domain {
            0
        } else {
            REMOTE_LOAD_PENALTY
        };
        load(&u.name) + remote
    };
    context
        .group
        .upstreams
        .iter()
        .filter(|u| context.state.primary.as_ref() != Some(&u.name))
        .filter(|u| !u.leaving && !context.tried.contains(&u.name))
        .filter(|u| {
            !context
                .positions
                .failed_within(&u.name, FAILURE_WINDOW, context.now)
        })
        .filter(|u| may_satisfy(context, need, &u.name))
        .min_by_key(cost)
}

/// Returns whether a replica meets the requirements, or may have caught up since it was observed.
fn may_satisfy(context: &RouteContext<'_, '_>, need: &Need, replica: &UpstreamName) -> bool {
    let observed = context.positions.get(replica);
    match (need.max_age, need.floor, observed) {
        (None, None, _) => false,
        (None, Some(_), None) | (Some(_), None, None) => true,
        (None, Some(floor), Some(observed)) => {
            observed.applied.covers(floor)
                || context.now.saturating_duration_since(observed.at) >= STALE_AFTER
        }
        (Some(age), None, Some(observed)) => {
            observed.age_at(context.now) <= age
                || context.now.saturating_duration_since(observed.at) >= STALE_AFTER
        }
        // The pool checks only the age, so the last observed position must cover the floor.
        (Some(_), Some(floor), observed) => {
            observed.is_some_and(|observed| observed.applied.covers(floor))
        }
    }
}
