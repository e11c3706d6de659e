//! What vms went through: starts, stops, and whether they reached the store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use time::Duration;
use time::OffsetDateTime;

use crate::logged::Logged;

/// Time after a start in which buckets are still filling: the window of the users' rates.
const FILLING: Duration = Duration::seconds(5);
/// Part of the vms, as a divisor, whose start makes an account's buckets empty.
const STARTED_PART: usize = 4;

/// What one vm went through.
#[derive(Debug, Default)]
struct Life {
    domain: Option<String>,
    starts: Vec<OffsetDateTime>,
    /// Starts that no planned stop went before, but for the first.
    crashes: usize,
    stopped: bool,
    /// Moments at which the store was lost (`false`) or answered (`true`), or the process knew of neither.
    store: Vec<(OffsetDateTime, Option<bool>)>,
}

/// What the vms of some logs went through.
#[derive(Debug, Default)]
pub(super) struct Timeline<'a> {
    vms: BTreeMap<&'a str, Life>,
}

impl<'a> Timeline<'a> {
    /// Takes in an event; events of one vm come in order of time.
    pub(super) fn note(&mut self, event: &Logged<'a>, at: OffsetDateTime) {
        let life = self.vms.entry(event.vm).or_default();
        match event.event() {
            "vm_started" => {
                if !life.starts.is_empty() && !life.stopped {
                    life.crashes += 1;
                }
                life.stopped = false;
                life.starts.push(at);
                life.store.push((at, None));
                life.domain = event.field("domain").map(std::borrow::Cow::into_owned);
            }
            "vm_stopping" => life.stopped = true,
            "store_lost" => life.store.push((at, Some(false))),
            "store_back" => life.store.push((at, Some(true))),
            "configuration_in_force" if event.field("source").as_deref() == Some("store") => {
                life.store.push((at, Some(true)));
            }
            _ => {}
        }
    }

    /// Returns the number of vms.
    pub(super) fn vms(&self) -> usize {
        self.vms.len()
    }

    /// Returns how many processes ended without a planned stop: what their callers lost is in no log.
    pub(super) fn crashes(&self) -> usize {
        self.vms.values().map(|life| life.crashes).sum()
    }

    /// Returns the failure domain of a vm, if its start is in the logs.
    pub(super) fn domain(&self, vm: &str) -> Option<&str> {
        self.vms.get(vm)?.domain.as_deref()
    }

    /// Tells whether a good part of the vms has started so recently that buckets are filling.
    pub(super) fn is_filling(&self, at: OffsetDateTime) -> bool {
        let recent = |life: &&Life| {
            let mut starts = life.starts.iter();
            starts.any(|start| *start <= at && at - *start < FILLING)
        };
        let started = self.vms.values().filter(recent).count();
        started > 0 && started * STARTED_PART >= self.vms.len()
    }

    /// Tells whether a vm had lost the store while vms of other domains read it.
    ///
    /// Most vms are told by others what the store says, and prove neither.
    pub(super) fn is_cut_off(&self, vm: &str, at: OffsetDateTime) -> bool {
        let Some(life) = self
            .vms
            .get(vm)
            .filter(|life| life.reaches_store(at) == Some(false))
        else {
            return false;
        };
        let others = self.vms.values();
        let reaching = others.filter(|other| other.reaches_store(at) == Some(true));
        let domains: BTreeSet<Option<&str>> =
            reaching.map(|other| other.domain.as_deref()).collect();
        domains
            .iter()
            .any(|domain| *domain != life.domain.as_deref())
    }
}

impl Life {
    /// Tells whether the vm reached the store at a moment, as far as it knew.
    fn reaches_store(&self, at: OffsetDateTime) -> Option<bool> {
        let before = self.store.iter().take_while(|(since, _)| *since <= at);
        before.last().and_then(|(_, reached)| *reached)
    }
}
