//! Upstream that a request is for, and whether it takes new work.

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
use crate::catalog::Catalog;
use crate::server::Pool;
use crate::upstream::Ended;
use crate::upstream::Upstream;
use crate::upstream::UpstreamKey;

/// Upstream of a request and what the view says of it.
pub(super) struct Place {
    pub(super) pool: Pool,
    pub(super) upstream: Arc<Upstream>,
    pub(super) primary: bool,
    pub(super) catalog: Arc<Catalog>,
}

/// Finds the upstream in the view.
pub(super) fn locate(pool: &Pool, key: &UpstreamKey) -> Result<Place, Refusal> {
    let Some(view) = pool.view() else {
        return Err(stale("pool has no view yet"));
    };
    let Some(state) = view.groups.get(&key.group) else {
        return Err(stale("group is not known"));
    };
    let catalog = pool.catalog(&view);
    let Some(upstream) = pool.upstream(&catalog, key) else {
        return Err(stale("upstream is not in the bundle"));
    };
    let leaving = catalog.upstream(key).is_some_and(|entry| entry.leaving);
    upstream.fit(state.term, leaving);
    Ok(Place {
        pool: pool.clone(),
        upstream,
        primary: state.primary.as_ref() == Some(&key.upstream),
        catalog,
    })
}

/// Checks that new work may start: the process serves, the term is in force, the upstream stays,
/// and a primary's replicas confirm what it writes.
pub(super) fn check_open(pool: &Pool, place: &Place, batch: &Batch) -> Result<(), Refusal> {
    if batch.mode == Mode::Continue {
        return Ok(());
    }
    if pool.refuses_new() {
        return Err(draining());
    }
    check_condition(place, batch.term)?;
    let bound = Duration::from_millis(place.catalog.bundle.limits.suspect_ms);
    if place.primary && batch.may_commit() && place.upstream.confirmations.is_suspect(bound) {
        return Err(Refusal::not_run(
            Reason::NoPrimary,
            "no replica confirms the primary",
            Some(BUSY_RETRY),
        ));
    }
    Ok(())
}

/// Checks that work routed by `term` may start.
pub(super) fn check_condition(place: &Place, term: Term) -> Result<(), Refusal> {
    match place.upstream.condition().ended(term) {
        Some(ended) => Err(refuse_ended(ended)),
        None => Ok(()),
    }
}

/// Refuses work whose upstream takes it no longer.
pub(super) fn refuse_ended(ended: Ended) -> Refusal {
    match ended {
        Ended::Term(term) => stale(format!("term {term} is in force")),
        Ended::Leaving => leaving(),
    }
}
