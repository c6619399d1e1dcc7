//! Client of the HTTP interface for operators.

use std::{net::SocketAddr, time::Duration};

use egret_http::{HttpClient, SendError, headers, read_whole};
use http::{Method, Request, StatusCode, header::AUTHORIZATION};
use http_body_util::Full;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::time::timeout;

use crate::failure::Failure;

/// Maximum size of a reply, in bytes.
const REPLY_BYTES_MAX: usize = 256 * 1024 * 1024;
/// Timeout of one entry's reply; longer than an entry waits for a change to be in force.
const REPLY_TIMEOUT: Duration = Duration::from_secs(15);

/// Addresses of the entries and the operators' key.
#[derive(Debug, Clone)]
pub(crate) struct Access {
    pub(crate) entries: Vec<SocketAddr>,
    pub(crate) key: Option<String>,
}

/// Client of the HTTP interface for operators, which tries several entries.
#[derive(Debug)]
pub(crate) struct AdminClient {
    access: Access,
    client: HttpClient,
}

/// A request that reads or changes the state.
#[derive(Debug, Clone)]
pub(crate) struct AdminRequest {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) body: String,
    pub(crate) operation: Option<String>,
    pub(crate) expected: Option<u64>,
}

impl AdminRequest {
    pub(crate) fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            body: String::new(),
            operation: None,
            expected: None,
        }
    }

    /// Creates a change that must not be taken for applied or not when its answer is lost.
    pub(crate) fn once(method: Method, path: impl Into<String>, body: String) -> Self {
        Self { method, body, ..Self::get(path) }
    }

    /// Creates a change with an operation id, so that it can safely be sent again to another entry.
    pub(crate) fn change(
        method: Method,
        path: impl Into<String>,
        operation: Option<&String>,
    ) -> Self {
        let operation = operation.cloned();
        let operation =
            operation.unwrap_or_else(|| format!("egretctl-{:016x}", rand::random::<u64>()));
        Self { method, operation: Some(operation), ..Self::get(path) }
    }
}

impl AdminRequest {
    /// Returns whether sending it again has the outcome of the first time.
    fn is_repeatable(&self) -> bool {
        self.method == Method::GET || self.operation.is_some()
    }
}

impl AdminClient {
    pub(crate) fn new(access: Access) -> Self {
        Self { access, client: HttpClient::unpooled(None) }
    }

    /// Sends a request to one entry after another until one replies.
    pub(crate) async fn send(&self, request: &AdminRequest) -> Result<Value, Failure> {
        if self.access.entries.is_empty() {
            let help = "give --entry ADDRESS, or --config FILE with `entries`";
            return Err(Failure::usage_text("no entry is configured", help));
        }
        let mut last = String::new();
        let mut maybe_applied = false;
        for entry in &self.access.entries {
            match self.send_to(*entry, request).await {
                Ok(value) => return Ok(value),
                // Without an operation id, the refusal may be of what an earlier entry has applied.
                Err(SendFailure::Final(failure)) if maybe_applied && !request.is_repeatable() => {
                    last = format!("{entry}: {failure}");
                    break;
                }
                Err(SendFailure::Final(failure)) => return Err(failure),
                Err(SendFailure::TryNext { message, maybe_sent }) => {
                    last = format!("{entry}: {message}");
                    maybe_applied |= maybe_sent;
                }
            }
        }
        if !maybe_applied || request.method == Method::GET {
            let message = format!("no entry replied; last error: {last}");
            return Err(Failure::Refused { message });
        }
        let remedy = match &request.operation {
            Some(operation) => format!("run the command again with --operation {operation}"),
            None => {
                "look with `egretctl status` whether it was applied, then run it again".to_owned()
            }
        };
        Err(Failure::Unknown { message: last, remedy })
    }

    /// Sends a request to every entry and returns the replies that arrive.
    pub(crate) async fn send_to_all<T: DeserializeOwned>(
        &self,
        request: &AdminRequest,
    ) -> Result<Vec<T>, Failure> {
        let mut replies = Vec::new();
        for entry in &self.access.entries {
            match self.send_to(*entry, request).await {
                Ok(value) => replies.extend(serde_json::from_value(value)),
                Err(SendFailure::Final(failure)) => return Err(failure),
                Err(SendFailure::TryNext { message, .. }) => {
                    eprintln!("the report does not include {entry}: {message}");
                }
            }
        }
        Ok(replies)
    }

    async fn send_to(
        &self,
        entry: SocketAddr,
        request: &AdminRequest,
    ) -> Result<Value, SendFailure> {
        let request = self.http_request(entry, request).map_err(|error| SendFailure::TryNext {
            message: error.to_string(),
            maybe_sent: false,
        })?;
        let exchange = timeout(REPLY_TIMEOUT, async {
            let response =
                self.client.send(request).await.map_err(|error| SendFailure::TryNext {
                    maybe_sent: matches!(error, SendError::MaybeSent(_)),
                    message: error.to_string(),
                })?;
            let status = response.status();
            let body =
                read_whole(response.into_body(), REPLY_BYTES_MAX).await.map_err(|error| {
                    SendFailure::TryNext { message: error.to_string(), maybe_sent: true }
                })?;
            Ok((status, body))
        });
        let (status, body) = exchange.await.unwrap_or(Err(SendFailure::TryNext {
            message: "no reply in time".to_owned(),
            maybe_sent: true,
        }))?;
        let value: Value = serde_json::from_slice(&body).unwrap_or_default();
        if status.is_success() {
            return Ok(value);
        }
        let message = value["error"]["message"].as_str().unwrap_or("no reason given").to_owned();
        let unknown = value["error"]["ran"] == "unknown";
        if unknown || status.is_server_error() {
            return Err(SendFailure::TryNext { message, maybe_sent: unknown });
        }
        Err(SendFailure::Final(match status {
            StatusCode::NOT_FOUND => Failure::NotFound { message },
            _ => Failure::Refused { message },
        }))
    }

    fn http_request(
        &self,
        entry: SocketAddr,
        request: &AdminRequest,
    ) -> http::Result<Request<Full<bytes::Bytes>>> {
        let mut http_request = Request::builder()
            .method(&request.method)
            .uri(format!("http://{entry}{}", request.path));
        if let Some(key) = &self.access.key {
            http_request = http_request.header(AUTHORIZATION, format!("Bearer {key}"));
        }
        if let Some(operation) = &request.operation {
            http_request = http_request.header(headers::OPERATION, operation);
        }
        if let Some(expected) = request.expected {
            http_request = http_request.header(headers::EXPECTED, expected);
        }
        http_request.body(Full::from(request.body.clone()))
    }
}

/// Why one entry did not carry out a request.
enum SendFailure {
    /// Another entry would reply the same.
    Final(Failure),
    /// Another entry may succeed, but the change may have been applied already if `maybe_sent`.
    TryNext { message: String, maybe_sent: bool },
}
