//! Startup of a client connection: encryption request, parameters, password and limits.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use futures::SinkExt;
use futures::StreamExt;
use mustardbay_policy::position::Term;
use pgwire::api::ClientInfo;
use pgwire::api::DefaultClient;
use pgwire::api::PgWireConnectionState;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::SslNegotiationMetaMessage;
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::response::GssEncResponse;
use pgwire::messages::response::SslResponse;
use pgwire::messages::startup::Authentication;
use pgwire::messages::startup::ParameterStatus;
use pgwire::tokio::server::PgWireMessageServerCodec;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

use super::messages;
use super::shared::Shared;
use super::sql_error::SqlError;

/// Client connection, split into PostgreSQL messages.
pub type ClientStream = Framed<TcpStream, PgWireMessageServerCodec<()>>;

/// Startup parameter that carries the term.
const TERM_PARAMETER: &str = "mustardbay.term";

/// Outcome of the startup of a connection.
#[derive(Debug)]
pub enum Handshake {
    /// The client is accepted for a session in a term, or without one for control functions only.
    Session(Option<Term>),
    /// The client asks to cancel the statement of another connection.
    Cancel(CancelRequest),
    /// The client has disconnected or was refused.
    Closed,
}

/// Wraps a new connection in the PostgreSQL codec.
#[must_use]
pub fn frame(stream: TcpStream, peer: SocketAddr) -> ClientStream {
    let codec = PgWireMessageServerCodec::new(DefaultClient::new(peer, false));
    Framed::new(stream, codec)
}

/// Runs the startup of a client up to the server parameters.
///
/// The caller sends the key data and the first `ReadyForQuery`.
///
/// # Errors
///
/// Fails if the connection is lost or a message cannot be decoded.
pub async fn handshake(
    shared: &Arc<Shared>,
    client: &mut ClientStream,
) -> std::io::Result<Handshake> {
    while let Some(message) = client.next().await {
        shared.gate.pass().await;
        match message? {
            PgWireFrontendMessage::SslNegotiation(request) => {
                refuse_encryption(client, &request).await?;
            }
            PgWireFrontendMessage::CancelRequest(request) => return Ok(Handshake::Cancel(request)),
            PgWireFrontendMessage::Startup(startup) => {
                return accept(shared, client, &startup.parameters).await;
            }
            _ => return Ok(Handshake::Closed),
        }
    }
    Ok(Handshake::Closed)
}

/// Answers a request for encryption, which the stand-in does not offer.
async fn refuse_encryption(
    client: &mut ClientStream,
    request: &SslNegotiationMetaMessage,
) -> std::io::Result<()> {
    match request {
        SslNegotiationMetaMessage::PostgresSsl(_) => {
            let refuse = PgWireBackendMessage::SslResponse(SslResponse::Refuse);
            client.send(refuse).await?;
        }
        SslNegotiationMetaMessage::PostgresGss(_) => {
            let refuse = PgWireBackendMessage::GssEncResponse(GssEncResponse::Refuse);
            client.send(refuse).await?;
        }
        SslNegotiationMetaMessage::None => client.set_state(PgWireConnectionState::AwaitingStartup),
    }
    Ok(())
}

/// Accepts a client and sends the server parameters, unless it is refused.
async fn accept(
    shared: &Arc<Shared>,
    client: &mut ClientStream,
    parameters: &BTreeMap<String, String>,
) -> std::io::Result<Handshake> {
    client.set_state(PgWireConnectionState::ReadyForQuery);
    let term = requested_term(parameters);
    let refusal = refusal(shared, client, term).await?;
    if let Some(error) = refusal {
        client.send(messages::fatal(&error)).await?;
        return Ok(Handshake::Closed);
    }
    tokio::time::sleep(shared.config.connect_cost).await;
    shared.gate.pass().await;
    let ok = PgWireBackendMessage::Authentication(Authentication::Ok);
    client.feed(ok).await?;
    for (name, value) in [
        ("server_version", "16.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ] {
        let status = ParameterStatus::new(name.to_owned(), value.to_owned());
        client
            .feed(PgWireBackendMessage::ParameterStatus(status))
            .await?;
    }
    Ok(Handshake::Session(term))
}

/// Checks the limit, the password and the term; returns the error that refuses the client.
async fn refusal(
    shared: &Arc<Shared>,
    client: &mut ClientStream,
    term: Option<Term>,
) -> std::io::Result<Option<SqlError>> {
    if shared.connections.load(Ordering::SeqCst) > shared.config.connections {
        return Ok(Some(SqlError::new("53300", "too many connections")));
    }
    if let Some(password) = &shared.config.password {
        let request = PgWireBackendMessage::Authentication(Authentication::CleartextPassword);
        client.send(request).await?;
        if !check_password(client, password).await? {
            return Ok(Some(SqlError::new(
                "28P01",
                "password authentication failed",
            )));
        }
    }
    if term.is_some() {
        return Ok(shared.state().check_term(term).err());
    }
    Ok(None)
}

/// Reads the password message of the client and compares it with `password`.
async fn check_password(client: &mut ClientStream, password: &str) -> std::io::Result<bool> {
    match client.next().await.transpose()? {
        Some(PgWireFrontendMessage::PasswordMessageFamily(message)) => {
            let given = message.into_password()?;
            Ok(given.password == password)
        }
        _ => Ok(false),
    }
}

/// Returns the term of the startup parameter `mustardbay.term`, given directly or in `options`.
fn requested_term(parameters: &BTreeMap<String, String>) -> Option<Term> {
    if let Some(text) = parameters.get(TERM_PARAMETER) {
        return text.parse().ok().map(Term);
    }
    let options = parameters.get("options")?;
    let mut pairs = options
        .split_whitespace()
        .filter_map(|word| word.split_once('='));
    let (_, text) = pairs.find(|(name, _)| name.trim_start_matches("-c") == TERM_PARAMETER)?;
    text.parse().ok().map(Term)
}
