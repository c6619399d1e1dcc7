//! Single requests with whole answers.

use std::{net::SocketAddr, time::Duration};

use egret_http::{HttpClient, SendError, read_whole};
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::Full;
use serde_json::Value;
use tokio::time::timeout;

/// Largest answer, in bytes.
const ANSWER_BYTES: usize = 256 * 1024 * 1024;

/// A whole answer.
#[derive(Debug, Clone)]
pub struct FullResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Vec<u8>,
}

impl FullResponse {
    /// Returns the body as JSON, or null.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Sends one request and reads its answer whole.
///
/// # Errors
///
/// Returns a [`SendError`] that says whether the request may have been sent.
pub async fn send_request(
    client: &HttpClient,
    method: Method,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: String,
    limit: Duration,
) -> Result<FullResponse, SendError> {
    let mut request = Request::builder().method(method).uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request =
        request.body(Full::from(body)).map_err(|error| SendError::NotSent(error.to_string()))?;
    let exchange = timeout(limit, async {
        let response = client.send(request).await?;
        let (head, body) = response.into_parts();
        let body = read_whole(body, ANSWER_BYTES)
            .await
            .map_err(|error| SendError::MaybeSent(error.to_string()))?;
        Ok(FullResponse { status: head.status, headers: head.headers, body: body.to_vec() })
    });
    exchange.await.unwrap_or_else(|_| Err(SendError::MaybeSent("no answer in time".to_owned())))
}
