//! One try of a request, as the logs of its vms tell it.

use time::OffsetDateTime;

use crate::logged::Logged;
use crate::losses::cause::LossCause;
use crate::losses::timeline::Timeline;

/// How a try ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Ending {
    /// Without success.
    Failed { code: String, text: String },
    /// With success, after its objective.
    Late { took_ms: u64 },
}

/// Why its vm did not admit a try.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Denial {
    cause: String,
    /// Whether the vm had a configuration at all.
    believed: bool,
}

/// What the home of its group did with a try.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct AtHome {
    refused: Option<String>,
    interrupted: bool,
    waited_ms: u64,
    ran_ms: u64,
}

/// What the logs tell of one try.
#[derive(Debug, Clone, Default)]
pub(super) struct Attempt {
    /// When and on which vm it ended.
    pub(super) ended: Option<(OffsetDateTime, String)>,
    pub(super) account: Option<String>,
    pub(super) class: Option<String>,
    ending: Option<Ending>,
    denial: Option<Denial>,
    home: AtHome,
    unreachable: bool,
}

impl Attempt {
    /// Takes in an event that names the try.
    pub(super) fn note(&mut self, event: &Logged<'_>, at: OffsetDateTime) {
        let field = |name: &str| event.field(name).map(std::borrow::Cow::into_owned);
        match event.event() {
            "statement_failed" => {
                self.end(event, at);
                self.ending = Some(Ending::Failed {
                    code: field("code").unwrap_or_default(),
                    text: field("text").unwrap_or_default(),
                });
            }
            "statement_late" => {
                self.end(event, at);
                let took_ms = event.number("took_ms").unwrap_or(0);
                self.ending = Some(Ending::Late { took_ms });
            }
            "operation_denied" => {
                self.account = self.account.take().or_else(|| field("account"));
                self.denial = Some(Denial {
                    cause: field("cause").unwrap_or_default(),
                    believed: event.field("version").is_some(),
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

    fn end(&mut self, event: &Logged<'_>, at: OffsetDateTime) {
        self.ended = Some((at, event.vm.to_owned()));
        let field = |name: &str| event.field(name).map(std::borrow::Cow::into_owned);
        self.account = field("account").or_else(|| self.account.take());
        self.class = field("class").or_else(|| field("verb"));
    }

    /// Returns the cause of the loss; nothing if the try was no loss.
    pub(super) fn cause(&self, timeline: &Timeline<'_>) -> Option<LossCause> {
        let (at, vm) = self.ended.as_ref()?;
        let cause = match self.ending.as_ref()? {
            Ending::Late { took_ms } => self.home.late(*took_ms),
            Ending::Failed { code, text } => match &self.denial {
                Some(denial) => denial.cause(vm, *at, timeline),
                None => self.failure(code, text),
            },
        };
        Some(cause)
    }

    /// Returns the cause of a failure after the try was admitted.
    fn failure(&self, code: &str, text: &str) -> LossCause {
        if let Some(cause) = refusal(text) {
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
            "rate_spent" if timeline.is_filling(at) => LossCause::RateAfterStart,
            "rate_spent" => LossCause::RateSpent,
            "not_current" if !self.believed => LossCause::Starting,
            "not_current" if timeline.is_cut_off(vm, at) => LossCause::CutOff,
            "not_current" => LossCause::BeliefOld,
            "key_refused" | "route_unknown" => LossCause::NotAllowed,
            _ => LossCause::Unassigned,
        }
    }
}

impl AtHome {
    /// Returns where most of the time of a late try went.
    fn late(&self, took_ms: u64) -> LossCause {
        let before = took_ms.saturating_sub(self.waited_ms + self.ran_ms);
        if before > self.waited_ms.max(self.ran_ms) {
            LossCause::LateBefore
        } else if self.waited_ms >= self.ran_ms {
            LossCause::LateQueue
        } else {
            LossCause::LateUpstream
        }
    }
}

/// Returns the cause that a refusal's text names.
fn refusal(text: &str) -> Option<LossCause> {
    let (name, _) = text.strip_prefix("not run, ")?.split_once(';')?;
    let cause = match name {
        "overloaded" | "expired" => LossCause::QueueFull,
        "no_primary" => LossCause::NoPrimary,
        "no_upstream" => LossCause::NoUpstream,
        "unreachable" => LossCause::NoHome,
        "draining" => LossCause::Stopped,
        "rate_spent" => LossCause::RateSpent,
        "not_current" => LossCause::BeliefOld,
        _ => return None,
    };
    Some(cause)
}
