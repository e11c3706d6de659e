//! Source of the first snapshot of a vm that has just started.

use std::sync::Arc;
use std::time::Duration;

use mustardbay_policy::names::VmName;

use crate::fleet::Assignment;
use crate::fleet::Member;

/// Maximum size of a fleet in which every starting vm reads the store itself: as many as one reader serves.
const SMALL_FLEET_VMS: usize = 16;
/// Rounds for which a vm waits to be listed; by then the vms that started before it are listed too.
const JOIN_ROUNDS: usize = 8;
/// First round in which a vm of a large fleet reads the store itself instead of asking others.
const PEER_ROUNDS: usize = 24;

/// Delay after the first round without a snapshot: a few round trips to the store.
const MIN_DELAY: Duration = Duration::from_millis(40);
/// Maximum number of times that the delay doubles.
const MAX_DOUBLINGS: usize = 4;

/// Rounds between two reads of the member list.
const ROUNDS_PER_LIST: usize = 4;

/// Source of a first snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// The vm waits until it has joined.
    Wait,
    /// The vm reads the store.
    Store,
    /// The vm asks these vms.
    Vms(Vec<Member>),
}

/// Returns the delay after a round without a snapshot, which grows with the rounds.
///
/// It starts short because most vms of a fleet that starts at once get a snapshot from others soon. It
/// grows so that they do not all keep calling a store that is unavailable.
#[must_use]
pub fn first_delay(round: usize) -> Duration {
    let doublings = round.saturating_sub(1).min(MAX_DOUBLINGS);
    MIN_DELAY * 2_u32.pow(u32::try_from(doublings).unwrap_or(0))
}

/// Returns whether a member list that was read earlier may be used in a round.
///
/// A list without the vm's own entry may not: the vm is joining or has joined since.
#[must_use]
pub fn is_list_usable(members: &[Member], me: &VmName, round: usize) -> bool {
    let joined = members.iter().any(|member| member.vm == *me);
    joined && !round.is_multiple_of(ROUNDS_PER_LIST)
}

/// Chooses the source of the first snapshot in a round, from the member list alone.
///
/// In a large fleet that starts at once only the readers read the store. The others ask a reader and,
/// in each round, another one of the remaining vms, more and more of which have a snapshot.
#[must_use]
pub fn first_source(members: &Arc<Vec<Member>>, me: &VmName, round: usize) -> Source {
    let joined = members.iter().any(|member| member.vm == *me);
    if !joined && round < JOIN_ROUNDS {
        return Source::Wait;
    }
    if members.len() <= SMALL_FLEET_VMS || round >= PEER_ROUNDS {
        return Source::Store;
    }
    let assignment = Assignment::new(Arc::clone(members), std::iter::empty());
    let readers = assignment.readers_for(me);
    if readers.iter().any(|reader| reader.vm == *me) {
        return Source::Store;
    }
    let reader = readers.get(round % readers.len().max(1)).copied();
    let own = members.iter().position(|member| member.vm == *me);
    let other = (own.unwrap_or(0) + round * round + 1) % members.len();
    let others = [reader, members.get(other)];
    Source::Vms(others.into_iter().flatten().cloned().collect())
}
