//! Withdrawal of a pool's work from upstreams whose failure domain is evacuated.

use std::collections::BTreeMap;

use mustardbay_policy::names::DomainName;

use crate::clock::BootInstant;
use crate::fleet::Cutoff;
use crate::pool::Pool;
use crate::pool::connection::ConnectionId;
use crate::pool::connection::Stage;
use crate::pool::output::RetryReason;
use crate::pool::upstream::Role;

impl Pool {
    /// Applies which domains are evacuated, also to upstreams that are kept though not listed.
    pub(super) fn evacuate(&mut self, evacuated: &BTreeMap<DomainName, Cutoff>, now: BootInstant) {
        for upstream in self.upstreams.values_mut() {
            let domain = &upstream.registration.domain;
            upstream.departure.cutoff = evacuated.get(domain).copied();
        }
        self.doubt_evacuated_primary(now);
    }

    /// Gives up an evacuated primary once another upstream is registered as the primary.
    ///
    /// Nothing is sent to it any more, so it cannot tell that it was replaced.
    fn doubt_evacuated_primary(&mut self, now: BootInstant) {
        let Some(name) = self.primary.upstream().cloned() else {
            return;
        };
        let is_replaced = self.upstreams.get(&name).is_some_and(|upstream| {
            upstream.departure.is_evacuated() && upstream.registration.role == Role::Replica
        });
        if is_replaced {
            self.lose_primary(&name, now);
        }
    }

    /// Closes the connections to evacuated upstreams that are not needed, or not allowed, any more.
    ///
    /// A query in flight is waited for; [`Pool::send_next`] sends nothing after it.
    pub(super) fn withdraw_connections(&mut self, now: BootInstant) {
        let ids: Vec<ConnectionId> = self.connections.keys().copied().collect();
        for id in ids {
            let Some(connection) = self.connections.get(&id) else {
                continue;
            };
            let name = &connection.upstream;
            let is_primary = self.primary.upstream() == Some(name);
            let Some(upstream) = self.upstreams.get(name) else {
                continue;
            };
            let ends = match connection.stage {
                Stage::Running => false,
                Stage::Idle => {
                    upstream.departure.is_evacuated() && !upstream.accepts_work(is_primary, now)
                }
                Stage::Opening | Stage::Pinned => upstream.departure.is_cut_off(now),
            };
            if ends {
                self.withdraw(id, now);
            }
        }
    }

    /// Tells whether nothing may be sent on a connection, because its upstream is evacuated.
    pub(super) fn is_cut_off(&self, id: ConnectionId, now: BootInstant) -> bool {
        let connection = self.connections.get(&id);
        let upstream = connection.and_then(|c| self.upstreams.get(&c.upstream));
        upstream.is_some_and(|upstream| upstream.departure.is_cut_off(now))
    }

    /// Closes a connection that has no query in flight; its unit is run elsewhere or aborted.
    pub(super) fn withdraw(&mut self, id: ConnectionId, now: BootInstant) {
        if let Some(connection) = self.connections.get_mut(&id) {
            // They were not sent, so the unit's outcome is known.
            connection.steps.clear();
        }
        self.abandon_connection(id, RetryReason::Evacuated, now);
    }
}
