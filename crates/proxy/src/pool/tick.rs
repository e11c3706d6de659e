//! Periodic work of a pool, and its share of the group's connections.

use mustardbay_policy::names::AccountName;
use mustardbay_policy::names::UpstreamName;

use crate::clock::BootInstant;
use crate::pool::Pool;
use crate::pool::connection::ConnectionId;
use crate::pool::connection::Stage;

impl Pool {
    /// Checks timeouts, closes surplus connections and, at the home, polls the upstreams' status.
    pub(super) fn tick(&mut self, now: BootInstant) {
        self.withdraw_connections(now);
        self.expire_connections(now);
        self.expire_waiting(now);
        self.close_surplus(now);
        if self.home {
            self.poll_status(now);
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
        let allowed = if self.retired { 0 } else { self.share as usize };
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
