//! Single HTTP requests whose response is read completely.

use std::{net::SocketAddr, time::Duration};

use egret_http::{HttpClient, SendError, read_whole};
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::Full;
use serde_json::Value;
use tokio::time::timeout;

/// Maximum size of a response body, in bytes.
const RESPONSE_BYTES: usize = 256 * 1024 * 1024;

/// An HTTP response with its complete body.
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
    /// Returns the body as JSON, or null if it is not JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Sends one request and reads its response completely, within `limit`.
///
/// # Errors
///
/// Returns a [`SendError`] that tells whether the request may have been sent.
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
        let body = read_whole(body, RESPONSE_BYTES)
            .await
            .map_err(|error| SendError::MaybeSent(error.to_string()))?;
        Ok(FullResponse { status: head.status, headers: head.headers, body: body.to_vec() })
    });
    exchange.await.unwrap_or_else(|_| Err(SendError::MaybeSent("no response in time".to_owned())))
}
