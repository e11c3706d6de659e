//! Listener for both PostgreSQL clients and replicas, told apart by their first byte.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use futures::SinkExt;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::startup::BackendKeyData;
use pgwire::messages::startup::SecretKey;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::client_connection::ClientConnection;
use super::log_sender;
use super::messages;
use super::replication;
use super::session::Session;
use super::shared::Shared;
use super::startup;
use super::startup::Handshake;

/// Accepts connections until the upstream is killed.
pub async fn run(shared: Arc<Shared>, listener: TcpListener) {
    let mut next_pid = 0;
    loop {
        let accepted = tokio::select! {
            () = shared.stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, peer)) = accepted else {
            continue;
        };
        next_pid += 1;
        let pid = next_pid;
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            let stop = shared.stop.clone();
            tokio::select! {
                () = stop.cancelled() => {}
                result = serve(&shared, stream, peer, pid) => {
                    if let Err(e) = result {
                        tracing::debug!(event = "connection_lost", upstream = %shared.config.name, error = %e);
                    }
                }
            }
        });
    }
}

async fn serve(
    shared: &Arc<Shared>,
    stream: TcpStream,
    peer: SocketAddr,
    pid: i32,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    shared.gate.pass().await;
    let mut first = [0];
    if stream.peek(&mut first).await? == 0 {
        return Ok(());
    }
    if first[0] == replication::MAGIC {
        return log_sender::serve(shared, stream).await;
    }
    let counted = CountedConnection::enter(shared);
    let mut client = startup::frame(stream, peer);
    match startup::handshake(shared, &mut client).await? {
        Handshake::Closed => Ok(()),
        Handshake::Cancel(request) => {
            drop(counted);
            if let Some(secret) = request.secret_key.as_i32() {
                cancel(shared, request.pid, secret);
            }
            Ok(())
        }
        Handshake::Session(term) => {
            let secret = rand::random();
            let key = BackendKeyData::new(pid, SecretKey::I32(secret));
            client
                .feed(PgWireBackendMessage::BackendKeyData(key))
                .await?;
            let session = match Session::new(Arc::clone(shared), term, secret) {
                Ok(session) => session,
                Err(error) => return client.send(messages::fatal(&error)).await,
            };
            let registration = CancelRegistration::enter(shared, pid, &session);
            let result = ClientConnection::new(Arc::clone(shared), client, session)
                .run()
                .await;
            drop(registration);
            result
        }
    }
}

/// Cancels the statement of the connection with this process number, if the secret key matches.
fn cancel(shared: &Shared, pid: i32, secret: i32) {
    let canceller = shared.cancellers().get(&pid).cloned();
    if let Some(canceller) = canceller {
        canceller.cancel(secret);
    }
}

/// Guard that counts a client connection until it is dropped.
struct CountedConnection {
    shared: Arc<Shared>,
}

impl CountedConnection {
    fn enter(shared: &Arc<Shared>) -> Self {
        shared.connections.fetch_add(1, Ordering::SeqCst);
        Self {
            shared: Arc::clone(shared),
        }
    }
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        self.shared.connections.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Guard that keeps a connection cancellable until it is dropped.
struct CancelRegistration {
    shared: Arc<Shared>,
    pid: i32,
}

impl CancelRegistration {
    fn enter(shared: &Arc<Shared>, pid: i32, session: &Session) -> Self {
        shared.cancellers().insert(pid, session.canceller());
        Self {
            shared: Arc::clone(shared),
            pid,
        }
    }
}

impl Drop for CancelRegistration {
    fn drop(&mut self) {
        self.shared.cancellers().remove(&self.pid);
    }
}
