//! Builds the messages that answer a client.

use mustardbay_policy::position::Position;

use crate::wire::ToCaller;
use crate::work::Answer;
use crate::work::Code;
use crate::work::TransactionState;

/// Returns the answer to the start of a session.
pub(super) fn ready() -> Vec<ToCaller> {
    vec![ToCaller::Ready(TransactionState::Idle, None)]
}

/// Returns the answer to a request that the proxy completed itself.
pub(super) fn done(state: TransactionState) -> Vec<ToCaller> {
    vec![ToCaller::Complete(None), ToCaller::Ready(state, None)]
}

/// Returns the answer to a query that failed.
pub(super) fn error(code: Code, text: impl Into<String>, state: TransactionState) -> Vec<ToCaller> {
    vec![
        ToCaller::Error(code, text.into()),
        ToCaller::Ready(state, None),
    ]
}

/// Returns the messages for an upstream's answer, ending in the session's new state.
pub(super) fn relayed(answer: Answer, state: TransactionState) -> Vec<ToCaller> {
    let failure = answer.failure();
    let position = answer.position.map(Position::from);
    let mut messages: Vec<ToCaller> = answer.rows.into_iter().map(ToCaller::Row).collect();
    messages.push(match failure {
        None => ToCaller::Complete(answer.signature),
        Some(code) => ToCaller::Error(code, answer.text),
    });
    messages.push(ToCaller::Ready(state, position));
    messages
}
