//! Periodic work of a pool, and its share of the group's connections.

use mustardbay_policy::names::AccountName;
use mustardbay_policy::names::UpstreamName;

use crate::clock::BootInstant;
use crate::pool::Pool;
use crate::pool::connection::ConnectionId;
use crate::pool::connection::Stage;
use crate::pool::pending_unit::UnitStage;

impl Pool {
    /// Checks timeouts, closes surplus connections and, at the home, polls the upstreams' status.
    pub(super) fn tick(&mut self, now: BootInstant) {
        self.withdraw_connections(now);
        self.end_transactions(now);
        self.expire_connections(now);
        self.expire_waiting(now);
        self.close_surplus(now);
        if self.home {
            self.poll_status(now);
        }
    }

    /// Rolls back open transactions shortly before the vm stops; their sessions hear of it when they go on.
    ///
    /// A statement that is sent later might be cut by the end of the process.
    fn end_transactions(&mut self, now: BootInstant) {
        if self.retired.is_none_or(|end| now < end) {
            return;
        }
        let pinned = self
            .units
            .iter()
            .filter_map(|(id, pending)| match pending.stage() {
                UnitStage::Pinned(connection) => Some((*id, connection)),
                _ => None,
            });
        for (unit_id, connection) in pinned.collect::<Vec<_>>() {
            self.units.remove(&unit_id);
            self.roll_back(connection, now);
        }
    }

    /// Applies the number of connections that this vm may hold at each upstream.
    pub(super) fn set_share(
        &mut self,
        share: u32,
        home: bool,
        status_account: Option<AccountName>,
    ) {
        self.share = share;
        self.home = home;
        self.status_account = status_account;
    }

    /// Closes idle connections beyond the share; all of them once the pool is retired.
    fn close_surplus(&mut self, now: BootInstant) {
        let names: Vec<UpstreamName> = self.upstreams.keys().cloned().collect();
        let allowed = if self.retired.is_some() {
            0
        } else {
            self.share as usize
        };
        for name in names {
            let held = self.connections_to(&name);
            let surplus = held.len().saturating_sub(allowed);
            let idle = held.into_iter().filter(|id| {
                let connection = self.connections.get(id);
                connection.is_some_and(|c| c.stage == Stage::Idle)
            });
            let surplus: Vec<ConnectionId> = idle.take(surplus).collect();
            for id in surplus {
                self.close(id, now);
            }
        }
    }

    /// Returns the ids of all connections to an upstream.
    pub(super) fn connections_to(&self, name: &UpstreamName) -> Vec<ConnectionId> {
        self.connections
            .iter()
            .filter(|(_, c)| c.upstream == *name)
            .map(|(id, _)| *id)
            .collect()
    }
}
