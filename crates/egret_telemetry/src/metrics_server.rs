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

/// Upper bounds of latency histograms, in seconds: around the users' objectives.
const SECONDS: [f64; 12] = [0.01, 0.03, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0];
/// Pause between two gatherings of what was recorded.
const UPKEEP_PERIOD: Duration = Duration::from_secs(5);

/// Metrics that could not be started.
#[derive(Debug, Error, Diagnostic)]
pub enum MetricsError {
    /// The address cannot be used.
    #[error("metrics cannot listen on {address}: {source}")]
    #[diagnostic(help("correct `metrics` in the settings, or stop what uses the address"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// A recorder runs already.
    #[error("metrics cannot be recorded: {0}")]
    #[diagnostic(help("start metrics once in a process"))]
    Recorder(#[from] BuildError),
}

/// Records metrics and, given an address, serves them in the background.
///
/// # Errors
///
/// Returns a [`MetricsError`] when the address cannot be used.
pub async fn serve_metrics(address: Option<SocketAddr>) -> Result<(), MetricsError> {
    let Some(address) = address else {
        return Ok(());
    };
    let handle = PrometheusBuilder::new().set_buckets(&SECONDS)?.install_recorder()?;
    let listener = TcpListener::bind(address)
        .await
        .map_err(|source| MetricsError::Listen { address, source })?;
    tokio::spawn(keep_up(handle.clone()));
    tokio::spawn(accept(listener, handle));
    Ok(())
}

/// Gathers what was recorded, which would wait for a reader otherwise.
async fn keep_up(handle: PrometheusHandle) {
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
