//! Listener that parts clients from replicas.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use futures::SinkExt;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::startup::BackendKeyData;
use pgwire::messages::startup::SecretKey;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::connection::Connection;
use super::core::Core;
use super::leader;
use super::messages;
use super::replication;
use super::session::Session;
use super::startup;
use super::startup::Opening;

/// Accepts connections until the upstream is killed.
pub async fn run(core: Arc<Core>, listener: TcpListener) {
    let mut next_pid = 0;
    loop {
        let accepted = tokio::select! {
            () = core.stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, peer)) = accepted else {
            continue;
        };
        next_pid += 1;
        let pid = next_pid;
        let core = Arc::clone(&core);
        tokio::spawn(async move {
            let stop = core.stop.clone();
            tokio::select! {
                () = stop.cancelled() => {}
                result = serve(&core, stream, peer, pid) => {
                    if let Err(e) = result {
                        tracing::debug!(event = "connection_lost", upstream = %core.config.name, error = %e);
                    }
                }
            }
        });
    }
}

async fn serve(
    core: &Arc<Core>,
    stream: TcpStream,
    peer: SocketAddr,
    pid: i32,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    core.gate.pass().await;
    let mut first = [0];
    if stream.peek(&mut first).await? == 0 {
        return Ok(());
    }
    if first[0] == replication::MAGIC {
        return leader::serve(core, stream).await;
    }
    let open = Open::enter(core);
    let mut client = startup::frame(stream, peer);
    match startup::open(core, &mut client).await? {
        Opening::Closed => Ok(()),
        Opening::Cancel(request) => {
            drop(open);
            if let Some(secret) = request.secret_key.as_i32() {
                cancel(core, request.pid, secret);
            }
            Ok(())
        }
        Opening::Session(term) => {
            let secret = rand::random();
            let key = BackendKeyData::new(pid, SecretKey::I32(secret));
            client
                .feed(PgWireBackendMessage::BackendKeyData(key))
                .await?;
            let session = match Session::new(Arc::clone(core), term, secret) {
                Ok(session) => session,
                Err(fault) => return client.send(messages::fatal(&fault)).await,
            };
            let registered = Registered::enter(core, pid, &session);
            let result = Connection::new(Arc::clone(core), client, session)
                .run()
                .await;
            drop(registered);
            result
        }
    }
}

fn cancel(core: &Core, pid: i32, secret: i32) {
    let canceller = core.cancels().get(&pid).cloned();
    if let Some(canceller) = canceller {
        canceller.cancel(secret);
    }
}

/// Counts a connection for as long as it lives.
struct Open {
    core: Arc<Core>,
}

impl Open {
    fn enter(core: &Arc<Core>) -> Self {
        core.connections.fetch_add(1, Ordering::SeqCst);
        Self {
            core: Arc::clone(core),
        }
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.core.connections.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Keeps a connection cancellable for as long as it lives.
struct Registered {
    core: Arc<Core>,
    pid: i32,
}

impl Registered {
    fn enter(core: &Arc<Core>, pid: i32, session: &Session) -> Self {
        core.cancels().insert(pid, session.canceller());
        Self {
            core: Arc::clone(core),
            pid,
        }
    }
}

impl Drop for Registered {
    fn drop(&mut self) {
        self.core.cancels().remove(&self.pid);
    }
}
