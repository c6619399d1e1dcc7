//! A client of the backend server's admin API.
//!
//! Orders to a model engine carry a fencing token. Some engines ignore it, so an
//! order is complete only once the engine itself reports the version.

use std::{net::SocketAddr, path::Path, time::Duration};

use bytes::Bytes;
use egret_http::{HttpClient, SendError, read_whole};
use egret_record::{Fence, VersionDigest};
use http::{Method, Request, StatusCode, header::CONTENT_TYPE};
use http_body_util::Full;
use serde::Deserialize;
use serde_json::json;
use thiserror::Error;
use tokio::{net::TcpStream, time::timeout};

/// Largest reply of the engine to an order, in bytes.
const REPLY_BYTES_MAX: usize = 64 * 1024;
/// Timeout of a load order.
const LOAD_TIMEOUT: Duration = Duration::from_secs(600);
/// Timeout of a query.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a call to an engine failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub(crate) enum EngineError {
    /// The engine cannot be reached.
    #[error("the engine cannot be reached: {0}; start it, or correct `backend.address`")]
    Unreachable(String),
    /// The engine refused an order.
    #[error("the engine refused the order with status {0}; a newer agent may own it")]
    Refused(StatusCode),
    /// The reply does not follow the protocol.
    #[error("the engine's reply cannot be decoded; check the engine's version")]
    Protocol,
}

impl From<SendError> for EngineError {
    fn from(error: SendError) -> Self {
        Self::Unreachable(error.to_string())
    }
}

#[derive(Debug, Deserialize)]
struct VersionReply {
    content: Option<VersionDigest>,
}

/// A client of a backend server's admin API.
#[derive(Debug, Clone)]
pub(crate) struct Engine {
    address: SocketAddr,
    client: HttpClient,
}

impl Engine {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self { address, client: HttpClient::pooled(None) }
    }

    /// Orders the engine to load weights.
    pub(crate) async fn load(
        &self,
        model: &str,
        weights: &Path,
        fence: Fence,
    ) -> Result<(), EngineError> {
        let order = json!({ "model": model, "path": weights, "fence": fence.0 });
        let reply = self.call(Method::POST, "/admin/load", order.to_string(), LOAD_TIMEOUT).await?;
        if reply.0.is_success() { Ok(()) } else { Err(EngineError::Refused(reply.0)) }
    }

    /// Queries the digest of the weights that the engine serves.
    pub(crate) async fn version(&self) -> Result<Option<VersionDigest>, EngineError> {
        let (_, body) =
            self.call(Method::GET, "/admin/version", String::new(), QUERY_TIMEOUT).await?;
        let reply: VersionReply =
            serde_json::from_slice(&body).map_err(|_| EngineError::Protocol)?;
        Ok(reply.content)
    }

    /// Returns whether the backend server accepts connections.
    pub(crate) async fn is_reachable(&self) -> bool {
        matches!(timeout(QUERY_TIMEOUT, TcpStream::connect(self.address)).await, Ok(Ok(_)))
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: String,
        time_limit: Duration,
    ) -> Result<(StatusCode, Bytes), EngineError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::from(body))
            .map_err(|_| EngineError::Protocol)?;
        let reply = timeout(time_limit, async {
            let response = self.client.send(request).await?;
            let status = response.status();
            let body = read_whole(response.into_body(), REPLY_BYTES_MAX)
                .await
                .map_err(|error| EngineError::Unreachable(error.to_string()))?;
            Ok((status, body))
        });
        reply.await.map_err(|_| EngineError::Unreachable("no reply in time".to_owned()))?
    }
}
