//! Outgoing TCP connections, from a chosen source address where the machine has several.

use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;

use tokio::net::TcpSocket;
use tokio::net::TcpStream;

/// Opens TCP connections, all from the same source address.
#[derive(Debug, Clone, Copy, Default)]
pub struct Dialer {
    source: Option<IpAddr>,
}

impl Dialer {
    /// Creates a dialer; without a source address the system chooses one.
    #[must_use]
    pub fn new(source: Option<IpAddr>) -> Self {
        Self { source }
    }

    /// Returns the source address of outgoing connections.
    #[must_use]
    pub fn source(self) -> Option<IpAddr> {
        self.source
    }

    /// Connects to `ip:port` and turns off Nagle's algorithm.
    ///
    /// # Errors
    ///
    /// Fails if the address is not of the form `ip:port`, or if it cannot be reached.
    pub async fn connect(self, address: impl AsRef<str>) -> io::Result<TcpStream> {
        let target: SocketAddr = address.as_ref().parse().map_err(io::Error::other)?;
        let socket = match target {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        if let Some(source) = self.source {
            socket.bind(SocketAddr::new(source, 0))?;
        }
        let stream = socket.connect(target).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}
