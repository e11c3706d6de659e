//! Changes to a client's settings and prepared statements, and refusals for lack of memory.

use crate::budget::Limit;
use crate::session::answer;
use crate::session::client::Client;
use crate::wire::ToCaller;
use crate::work::Code;
use crate::work::PreparedStatement;
use crate::work::Setting;

/// Bytes that the settings and prepared statements of one session may take: two of the largest messages.
const MAX_STATE_BYTES: usize = 2 * 1_024 * 1_024;
/// Text of a refusal for lack of memory.
const SHORT_TEXT: &str = "not run, the vm is short of memory";

impl Client {
    /// Refuses a request because the vm is short of memory; an open transaction is aborted.
    pub(in crate::session) fn refuse_short(&mut self) -> Vec<ToCaller> {
        self.entry.vm_metrics.refused(Limit::Memory.name());
        self.abort_transaction(Limit::Memory.name());
        answer::error(Code::Busy, SHORT_TEXT, self.state())
    }

    pub(super) fn set(&mut self, setting: Setting) -> Vec<ToCaller> {
        let bytes = self.session_state.bytes_with_setting(&setting);
        if let Some(refusal) = self.refuse_state(bytes) {
            return refusal;
        }
        self.session_state.set(setting);
        answer::done(self.state())
    }

    pub(super) fn prepare(&mut self, name: String, prepared: PreparedStatement) -> Vec<ToCaller> {
        let bytes = self.session_state.bytes_with_prepared(&name, &prepared);
        if let Some(refusal) = self.refuse_state(bytes) {
            return refusal;
        }
        self.session_state.prepare(name, prepared);
        answer::done(self.state())
    }

    pub(super) fn deallocate(&mut self, name: &str) -> Vec<ToCaller> {
        if !self.session_state.deallocate(name) {
            let text = "no statement is prepared under this name";
            return answer::error(Code::UnknownStatement, text, self.state());
        }
        // Less than before is never refused.
        self.refuse_state(self.session_state.bytes())
            .unwrap_or_else(|| answer::done(self.state()))
    }

    /// Takes what the changed state needs, or returns the refusal of the change.
    fn refuse_state(&self, bytes: usize) -> Option<Vec<ToCaller>> {
        if bytes > MAX_STATE_BYTES {
            self.holding.budget().acted(Limit::SessionState);
            let text = "the values and prepared statements of the session are too large";
            return Some(answer::error(Code::Busy, text, self.state()));
        }
        match self.holding.keep_state(bytes) {
            Ok(()) => None,
            Err(short) => Some(answer::error(Code::Busy, short.to_string(), self.state())),
        }
    }
}
