//! HTTP/1.1 client whose errors tell whether a request may have been sent.

use std::{net::IpAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body::Body;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use thiserror::Error;

use crate::{joined::is_joined, status::is_final};

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Idle time for servers that accept few connections: longer than the pause between consecutive
/// requests.
const SHORT_IDLE_TIMEOUT: Duration = Duration::from_millis(250);

/// Error for a request that got no response.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SendError {
    /// The request was certainly not sent.
    #[error("cannot connect: {0}")]
    NotSent(String),
    /// The request may have been sent.
    #[error("the connection broke: {0}")]
    MaybeSent(String),
}

/// Error for a body that was not read completely.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ReadError {
    /// The body exceeds the limit.
    #[error("the body is larger than {0} bytes; send less")]
    TooLarge(usize),
    /// The connection ended before the body did.
    #[error("the body was cut")]
    Truncated,
}

/// HTTP/1.1 client, optionally bound to a local address.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Creates a client that keeps idle connections for later requests.
    #[must_use]
    pub fn pooled(local_ip: Option<IpAddr>) -> Self {
        Self::new(local_ip, usize::MAX, IDLE_TIMEOUT)
    }

    /// Creates a client that opens a new connection for each request.
    ///
    /// A server may close an idle connection just when a request is sent on it,
    /// and then it is unknown whether the request ran.
    #[must_use]
    pub fn unpooled(local_ip: Option<IpAddr>) -> Self {
        Self::new(local_ip, 0, IDLE_TIMEOUT)
    }

    /// Creates a client that keeps one idle connection, for a short time.
    ///
    /// For a server that accepts few connections and has many clients.
    #[must_use]
    pub fn short_idle(local_ip: Option<IpAddr>) -> Self {
        Self::new(local_ip, 1, SHORT_IDLE_TIMEOUT)
    }

    fn new(local_ip: Option<IpAddr>, max_idle: usize, idle_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        connector.set_local_address(local_ip);
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(max_idle)
            .pool_idle_timeout(idle_timeout)
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }

    /// Sends a request and waits for the response head.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] only if the request was certainly not sent, otherwise
    /// [`SendError::MaybeSent`].
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                SendError::NotSent(error.to_string())
            } else {
                SendError::MaybeSent(error.to_string())
            }
        })?;
        if is_joined(&response) {
            let reason = "the head of the response continues that of another one";
            return Err(SendError::MaybeSent(reason.to_owned()));
        }
        if !is_final(response.status()) {
            let reason = format!("status {} does not end a request", response.status().as_str());
            return Err(SendError::MaybeSent(reason));
        }
        Ok(response)
    }
}

/// Reads a body of at most `limit` bytes.
///
/// # Errors
///
/// Returns a [`ReadError`] when the body is larger or truncated.
pub async fn read_whole<B>(body: B, limit: usize) -> Result<Bytes, ReadError>
where
    B: Body,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    match Limited::new(body, limit).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err(ReadError::TooLarge(limit))
        }
        Err(_) => Err(ReadError::Truncated),
    }
}
