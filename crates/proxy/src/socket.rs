//! TCP sockets that notice a peer that has gone silent.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

/// Pause after a connection could not be accepted, mostly for lack of descriptors.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time for which sent bytes may stay unacknowledged; below it lie the usual retransmissions.
const UNACKNOWLEDGED: Duration = Duration::from_secs(3);
/// Silence after which the peer is probed.
const KEEPALIVE_AFTER: Duration = Duration::from_secs(3);
/// Time between two probes.
const KEEPALIVE_EVERY: Duration = Duration::from_secs(1);
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Opens a connection.
///
/// # Errors
///
/// Fails if the address cannot be reached within `timeout`.
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let attempt = TcpStream::connect(address);
    match tokio::time::timeout(timeout, attempt).await {
        Ok(stream) => {
            let stream = stream?;
            prepare(&stream);
            Ok(stream)
        }
        Err(elapsed) => Err(io::Error::new(io::ErrorKind::TimedOut, elapsed)),
    }
}

/// Listens on an address that a former life may just have left.
///
/// # Errors
///
/// Fails if the address is in use or not this machine's.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Sets the options that every connection has; one that cannot be set is logged.
pub fn prepare(stream: &TcpStream) {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_AFTER)
        .with_interval(KEEPALIVE_EVERY)
        .with_retries(2);
    let socket = SockRef::from(stream);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&keepalive))
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED)));
    if let Err(e) = set {
        tracing::debug!(event = "socket_option_refused", error = %e);
    }
}
