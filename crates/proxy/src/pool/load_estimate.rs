//! Estimate of what an upstream runs, from this vm's statements, old reports and answers.

use std::time::Duration;

use crate::clock::BootInstant;

/// Divisor that gives the weight of the newest answer in a mean.
const WEIGHT_DIVISOR: u32 = 16;
/// Age beyond which answer times are ignored, so that an upstream that was slow is tried again.
const MAX_ANSWER_AGE: Duration = Duration::from_secs(2);
/// How many times slower than its fastest peer an upstream must be to count as slow.
const SLOW_FACTOR: u32 = 2;

/// Load that an upstream reported in its status, over all vms.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Slots in use.
    pub busy: u32,
    /// Open connections.
    pub connections: u32,
}

/// Newest report of an upstream, as far as it concerns other vms.
#[derive(Debug, Clone, Copy)]
struct Others {
    /// Slots that they used.
    busy: f64,
    /// When the upstream was asked.
    asked: BootInstant,
}

/// Mean time until the answers of statements, and when the newest came.
#[derive(Debug, Clone, Copy)]
struct AnswerTime {
    mean: Duration,
    newest: BootInstant,
}

/// What a vm knows of the load of one upstream.
#[derive(Debug, Clone, Default)]
pub struct LoadEstimate {
    others: Option<Others>,
    answers: Option<AnswerTime>,
    /// Round trip to the upstream when the newest read was answered; zero while it is not measured.
    round_trip: Option<Duration>,
}

impl LoadEstimate {
    /// Records a report; `own` statements of this vm were in flight when it was asked for.
    pub fn note_report(&mut self, report: LoadReport, own: u32, asked: BootInstant) {
        let own = f64::from(own) * self.slot_share();
        let busy = (f64::from(report.busy) - own).max(0.0);
        self.others = Some(Others { busy, asked });
    }

    /// Sets the round trip, as measured from queries that hold no slot.
    pub fn set_round_trip(&mut self, time: Duration) {
        self.round_trip = Some(time);
    }

    /// Records the time until the answer of a read; `usual` stands for the answers before the first.
    pub fn note_answer(&mut self, took: Duration, usual: Duration, now: BootInstant) {
        let mean = self.answer_time(now).unwrap_or(usual);
        self.answers = Some(AnswerTime {
            mean: moving_average(mean, took),
            newest: now,
        });
    }

    /// Returns how long reads hold a slot, if any was answered lately.
    #[must_use]
    pub fn service_time(&self, now: BootInstant) -> Option<Duration> {
        let mean = self.answer_time(now)?;
        Some(mean.saturating_sub(self.round_trip.unwrap_or_default()))
    }

    /// Returns how many slots are in use while `own` statements of this vm are in flight.
    ///
    /// Those of other vms count less the older their report is, and no more once it is older than
    /// `service`: what was reported has ended by then, and what came after it is not known.
    #[must_use]
    pub fn in_use(&self, own: u32, service: Duration, now: BootInstant) -> InUse {
        let others = self.others.map_or(0.0, |others| {
            let left = service.saturating_sub(now.since(others.asked));
            if left.is_zero() {
                0.0
            } else {
                others.busy * left.as_secs_f64() / service.as_secs_f64()
            }
        });
        InUse {
            own: f64::from(own) * self.slot_share(),
            others,
        }
    }

    /// Returns the age of the newest report.
    #[must_use]
    pub fn report_age(&self, now: BootInstant) -> Option<Duration> {
        self.others.map(|others| now.since(others.asked))
    }

    /// Returns the part of its time in flight for which a statement holds a slot.
    ///
    /// The rest is spent on the network, which takes longer for an upstream that is far away.
    fn slot_share(&self) -> f64 {
        let (Some(answers), Some(round_trip)) = (self.answers, self.round_trip) else {
            return 1.0;
        };
        let held = answers.mean.saturating_sub(round_trip);
        if answers.mean.is_zero() {
            1.0
        } else {
            held.as_secs_f64() / answers.mean.as_secs_f64()
        }
    }

    fn answer_time(&self, now: BootInstant) -> Option<Duration> {
        self.answers
            .filter(|answers| now.since(answers.newest) < MAX_ANSWER_AGE)
            .map(|answers| answers.mean)
    }
}

/// Estimated number of slots in use at an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InUse {
    /// By statements of this vm.
    pub own: f64,
    /// By statements of other vms, weighted by the age of their report.
    pub others: f64,
}

/// Returns the time by which an upstream is slower than its fastest peer, if it counts as slow.
#[must_use]
pub fn slowness(service: Duration, fastest: Duration) -> Option<Duration> {
    let difference = service.checked_sub(fastest)?;
    (service > fastest * SLOW_FACTOR).then_some(difference)
}

fn moving_average(mean: Duration, newest: Duration) -> Duration {
    (mean * (WEIGHT_DIVISOR - 1) + newest) / WEIGHT_DIVISOR
}
