//! One attempt of a request, put together from the logs of the vms that handled it.

use time::OffsetDateTime;

use crate::log_event::LogEvent;
use crate::losses::cause::LossCause;
use crate::losses::timeline::Timeline;

/// How an attempt ended for its caller, if not in time and with success.
#[derive(Debug, Clone, PartialEq, Eq)]
enum LossKind {
    /// It failed, with this error code and text.
    Failed { code: String, text: String },
    /// It succeeded, but took longer than its objective.
    Late { took_ms: u64 },
}

/// Why the vm that took the attempt did not admit it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Denial {
    cause: String,
    /// Whether the vm had any configuration yet.
    has_configuration: bool,
}

/// What the home vm of the group logged about an attempt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct HomeOutcome {
    refused: Option<String>,
    interrupted: bool,
    waited_ms: u64,
    ran_ms: u64,
}

/// What the logs say about one attempt.
#[derive(Debug, Clone, Default)]
pub(super) struct Attempt {
    /// Time and vm at which it ended; `None` if no line says so.
    pub(super) ended: Option<(OffsetDateTime, String)>,
    pub(super) account: Option<String>,
    pub(super) class: Option<String>,
    kind: Option<LossKind>,
    denial: Option<Denial>,
    home: HomeOutcome,
    unreachable: bool,
}

impl Attempt {
    /// Records an event that names the request of the attempt.
    pub(super) fn record(&mut self, event: &LogEvent<'_>, at: OffsetDateTime) {
        let field = |name: &str| event.field(name).map(std::borrow::Cow::into_owned);
        match event.name() {
            "statement_failed" => {
                self.end(event, at);
                self.kind = Some(LossKind::Failed {
                    code: field("code").unwrap_or_default(),
                    text: field("text").unwrap_or_default(),
                });
            }
            "statement_late" => {
                self.end(event, at);
                let took_ms = event.number("took_ms").unwrap_or(0);
                self.kind = Some(LossKind::Late { took_ms });
            }
            "operation_denied" => {
                self.account = self.account.take().or_else(|| field("account"));
                self.denial = Some(Denial {
                    cause: field("cause").unwrap_or_default(),
                    has_configuration: event.field("version").is_some(),
                });
            }
            "unit_refused" => self.home.refused = field("cause"),
            "unit_interrupted" => self.home.interrupted = true,
            "unit_late" => {
                self.home.waited_ms = event.number("waited_ms").unwrap_or(0);
                self.home.ran_ms = event.number("ran_ms").unwrap_or(0);
            }
            "vm_unreachable" => self.unreachable = true,
            _ => {}
        }
    }

    fn end(&mut self, event: &LogEvent<'_>, at: OffsetDateTime) {
        self.ended = Some((at, event.vm.to_owned()));
        let field = |name: &str| event.field(name).map(std::borrow::Cow::into_owned);
        self.account = field("account").or_else(|| self.account.take());
        self.class = field("class").or_else(|| field("verb"));
    }

    /// Returns the cause of the loss, or `None` if no line says that it failed or was late.
    pub(super) fn cause(&self, timeline: &Timeline<'_>) -> Option<LossCause> {
        let (at, vm) = self.ended.as_ref()?;
        let cause = match self.kind.as_ref()? {
            LossKind::Late { took_ms } => self.home.late_cause(*took_ms),
            LossKind::Failed { code, text } => match &self.denial {
                Some(denial) => denial.cause(vm, *at, timeline),
                None => self.failure_cause(code, text),
            },
        };
        Some(cause)
    }

    /// Returns the cause of a failure after the attempt was admitted.
    fn failure_cause(&self, code: &str, text: &str) -> LossCause {
        if let Some(cause) = refusal_cause(text) {
            return cause;
        }
        match code {
            "Malformed" | "UnknownStatement" => LossCause::CallerFault,
            "KeyRefused" | "RouteUnknown" => LossCause::NotAllowed,
            "Failed" | "TimedOut" => LossCause::UpstreamFailed,
            "InDoubt" | "Aborted" if text.contains("the vm") && text.ends_with("was lost") => {
                LossCause::VmLost
            }
            "InDoubt" | "Aborted" if self.home.interrupted || text.contains("connection") => {
                LossCause::UpstreamLost
            }
            "Aborted" if text.contains("timed out") => LossCause::UpstreamFailed,
            "Aborted" => LossCause::Stopped,
            _ => LossCause::Unassigned,
        }
    }
}

impl Denial {
    fn cause(&self, vm: &str, at: OffsetDateTime, timeline: &Timeline<'_>) -> LossCause {
        match self.cause.as_str() {
            "rate_spent" if timeline.are_buckets_filling(at) => LossCause::RateAfterStart,
            "rate_spent" => LossCause::RateSpent,
            "not_current" if !self.has_configuration => LossCause::Starting,
            "not_current" if timeline.is_cut_off(vm, at) => LossCause::CutOff,
            "not_current" => LossCause::ConfigurationStale,
            "key_refused" | "route_unknown" => LossCause::NotAllowed,
            _ => LossCause::Unassigned,
        }
    }
}

impl HomeOutcome {
    /// Returns the cause that stands for where a late attempt spent most of its time.
    fn late_cause(&self, took_ms: u64) -> LossCause {
        let before_home = took_ms.saturating_sub(self.waited_ms + self.ran_ms);
        if before_home > self.waited_ms.max(self.ran_ms) {
            LossCause::LateBefore
        } else if self.waited_ms >= self.ran_ms {
            LossCause::LateQueue
        } else {
            LossCause::LateUpstream
        }
    }
}

/// Returns the cause that the text of a refusal names, or `None` for any other text.
fn refusal_cause(text: &str) -> Option<LossCause> {
    let (name, _) = text.strip_prefix("not run, ")?.split_once(';')?;
    let cause = match name {
        "overloaded" | "expired" => LossCause::QueueFull,
        "no_primary" => LossCause::NoPrimary,
        "no_upstream" => LossCause::NoUpstream,
        "unreachable" => LossCause::NoHome,
        "draining" => LossCause::Stopped,
        "rate_spent" => LossCause::RateSpent,
        "not_current" => LossCause::ConfigurationStale,
        _ => return None,
    };
    Some(cause)
}
