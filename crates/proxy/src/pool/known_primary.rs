//! Primary of a group, as far as a pool knows it.

use mustardbay_policy::names::UpstreamName;
use mustardbay_policy::position::Term;

use crate::clock::BootInstant;

/// Upstream that a pool takes for the group's primary.
///
/// The upstream itself refuses work that only a primary may do, so a wrong entry costs time but
/// never correctness.
#[derive(Debug, Default)]
pub(super) struct KnownPrimary {
    /// Upstream that last acted as the primary, with its term.
    proven: Option<(UpstreamName, Term)>,
    /// Primary according to the registrations; used while none is proven.
    registered: Option<UpstreamName>,
    /// When the primary was lost, or was first missing from the registrations.
    pub(super) missing_since: Option<BootInstant>,
}

impl KnownPrimary {
    /// Returns the known primary: the proven one, else the registered one.
    pub(super) fn upstream(&self) -> Option<&UpstreamName> {
        self.proven
            .as_ref()
            .map(|(name, _)| name)
            .or(self.registered.as_ref())
    }

    /// Returns the term of the proven primary.
    pub(super) fn term(&self) -> Option<Term> {
        self.proven.as_ref().map(|(_, term)| *term)
    }

    /// Records that an upstream acted as the primary of a term; returns whether that is a change.
    pub(super) fn prove(&mut self, upstream: &UpstreamName, term: Term) -> bool {
        if let Some((known, newest)) = &self.proven
            && (*newest > term || (known == upstream && *newest == term))
        {
            return false;
        }
        self.proven = Some((upstream.clone(), term));
        self.missing_since = None;
        true
    }

    /// Records that an upstream is no primary; returns whether that is a change.
    pub(super) fn refuse(&mut self, upstream: &UpstreamName, now: BootInstant) -> bool {
        let mut changed = false;
        if self
            .proven
            .as_ref()
            .is_some_and(|(name, _)| name == upstream)
        {
            self.proven = None;
            changed = true;
        }
        if self.registered.as_ref() == Some(upstream) {
            self.registered = None;
            changed = true;
        }
        if changed && self.upstream().is_none() {
            self.missing_since = Some(now);
        }
        changed
    }

    /// Sets the primary according to the registrations.
    pub(super) fn register(&mut self, primary: Option<UpstreamName>, now: BootInstant) {
        self.registered = primary;
        if self.upstream().is_none() {
            self.missing_since.get_or_insert(now);
        } else {
            self.missing_since = None;
        }
    }

    /// Forgets an upstream that was dropped from the pool.
    pub(super) fn forget(&mut self, upstream: &UpstreamName, now: BootInstant) {
        self.refuse(upstream, now);
    }
}
