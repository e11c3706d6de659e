//! Start-up of a session: negotiation, authentication and parameters.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures::SinkExt;
use futures::StreamExt;
use mustardbay_policy::bundle::Account;
use mustardbay_policy::bundle::Bundle;
use mustardbay_policy::names::AccountName;
use mustardbay_policy::names::KeyId;
use mustardbay_policy::names::RouteName;
use mustardbay_policy::refusal::Reason;
use mustardbay_policy::refusal::Refusal;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::SslNegotiationMetaMessage;
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::response::GssEncResponse;
use pgwire::messages::response::SslResponse;
use pgwire::messages::startup::Authentication;
use pgwire::messages::startup::NegotiateProtocolVersion;
use pgwire::messages::startup::PasswordMessageFamily;
use pgwire::messages::startup::Startup;
use thiserror::Error;

use crate::auth;
use crate::client::Phase;
use crate::client::ProtocolError;
use crate::context::Context;
use crate::session::ClientConnection;
use crate::session::Transport;
use crate::session::login::Authorization;
use crate::session::login::Identity;
use crate::session::login::Login;
use crate::settings::KeyExchange;

/// Retry time reported to a client that connects before the first view arrives.
const NO_VIEW_RETRY: Duration = Duration::from_secs(1);
/// Prefix of protocol extensions in start-up parameters.
const EXTENSION_PREFIX: &str = "_pq_.";

/// Reason why a start-up did not lead to a session.
#[derive(Debug, Error)]
pub(crate) enum StartupError {
    /// The client closed the connection, or sent an unexpected message.
    #[error("connection closed")]
    Closed,
    /// The connection failed, or the input violates the protocol.
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    /// The client is refused.
    #[error("{}", .0.message)]
    Refused(Refusal),
}

/// Result of negotiating encryption.
#[derive(Debug)]
pub(crate) enum Negotiated {
    /// A start-up message arrived.
    Startup(Startup),
    /// TLS was accepted; the handshake follows.
    Tls,
    /// A request arrived to cancel the statement of another session.
    Cancel(CancelRequest),
}

/// Result of a start-up: the authenticated client and its parameters.
#[derive(Debug)]
pub(crate) struct CompletedStartup {
    /// Identity and route.
    pub login: Login,
    /// Authorization of the login.
    pub authorization: Authorization,
    /// Start-up parameters, including those in `options`.
    pub parameters: Vec<(String, String)>,
}

/// Performs the start-up, from the start-up message to `AuthenticationOk`.
pub(crate) async fn start_up<S: Transport>(
    client: &mut ClientConnection<S>,
    startup: &Startup,
    ctx: &Arc<Context>,
    is_secure: bool,
) -> Result<CompletedStartup, StartupError> {
    negotiate_version(client, startup).await?;
    client.codec_mut().set_phase(Phase::Authentication);
    let Some(view) = ctx.steward.view() else {
        return Err(StartupError::Refused(Refusal::not_run(
            Reason::NoUpstream,
            "no configuration has arrived yet",
            Some(NO_VIEW_RETRY),
        )));
    };
    let login = authenticate(client, startup, &view.bundle, ctx, is_secure).await?;
    let authorization = login
        .authorize(&view.bundle)
        .map_err(StartupError::Refused)?;
    client
        .feed(PgWireBackendMessage::Authentication(Authentication::Ok).into())
        .await?;
    client.codec_mut().set_phase(Phase::Serving);
    Ok(CompletedStartup {
        login,
        authorization,
        parameters: startup_parameters(startup),
    })
}

async fn next_message<S: Transport>(
    client: &mut ClientConnection<S>,
) -> Result<PgWireFrontendMessage, StartupError> {
    match client.next().await {
        Some(message) => Ok(message?),
        None => Err(StartupError::Closed),
    }
}

/// Answers encryption requests until TLS is accepted or a start-up or cancel message arrives.
///
/// TLS is accepted only if `offers_tls` is set.
pub(crate) async fn negotiate<S: Transport>(
    client: &mut ClientConnection<S>,
    offers_tls: bool,
) -> Result<Negotiated, StartupError> {
    loop {
        let reply = match next_message(client).await? {
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::PostgresSsl(_)) => {
                if offers_tls {
                    let accept = PgWireBackendMessage::SslResponse(SslResponse::Accept);
                    client.send(accept.into()).await?;
                    return Ok(Negotiated::Tls);
                }
                PgWireBackendMessage::SslResponse(SslResponse::Refuse)
            }
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::PostgresGss(_)) => {
                PgWireBackendMessage::GssEncResponse(GssEncResponse::Refuse)
            }
            PgWireFrontendMessage::Startup(startup) => return Ok(Negotiated::Startup(startup)),
            PgWireFrontendMessage::CancelRequest(cancel) => return Ok(Negotiated::Cancel(cancel)),
            _ => return Err(StartupError::Closed),
        };
        client.send(reply.into()).await?;
    }
}

/// Reports the supported version and the unsupported extensions if the client requested more.
async fn negotiate_version<S: Transport>(
    client: &mut ClientConnection<S>,
    startup: &Startup,
) -> Result<(), StartupError> {
    let extensions: Vec<String> = startup
        .parameters
        .keys()
        .filter(|name| name.starts_with(EXTENSION_PREFIX))
        .cloned()
        .collect();
    if startup.protocol_number_minor == 0 && extensions.is_empty() {
        return Ok(());
    }
    let newest = NegotiateProtocolVersion::new(Startup::PROTOCOL_VERSION_3_0, extensions);
    client
        .feed(PgWireBackendMessage::NegotiateProtocolVersion(newest).into())
        .await?;
    Ok(())
}

async fn authenticate<S: Transport>(
    client: &mut ClientConnection<S>,
    startup: &Startup,
    bundle: &Arc<Bundle>,
    ctx: &Context,
    is_secure: bool,
) -> Result<Login, StartupError> {
    let user = startup.parameters.get("user").map_or("", String::as_str);
    let database = startup
        .parameters
        .get("database")
        .map_or(user, String::as_str);
    let route = RouteName::from(database);
    let open = bundle.routes.iter().any(|r| r.name == route && r.open);
    let identity = if open {
        None
    } else {
        let account = bundle.accounts.iter().find(|a| a.name.as_str() == user);
        let key = match ctx.settings.keys {
            KeyExchange::Scram => authenticate_scram(client, account, &ctx.secret).await?,
            KeyExchange::Cleartext if is_secure || ctx.settings.clear_keys => {
                authenticate_cleartext(client, account).await?
            }
            KeyExchange::Cleartext => {
                let message = "keys are accepted only over TLS";
                return Err(StartupError::Refused(Refusal::not_run(
                    Reason::KeyRefused,
                    message,
                    None,
                )));
            }
        };
        Some(Identity {
            account: AccountName::from(user),
            key,
        })
    };
    Ok(Login { identity, route })
}

/// Authenticates the client by SCRAM-SHA-256 and returns the identifier of its key.
async fn authenticate_scram<S: Transport>(
    client: &mut ClientConnection<S>,
    account: Option<&Account>,
    secret: &[u8],
) -> Result<KeyId, StartupError> {
    let mechanisms = Authentication::SASL(vec![auth::MECHANISM.to_owned()]);
    let first = request_key(client, mechanisms).await?;
    let message = initial_response(&first).ok_or_else(invalid_key)?;
    let exchange = auth::ScramExchange::begin(message, account, secret).ok_or_else(invalid_key)?;
    let server_first = Bytes::copy_from_slice(exchange.server_first().as_bytes());
    let last = request_key(client, Authentication::SASLContinue(server_first)).await?;
    let proven = exchange.finish(&last).ok_or_else(invalid_key)?;
    let server_final = Authentication::SASLFinal(proven.server_final.into());
    client
        .feed(PgWireBackendMessage::Authentication(server_final).into())
        .await?;
    Ok(proven.key)
}

/// Sends an authentication request and returns the body of the response.
async fn request_key<S: Transport>(
    client: &mut ClientConnection<S>,
    request: Authentication,
) -> Result<BytesMut, StartupError> {
    client
        .send(PgWireBackendMessage::Authentication(request).into())
        .await?;
    match next_message(client).await? {
        PgWireFrontendMessage::PasswordMessageFamily(PasswordMessageFamily::Raw(body)) => Ok(body),
        _ => Err(invalid_key()),
    }
}

/// Returns the client-first message of a `SASLInitialResponse` for SCRAM-SHA-256.
fn initial_response(body: &[u8]) -> Option<&[u8]> {
    let rest = body.strip_prefix(auth::MECHANISM.as_bytes())?;
    let rest = rest.strip_prefix(&[0])?;
    let (length, message) = rest.split_at_checked(4)?;
    let length = u32::from_be_bytes(length.try_into().ok()?);
    (usize::try_from(length).ok()? == message.len()).then_some(message)
}

/// Authenticates the client by a key in clear text and returns the identifier of the key.
async fn authenticate_cleartext<S: Transport>(
    client: &mut ClientConnection<S>,
    account: Option<&Account>,
) -> Result<KeyId, StartupError> {
    let body = request_key(client, Authentication::CleartextPassword).await?;
    let key = body.strip_suffix(&[0]).unwrap_or(&body).to_vec();
    let (Some(account), Ok(key)) = (account.cloned(), String::from_utf8(key)) else {
        return Err(invalid_key());
    };
    let checked = tokio::task::spawn_blocking(move || auth::check_cleartext(&account, &key)).await;
    match checked {
        Ok(Some(id)) => Ok(id),
        _ => Err(invalid_key()),
    }
}

fn invalid_key() -> StartupError {
    let message = "key does not belong to the account";
    StartupError::Refused(Refusal::not_run(Reason::KeyRefused, message, None))
}

/// Returns the session parameters, including those in `options` (`-c name=value`).
fn startup_parameters(startup: &Startup) -> Vec<(String, String)> {
    let mut found = Vec::new();
    for (name, value) in &startup.parameters {
        match name.as_str() {
            "options" => found.extend(parse_options(value)),
            "user" | "database" | "replication" => {}
            name if name.starts_with(EXTENSION_PREFIX) => {}
            name => found.push((name.to_ascii_lowercase(), value.clone())),
        }
    }
    found
}

fn parse_options(text: &str) -> Vec<(String, String)> {
    let mut found = Vec::new();
    let mut words = text.split_ascii_whitespace();
    while let Some(word) = words.next() {
        let setting = match word.strip_prefix("-c").or(word.strip_prefix("--")) {
            Some("") => words.next(),
            setting => setting,
        };
        if let Some((name, value)) = setting.and_then(|s| s.split_once('=')) {
            found.push((name.to_ascii_lowercase(), value.to_owned()));
        }
    }
    found
}
