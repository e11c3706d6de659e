//! History of the vms: starts, stops and whether they reached the store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use time::Duration;
use time::OffsetDateTime;

use crate::log_event::LogEvent;

/// Time after a start in which token buckets are still filling: the window of the rates.
const BUCKET_FILL_TIME: Duration = Duration::seconds(5);
/// Divisor of the number of vms: if a quarter of them starts, token buckets are empty.
const RESTARTED_DIVISOR: usize = 4;

/// History of one vm.
#[derive(Debug, Default)]
struct VmHistory {
    domain: Option<String>,
    starts: Vec<OffsetDateTime>,
    /// Starts, except the first, that did not follow a planned stop.
    crashes: usize,
    stopped: bool,
    /// Times at which the store became unreachable (`Some(false)`) or reachable (`Some(true)`).
    ///
    /// `None` marks a start of the process, which then knows neither.
    store: Vec<(OffsetDateTime, Option<bool>)>,
}

/// History of every vm in a set of logs.
#[derive(Debug, Default)]
pub(super) struct Timeline<'a> {
    vms: BTreeMap<&'a str, VmHistory>,
}

impl<'a> Timeline<'a> {
    /// Records an event; events of one vm must come in order of time.
    pub(super) fn record(&mut self, event: &LogEvent<'a>, at: OffsetDateTime) {
        let history = self.vms.entry(event.vm).or_default();
        match event.name() {
            "vm_started" => {
                if !history.starts.is_empty() && !history.stopped {
                    history.crashes += 1;
                }
                history.stopped = false;
                history.starts.push(at);
                history.store.push((at, None));
                history.domain = event.field("domain").map(std::borrow::Cow::into_owned);
            }
            "vm_stopping" => history.stopped = true,
            "store_lost" => history.store.push((at, Some(false))),
            "store_back" => history.store.push((at, Some(true))),
            "configuration_in_force" if event.field("source").as_deref() == Some("store") => {
                history.store.push((at, Some(true)));
            }
            _ => {}
        }
    }

    /// Returns the number of vms.
    pub(super) fn vms(&self) -> usize {
        self.vms.len()
    }

    /// Returns how many processes ended without a planned stop.
    ///
    /// The logs lack what the callers of these processes lost.
    pub(super) fn crashes(&self) -> usize {
        self.vms.values().map(|history| history.crashes).sum()
    }

    /// Returns the failure domain of a vm, or `None` if its start is not in the logs.
    pub(super) fn domain(&self, vm: &str) -> Option<&str> {
        self.vms.get(vm)?.domain.as_deref()
    }

    /// Tells whether so many vms started recently that the buckets of accounts are still filling.
    pub(super) fn are_buckets_filling(&self, at: OffsetDateTime) -> bool {
        let is_recent = |history: &&VmHistory| {
            let mut starts = history.starts.iter();
            starts.any(|start| *start <= at && at - *start < BUCKET_FILL_TIME)
        };
        let started = self.vms.values().filter(is_recent).count();
        started > 0 && started * RESTARTED_DIVISOR >= self.vms.len()
    }

    /// Tells whether a vm had lost the store while vms of other domains reached it.
    ///
    /// Most vms get the contents of the store from other vms, so their logs show neither state and
    /// they do not count.
    pub(super) fn is_cut_off(&self, vm: &str, at: OffsetDateTime) -> bool {
        let Some(history) = self
            .vms
            .get(vm)
            .filter(|history| history.reaches_store(at) == Some(false))
        else {
            return false;
        };
        let others = self.vms.values();
        let reaching = others.filter(|other| other.reaches_store(at) == Some(true));
        let domains: BTreeSet<Option<&str>> =
            reaching.map(|other| other.domain.as_deref()).collect();
        domains
            .iter()
            .any(|domain| *domain != history.domain.as_deref())
    }
}

impl VmHistory {
    /// Tells whether the vm reached the store at a time; `None` if its log does not say.
    fn reaches_store(&self, at: OffsetDateTime) -> Option<bool> {
        let before = self.store.iter().take_while(|(since, _)| *since <= at);
        before.last().and_then(|(_, reached)| *reached)
    }
}
