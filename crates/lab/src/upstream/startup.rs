//! Start of a client connection: encryption request, parameters, password, limits.

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

use super::core::Core;
use super::fault::Fault;
use super::messages;

/// Client connection in PostgreSQL's framing.
pub type Client = Framed<TcpStream, PgWireMessageServerCodec<()>>;

/// Startup parameter that carries the term.
const TERM_PARAMETER: &str = "mustardbay.term";

/// What a client asked for.
#[derive(Debug)]
pub enum Opening {
    /// A session under a term, or for control functions only.
    Session(Option<Term>),
    /// To cancel another connection's statement.
    Cancel(CancelRequest),
    /// Nothing: it has left or was refused.
    Closed,
}

/// Frames a new connection.
#[must_use]
pub fn frame(stream: TcpStream, peer: SocketAddr) -> Client {
    let codec = PgWireMessageServerCodec::new(DefaultClient::new(peer, false));
    Framed::new(stream, codec)
}

/// Takes a client up to its password; the connection is not yet accepted.
///
/// # Errors
///
/// Fails if the connection is lost or speaks something else.
pub async fn open(core: &Arc<Core>, client: &mut Client) -> std::io::Result<Opening> {
    while let Some(message) = client.next().await {
        core.gate.pass().await;
        match message? {
            PgWireFrontendMessage::SslNegotiation(asked) => negotiate(client, &asked).await?,
            PgWireFrontendMessage::CancelRequest(request) => return Ok(Opening::Cancel(request)),
            PgWireFrontendMessage::Startup(startup) => {
                return admit(core, client, &startup.parameters).await;
            }
            _ => return Ok(Opening::Closed),
        }
    }
    Ok(Opening::Closed)
}

async fn negotiate(client: &mut Client, asked: &SslNegotiationMetaMessage) -> std::io::Result<()> {
    match asked {
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

async fn admit(
    core: &Arc<Core>,
    client: &mut Client,
    parameters: &BTreeMap<String, String>,
) -> std::io::Result<Opening> {
    client.set_state(PgWireConnectionState::ReadyForQuery);
    let term = requested_term(parameters);
    let refusal = check(core, client, term).await?;
    if let Some(fault) = refusal {
        client.send(messages::fatal(&fault)).await?;
        return Ok(Opening::Closed);
    }
    tokio::time::sleep(core.config.connect_cost).await;
    core.gate.pass().await;
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
    Ok(Opening::Session(term))
}

/// Returns why the connection is refused, if it is.
async fn check(
    core: &Arc<Core>,
    client: &mut Client,
    term: Option<Term>,
) -> std::io::Result<Option<Fault>> {
    if core.connections.load(Ordering::SeqCst) > core.config.connections {
        return Ok(Some(Fault::new("53300", "too many connections")));
    }
    if let Some(password) = &core.config.password {
        let ask = PgWireBackendMessage::Authentication(Authentication::CleartextPassword);
        client.send(ask).await?;
        if !presents(client, password).await? {
            return Ok(Some(Fault::new("28P01", "password authentication failed")));
        }
    }
    if term.is_some() {
        return Ok(core.state().admit(term).err());
    }
    Ok(None)
}

async fn presents(client: &mut Client, password: &str) -> std::io::Result<bool> {
    match client.next().await.transpose()? {
        Some(PgWireFrontendMessage::PasswordMessageFamily(message)) => {
            let given = message.into_password()?;
            Ok(given.password == password)
        }
        _ => Ok(false),
    }
}

/// Reads the term from its own parameter or from `options`.
fn requested_term(parameters: &BTreeMap<String, String>) -> Option<Term> {
    if let Some(text) = parameters.get(TERM_PARAMETER) {
        return text.parse().ok().map(Term);
    }
    let options = parameters.get("options")?;
    let mut pairs = options.split_whitespace().filter_map(|w| w.split_once('='));
    let (_, text) = pairs.find(|(name, _)| name.trim_start_matches("-c") == TERM_PARAMETER)?;
    text.parse().ok().map(Term)
}
