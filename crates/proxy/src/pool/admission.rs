//! Admission of units: each is queued or refused on arrival.

use std::time::Duration;

use crate::clock::BootInstant;
use crate::clock::millis;
use crate::pool::Pool;
use crate::pool::pending_unit::Rank;
use crate::pool::placement::Need;
use crate::pool::refusal::Cause;
use crate::pool::refusal::Refusal;
use crate::pool::steps::trips_to_answer;
use crate::pool::submit::PROMOTION_PAUSE;
use crate::work::WorkUnit;

/// Shortest pause before a retry after a refusal for overload.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Divisor of a unit's spare time that gives its longest expected wait.
///
/// The expected wait is computed from mean service times, and some of the units ahead take longer.
const QUEUE_DIVISOR: u32 = 3;

impl Pool {
    /// Returns the place of a unit in the queue, or the refusal of one that cannot be served in time.
    pub(super) fn admit(
        &self,
        unit: &WorkUnit,
        travel: Duration,
        now: BootInstant,
    ) -> Result<Rank, Refusal> {
        let rank = Rank {
            priority: unit.priority,
            due: now.after(unit.objective().saturating_sub(travel)),
            arrival: self.next_arrival,
        };
        match self.refusal_for(unit, travel, rank, now) {
            Some(refusal) => Err(refusal),
            None => Ok(rank),
        }
    }

    /// Returns the refusal of a unit that cannot be served in time.
    fn refusal_for(
        &self,
        unit: &WorkUnit,
        travel: Duration,
        rank: Rank,
        now: BootInstant,
    ) -> Option<Refusal> {
        if self.retired.is_some() {
            return Some(Refusal::new(Cause::Draining, 0));
        }
        let need = self.need(unit, now);
        if need == Need::Primary && !self.is_primary_usable(now) {
            return Some(Refusal::new(Cause::NoPrimary, millis(PROMOTION_PAUSE)));
        }
        let capacity = self.capacity_for(unit, now);
        if capacity.slots == 0 {
            return Some(Refusal::new(Cause::NoUpstream, millis(PROMOTION_PAUSE)));
        }
        let wait = self.work_ahead(capacity, rank, now) / capacity.slots;
        let max_wait = self.max_wait(unit, travel);
        (wait > max_wait).then(|| {
            // After this pause the queue is short enough, if nothing else joins it.
            let pause = wait.saturating_sub(max_wait).max(MIN_RETRY_PAUSE);
            Refusal::new(Cause::Overloaded, millis(pause))
        })
    }

    /// Returns the longest expected wait with which a unit is accepted.
    ///
    /// With a longer wait it would hardly be on time, or would delay others that can be. A unit of
    /// a class with a longer service time than the mean delays several others, so its limit is
    /// lower.
    fn max_wait(&self, unit: &WorkUnit, travel: Duration) -> Duration {
        let own = self.service_times.of(unit.class());
        let spare = unit
            .objective()
            .saturating_sub(self.time_to_answer() + travel);
        let left = unit.left().saturating_sub(own + travel);
        let max_wait = left.min(spare / QUEUE_DIVISOR);
        let mean = self.service_times.mean();
        if own <= mean {
            return max_wait;
        }
        max_wait.mul_f64(mean.as_secs_f64() / own.as_secs_f64())
    }

    /// Returns the time that a unit's first statement spends on the network.
    ///
    /// The proof of the primary and the begin of a transaction take a round trip of their own.
    pub(super) fn travel_for(&self, unit: &WorkUnit, now: BootInstant) -> Duration {
        let need = self.need(unit, now);
        let serving = self
            .upstreams
            .iter()
            .filter(|(name, upstream)| self.serves(name, upstream, unit, need, now));
        let nearest = serving
            .map(|(_, upstream)| upstream.round_trip.time())
            .min();
        nearest.unwrap_or_default() * trips_to_answer(unit, need)
    }

    /// Returns the slots in which a unit can run now.
    fn capacity_for(&self, unit: &WorkUnit, now: BootInstant) -> Capacity {
        let need = self.need(unit, now);
        let mut capacity = Capacity {
            slots: 0,
            only_primary: true,
        };
        for (name, upstream) in &self.upstreams {
            if self.serves(name, upstream, unit, need, now) {
                let slots = upstream.registration.slots;
                capacity.slots = capacity.slots.saturating_add(slots);
                capacity.only_primary &= self.primary.upstream() == Some(name);
            }
        }
        capacity
    }

    /// Returns the total service time of the queued units that precede a rank and share its slots.
    fn work_ahead(&self, capacity: Capacity, rank: Rank, now: BootInstant) -> Duration {
        let before = self.waiting.range(..rank).filter_map(|(other, unit_id)| {
            let late = other.priority == rank.priority && self.is_late(*other, now);
            let pending = self.units.get(unit_id).filter(|_| !late)?;
            let here = !capacity.only_primary || self.capacity_for(&pending.unit, now).only_primary;
            here.then(|| self.service_times.of(pending.unit.class()))
        });
        before.sum()
    }
}

/// Slots in which a unit can run.
#[derive(Debug, Clone, Copy)]
struct Capacity {
    slots: u32,
    /// Whether all of them belong to the primary.
    only_primary: bool,
}
