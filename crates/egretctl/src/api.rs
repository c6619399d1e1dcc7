//! Requests to the operators' interface of the entries.

use std::{net::SocketAddr, time::Duration};

use egret_http::{HttpClient, SendError, headers, read_whole};
use http::{Method, Request, header::AUTHORIZATION};
use http_body_util::Full;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::time::timeout;

use crate::failure::Failure;

/// Largest reply, in bytes.
const REPLY_BYTES: usize = 256 * 1024 * 1024;
/// Longest time for one entry to reply; longer than it waits for a change to be in force.
const REPLY_TIMEOUT: Duration = Duration::from_secs(15);

/// How to reach the system.
#[derive(Debug, Clone)]
pub(crate) struct Access {
    pub(crate) entries: Vec<SocketAddr>,
    pub(crate) key: Option<String>,
}

/// The operators' interface of the entries.
#[derive(Debug)]
pub(crate) struct Api {
    access: Access,
    client: HttpClient,
}

/// One question or change.
#[derive(Debug, Clone)]
pub(crate) struct Ask {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) body: String,
    pub(crate) operation: Option<String>,
    pub(crate) expected: Option<u64>,
}

impl Ask {
    pub(crate) fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            body: String::new(),
            operation: None,
            expected: None,
        }
    }

    /// Makes a change with an operation id, so that it can be sent to the next entry.
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

impl Api {
    pub(crate) fn new(access: Access) -> Self {
        Self { access, client: HttpClient::unpooled(None) }
    }

    /// Asks one entry after the other until one replies.
    pub(crate) async fn ask(&self, ask: &Ask) -> Result<Value, Failure> {
        if self.access.entries.is_empty() {
            let help = "give --entry ADDRESS, or --config FILE with `entries`";
            return Err(Failure::usage_text("no entry is known", help));
        }
        let mut last = String::new();
        let mut sent = false;
        for entry in &self.access.entries {
            match self.ask_one(*entry, ask).await {
                Ok(value) => return Ok(value),
                Err(Asked::Final(failure)) => return Err(failure),
                Err(Asked::Next { message, maybe }) => {
                    last = format!("{entry}: {message}");
                    sent |= maybe;
                }
            }
        }
        match &ask.operation {
            Some(operation) if sent => {
                Err(Failure::Unknown { message: last, operation: operation.clone() })
            }
            _ => Err(Failure::Refused { message: format!("no entry replied; last {last}") }),
        }
    }

    /// Asks every entry, and returns what those that reply say.
    pub(crate) async fn ask_all<T: DeserializeOwned>(&self, ask: &Ask) -> Result<Vec<T>, Failure> {
        let mut replies = Vec::new();
        for entry in &self.access.entries {
            match self.ask_one(*entry, ask).await {
                Ok(value) => replies.extend(serde_json::from_value(value)),
                Err(Asked::Final(failure)) => return Err(failure),
                Err(Asked::Next { message, .. }) => {
                    eprintln!("{entry} is left out of the report: {message}");
                }
            }
        }
        Ok(replies)
    }

    async fn ask_one(&self, entry: SocketAddr, ask: &Ask) -> Result<Value, Asked> {
        let request = self
            .request(entry, ask)
            .map_err(|error| Asked::Next { message: error.to_string(), maybe: false })?;
        let exchange = timeout(REPLY_TIMEOUT, async {
            let response = self.client.send(request).await.map_err(|error| Asked::Next {
                maybe: matches!(error, SendError::MaybeSent(_)),
                message: error.to_string(),
            })?;
            let status = response.status();
            let body = read_whole(response.into_body(), REPLY_BYTES)
                .await
                .map_err(|error| Asked::Next { message: error.to_string(), maybe: true })?;
            Ok((status, body))
        });
        let (status, body) = exchange
            .await
            .unwrap_or(Err(Asked::Next { message: "no reply in time".to_owned(), maybe: true }))?;
        let value: Value = serde_json::from_slice(&body).unwrap_or_default();
        if status.is_success() {
            return Ok(value);
        }
        let message = value["error"]["message"].as_str().unwrap_or("no reason given").to_owned();
        let unknown = value["error"]["ran"] == "unknown";
        if unknown || status.is_server_error() {
            return Err(Asked::Next { message, maybe: unknown });
        }
        Err(Asked::Final(Failure::Refused { message }))
    }

    fn request(&self, entry: SocketAddr, ask: &Ask) -> http::Result<Request<Full<bytes::Bytes>>> {
        let mut request =
            Request::builder().method(&ask.method).uri(format!("http://{entry}{}", ask.path));
        if let Some(key) = &self.access.key {
            request = request.header(AUTHORIZATION, format!("Bearer {key}"));
        }
        if let Some(operation) = &ask.operation {
            request = request.header(headers::OPERATION, operation);
        }
        if let Some(expected) = ask.expected {
            request = request.header(headers::EXPECTED, expected);
        }
        request.body(Full::from(ask.body.clone()))
    }
}

/// How asking one entry ended without success.
enum Asked {
    /// Another entry would say the same.
    Final(Failure),
    /// Another entry may do better; `maybe` tells whether the change may be accepted.
    Next { message: String, maybe: bool },
}
