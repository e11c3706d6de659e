//! Order in which units run.

use std::collections::BTreeMap;
use std::time::Duration;

use mustardbay_policy::names::AccountName;
use mustardbay_policy::names::UpstreamName;

use crate::clock::BootInstant;
use crate::pool::Pool;
use crate::pool::pending_unit::Rank;
use crate::pool::pending_unit::UnitStage;
use crate::pool::placement::ConnectionPlan;
use crate::pool::placement::Load;
use crate::pool::step::Command;
use crate::pool::step::Purpose;
use crate::pool::step::Query;
use crate::pool::step::Step;
use crate::pool::unit_id::UnitId;

/// Service time to plan for a statement, in mean service times; few statements take longer.
const SERVICE_TIME_FACTOR: u32 = 2;
/// Network time between caller, entry and pool, which counts towards the latency of an answer.
const NETWORK_TIME: Duration = Duration::from_millis(12);

impl Pool {
    /// Starts every statement and unit that can start now.
    pub(super) fn dispatch(&mut self, now: BootInstant) {
        if self.resumed.is_empty() && self.waiting.is_empty() {
            return;
        }
        let mut loads = self.loads();
        self.dispatch_resumed(&mut loads, now);
        for unit_id in self.queue_order(now) {
            if !self.has_free_slot(&loads, now) {
                return;
            }
            if let Some(plan) = self.place(unit_id, &loads, now) {
                self.start(unit_id, plan, &mut loads, now);
            }
        }
    }

    /// Returns the queued units in the order in which they are to start.
    ///
    /// The order is by priority, then units that can still meet their objective, then due time.
    fn queue_order(&self, now: BootInstant) -> Vec<UnitId> {
        let mut order: Vec<(u32, bool, Rank, UnitId)> = self
            .waiting
            .iter()
            .map(|(rank, unit_id)| (rank.priority, self.is_late(*rank, now), *rank, *unit_id))
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(.., unit_id)| unit_id).collect()
    }

    /// Tells whether a unit can no longer meet its latency objective.
    pub(super) fn is_late(&self, rank: Rank, now: BootInstant) -> bool {
        now.after(self.time_to_answer()) > rank.due
    }

    /// Returns how long before its due time a unit must start to be on time.
    pub(super) fn time_to_answer(&self) -> Duration {
        self.service_times.mean() * SERVICE_TIME_FACTOR + NETWORK_TIME
    }

    /// Sends the next statements of open transactions whose upstreams have a free slot.
    fn dispatch_resumed(&mut self, loads: &mut BTreeMap<UpstreamName, Load>, now: BootInstant) {
        for unit_id in std::mem::take(&mut self.resumed) {
            let Some(pending) = self.units.get(&unit_id) else {
                continue;
            };
            let UnitStage::Continuing(id) = pending.stage() else {
                continue;
            };
            let Some(connection) = self.connections.get(&id) else {
                continue;
            };
            if !self.can_finish(pending, now) {
                self.resumed.push_back(unit_id);
                continue;
            }
            let load = loads.entry(connection.upstream.clone()).or_default();
            let has_room = self.upstreams.get(&connection.upstream).is_some_and(|u| {
                u.has_room(self.cold_limit, now) && load.busy < self.max_in_flight(u)
            });
            if !has_room {
                self.resumed.push_back(unit_id);
                continue;
            }
            load.busy += 1;
            if self.cold_limit.is_some()
                && let Some(upstream) = self.upstreams.get_mut(&connection.upstream)
            {
                upstream.note_request(now);
            }
            let Some(connection) = self.connections.get_mut(&id) else {
                continue;
            };
            let prepared = pending.statement.prepared.as_ref();
            connection.queries = 0;
            connection.queue_setup(&pending.settings, prepared);
            connection.steps.push_back(Step {
                purpose: Purpose::Run,
                query: Query {
                    id: Some(pending.statement.id.clone()),
                    after: None,
                    command: Command::Statement(pending.statement.clone()),
                },
            });
            self.send_next(id, now);
        }
    }

    /// Starts a queued unit on the connection that was planned for it.
    fn start(
        &mut self,
        unit_id: UnitId,
        plan: ConnectionPlan,
        loads: &mut BTreeMap<UpstreamName, Load>,
        now: BootInstant,
    ) {
        let Some(pending) = self.units.get_mut(&unit_id) else {
            return;
        };
        self.waiting.remove(&pending.rank);
        pending.attempts += 1;
        let requests = 1 + usize::from(pending.is_transaction());
        self.note_requests(&plan, requests, now);
        let Some(pending) = self.units.get_mut(&unit_id) else {
            return;
        };
        match plan {
            ConnectionPlan::Use(id) => {
                pending.start(id);
                if let Some(connection) = self.connections.get_mut(&id) {
                    connection.unit_id = Some(unit_id);
                    loads.entry(connection.upstream.clone()).or_default().busy += 1;
                }
                self.begin_unit(unit_id, id, now);
            }
            ConnectionPlan::Open(upstream, victim) => {
                let account = AccountName::from(pending.unit.account.as_str());
                if let Some(victim) = victim {
                    self.close(victim, now);
                }
                let load = loads.entry(upstream.clone()).or_default();
                load.connections += 1 - u32::from(victim.is_some());
                load.busy += 1;
                if let Some(id) = self.open(&upstream, account, Some(unit_id), now)
                    && let Some(pending) = self.units.get_mut(&unit_id)
                {
                    pending.start(id);
                }
            }
        }
    }

    /// Counts the requests of a unit at the upstream of its connection, if cold upstreams are limited.
    ///
    /// They count when the unit is placed, so that connections that open meanwhile cannot all send at once.
    fn note_requests(&mut self, plan: &ConnectionPlan, requests: usize, now: BootInstant) {
        if self.cold_limit.is_none() {
            return;
        }
        let name = match plan {
            ConnectionPlan::Use(id) => self.connections.get(id).map(|c| &c.upstream),
            ConnectionPlan::Open(upstream, _) => Some(upstream),
        };
        if let Some(upstream) = name.and_then(|name| self.upstreams.get_mut(name)) {
            for _ in 0..requests {
                upstream.note_request(now);
            }
        }
    }
}
