//! Messages of a caller up to one `Sync` or in one `Query`, rewritten for a shared connection.

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

use crate::classes::Classes;
use crate::session::prepared::Prepared;
use crate::session::prepared::Statements;

/// Statement name that no connection to an upstream ever has.
const NO_STATEMENT: &str = "mustardbay_unknown";

/// One message of a batch, as far as an answer made here needs it.
#[derive(Debug)]
pub(crate) enum Step {
    /// Prepares a statement.
    Parse,
    /// Binds a statement to a portal.
    Bind,
    /// Describes a statement.
    DescribeStatement(Option<Arc<Prepared>>),
    /// Describes the portal bound last.
    DescribePortal(Option<Arc<Prepared>>),
    /// Runs the portal bound last.
    Execute(Option<Arc<Prepared>>),
    /// Closes a statement.
    CloseStatement,
    /// Closes a portal.
    ClosePortal,
}

/// Batch of messages that is sent to an upstream as a whole.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    messages: BytesMut,
    parses: u32,
    hidden: Vec<u32>,
    unnamed: Option<Arc<Prepared>>,
    bound: Option<Arc<Prepared>>,
    learned: Vec<(String, Arc<Prepared>)>,
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
    pub fn query(query: &Query, classes: &Classes) -> Result<Self, PgWireError> {
        let mut batch = Self {
            is_query: true,
            request_id: request_id(&query.query).map(str::to_owned),
            ..Self::default()
        };
        batch.run(&classes.of(&query.query));
        query.encode(&mut batch.messages)?;
        Ok(batch)
    }

    /// Adds a `Parse`; the statement is sent without its name.
    ///
    /// # Errors
    ///
    /// Fails if the message cannot be encoded.
    pub fn parse(&mut self, mut parse: Parse, classes: &Classes) -> Result<(), PgWireError> {
        let name = parse.name.take().unwrap_or_default();
        let prepared = Prepared::new(parse, classes);
        prepared.unnamed_parse().encode(&mut self.messages)?;
        self.parses += 1;
        self.unnamed = Some(Arc::clone(&prepared));
        self.learned.push((name, prepared));
        self.steps.push(Step::Parse);
        Ok(())
    }

    /// Adds a `Bind`, preceded by the statement that it names.
    ///
    /// # Errors
    ///
    /// Fails if a message cannot be encoded.
    pub fn bind(&mut self, mut bind: Bind, known: &Statements) -> Result<(), PgWireError> {
        let prepared = self.use_statement(&mut bind.statement_name, known)?;
        match &prepared {
            Some(prepared) => {
                self.run(&prepared.classes);
                if self.request_id.is_none() {
                    self.request_id = request_id(&prepared.text).map(str::to_owned);
                }
            }
            None => self.run(&[StatementClass::Read]),
        }
        self.bound = prepared;
        self.steps.push(Step::Bind);
        bind.encode(&mut self.messages)
    }

    /// Adds a `Describe`, preceded by the statement that it names.
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

    /// Adds an `Execute`; a portal of an earlier batch counts as a write.
    ///
    /// # Errors
    ///
    /// Fails if the message cannot be encoded.
    pub fn execute(&mut self, execute: &Execute) -> Result<(), PgWireError> {
        if self.bound.is_none() && self.classes.is_empty() {
            self.run(&[StatementClass::Write]);
        }
        self.steps.push(Step::Execute(self.bound.clone()));
        execute.encode(&mut self.messages)
    }

    /// Adds a `Close`; a statement is closed here and, without its name, at the upstream.
    ///
    /// # Errors
    ///
    /// Fails if the message cannot be encoded.
    pub fn close(&mut self, mut close: Close) -> Result<(), PgWireError> {
        if close.target_type == TARGET_TYPE_BYTE_STATEMENT {
            self.closed.push(close.name.take().unwrap_or_default());
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

    /// Returns the encoded messages, leaving the batch without them.
    pub fn take_messages(&mut self) -> Bytes {
        std::mem::take(&mut self.messages).freeze()
    }

    /// Returns the size of the encoded messages, in bytes.
    pub fn bytes(&self) -> usize {
        self.messages.len()
    }

    /// Returns the indexes of the `ParseComplete` answers that the caller must not see.
    pub fn hidden_parses(&self) -> &[u32] {
        &self.hidden
    }

    /// Returns what the batch needs from its upstream.
    pub fn access(&self) -> Access {
        self.access
    }

    /// Returns the classes of the statements that run.
    pub fn classes(&self) -> &[StatementClass] {
        &self.classes
    }

    /// Returns the messages, as far as an answer made here needs them.
    pub fn steps(&self) -> &[Step] {
        &self.steps
    }

    /// Tells whether the batch is one simple query.
    pub fn is_query(&self) -> bool {
        self.is_query
    }

    /// Tells whether no message has been added.
    pub fn is_empty(&self) -> bool {
        self.steps.is_empty() && !self.is_query
    }

    /// Tells whether the batch only prepares, describes and closes, so that nothing runs.
    pub fn only_prepares(&self) -> bool {
        let runs = |step: &Step| {
            matches!(
                step,
                Step::Bind | Step::DescribePortal(_) | Step::Execute(_)
            )
        };
        !self.is_query && !self.steps.iter().any(runs)
    }

    /// Returns the request id that came with a statement of the batch.
    pub fn request_id(&self) -> Option<&str> {
        self.request_id.as_deref()
    }

    /// Sets the request id that the session was given for this batch.
    pub fn set_request_id(&mut self, id: Option<String>) {
        self.request_id = id;
    }

    /// Returns the statements that the batch prepares or describes, whether they run or not.
    pub fn prepared(&self) -> impl Iterator<Item = &Arc<Prepared>> {
        let described = self.steps.iter().filter_map(|step| match step {
            Step::DescribeStatement(prepared) => prepared.as_ref(),
            _ => None,
        });
        self.learned.iter().map(|(_, p)| p).chain(described)
    }

    /// Enters the changes of a batch of which `parsed` statements were accepted.
    pub fn settle(&mut self, parsed: usize, statements: &mut Statements) {
        for name in self.closed.drain(..) {
            statements.remove(&name);
        }
        for (name, prepared) in self.learned.drain(..).take(parsed) {
            statements.insert(name, prepared);
        }
    }

    /// Returns the number of statements that the caller prepares.
    pub fn learned(&self) -> usize {
        self.learned.len()
    }

    fn run(&mut self, classes: &[StatementClass]) {
        for class in classes {
            self.access = self.access.with(class);
            self.classes.push(class.clone());
        }
    }

    /// Makes the named statement the connection's unnamed one and drops the name.
    fn use_statement(
        &mut self,
        name: &mut Option<String>,
        known: &Statements,
    ) -> Result<Option<Arc<Prepared>>, PgWireError> {
        let key = name.as_deref().unwrap_or_default();
        let Some(prepared) = self.lookup(key, known) else {
            *name = Some(name.take().unwrap_or_else(|| NO_STATEMENT.to_owned()));
            return Ok(None);
        };
        let current = self.unnamed.as_ref();
        if current.is_none_or(|unnamed| !Arc::ptr_eq(unnamed, &prepared)) {
            prepared.unnamed_parse().encode(&mut self.messages)?;
            self.hidden.push(self.parses);
            self.parses += 1;
            self.unnamed = Some(Arc::clone(&prepared));
        }
        *name = None;
        Ok(Some(prepared))
    }

    fn lookup(&self, name: &str, known: &Statements) -> Option<Arc<Prepared>> {
        let learned = self.learned.iter().rev().find(|(n, _)| n == name);
        match learned {
            Some((_, prepared)) => Some(Arc::clone(prepared)),
            None if self.closed.iter().any(|n| n == name) => None,
            None => known.get(name).map(Arc::clone),
        }
    }
}
