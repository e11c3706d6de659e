//! Start-up of a session: negotiation, key check and first parameters.

use std::sync::Arc;

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
use pgwire::messages::response::GssEncResponse;
use pgwire::messages::response::SslResponse;
use pgwire::messages::startup::Authentication;
use pgwire::messages::startup::NegotiateProtocolVersion;
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

/// Leads a new connection through its start-up, up to `AuthenticationOk`.
pub(crate) async fn start_up<S: Transport>(
    caller: &mut Caller<S>,
    ctx: &Arc<Context>,
) -> Result<Started, StartupError> {
    let startup = negotiate(caller).await?;
    caller.codec_mut().enter(Phase::Authentication);
    let Some(view) = ctx.steward.view() else {
        return Err(StartupError::Refused(Refusal::not_run(
            Reason::NoUpstream,
            "no configuration has arrived yet",
            None,
        )));
    };
    let login = authenticate(caller, &startup, &view.bundle).await?;
    let grant = login.check(&view.bundle).map_err(StartupError::Refused)?;
    caller
        .feed(PgWireBackendMessage::Authentication(Authentication::Ok).into())
        .await?;
    caller.codec_mut().enter(Phase::Serving);
    Ok(Started {
        login,
        grant,
        parameters: parameters(&startup),
    })
}

async fn next<S: Transport>(caller: &mut Caller<S>) -> Result<PgWireFrontendMessage, StartupError> {
    match caller.next().await {
        Some(message) => Ok(message?),
        None => Err(StartupError::Closed),
    }
}

/// Answers requests for encryption and returns the start-up message.
async fn negotiate<S: Transport>(caller: &mut Caller<S>) -> Result<Startup, StartupError> {
    loop {
        let reply = match next(caller).await? {
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::PostgresSsl(_)) => {
                PgWireBackendMessage::SslResponse(SslResponse::Refuse)
            }
            PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::PostgresGss(_)) => {
                PgWireBackendMessage::GssEncResponse(GssEncResponse::Refuse)
            }
            PgWireFrontendMessage::Startup(startup) => {
                negotiate_version(caller, &startup).await?;
                return Ok(startup);
            }
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
        let key = cleartext(caller, account).await?;
        Some(Identity {
            account: AccountName::from(user),
            key,
        })
    };
    Ok(Login { identity, route })
}

/// Asks for the key in clear text and returns the identifier of the one that was presented.
async fn cleartext<S: Transport>(
    caller: &mut Caller<S>,
    account: Option<&Account>,
) -> Result<KeyId, StartupError> {
    caller
        .send(PgWireBackendMessage::Authentication(Authentication::CleartextPassword).into())
        .await?;
    let PgWireFrontendMessage::PasswordMessageFamily(answer) = next(caller).await? else {
        return Err(StartupError::Refused(key_refused()));
    };
    let key = answer
        .into_password()
        .map_err(ProtocolError::from)?
        .password;
    let Some(account) = account.cloned() else {
        return Err(StartupError::Refused(key_refused()));
    };
    let checked = tokio::task::spawn_blocking(move || auth::check_cleartext(&account, &key)).await;
    match checked {
        Ok(Some(id)) => Ok(id),
        _ => Err(StartupError::Refused(key_refused())),
    }
}

fn key_refused() -> Refusal {
    Refusal::not_run(
        Reason::KeyRefused,
        "key does not belong to the account",
        None,
    )
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
