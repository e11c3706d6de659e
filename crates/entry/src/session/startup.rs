//! Start-up of a session: negotiation, key check and first parameters.

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
use crate::caller::Phase;
use crate::caller::ProtocolError;
use crate::context::Context;
use crate::session::Caller;
use crate::session::Transport;
use crate::session::login::Grant;
use crate::session::login::Identity;
use crate::session::login::Login;
use crate::settings::KeyExchange;

/// When a caller should come back that arrived before the first configuration.
const NO_VIEW_RETRY: Duration = Duration::from_secs(1);
/// Prefix of protocol extensions in start-up parameters.
const EXTENSION_PREFIX: &str = "_pq_.";

/// Why a start-up did not lead to a session.
#[derive(Debug, Error)]
pub(crate) enum StartupError {
    /// The caller closed the connection or asked only for a cancellation.
    #[error("connection closed")]
    Closed,
    /// The input cannot be served.
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    /// The caller is refused.
    #[error("{}", .0.message)]
    Refused(Refusal),
}

/// How a connection opens.
#[derive(Debug)]
pub(crate) enum Opening {
    /// With a start-up message.
    Startup(Startup),
    /// With a TLS handshake, which the caller was told to begin.
    Tls,
    /// With a request to cancel what another session runs.
    Cancel(CancelRequest),
}

/// Start-up parameters of a caller and who it turned out to be.
#[derive(Debug)]
pub(crate) struct Started {
    /// Identity and route.
    pub login: Login,
    /// What the login may do.
    pub grant: Grant,
    /// Start-up parameters, those in `options` included.
    pub parameters: Vec<(String, String)>,
}

/// Leads a connection from its start-up message to `AuthenticationOk`.
pub(crate) async fn start_up<S: Transport>(
    caller: &mut Caller<S>,
    startup: &Startup,
    ctx: &Arc<Context>,
    is_secure: bool,
) -> Result<Started, StartupError> {
    negotiate_version(caller, startup).await?;
    caller.codec_mut().enter(Phase::Authentication);
    let Some(view) = ctx.steward.view() else {
        return Err(StartupError::Refused(Refusal::not_run(
            Reason::NoUpstream,
            "no configuration has arrived yet",
            Some(NO_VIEW_RETRY),
        )));
    };
    let login = authenticate(caller, startup, &view.bundle, ctx, is_secure).await?;
    let grant = login.check(&view.bundle).map_err(StartupError::Refused)?;
    caller
        .feed(PgWireBackendMessage::Authentication(Authentication::Ok).into())
        .await?;
    caller.codec_mut().enter(Phase::Serving);
    Ok(Started {
        login,
        grant,
        parameters: parameters(startup),
    })
}

async fn next<S: Transport>(caller: &mut Caller<S>) -> Result<PgWireFrontendMessage, StartupError> {
    match caller.next().await {
        Some(message) => Ok(message?),
        None => Err(StartupError::Closed),
    }
}

/// Answers requests for encryption until the connection opens.
///
/// TLS is accepted only if `offers_tls`, and only before anything else was sent.
pub(crate) async fn negotiate<S: Transport>(
    caller: &mut Caller<S>,
    offers_tls: bool,
) -> Result<Opening, StartupError> {
    loop {
        let reply = match next(caller).await? {
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::PostgresSsl(_)) => {
                if offers_tls {
                    let accept = PgWireBackendMessage::SslResponse(SslResponse::Accept);
                    caller.send(accept.into()).await?;
                    return Ok(Opening::Tls);
                }
                PgWireBackendMessage::SslResponse(SslResponse::Refuse)
            }
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::PostgresGss(_)) => {
                PgWireBackendMessage::GssEncResponse(GssEncResponse::Refuse)
            }
            PgWireFrontendMessage::Startup(startup) => return Ok(Opening::Startup(startup)),
            PgWireFrontendMessage::CancelRequest(cancel) => return Ok(Opening::Cancel(cancel)),
            _ => return Err(StartupError::Closed),
        };
        caller.send(reply.into()).await?;
    }
}

/// Names the protocol version and the extensions that are not supported, if any were asked for.
async fn negotiate_version<S: Transport>(
    caller: &mut Caller<S>,
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
    caller
        .feed(PgWireBackendMessage::NegotiateProtocolVersion(newest).into())
        .await?;
    Ok(())
}

async fn authenticate<S: Transport>(
    caller: &mut Caller<S>,
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
            KeyExchange::Scram => scram(caller, account, &ctx.secret).await?,
            KeyExchange::Cleartext if is_secure || ctx.settings.clear_keys => {
                cleartext(caller, account).await?
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

/// Lets the caller prove its key by SCRAM-SHA-256 and returns the key's identifier.
async fn scram<S: Transport>(
    caller: &mut Caller<S>,
    account: Option<&Account>,
    secret: &[u8],
) -> Result<KeyId, StartupError> {
    let mechanisms = Authentication::SASL(vec![auth::MECHANISM.to_owned()]);
    let first = ask(caller, mechanisms).await?;
    let message = initial_response(&first).ok_or_else(refuse_key)?;
    let exchange = auth::Exchange::begin(message, account, secret).ok_or_else(refuse_key)?;
    let server_first = Bytes::copy_from_slice(exchange.server_first().as_bytes());
    let last = ask(caller, Authentication::SASLContinue(server_first)).await?;
    let proven = exchange.finish(&last).ok_or_else(refuse_key)?;
    let server_final = Authentication::SASLFinal(proven.server_final.into());
    caller
        .feed(PgWireBackendMessage::Authentication(server_final).into())
        .await?;
    Ok(proven.key)
}

/// Sends an authentication request and returns the body of the answer.
async fn ask<S: Transport>(
    caller: &mut Caller<S>,
    request: Authentication,
) -> Result<BytesMut, StartupError> {
    caller
        .send(PgWireBackendMessage::Authentication(request).into())
        .await?;
    match next(caller).await? {
        PgWireFrontendMessage::PasswordMessageFamily(PasswordMessageFamily::Raw(body)) => Ok(body),
        _ => Err(refuse_key()),
    }
}

/// Returns the mechanism's message in a `SASLInitialResponse` for SCRAM-SHA-256.
fn initial_response(body: &[u8]) -> Option<&[u8]> {
    let rest = body.strip_prefix(auth::MECHANISM.as_bytes())?;
    let rest = rest.strip_prefix(&[0])?;
    let (length, message) = rest.split_at_checked(4)?;
    let length = u32::from_be_bytes(length.try_into().ok()?);
    (usize::try_from(length).ok()? == message.len()).then_some(message)
}

/// Asks for the key in clear text and returns the identifier of the one that was presented.
async fn cleartext<S: Transport>(
    caller: &mut Caller<S>,
    account: Option<&Account>,
) -> Result<KeyId, StartupError> {
    let body = ask(caller, Authentication::CleartextPassword).await?;
    let key = body.strip_suffix(&[0]).unwrap_or(&body).to_vec();
    let (Some(account), Ok(key)) = (account.cloned(), String::from_utf8(key)) else {
        return Err(refuse_key());
    };
    let checked = tokio::task::spawn_blocking(move || auth::check_cleartext(&account, &key)).await;
    match checked {
        Ok(Some(id)) => Ok(id),
        _ => Err(refuse_key()),
    }
}

fn refuse_key() -> StartupError {
    let message = "key does not belong to the account";
    StartupError::Refused(Refusal::not_run(Reason::KeyRefused, message, None))
}

/// Returns the start-up parameters, with those of `options` (`-c name=value`) taken apart.
fn parameters(startup: &Startup) -> Vec<(String, String)> {
    let mut found = Vec::new();
    for (name, value) in &startup.parameters {
        match name.as_str() {
            "options" => found.extend(options(value)),
            "user" | "database" | "replication" => {}
            name if name.starts_with(EXTENSION_PREFIX) => {}
            name => found.push((name.to_ascii_lowercase(), value.clone())),
        }
    }
    found
}

fn options(text: &str) -> Vec<(String, String)> {
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
