//! Batch of client messages up to a `Sync`, or one `Query`, rewritten for shared connections.

use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
use mustardbay_policy::statement::Access;
use mustardbay_policy::statement::StatementClass;
use mustardbay_policy::statement::request_id;
use pgwire::error::PgWireError;
use pgwire::messages::Message;
use pgwire::messages::extendedquery::Bind;
use pgwire::messages::extendedquery::Close;
use pgwire::messages::extendedquery::Describe;
use pgwire::messages::extendedquery::Execute;
use pgwire::messages::extendedquery::Parse;
use pgwire::messages::extendedquery::Sync;
use pgwire::messages::extendedquery::TARGET_TYPE_BYTE_STATEMENT;
use pgwire::messages::simplequery::Query;

use crate::class_cache::ClassCache;
use crate::session::prepared_statement::PreparedStatement;
use crate::session::prepared_statement::Statements;

/// Name that exists on no upstream connection; sent if the unnamed statement does not exist.
const UNKNOWN_STATEMENT: &str = "mustardbay_unknown";

/// One message of a batch, with what the entry needs to answer it locally.
#[derive(Debug)]
pub(crate) enum Step {
    /// Prepares a statement.
    Parse,
    /// Binds a statement to a portal.
    Bind,
    /// Describes a statement.
    DescribeStatement(Option<Arc<PreparedStatement>>),
    /// Describes the most recently bound portal.
    DescribePortal(Option<Arc<PreparedStatement>>),
    /// Runs the most recently bound portal.
    Execute(Option<Arc<PreparedStatement>>),
    /// Closes a statement.
    CloseStatement,
    /// Closes a portal.
    ClosePortal,
}

/// Batch of messages that is sent to an upstream as one request.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    messages: BytesMut,
    parses: u32,
    hidden_parses: Vec<u32>,
    unnamed: Option<Arc<PreparedStatement>>,
    bound: Option<Arc<PreparedStatement>>,
    new_statements: Vec<(String, Arc<PreparedStatement>)>,
    /// Memory of the new statements and of the names to close.
    new_bytes: usize,
    closed: Vec<String>,
    classes: Vec<StatementClass>,
    steps: Vec<Step>,
    access: Access,
    request_id: Option<String>,
    is_query: bool,
}

impl Batch {
    /// Creates the batch of one simple query.
    ///
    /// # Errors
    ///
    /// Fails if the message cannot be encoded.
    pub fn query(query: &Query, cache: &ClassCache) -> Result<Self, PgWireError> {
        let mut batch = Self {
            is_query: true,
            request_id: request_id(&query.query).map(str::to_owned),
            ..Self::default()
        };
        batch.add_classes(&cache.classify(&query.query));
        query.encode(&mut batch.messages)?;
        Ok(batch)
    }

    /// Adds a `Parse`; it is sent as the unnamed statement.
    ///
    /// # Errors
    ///
    /// Fails if the message cannot be encoded.
    pub fn parse(&mut self, mut parse: Parse, cache: &ClassCache) -> Result<(), PgWireError> {
        let name = parse.name.take().unwrap_or_default();
        let prepared = PreparedStatement::new(parse, cache);
        prepared.unnamed_parse().encode(&mut self.messages)?;
        self.parses += 1;
        self.unnamed = Some(Arc::clone(&prepared));
        self.new_bytes += name.len() + prepared.footprint();
        self.new_statements.push((name, prepared));
        self.steps.push(Step::Parse);
        Ok(())
    }

    /// Adds a `Bind`, preceded by a `Parse` of its statement if needed.
    ///
    /// # Errors
    ///
    /// Fails if a message cannot be encoded.
    pub fn bind(&mut self, mut bind: Bind, known: &Statements) -> Result<(), PgWireError> {
        let prepared = self.use_statement(&mut bind.statement_name, known)?;
        match &prepared {
            Some(prepared) => {
                self.add_classes(&prepared.classes);
                if self.request_id.is_none() {
                    self.request_id = request_id(&prepared.text).map(str::to_owned);
                }
            }
            None => self.add_classes(&[StatementClass::Read]),
        }
        self.bound = prepared;
        self.steps.push(Step::Bind);
        bind.encode(&mut self.messages)
    }

    /// Adds a `Describe`, preceded by a `Parse` of its statement if needed.
    ///
    /// # Errors
    ///
    /// Fails if a message cannot be encoded.
    pub fn describe(
        &mut self,
        mut describe: Describe,
        known: &Statements,
    ) -> Result<(), PgWireError> {
        if describe.target_type == TARGET_TYPE_BYTE_STATEMENT {
            let prepared = self.use_statement(&mut describe.name, known)?;
            self.steps.push(Step::DescribeStatement(prepared));
        } else {
            self.steps.push(Step::DescribePortal(self.bound.clone()));
        }
        describe.encode(&mut self.messages)
    }

    /// Adds an `Execute`; a portal bound in an earlier batch is classed as a write.
    ///
    /// # Errors
    ///
    /// Fails if the message cannot be encoded.
    pub fn execute(&mut self, execute: &Execute) -> Result<(), PgWireError> {
        if self.bound.is_none() && self.classes.is_empty() {
            self.add_classes(&[StatementClass::Write]);
        }
        self.steps.push(Step::Execute(self.bound.clone()));
        execute.encode(&mut self.messages)
    }

    /// Adds a `Close`; a named statement is closed locally, and as the unnamed one upstream.
    ///
    /// # Errors
    ///
    /// Fails if the message cannot be encoded.
    pub fn close(&mut self, mut close: Close) -> Result<(), PgWireError> {
        if close.target_type == TARGET_TYPE_BYTE_STATEMENT {
            let name = close.name.take().unwrap_or_default();
            self.new_bytes += size_of::<String>() + name.len();
            self.closed.push(name);
            self.unnamed = None;
            self.steps.push(Step::CloseStatement);
        } else {
            self.steps.push(Step::ClosePortal);
        }
        close.encode(&mut self.messages)
    }

    /// Ends the batch with a `Sync`.
    ///
    /// # Errors
    ///
    /// Fails if the message cannot be encoded.
    pub fn sync(&mut self) -> Result<(), PgWireError> {
        Sync::new().encode(&mut self.messages)
    }

    /// Takes the encoded messages out of the batch.
    pub fn take_messages(&mut self) -> Bytes {
        std::mem::take(&mut self.messages).freeze()
    }

    /// Returns the size of the encoded messages, in bytes.
    pub fn bytes(&self) -> usize {
        self.messages.len()
    }

    /// Returns the memory of the batch, in bytes.
    pub fn footprint(&self) -> usize {
        self.messages.capacity()
            + self.new_bytes
            + self.steps.capacity() * size_of::<Step>()
            + self.classes.capacity() * size_of::<StatementClass>()
    }

    /// Returns the indexes of the `ParseComplete` replies to hide from the client.
    pub fn hidden_parses(&self) -> &[u32] {
        &self.hidden_parses
    }

    /// Returns the access that the batch needs.
    pub fn access(&self) -> Access {
        self.access
    }

    /// Returns the classes of the statements that the batch runs.
    pub fn classes(&self) -> &[StatementClass] {
        &self.classes
    }

    /// Returns the steps, for an answer by the entry.
    pub fn steps(&self) -> &[Step] {
        &self.steps
    }

    /// Reports whether the batch is one simple query.
    pub fn is_query(&self) -> bool {
        self.is_query
    }

    /// Reports whether no message has been added.
    pub fn is_empty(&self) -> bool {
        self.steps.is_empty() && !self.is_query
    }

    /// Reports whether the batch only prepares, describes or closes, and runs no statement.
    pub fn only_prepares(&self) -> bool {
        let runs = |step: &Step| {
            matches!(
                step,
                Step::Bind | Step::DescribePortal(_) | Step::Execute(_)
            )
        };
        !self.is_query && !self.steps.iter().any(runs)
    }

    /// Returns the request id of the batch, if it has one.
    pub fn request_id(&self) -> Option<&str> {
        self.request_id.as_deref()
    }

    /// Sets the request id, taken from the session parameter.
    pub fn set_request_id(&mut self, id: Option<String>) {
        self.request_id = id;
    }

    /// Returns the statements that the batch prepares or describes.
    pub fn prepared(&self) -> impl Iterator<Item = &Arc<PreparedStatement>> {
        let described = self.steps.iter().filter_map(|step| match step {
            Step::DescribeStatement(prepared) => prepared.as_ref(),
            _ => None,
        });
        self.new_statements.iter().map(|(_, p)| p).chain(described)
    }

    /// Updates the session's statements; the first `parsed` new ones were accepted.
    pub fn apply_statements(&mut self, parsed: usize, statements: &mut Statements) {
        for name in self.closed.drain(..) {
            statements.remove(&name);
        }
        for (name, prepared) in self.new_statements.drain(..).take(parsed) {
            statements.insert(name, prepared);
        }
    }

    /// Returns the number of statements that the batch prepares.
    pub fn new_statement_count(&self) -> usize {
        self.new_statements.len()
    }

    fn add_classes(&mut self, classes: &[StatementClass]) {
        for class in classes {
            self.access = self.access.with(class);
            self.classes.push(class.clone());
        }
    }

    /// Makes the named statement the unnamed one upstream and clears the name.
    fn use_statement(
        &mut self,
        name: &mut Option<String>,
        known: &Statements,
    ) -> Result<Option<Arc<PreparedStatement>>, PgWireError> {
        let key = name.as_deref().unwrap_or_default();
        let Some(prepared) = self.lookup(key, known) else {
            *name = Some(name.take().unwrap_or_else(|| UNKNOWN_STATEMENT.to_owned()));
            return Ok(None);
        };
        let current = self.unnamed.as_ref();
        if current.is_none_or(|unnamed| !Arc::ptr_eq(unnamed, &prepared)) {
            prepared.unnamed_parse().encode(&mut self.messages)?;
            self.hidden_parses.push(self.parses);
            self.parses += 1;
            self.unnamed = Some(Arc::clone(&prepared));
        }
        *name = None;
        Ok(Some(prepared))
    }

    fn lookup(&self, name: &str, known: &Statements) -> Option<Arc<PreparedStatement>> {
        let new = self.new_statements.iter().rev().find(|(n, _)| n == name);
        match new {
            Some((_, prepared)) => Some(Arc::clone(prepared)),
            None if self.closed.iter().any(|n| n == name) => None,
            None => known.get(name).map(Arc::clone),
        }
    }
}
