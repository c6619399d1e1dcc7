//! Metrics as Prometheus text over HTTP.

use std::{convert::Infallible, io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Response, header::CONTENT_TYPE};
use http_body_util::Full;
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};
use miette::Diagnostic;
use thiserror::Error;
use tokio::net::TcpListener;

/// Bucket bounds of the latency histograms, in seconds, around the users' latency objectives.
const BUCKETS: [f64; 12] = [0.01, 0.03, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0];
/// Interval of the recorder's upkeep.
const UPKEEP_PERIOD: Duration = Duration::from_secs(5);

/// Error for metrics that could not be started.
#[derive(Debug, Error, Diagnostic)]
pub enum MetricsError {
    /// The address cannot be bound.
    #[error("metrics cannot listen on {address}: {source}")]
    #[diagnostic(help("correct `metrics` in the settings, or stop what uses the address"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The recorder could not be installed, for instance because one already is.
    #[error("metrics cannot be recorded: {0}")]
    #[diagnostic(help("start metrics once in a process"))]
    Recorder(#[from] BuildError),
}

/// Records metrics and serves them in the background; does nothing without an address.
///
/// # Errors
///
/// Returns a [`MetricsError`] when the address cannot be bound or the recorder not installed.
pub async fn serve_metrics(address: Option<SocketAddr>) -> Result<(), MetricsError> {
    let Some(address) = address else {
        return Ok(());
    };
    let handle = PrometheusBuilder::new().set_buckets(&BUCKETS)?.install_recorder()?;
    let listener = TcpListener::bind(address)
        .await
        .map_err(|source| MetricsError::Listen { address, source })?;
    tokio::spawn(run_upkeep(handle.clone()));
    tokio::spawn(accept(listener, handle));
    Ok(())
}

/// Drains recorded samples periodically; without it they accumulate until the next scrape.
async fn run_upkeep(handle: PrometheusHandle) {
    loop {
        tokio::time::sleep(UPKEEP_PERIOD).await;
        handle.run_upkeep();
    }
}

async fn accept(listener: TcpListener, handle: PrometheusHandle) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let handle = handle.clone();
        tokio::spawn(async move {
            let service = service_fn(move |_| {
                let text = Full::new(Bytes::from(handle.render()));
                let response =
                    Response::builder().header(CONTENT_TYPE, "text/plain; version=0.0.4");
                std::future::ready(Ok::<_, Infallible>(
                    response.body(text).expect("fixed headers are valid"),
                ))
            });
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}
