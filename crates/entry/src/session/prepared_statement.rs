//! Prepared statements of a session, kept by the entry because upstream connections are shared.

use std::collections::HashMap;
use std::sync::Arc;

use mustardbay_policy::statement::StatementClass;
use pgwire::messages::extendedquery::Parse;

use crate::class_cache::ClassCache;

/// Memory of a statement besides its text, types and classes.
const OVERHEAD_BYTES: usize = 256;

/// Text, parameter types and classes of a prepared statement.
#[derive(Debug)]
pub(crate) struct PreparedStatement {
    /// SQL text.
    pub text: String,
    /// OIDs of the parameter types that the client specified.
    pub types: Vec<u32>,
    /// Classes of the statements in the text.
    pub classes: Arc<[StatementClass]>,
}

impl PreparedStatement {
    /// Creates the statement of a `Parse` message.
    pub fn new(parse: Parse, cache: &ClassCache) -> Arc<Self> {
        Arc::new(Self {
            classes: cache.classify(&parse.query),
            text: parse.query,
            types: parse.type_oids,
        })
    }

    /// Returns the memory of the statement, in bytes.
    pub fn footprint(&self) -> usize {
        OVERHEAD_BYTES
            + self.text.capacity()
            + self.types.capacity() * size_of::<u32>()
            + self.classes.len() * size_of::<StatementClass>()
    }

    /// Returns a `Parse` message that prepares it as the unnamed statement.
    pub fn unnamed_parse(&self) -> Parse {
        Parse::new(None, self.text.clone(), self.types.clone())
    }
}

/// Prepared statements by name; the unnamed one has the empty name.
#[derive(Debug, Default)]
pub(crate) struct Statements {
    by_name: HashMap<String, Arc<PreparedStatement>>,
    bytes: usize,
}

impl Statements {
    /// Returns the statement of a name.
    pub fn get(&self, name: &str) -> Option<&Arc<PreparedStatement>> {
        self.by_name.get(name)
    }

    /// Adds a statement, or replaces the one of the same name.
    pub fn insert(&mut self, name: String, prepared: Arc<PreparedStatement>) {
        self.remove(&name);
        self.bytes += name.len() + prepared.footprint();
        self.by_name.insert(name, prepared);
    }

    /// Removes a statement.
    pub fn remove(&mut self, name: &str) {
        if let Some(prepared) = self.by_name.remove(name) {
            self.bytes -= name.len() + prepared.footprint();
        }
    }

    /// Removes all statements.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the number of statements.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Returns the memory of all statements, in bytes.
    pub fn footprint(&self) -> usize {
        self.bytes
    }
}
