//! Protocol-neutral messages to and from callers and upstreams, and their codecs.

use std::io;

use mustardbay_policy::names::AccountName;
use mustardbay_policy::names::GroupName;
use mustardbay_policy::names::RouteName;
use mustardbay_policy::names::UpstreamName;
use mustardbay_policy::position::Position;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

use crate::configuration::Key;
use crate::pool::Query;
use crate::pool::UpstreamStatus;
use crate::work::Code;
use crate::work::PreparedStatement;
use crate::work::Setting;
use crate::work::Statement;
use crate::work::TransactionState;

/// Request of a caller in one query.
#[derive(Debug, Clone, PartialEq)]
pub enum Request {
    /// Execution of a statement given as text.
    Statement(Statement),
    /// Execution of a prepared statement.
    Execute {
        /// Id of the query.
        id: String,
        /// Name under which the caller prepared the statement.
        name: String,
        /// Text after the name, with the arguments.
        arguments: String,
    },
    /// Sets a value of the session.
    Set(Setting),
    /// Prepares a statement.
    Prepare {
        /// Name that the caller gives it.
        name: String,
        /// Statement to prepare.
        prepared: PreparedStatement,
    },
    /// Removes a prepared statement.
    Deallocate {
        /// Name under which it was prepared.
        name: String,
    },
}

/// Message from a caller.
#[derive(Debug, Clone, PartialEq)]
pub enum FromCaller {
    /// Begins a session.
    Start {
        /// Database that the caller connects to.
        route: RouteName,
        /// Key, if one was given.
        key: Option<Key>,
    },
    /// Sends a query.
    Query(Request),
    /// Ends the session.
    Quit,
    /// Message that cannot be decoded; the session continues.
    Malformed,
}

/// Message to a caller.
#[derive(Debug, Clone, PartialEq)]
pub enum ToCaller {
    /// One row.
    Row(String),
    /// Success, with the upstream's signature unless the proxy itself answered.
    Complete(Option<String>),
    /// Failure, with its code and text.
    Error(Code, String),
    /// Ready for the next query, with the transaction state and the position, if known.
    Ready(TransactionState, Option<Position>),
}

impl ToCaller {
    /// Returns the bytes of the texts in the message.
    #[must_use]
    pub fn text_bytes(&self) -> usize {
        match self {
            Self::Row(text) | Self::Error(_, text) => text.len(),
            Self::Complete(signature) => signature.as_ref().map_or(0, String::len),
            Self::Ready(..) => 0,
        }
    }
}

/// Message to an upstream.
#[derive(Debug, Clone, PartialEq)]
pub enum ToUpstream {
    /// Begins a connection.
    Start {
        /// Group that the upstream must belong to.
        group: GroupName,
        /// Account that the connection serves.
        account: AccountName,
        /// Upstream that must accept the connection.
        upstream: UpstreamName,
    },
    /// Sends a query.
    Query(Query),
    /// Ends the connection.
    Quit,
}

/// Message from an upstream.
#[derive(Debug, Clone, PartialEq)]
pub enum FromUpstream {
    /// One row.
    Row(String),
    /// Success, with the signature if the statement has one.
    Complete(Option<String>),
    /// Failure, with its code and text.
    Error(Code, String),
    /// Ready for the next query, with the transaction state and the position, if known.
    Ready(TransactionState, Option<Position>),
}

/// Codecs of one protocol for callers and upstreams.
pub trait Wire: Clone + Default + Send + Sync + std::fmt::Debug + 'static {
    /// Codec for callers.
    type Caller: Decoder<Item = FromCaller, Error = io::Error>
        + Encoder<ToCaller, Error = io::Error>
        + Default
        + Send
        + Unpin
        + 'static;
    /// Codec for upstreams.
    type Upstream: Decoder<Item = FromUpstream, Error = io::Error>
        + Encoder<ToUpstream, Error = io::Error>
        + Default
        + Send
        + Unpin
        + 'static;

    /// Parses the row of a status reply; returns nothing if it is not one.
    fn status(row: &str) -> Option<UpstreamStatus>;
}
