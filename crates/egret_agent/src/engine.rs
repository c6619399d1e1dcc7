//! The protocol of the backend server.
//!
//! Orders to a model engine carry a fencing number. Some engines ignore it, so
//! an order counts only once the engine itself reports the version.

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
const REPLY_BYTES: usize = 64 * 1024;
/// Longest time that a load may take.
const LOAD_TIMEOUT: Duration = Duration::from_secs(600);
/// Longest time that a question may take.
const ASK_TIMEOUT: Duration = Duration::from_secs(2);

/// Why an engine did not do as it was told.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub(crate) enum EngineError {
    /// It cannot be reached.
    #[error("the engine cannot be reached: {0}; start it, or correct `backend.address`")]
    Unreachable(String),
    /// It refused an order.
    #[error("the engine refused the order with status {0}; a newer agent may own it")]
    Refused(StatusCode),
    /// It replied something else than its protocol says.
    #[error("the engine's reply cannot be understood; check its version")]
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

/// The administration of a backend server.
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
        let reply = self.ask(Method::POST, "/admin/load", order.to_string(), LOAD_TIMEOUT).await?;
        if reply.0.is_success() { Ok(()) } else { Err(EngineError::Refused(reply.0)) }
    }

    /// Asks the engine which weights it answers with.
    pub(crate) async fn version(&self) -> Result<Option<VersionDigest>, EngineError> {
        let (_, body) = self.ask(Method::GET, "/admin/version", String::new(), ASK_TIMEOUT).await?;
        let reply: VersionReply =
            serde_json::from_slice(&body).map_err(|_| EngineError::Protocol)?;
        Ok(reply.content)
    }

    /// Tells whether anybody listens at the address.
    pub(crate) async fn is_there(&self) -> bool {
        matches!(timeout(ASK_TIMEOUT, TcpStream::connect(self.address)).await, Ok(Ok(_)))
    }

    async fn ask(
        &self,
        method: Method,
        path: &str,
        body: String,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), EngineError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::from(body))
            .map_err(|_| EngineError::Protocol)?;
        let asked = timeout(limit, async {
            let response = self.client.send(request).await?;
            let status = response.status();
            let body = read_whole(response.into_body(), REPLY_BYTES)
                .await
                .map_err(|error| EngineError::Unreachable(error.to_string()))?;
            Ok((status, body))
        });
        asked.await.map_err(|_| EngineError::Unreachable("no reply in time".to_owned()))?
    }
}
