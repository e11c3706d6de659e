//! Logs and metrics of a session's statements.

use std::time::Duration;

use mustardbay_policy::names::AccountName;

use crate::clock::BootInstant;
use crate::clock::millis;
use crate::entry::Denial;
use crate::entry::Entry;
use crate::session::answer;
use crate::session::client::Client;
use crate::wire::ToCaller;
use crate::work::Class;
use crate::work::TransactionState;
use crate::work::Verb;

impl Client {
    /// Refuses an operation that is not admitted.
    pub(super) fn deny(
        &self,
        request: &str,
        denial: &Denial,
        state: TransactionState,
    ) -> Vec<ToCaller> {
        self.entry.vm_metrics.refused(denial.name());
        let (version, age_ms) = view_fields(&self.entry);
        tracing::info!(event = "operation_denied", request, session = self.number,
            account = denial.account().map(AccountName::as_str), route = %self.route,
            cause = denial.name(), retry_ms = denial.retry_ms(), version, age_ms);
        answer::error(denial.code(), denial.text(), state)
    }

    /// Logs and counts a statement's outcome; successes within the objective are only counted.
    pub(super) fn record(
        &self,
        request: &str,
        verb: Verb,
        messages: &[ToCaller],
        began: BootInstant,
    ) {
        let took = BootInstant::now().since(began);
        let failure = messages.iter().find_map(|message| match message {
            ToCaller::Error(code, text) => Some((*code, text)),
            _ => None,
        });
        let outcome = match failure {
            None => "success",
            Some((code, _)) => code.name(),
        };
        self.entry.vm_metrics.statement(outcome, took);
        let view = self.entry.latest_view.view();
        let configuration = view.as_ref().map(|view| &view.snapshot.configuration);
        let route = configuration.and_then(|c| c.routes.get(&self.route));
        // Without a route there is no latency objective to miss.
        let objective = route.map_or(Duration::MAX, |route| route.objective);
        if failure.is_none() && took <= objective {
            return;
        }
        let class = route.map(|route| Class::of(verb, route.guarantee).name());
        let account = configuration.and_then(|c| c.keys.get(self.key.as_ref()?));
        let account = account.map(AccountName::as_str);
        match failure {
            None => tracing::info!(event = "statement_late", request, session = self.number,
                account, class, route = %self.route, verb = ?verb, took_ms = millis(took),
                objective_ms = millis(objective)),
            Some((code, text)) => {
                tracing::info!(event = "statement_failed", request, session = self.number,
                account, class, route = %self.route, verb = ?verb, code = ?code, text = %text,
                took_ms = millis(took));
            }
        }
    }
}

/// Returns the configuration's version and the view's age in milliseconds, for log lines.
pub(super) fn view_fields(entry: &Entry) -> (Option<u64>, Option<u32>) {
    let view = entry.latest_view.view();
    let version = view
        .as_ref()
        .map(|view| view.snapshot.configuration.version.0);
    let age_ms = view.map(|view| millis(view.age(BootInstant::now())));
    (version, age_ms)
}
