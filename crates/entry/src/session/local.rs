//! Session commands that the entry answers itself.
//!
//! These are `SET`, `SHOW`, `RESET`, `DISCARD ALL` and `DEALLOCATE`.

use bytes::BufMut;
use bytes::BytesMut;
use futures::SinkExt;
use mustardbay_policy::statement::SessionCommand;
use mustardbay_policy::statement::StatementClass;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::data::DataRow;
use pgwire::messages::data::FieldDescription;
use pgwire::messages::data::NoData;
use pgwire::messages::data::ParameterDescription;
use pgwire::messages::data::RowDescription;
use pgwire::messages::extendedquery::BindComplete;
use pgwire::messages::extendedquery::CloseComplete;
use pgwire::messages::extendedquery::ParseComplete;
use pgwire::messages::response::CommandComplete;

use crate::client::Severity;
use crate::client::error;
use crate::client::parameter;
use crate::session::Session;
use crate::session::SessionEnd;
use crate::session::Transport;
use crate::session::batch::Batch;
use crate::session::batch::Step;
use crate::session::parameters::Parameters;
use crate::session::parameters::SESSION;
use crate::session::prepared_statement::PreparedStatement;

/// OID of PostgreSQL's type `text`.
const TEXT_OID: u32 = 25;

/// Where a batch is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Destination {
    /// By the entry.
    Local,
    /// By an upstream.
    Upstream,
    /// Nowhere: the batch mixes session commands with statements for an upstream.
    Mixed,
}

/// Result of one step, which determines whether the batch continues.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StepOutcome {
    Continue,
    Failed,
}

impl<S: Transport> Session<S> {
    /// Determines where a batch is answered.
    pub(super) fn destination(&self, batch: &Batch) -> Destination {
        let mut local = 0;
        let mut upstream = 0;
        let prepared = batch.prepared().flat_map(|p| p.classes.iter());
        for class in batch.classes().iter().chain(prepared) {
            if self.is_local(class) {
                local += 1;
            } else {
                upstream += 1;
            }
        }
        match (local, upstream) {
            (0, 0) if only_closes(batch) => Destination::Local,
            (0, _) => Destination::Upstream,
            (_, 0) => Destination::Local,
            _ => Destination::Mixed,
        }
    }

    /// Answers a batch that needs no upstream.
    pub(super) async fn answer_locally(&mut self, mut batch: Batch) -> Result<(), SessionEnd> {
        let mut parsed = 0;
        if batch.is_query() {
            for class in batch.classes() {
                if self.run_local(class).await? == StepOutcome::Failed {
                    break;
                }
            }
        } else {
            for step in batch.steps() {
                parsed += usize::from(matches!(step, Step::Parse));
                if self.answer_step(step).await? == StepOutcome::Failed {
                    break;
                }
            }
        }
        batch.apply_statements(parsed, &mut self.statements);
        self.finish_answer().await
    }

    fn is_local(&self, class: &StatementClass) -> bool {
        match class {
            StatementClass::Session(SessionCommand::Show { name }) => {
                name == SESSION || self.parameters.get(name).is_some()
            }
            StatementClass::Session(_) => true,
            _ => false,
        }
    }

    async fn answer_step(&mut self, step: &Step) -> Result<StepOutcome, SessionEnd> {
        let reply = match step {
            Step::Parse => PgWireBackendMessage::ParseComplete(ParseComplete::new()),
            Step::Bind => PgWireBackendMessage::BindComplete(BindComplete::new()),
            Step::CloseStatement | Step::ClosePortal => {
                PgWireBackendMessage::CloseComplete(CloseComplete::new())
            }
            Step::DescribeStatement(prepared) => {
                let none = ParameterDescription::new(Vec::new());
                self.client
                    .feed(PgWireBackendMessage::ParameterDescription(none).into())
                    .await?;
                describe(prepared.as_deref())
            }
            Step::DescribePortal(prepared) => describe(prepared.as_deref()),
            Step::Execute(prepared) => {
                return match prepared.as_ref().and_then(|p| p.classes.first()) {
                    Some(class) => self.execute_local(class).await,
                    None => Ok(StepOutcome::Continue),
                };
            }
        };
        self.client.feed(reply.into()).await?;
        Ok(StepOutcome::Continue)
    }

    /// Runs a command of a simple query, which includes the row description.
    async fn run_local(&mut self, class: &StatementClass) -> Result<StepOutcome, SessionEnd> {
        if let StatementClass::Session(SessionCommand::Show { name }) = class {
            self.client.feed(row_description(name).into()).await?;
        }
        self.execute_local(class).await
    }

    async fn execute_local(&mut self, class: &StatementClass) -> Result<StepOutcome, SessionEnd> {
        let StatementClass::Session(command) = class else {
            return Ok(StepOutcome::Continue);
        };
        let tag = match command {
            SessionCommand::Set { name, value } => {
                if self.set(name, value).await? == StepOutcome::Failed {
                    return Ok(StepOutcome::Failed);
                }
                "SET"
            }
            SessionCommand::Reset { name } => {
                self.parameters.reset(name.as_deref());
                "RESET"
            }
            SessionCommand::Show { name } => {
                let value = self.show(name);
                self.client.feed(row(&value).into()).await?;
                "SHOW"
            }
            SessionCommand::DiscardAll => {
                if self.transaction.is_open() {
                    let refused = error(
                        Severity::Error,
                        "25001",
                        "DISCARD ALL cannot run inside a transaction block",
                    );
                    self.client.feed(refused).await?;
                    return Ok(StepOutcome::Failed);
                }
                self.parameters.reset(None);
                self.statements.clear();
                "DISCARD ALL"
            }
            SessionCommand::Deallocate { name: None } => {
                self.statements.clear();
                "DEALLOCATE ALL"
            }
            SessionCommand::Deallocate { name: Some(name) } => {
                self.statements.remove(name);
                "DEALLOCATE"
            }
        };
        let done = CommandComplete::new(tag.to_owned());
        self.client
            .feed(PgWireBackendMessage::CommandComplete(done).into())
            .await?;
        Ok(StepOutcome::Continue)
    }

    async fn set(&mut self, name: &str, value: &str) -> Result<StepOutcome, SessionEnd> {
        if name == SESSION {
            if let Ok(token) = value.parse() {
                self.floor.raise_to_token(&token);
            }
            return Ok(StepOutcome::Continue);
        }
        match self.parameters.set(name, value) {
            Ok(reported) => {
                if Parameters::is_reported(name) {
                    let value = self.parameters.get(name).unwrap_or_default().to_owned();
                    self.client.feed(parameter(reported, value)).await?;
                }
                Ok(StepOutcome::Continue)
            }
            Err(e) => {
                let refused = error(Severity::Error, e.code(), e.message());
                self.client.feed(refused).await?;
                Ok(StepOutcome::Failed)
            }
        }
    }

    fn show(&self, name: &str) -> String {
        if name == SESSION {
            let token = self.floor.token();
            return token.map(|t| t.to_string()).unwrap_or_default();
        }
        self.parameters.get(name).unwrap_or_default().to_owned()
    }
}

fn only_closes(batch: &Batch) -> bool {
    batch
        .steps()
        .iter()
        .all(|step| matches!(step, Step::CloseStatement))
        && !batch.is_query()
}

fn describe(prepared: Option<&PreparedStatement>) -> PgWireBackendMessage {
    match prepared.and_then(|p| p.classes.first()) {
        Some(StatementClass::Session(SessionCommand::Show { name })) => row_description(name),
        _ => PgWireBackendMessage::NoData(NoData::new()),
    }
}

fn row_description(name: &str) -> PgWireBackendMessage {
    let field = FieldDescription::new(name.to_owned(), 0, 0, TEXT_OID, -1, -1, 0);
    PgWireBackendMessage::RowDescription(RowDescription::new(vec![field]))
}

fn row(value: &str) -> PgWireBackendMessage {
    let mut data = BytesMut::with_capacity(4 + value.len());
    data.put_u32(u32::try_from(value.len()).unwrap_or(u32::MAX));
    data.put_slice(value.as_bytes());
    PgWireBackendMessage::DataRow(DataRow::new(data, 1))
}
