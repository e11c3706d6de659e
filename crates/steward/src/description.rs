//! Description of an actor's state for the admin endpoint.

use kameo::Reply;
use serde_json::Value;

/// Answer to a request for an actor's state.
#[derive(Debug, Default, Reply)]
pub(crate) struct Description(pub(crate) Value);
