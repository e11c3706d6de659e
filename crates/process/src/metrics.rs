//! OpenTelemetry metrics, exported in the Prometheus text format.

use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;
use thiserror::Error;

/// Error of setting up or rendering metrics.
#[derive(Debug, Error)]
pub enum MetricsError {
    /// The exporter could not register with the Prometheus registry.
    #[error("metrics exporter does not start: {0}")]
    Exporter(String),
    /// The metrics could not be encoded as text.
    #[error("metrics do not render: {0}")]
    Render(#[from] prometheus::Error),
}

/// Registry and meter provider of one process's metrics.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Metrics {
    /// Creates the registry and its exporter.
    ///
    /// # Errors
    ///
    /// Fails if the exporter cannot register itself.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .scope_info_enabled(false)
            .build()
            .map_err(|e| MetricsError::Exporter(e.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// Returns the meter that creates instruments.
    #[must_use]
    pub fn meter(&self) -> Meter {
        self.provider.meter("mustardbay")
    }

    /// Renders all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be encoded.
    pub fn render(&self) -> Result<Vec<u8>, MetricsError> {
        let mut page = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut page)?;
        Ok(page)
    }
}
