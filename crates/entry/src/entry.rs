//! Startup of an entry: client listener, admin endpoint and steward link.

use std::net::SocketAddr;
use std::sync::Arc;

use mustardbay_link::StewardLink;
use mustardbay_process::admin::Admin;
use mustardbay_process::incarnation::incarnation;
use mustardbay_process::lifecycle::Lifecycle;
use mustardbay_process::metrics::Metrics;
use mustardbay_process::metrics::MetricsError;
use thiserror::Error;
use tokio::net::TcpListener;

use crate::context::Context;
use crate::dump::dump;
use crate::listener;
use crate::settings::EntrySettings;
use crate::tls::TlsError;
use crate::tls::acceptor;

/// Reason why an entry did not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// An address cannot be bound, or signals cannot be handled.
    #[error("cannot listen: {0}")]
    Io(#[from] std::io::Error),
    /// The TLS certificate or its key cannot be used.
    #[error("cannot set up TLS: {0}")]
    Tls(#[from] TlsError),
    /// Metrics cannot be set up.
    #[error("cannot set up metrics: {0}")]
    Metrics(#[from] MetricsError),
}

/// Running entry and the addresses it listens on.
#[derive(Debug)]
pub struct Entry {
    client_address: SocketAddr,
    admin_address: SocketAddr,
}

impl Entry {
    /// Starts an entry in the background; it stops when `lifecycle` drains.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound, or if TLS or metrics cannot be set up.
    pub async fn start(settings: EntrySettings, lifecycle: Lifecycle) -> Result<Self, StartError> {
        let tls = settings.tls.as_ref().map(acceptor).transpose()?;
        let listener = TcpListener::bind(&settings.callers).await?;
        let client_address = listener.local_addr()?;
        let metrics = Metrics::new()?;
        let steward = StewardLink::start(&*settings.steward, "entry", incarnation());
        let admin_setting = settings.admin.clone();
        let ctx = Arc::new(Context::new(
            settings,
            tls,
            steward,
            lifecycle.clone(),
            &metrics.meter(),
        ));
        let dump_ctx = Arc::clone(&ctx);
        let show_state = move || {
            let state = dump(&dump_ctx);
            async move { state }
        };
        let admin_address = Admin::new(lifecycle, metrics, show_state)
            .serve(&admin_setting)
            .await?;
        tokio::spawn(listener::serve(listener, ctx));
        tracing::info!(event = "entry_started", callers = %client_address, admin = %admin_address);
        Ok(Self {
            client_address,
            admin_address,
        })
    }

    /// Returns the bound address for client connections.
    #[must_use]
    pub fn client_address(&self) -> SocketAddr {
        self.client_address
    }

    /// Returns the bound address of the admin endpoint.
    #[must_use]
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }
}
