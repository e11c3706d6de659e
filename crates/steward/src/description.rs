//! Description of an actor's state for the admin endpoint.

use kameo::Reply;
use serde_json::Value;

/// State of an actor as JSON, in reply to its `Dump` message.
#[derive(Debug, Default, Reply)]
pub(crate) struct Description(pub(crate) Value);
