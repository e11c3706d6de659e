//! Outgoing TCP connections, optionally bound to one of the machine's source addresses.

use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;

use tokio::net::TcpSocket;
use tokio::net::TcpStream;

/// Opens TCP connections, all from the same source address if one is set.
#[derive(Debug, Clone, Copy, Default)]
pub struct Dialer {
    source: Option<IpAddr>,
}

impl Dialer {
    /// Creates a dialer; if `source` is `None`, the operating system chooses the address.
    #[must_use]
    pub fn new(source: Option<IpAddr>) -> Self {
        Self { source }
    }

    /// Returns the source address of outgoing connections, if one is set.
    #[must_use]
    pub fn source(self) -> Option<IpAddr> {
        self.source
    }

    /// Connects to `ip:port` and turns off Nagle's algorithm.
    ///
    /// # Errors
    ///
    /// Fails if the address is not of the form `ip:port`, the source address cannot be bound, or
    /// the connection fails.
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
