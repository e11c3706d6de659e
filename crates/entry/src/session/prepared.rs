//! Prepared statements of a session, kept here because server connections are shared.

use std::collections::HashMap;
use std::sync::Arc;

use mustardbay_policy::statement::StatementClass;
use pgwire::messages::extendedquery::Parse;

use crate::classes::Classes;

/// Text of a prepared statement and what it does.
#[derive(Debug)]
pub(crate) struct Prepared {
    /// SQL text.
    pub text: String,
    /// Types of the parameters, as far as the caller gave them.
    pub types: Vec<u32>,
    /// Classes of its statements.
    pub classes: Arc<[StatementClass]>,
}

impl Prepared {
    /// Takes over the statement of a `Parse` message.
    pub fn new(parse: Parse, classes: &Classes) -> Arc<Self> {
        Arc::new(Self {
            classes: classes.of(&parse.query),
            text: parse.query,
            types: parse.type_oids,
        })
    }

    /// Returns the message that prepares the statement without a name.
    pub fn unnamed_parse(&self) -> Parse {
        Parse::new(None, self.text.clone(), self.types.clone())
    }
}

/// Prepared statements by name; the unnamed one has the empty name.
pub(crate) type Statements = HashMap<String, Arc<Prepared>>;
