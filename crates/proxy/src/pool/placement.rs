//! Choice of the upstream and the connection for a unit.

use std::collections::BTreeMap;
use std::time::Duration;

use mustardbay_policy::names::AccountName;
use mustardbay_policy::names::UpstreamName;
use mustardbay_policy::position::Position;

use crate::clock::BootInstant;
use crate::pool::Pool;
use crate::pool::candidate::Candidate;
use crate::pool::candidate::Eligibility;
use crate::pool::choice::Cost;
use crate::pool::choice::choose;
use crate::pool::connection::ConnectionId;
use crate::pool::connection::Stage;
use crate::pool::departure::Availability;
use crate::pool::in_flight::SHORT_ROUND_TRIP;
use crate::pool::load_estimate::slowness;
use crate::pool::output::Note;
use crate::pool::output::Output;
use crate::pool::pending_unit::PendingUnit;
use crate::pool::unit_id::UnitId;
use crate::pool::upstream::Upstream;
use crate::work::Guarantee;
use crate::work::WorkUnit;

/// Cost of one query that takes no slot: a round trip between failure domains.
const ROUND_TRIP: Duration = Duration::from_millis(1);
/// Cost of opening a connection, compared with the expected wait at other upstreams.
const OPEN_COST: Duration = Duration::from_millis(20);
/// Time that an upstream in another failure domain counts as costing at a stand-in vm, compared
/// with waiting for one in the vm's own domain.
const REMOTE_DOMAIN_COST: Duration = Duration::from_millis(40);
/// Closing connections at an upstream beyond which none is replaced by a new one.
const MAX_CLOSING: u32 = 2;

/// Upstreams at which a unit may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Need {
    /// Only the primary, which must prove that it is one.
    Primary,
    /// Any upstream whose log holds a position.
    Position(Position),
}

/// Way in which a unit gets a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ConnectionPlan {
    /// Use an idle connection.
    Use(ConnectionId),
    /// Open a connection, after closing an idle one if the share is used up.
    Open(UpstreamName, Option<ConnectionId>),
}

/// An upstream that can take a unit, and how.
#[derive(Debug)]
struct Offer {
    upstream: UpstreamName,
    plan: ConnectionPlan,
    cost: Cost,
    /// Age of the load report in its cost, if there is one.
    report_age: Option<Duration>,
}

/// Connections to one upstream, counted once for a round of dispatching.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct Load {
    pub(super) connections: u32,
    /// Connections that hold a slot of the upstream.
    pub(super) busy: u32,
}

impl Pool {
    /// Returns which upstreams may run a unit.
    pub(super) fn need(&self, unit: &WorkUnit, now: BootInstant) -> Need {
        if unit.needs_primary() {
            return Need::Primary;
        }
        let staleness = Duration::from_millis(unit.staleness_ms.into());
        let known = self.position_history.floor(staleness, now);
        let Some(floor) = known.or(unit.fresh_position.map(Position::from)) else {
            return Need::Primary;
        };
        let last_commit = unit
            .floor
            .filter(|_| unit.guarantee() == Guarantee::ReadYourWrites)
            .map(Position::from);
        Need::Position(last_commit.map_or(floor, |commit| commit.max(floor)))
    }

    /// Counts the connections to each upstream.
    pub(super) fn loads(&self) -> BTreeMap<UpstreamName, Load> {
        let mut loads: BTreeMap<UpstreamName, Load> = BTreeMap::new();
        for connection in self.connections.values() {
            let load = loads.entry(connection.upstream.clone()).or_default();
            load.connections += 1;
            load.busy += u32::from(connection.holds_slot());
        }
        loads
    }

    /// Tells whether any reachable upstream can be sent another statement.
    pub(super) fn has_free_slot(
        &self,
        loads: &BTreeMap<UpstreamName, Load>,
        now: BootInstant,
    ) -> bool {
        self.upstreams.iter().any(|(name, upstream)| {
            let busy = loads.get(name).map_or(0, |load| load.busy);
            upstream.is_usable(now) && busy < self.max_in_flight(upstream)
        })
    }

    /// Chooses the connection at an upstream with the lowest cost, if any can take the unit.
    pub(super) fn place(
        &mut self,
        unit_id: UnitId,
        loads: &BTreeMap<UpstreamName, Load>,
        now: BootInstant,
    ) -> Option<ConnectionPlan> {
        let mut offers = self.offers(unit_id, loads, now);
        let costs: Vec<Cost> = offers.iter().map(|offer| offer.cost).collect();
        let chosen = choose(&costs, self.statement_cost(&offers), &mut self.random)?;
        let report_age = offers.iter().filter_map(|offer| offer.report_age).max();
        let offer = offers.swap_remove(chosen);
        self.outputs.push(Output::Note(Note::Placed {
            unit_id,
            upstream: offer.upstream,
            report_age,
        }));
        Some(offer.plan)
    }

    /// Returns the upstreams that can take a unit now, each with its cost.
    fn offers(
        &self,
        unit_id: UnitId,
        loads: &BTreeMap<UpstreamName, Load>,
        now: BootInstant,
    ) -> Vec<Offer> {
        let pending = self.units.get(&unit_id);
        let Some(pending) = pending.filter(|pending| self.can_finish(pending, now)) else {
            return Vec::new();
        };
        let need = self.need(&pending.unit, now);
        let account = AccountName::from(pending.unit.account.as_str());
        let mut offers = Vec::new();
        for (name, upstream) in &self.upstreams {
            if !self.is_eligible(name, upstream, pending, need, now) {
                continue;
            }
            let load = loads.get(name).copied().unwrap_or_default();
            if load.busy >= self.max_in_flight(upstream) || !upstream.has_room(self.cold_limit, now)
            {
                continue;
            }
            let Some((plan, setup_cost)) =
                self.plan_for(name, upstream, &account, pending, load, now)
            else {
                continue;
            };
            let mut cost = self.expected_wait(upstream, load, now);
            cost.known +=
                setup_cost + self.primary_penalty(name, need) + self.domain_penalty(upstream);
            offers.push(Offer {
                upstream: name.clone(),
                plan,
                cost,
                report_age: upstream.load.report_age(now),
            });
        }
        offers
    }

    /// Returns the cost of one more statement at the offered upstream with the fewest slots.
    fn statement_cost(&self, offers: &[Offer]) -> Duration {
        let upstreams = offers
            .iter()
            .filter_map(|o| self.upstreams.get(&o.upstream));
        let slots = upstreams.map(|upstream| upstream.registration.slots.max(1));
        self.service_times.mean() / slots.min().unwrap_or(1)
    }

    /// Tells whether an upstream can be given a unit; one that failed a replica read is skipped.
    fn is_eligible(
        &self,
        name: &UpstreamName,
        upstream: &Upstream,
        pending: &PendingUnit,
        need: Need,
        now: BootInstant,
    ) -> bool {
        let tried = matches!(need, Need::Position(_)) && pending.tried.contains(name);
        !tried && self.serves(name, upstream, &pending.unit, need, now)
    }

    /// Tells whether an upstream can probably run a unit with a need.
    pub(super) fn serves(
        &self,
        name: &UpstreamName,
        upstream: &Upstream,
        unit: &WorkUnit,
        need: Need,
        now: BootInstant,
    ) -> bool {
        self.eligibility(name, upstream, unit, need, now) == Eligibility::Eligible
    }

    /// Returns whether an upstream can be given a unit with a need, and if not, why.
    fn eligibility(
        &self,
        name: &UpstreamName,
        upstream: &Upstream,
        unit: &WorkUnit,
        need: Need,
        now: BootInstant,
    ) -> Eligibility {
        let is_primary = self.primary.upstream() == Some(name);
        if !unit.allows(&upstream.registration.domain) {
            return Eligibility::OutsideRegions;
        }
        if !upstream.is_usable(now) {
            return Eligibility::Unreachable;
        }
        match upstream.departure.availability(is_primary, now) {
            Availability::Available => {}
            Availability::Leaving => return Eligibility::Leaving,
            Availability::Evacuated => return Eligibility::Evacuated,
        }
        match need {
            _ if is_primary => Eligibility::Eligible,
            Need::Primary => Eligibility::NotPrimary,
            Need::Position(floor) => {
                let age = self.position_history.age_of(floor, now);
                if upstream.probably_holds(floor, age, now) {
                    Eligibility::Eligible
                } else {
                    let lag = upstream.lag();
                    Eligibility::Behind { lag }
                }
            }
        }
    }

    /// Returns every upstream with its eligibility for a unit.
    pub(super) fn candidates(&self, unit: &WorkUnit, now: BootInstant) -> Vec<Candidate> {
        let need = self.need(unit, now);
        let loads = self.loads();
        let candidate = |(name, upstream): (&UpstreamName, &Upstream)| Candidate {
            upstream: name.clone(),
            eligibility: self.eligibility(name, upstream, unit, need, now),
            busy: loads.get(name).map_or(0, |load| load.busy),
            report_age: upstream.load.report_age(now),
        };
        self.upstreams.iter().map(candidate).collect()
    }

    /// Returns how a unit gets a connection at an upstream, and the cost of that as a time.
    fn plan_for(
        &self,
        name: &UpstreamName,
        upstream: &Upstream,
        account: &AccountName,
        pending: &PendingUnit,
        load: Load,
        now: BootInstant,
    ) -> Option<(ConnectionPlan, Duration)> {
        let idle = || {
            self.connections
                .iter()
                .filter(|(_, c)| c.upstream == *name && c.stage == Stage::Idle)
        };
        let own = idle()
            .filter(|(_, c)| c.account == *account)
            .map(|(id, c)| (c.setup_queries(&pending.settings), *id))
            .min();
        if let Some((queries, id)) = own {
            let queries = u32::try_from(queries).unwrap_or(u32::MAX);
            return Some((ConnectionPlan::Use(id), ROUND_TRIP.saturating_mul(queries)));
        }
        if !upstream.may_open(now) {
            return None;
        }
        let closing = upstream.closing_count(now);
        if load.connections + closing < self.share {
            return Some((ConnectionPlan::Open(name.clone(), None), OPEN_COST));
        }
        if closing >= MAX_CLOSING {
            return None;
        }
        let (_, victim) = idle().map(|(id, c)| (c.since, *id)).min()?;
        Some((
            ConnectionPlan::Open(name.clone(), Some(victim)),
            OPEN_COST * 2,
        ))
    }

    /// Returns the expected wait at an upstream, from what this vm and others run there.
    fn expected_wait(&self, upstream: &Upstream, load: Load, now: BootInstant) -> Cost {
        let mean = self.service_times.mean();
        let slow = self.slowness(upstream, now);
        let service = mean + slow;
        let in_use = upstream.load.in_use(load.busy, service, now);
        let slots = upstream.registration.slots.max(1);
        Cost {
            known: service.mul_f64(in_use.own) / slots + slow + distance(upstream),
            reported: service.mul_f64(in_use.others) / slots,
        }
    }

    /// Returns the time by which an upstream is slower than its peers; zero if it is not slow.
    fn slowness(&self, upstream: &Upstream, now: BootInstant) -> Duration {
        let times = self.upstreams.values();
        let fastest = times.filter_map(|peer| peer.load.service_time(now)).min();
        let service = upstream.load.service_time(now);
        let slow = service
            .zip(fastest)
            .and_then(|(own, least)| slowness(own, least));
        slow.unwrap_or_default()
    }

    /// Returns the cost, at a stand-in vm, of an upstream in another failure domain.
    ///
    /// A stand-in serves while its group's home cannot be reached, often because domains are cut
    /// off from each other. The home polls every upstream, so it knows which of them it can reach.
    fn domain_penalty(&self, upstream: &Upstream) -> Duration {
        if self.home || upstream.registration.domain == self.domain {
            Duration::ZERO
        } else {
            REMOTE_DOMAIN_COST
        }
    }

    /// Returns the cost of a replica read at the primary, whose slots writes need.
    fn primary_penalty(&self, name: &UpstreamName, need: Need) -> Duration {
        match need {
            Need::Position(_) if self.primary.upstream() == Some(name) => {
                self.service_times.mean() / 2
            }
            Need::Position(_) | Need::Primary => Duration::ZERO,
        }
    }
}

/// Returns the round trip to an upstream of another region; within a region it costs nothing.
fn distance(upstream: &Upstream) -> Duration {
    let round_trip = upstream.round_trip.time();
    if round_trip <= SHORT_ROUND_TRIP {
        Duration::ZERO
    } else {
        round_trip
    }
}
