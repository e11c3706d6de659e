//! Upstream that a request is addressed to, and the checks before it runs there.

use std::sync::Arc;
use std::time::Duration;

use mustardbay_policy::position::Term;
use mustardbay_policy::refusal::Reason;
use mustardbay_policy::refusal::Refusal;
use mustardbay_wire::Mode;

use super::batch::Batch;
use super::refusals::BUSY_RETRY;
use super::refusals::draining;
use super::refusals::leaving;
use super::refusals::stale;
use crate::bundle_index::BundleIndex;
use crate::pool::Pool;
use crate::upstream::Unavailable;
use crate::upstream::Upstream;
use crate::upstream::UpstreamKey;

/// Upstream of a request, with its role and the bundle of the view.
pub(super) struct Destination {
    pub(super) pool: Pool,
    pub(super) upstream: Arc<Upstream>,
    pub(super) is_primary: bool,
    pub(super) index: Arc<BundleIndex>,
}

/// Looks up the upstream in the newest view.
pub(super) fn locate(pool: &Pool, key: &UpstreamKey) -> Result<Destination, Refusal> {
    let Some(view) = pool.view() else {
        return Err(stale("pool has no view yet"));
    };
    let Some(state) = view.groups.get(&key.group) else {
        return Err(stale("group is not known"));
    };
    let index = pool.bundle_index(&view);
    let Some(upstream) = pool.upstream(&index, key) else {
        return Err(stale("upstream is not in the bundle"));
    };
    let leaving = index.upstream(key).is_some_and(|listed| listed.leaving);
    upstream.set_condition(state.term, leaving);
    Ok(Destination {
        pool: pool.clone(),
        upstream,
        is_primary: state.primary.as_ref() == Some(&key.upstream),
        index,
    })
}

/// Checks whether a batch may start.
///
/// New work is refused while the process drains, if its term is not in force, if the upstream is
/// leaving, and for writes if the replicas have stopped confirming the primary. Statements of an
/// open transaction are not checked.
pub(super) fn check_admission(
    pool: &Pool,
    destination: &Destination,
    batch: &Batch,
) -> Result<(), Refusal> {
    if batch.mode == Mode::Continue {
        return Ok(());
    }
    if pool.refuses_new() {
        return Err(draining());
    }
    check_condition(destination, batch.term)?;
    let bound = Duration::from_millis(destination.index.bundle.limits.suspect_ms);
    if destination.is_primary
        && batch.may_commit()
        && destination.upstream.confirmations.is_suspect(bound)
    {
        return Err(Refusal::not_run(
            Reason::NoPrimary,
            "no replica confirms the primary",
            Some(BUSY_RETRY),
        ));
    }
    Ok(())
}

/// Checks that the upstream takes new work routed under `term`.
pub(super) fn check_condition(destination: &Destination, term: Term) -> Result<(), Refusal> {
    match destination.upstream.condition().unavailable(term) {
        Some(unavailable) => Err(refuse_unavailable(unavailable)),
        None => Ok(()),
    }
}

/// Returns the refusal for an upstream that takes no new work.
pub(super) fn refuse_unavailable(unavailable: Unavailable) -> Refusal {
    match unavailable {
        Unavailable::Term(term) => stale(format!("term {term} is in force")),
        Unavailable::Leaving => leaving(),
    }
}
