//! Protocol of one client connection: simple and extended queries.

use std::collections::HashMap;
use std::sync::Arc;

use futures::SinkExt;
use futures::StreamExt;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::data::NoData;
use pgwire::messages::data::ParameterDescription;
use pgwire::messages::extendedquery::Bind;
use pgwire::messages::extendedquery::BindComplete;
use pgwire::messages::extendedquery::Close;
use pgwire::messages::extendedquery::CloseComplete;
use pgwire::messages::extendedquery::Describe;
use pgwire::messages::extendedquery::Execute;
use pgwire::messages::extendedquery::Parse;
use pgwire::messages::extendedquery::ParseComplete;
use pgwire::messages::extendedquery::PortalSuspended;
use pgwire::messages::response::EmptyQueryResponse;
use pgwire::messages::startup::ParameterStatus;

use super::database::Column;
use super::database::QueryResult;
use super::dialect;
use super::dialect::StatementKind;
use super::messages;
use super::session::Session;
use super::shared::Shared;
use super::sql_error::SqlError;
use super::startup::ClientStream;
use super::state::Role;
use super::value;
use super::value::SqlType;
use super::value::Value;

/// Target type of a prepared statement in Describe and Close messages.
const TARGET_STATEMENT: u8 = b'S';

/// Prepared statement of the extended protocol.
#[derive(Debug, Clone)]
struct Prepared {
    sql: String,
    /// Type OIDs of the parameters.
    params: Vec<u32>,
    columns: Vec<Column>,
}

/// Portal: a prepared statement with its parameter values.
#[derive(Debug)]
struct Portal {
    prepared: Prepared,
    params: Vec<Value>,
    /// Format codes of the result columns.
    formats: Vec<i16>,
    /// Rows that are not yet fetched and the command tag; `None` before the statement has run.
    remaining: Option<(std::vec::IntoIter<Vec<Value>>, String)>,
}

/// Client connection after a successful startup.
#[derive(Debug)]
pub struct ClientConnection {
    shared: Arc<Shared>,
    client: ClientStream,
    session: Session,
    statements: HashMap<String, Prepared>,
    portals: HashMap<String, Portal>,
    /// Position that the client was last sent.
    sent_position: String,
    /// Age of the data in milliseconds that the client was last sent.
    sent_age: String,
    /// Whether messages are ignored until Sync, after an error in an extended query.
    skipping: bool,
}

impl ClientConnection {
    /// Creates the connection of a client whose startup has been accepted.
    #[must_use]
    pub fn new(shared: Arc<Shared>, client: ClientStream, session: Session) -> Self {
        Self {
            shared,
            client,
            session,
            statements: HashMap::new(),
            portals: HashMap::new(),
            sent_position: String::new(),
            sent_age: String::new(),
            skipping: false,
        }
    }

    /// Serves the client until it disconnects.
    ///
    /// # Errors
    ///
    /// Fails if the connection is lost.
    pub async fn run(mut self) -> std::io::Result<()> {
        self.send_ready().await?;
        loop {
            let message = tokio::select! {
                message = self.client.next() => message.transpose()?,
                () = self.session.write_fenced() => {
                    self.session.roll_back().await;
                    continue;
                }
            };
            self.shared.gate.pass().await;
            match message {
                None | Some(PgWireFrontendMessage::Terminate(_)) => return Ok(()),
                Some(message) => self.handle(message).await?,
            }
        }
    }

    async fn handle(&mut self, message: PgWireFrontendMessage) -> std::io::Result<()> {
        match message {
            PgWireFrontendMessage::Query(query) => {
                self.simple_query(&query.query).await?;
                self.send_ready().await
            }
            PgWireFrontendMessage::Sync(_) => {
                self.skipping = false;
                self.send_ready().await
            }
            PgWireFrontendMessage::Flush(_) => self.flush().await,
            _ if self.skipping => Ok(()),
            message => {
                let Err(error) = self.handle_extended(message).await? else {
                    return Ok(());
                };
                self.skipping = true;
                self.client.feed(messages::error(&error)).await
            }
        }
    }

    async fn handle_extended(
        &mut self,
        message: PgWireFrontendMessage,
    ) -> std::io::Result<Result<(), SqlError>> {
        let result = match message {
            PgWireFrontendMessage::Parse(parse) => self.parse(parse).await,
            PgWireFrontendMessage::Bind(bind) => self.bind(bind),
            PgWireFrontendMessage::Describe(describe) => self.describe(&describe),
            PgWireFrontendMessage::Execute(execute) => self.execute(execute).await,
            PgWireFrontendMessage::Close(close) => Ok(self.close(close)),
            _ => Err(SqlError::new("0A000", "message is not supported")),
        };
        match result {
            Ok(replies) => {
                for reply in replies {
                    self.client.feed(reply).await?;
                }
                Ok(Ok(()))
            }
            Err(error) => Ok(Err(error)),
        }
    }

    async fn simple_query(&mut self, text: &str) -> std::io::Result<()> {
        let parts = dialect::split_statements(text);
        if parts.is_empty() {
            let empty = PgWireBackendMessage::EmptyQueryResponse(EmptyQueryResponse::new());
            return self.client.feed(empty).await;
        }
        for sql in parts {
            let result = self.session.execute(&sql, Vec::new()).await;
            let replies = result.and_then(|(result, tag)| result_messages(&result, tag));
            match replies {
                Ok(replies) => {
                    for reply in replies {
                        self.client.feed(reply).await?;
                    }
                }
                Err(error) => return self.client.feed(messages::error(&error)).await,
            }
        }
        Ok(())
    }

    async fn parse(&mut self, parse: Parse) -> Result<Vec<PgWireBackendMessage>, SqlError> {
        let (sql_types, columns) = self.session.describe(&parse.query).await?;
        let given = |at: usize| parse.type_oids.get(at).copied().filter(|oid| *oid != 0);
        let params = sql_types
            .iter()
            .map(|sql_type: &SqlType| sql_type.oid())
            .enumerate();
        let params = params.map(|(at, oid)| given(at).unwrap_or(oid)).collect();
        let prepared = Prepared {
            sql: parse.query.clone(),
            params,
            columns,
        };
        let name = parse.name.unwrap_or_default();
        self.statements.insert(name, prepared);
        let done = PgWireBackendMessage::ParseComplete(ParseComplete::new());
        Ok(vec![done])
    }

    fn bind(&mut self, bind: Bind) -> Result<Vec<PgWireBackendMessage>, SqlError> {
        let prepared = self.prepared(bind.statement_name.as_deref())?.clone();
        let formats = &bind.parameter_format_codes;
        let format = |at: usize| match formats.as_slice() {
            [] => 0,
            [all] => *all,
            each => each.get(at).copied().unwrap_or(0),
        };
        let mut params = Vec::with_capacity(bind.parameters.len());
        for (at, bytes) in bind.parameters.iter().enumerate() {
            let oid = prepared.params.get(at).copied().unwrap_or(0);
            params.push(value::decode(bytes.as_ref(), oid, format(at))?);
        }
        let portal = Portal {
            prepared,
            params,
            formats: bind.result_column_format_codes,
            remaining: None,
        };
        let name = bind.portal_name.unwrap_or_default();
        self.portals.insert(name, portal);
        let done = PgWireBackendMessage::BindComplete(BindComplete::new());
        Ok(vec![done])
    }

    fn describe(&self, describe: &Describe) -> Result<Vec<PgWireBackendMessage>, SqlError> {
        let mut replies = Vec::new();
        let (columns, formats) = if describe.target_type == TARGET_STATEMENT {
            let prepared = self.prepared(describe.name.as_deref())?;
            let types = ParameterDescription::new(prepared.params.clone());
            replies.push(PgWireBackendMessage::ParameterDescription(types));
            (&prepared.columns, [].as_slice())
        } else {
            let name = describe.name.as_deref().unwrap_or_default();
            let portal = self.portals.get(name).ok_or_else(|| no_portal(name))?;
            (&portal.prepared.columns, portal.formats.as_slice())
        };
        replies.push(if columns.is_empty() {
            PgWireBackendMessage::NoData(NoData::new())
        } else {
            messages::row_description(columns, formats)
        });
        Ok(replies)
    }

    async fn execute(&mut self, execute: Execute) -> Result<Vec<PgWireBackendMessage>, SqlError> {
        let name = execute.name.unwrap_or_default();
        let portal = self.portals.get_mut(&name);
        let portal = portal.ok_or_else(|| no_portal(&name))?;
        if portal.remaining.is_none() {
            let params = std::mem::take(&mut portal.params);
            let sql = &portal.prepared.sql;
            if dialect::classify(sql) == StatementKind::Empty {
                let empty = PgWireBackendMessage::EmptyQueryResponse(EmptyQueryResponse::new());
                return Ok(vec![empty]);
            }
            let (result, tag) = self.session.execute(sql, params).await?;
            portal.remaining = Some((result.rows.into_iter(), tag));
        }
        let limit = usize::try_from(execute.max_rows).unwrap_or(0);
        portal.fetch(limit)
    }

    fn close(&mut self, close: Close) -> Vec<PgWireBackendMessage> {
        let name = close.name.unwrap_or_default();
        if close.target_type == TARGET_STATEMENT {
            self.statements.remove(&name);
        } else {
            self.portals.remove(&name);
        }
        let done = PgWireBackendMessage::CloseComplete(CloseComplete::new());
        vec![done]
    }

    fn prepared(&self, name: Option<&str>) -> Result<&Prepared, SqlError> {
        let name = name.unwrap_or_default();
        let missing = || {
            SqlError::new(
                "26000",
                format!("prepared statement {name:?} does not exist"),
            )
        };
        self.statements.get(name).ok_or_else(missing)
    }

    /// Sends the changed position and age, then the message that asks for the next query.
    async fn send_ready(&mut self) -> std::io::Result<()> {
        self.portals.clear();
        let (position, age) = {
            let state = self.shared.state();
            let age = (state.role == Role::Replica).then(|| state.age_ms().to_string());
            (state.applied().to_string(), age)
        };
        if position != self.sent_position {
            self.send_parameter("mustardbay.position", position.clone())
                .await?;
            self.sent_position = position;
        }
        if let Some(age) = age
            && age != self.sent_age
        {
            self.send_parameter("mustardbay.age_ms", age.clone())
                .await?;
            self.sent_age = age;
        }
        let ready = messages::ready_for_query(self.session.status());
        self.client.feed(ready).await?;
        self.flush().await
    }

    async fn send_parameter(&mut self, name: &str, value: String) -> std::io::Result<()> {
        let status = ParameterStatus::new(name.to_owned(), value);
        let status = PgWireBackendMessage::ParameterStatus(status);
        self.client.feed(status).await
    }

    /// Flushes the sent messages, once the upstream is not frozen.
    async fn flush(&mut self) -> std::io::Result<()> {
        self.shared.gate.pass().await;
        self.client.flush().await
    }
}

impl Portal {
    /// Encodes the next rows, at most `limit` of them, or all if `limit` is 0.
    fn fetch(&mut self, limit: usize) -> Result<Vec<PgWireBackendMessage>, SqlError> {
        let Some((rows, tag)) = &mut self.remaining else {
            return Ok(Vec::new());
        };
        let mut replies = Vec::new();
        while let Some(row) = rows.next() {
            let columns = &self.prepared.columns;
            replies.push(messages::data_row(columns, &row, &self.formats)?);
            if limit > 0 && replies.len() == limit && rows.len() > 0 {
                let more = PgWireBackendMessage::PortalSuspended(PortalSuspended::new());
                replies.push(more);
                return Ok(replies);
            }
        }
        replies.push(messages::command_complete(tag.clone()));
        Ok(replies)
    }
}

/// Encodes a result as the reply to a simple query.
fn result_messages(
    result: &QueryResult,
    tag: String,
) -> Result<Vec<PgWireBackendMessage>, SqlError> {
    let mut replies = Vec::with_capacity(result.rows.len() + 2);
    if !result.columns.is_empty() {
        replies.push(messages::row_description(&result.columns, &[]));
    }
    for row in &result.rows {
        replies.push(messages::data_row(&result.columns, row, &[])?);
    }
    replies.push(messages::command_complete(tag));
    Ok(replies)
}

fn no_portal(name: &str) -> SqlError {
    SqlError::new("34000", format!("portal {name:?} does not exist"))
}
