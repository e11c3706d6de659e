//! Startup and authentication at an upstream.

use bytes::Bytes;
use futures::SinkExt;
use futures::StreamExt;
use mustardbay_policy::position::Term;
use pgwire::api::auth::md5pass::hash_md5_password;
use pgwire::api::auth::sasl::SCRAM_SHA_256_METHOD;
use pgwire::api::auth::sasl::scram::ScramClientAuth;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::startup::Authentication;
use pgwire::messages::startup::BackendKeyData;
use pgwire::messages::startup::ParameterStatus;
use pgwire::messages::startup::Password;
use pgwire::messages::startup::PasswordMessageFamily;
use pgwire::messages::startup::SASLInitialResponse;
use pgwire::messages::startup::SASLResponse;
use pgwire::messages::startup::Startup;
use pgwire::tokio::client::PgWireMessageClientCodec;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

use crate::settings::Login;
use crate::upstream::UpstreamError;

/// Startup parameter with the term that the connection is opened under.
const TERM_PARAMETER: &str = "mustardbay.term";

pub(super) type Socket = Framed<TcpStream, PgWireMessageClientCodec>;

/// Cancellation key and parameters that an upstream sends during startup.
#[derive(Debug, Default)]
pub(super) struct StartupReply {
    pub(super) key: Option<BackendKeyData>,
    pub(super) parameters: Vec<ParameterStatus>,
}

/// Starts up and authenticates a connection.
///
/// A connection without a term may only call the control functions.
pub(super) async fn log_in(
    socket: &mut Socket,
    login: &Login,
    database: &str,
    term: Option<Term>,
) -> Result<StartupReply, UpstreamError> {
    socket.send(startup(login, database, term)).await?;
    let mut reply = StartupReply::default();
    loop {
        match receive(socket).await? {
            PgWireBackendMessage::Authentication(step) => authenticate(socket, login, step).await?,
            PgWireBackendMessage::BackendKeyData(key) => reply.key = Some(key),
            PgWireBackendMessage::ParameterStatus(status) => reply.parameters.push(status),
            PgWireBackendMessage::ReadyForQuery(_) => return Ok(reply),
            _ => {}
        }
    }
}

fn startup(login: &Login, database: &str, term: Option<Term>) -> PgWireFrontendMessage {
    let mut startup = Startup::new();
    let mut set = |key: &str, value: String| startup.parameters.insert(key.to_owned(), value);
    set("user", login.user.clone());
    set("database", database.to_owned());
    set("application_name", "mustardbay-pool".to_owned());
    if let Some(term) = term {
        set(TERM_PARAMETER, term.to_string());
    }
    PgWireFrontendMessage::Startup(startup)
}

async fn receive(socket: &mut Socket) -> Result<PgWireBackendMessage, UpstreamError> {
    match socket.next().await {
        Some(Ok(PgWireBackendMessage::ErrorResponse(error))) => {
            Err(UpstreamError::from_fields(&error.fields))
        }
        Some(message) => Ok(message?),
        None => Err(UpstreamError::Closed),
    }
}

async fn authenticate(
    socket: &mut Socket,
    login: &Login,
    step: Authentication,
) -> Result<(), UpstreamError> {
    match step {
        Authentication::Ok => Ok(()),
        Authentication::CleartextPassword => send_password(socket, login.password.clone()).await,
        Authentication::MD5Password(salt) => {
            let hash = hash_md5_password(&login.user, &login.password, &salt);
            send_password(socket, hash).await
        }
        Authentication::SASL(methods) if methods.iter().any(|m| m == SCRAM_SHA_256_METHOD) => {
            scram(socket, login).await
        }
        _ => Err(UpstreamError::Protocol("authentication method")),
    }
}

async fn send_password(socket: &mut Socket, password: String) -> Result<(), UpstreamError> {
    let message = PasswordMessageFamily::Password(Password::new(password));
    socket
        .send(PgWireFrontendMessage::PasswordMessageFamily(message))
        .await?;
    Ok(())
}

async fn scram(socket: &mut Socket, login: &Login) -> Result<(), UpstreamError> {
    let client = ScramClientAuth::new(login.user.clone(), login.password.clone());
    let (first, client) = client.build_client_first()?;
    let first = SASLInitialResponse::new(SCRAM_SHA_256_METHOD.to_owned(), Some(first.into()));
    let first = PasswordMessageFamily::SASLInitialResponse(first);
    socket
        .send(PgWireFrontendMessage::PasswordMessageFamily(first))
        .await?;
    let PgWireBackendMessage::Authentication(Authentication::SASLContinue(challenge)) =
        receive(socket).await?
    else {
        return Err(UpstreamError::Protocol("SASL challenge"));
    };
    let (proof, client) = client.build_client_final(&challenge)?;
    let proof = PasswordMessageFamily::SASLResponse(SASLResponse::new(Bytes::from(proof)));
    socket
        .send(PgWireFrontendMessage::PasswordMessageFamily(proof))
        .await?;
    let PgWireBackendMessage::Authentication(Authentication::SASLFinal(signature)) =
        receive(socket).await?
    else {
        return Err(UpstreamError::Protocol("SASL signature"));
    };
    client.verify_server_final(&signature)?;
    Ok(())
}
