//! TCP sockets with timeouts that detect an unresponsive peer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

/// Delay after a failed accept, which mostly means that file descriptors are exhausted.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time for which sent data may stay unacknowledged; usual retransmissions take less.
const USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle time after which the first keepalive probe is sent.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(3);
/// Time between two keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Opens a connection with the options of [`prepare`].
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

/// Listens on an address, even if a previous process has only just released it.
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

/// Sets the options of every connection: no delay, keepalive and user timeout; logs a failure.
pub fn prepare(stream: &TcpStream) {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    let socket = SockRef::from(stream);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&keepalive))
        .and_then(|()| socket.set_tcp_user_timeout(Some(USER_TIMEOUT)));
    if let Err(e) = set {
        tracing::debug!(event = "socket_option_refused", error = %e);
    }
}
