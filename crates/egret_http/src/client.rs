//! Requests to other processes, with what is known of a failure.

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

/// Longest time that connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which an unused connection is kept.
const IDLE_TIME: Duration = Duration::from_secs(5);
/// The same where the other side serves few connections: longer than between two requests in a
/// row.
const BRIEF_TIME: Duration = Duration::from_millis(250);

/// Why a request got no response.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SendError {
    /// It was certainly not sent.
    #[error("cannot connect: {0}")]
    NotSent(String),
    /// It may have been sent.
    #[error("the connection broke: {0}")]
    MaybeSent(String),
}

/// Why a body was not read whole.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ReadError {
    /// It is larger than allowed.
    #[error("the body is larger than {0} bytes; send less")]
    TooLarge(usize),
    /// It was cut.
    #[error("the body was cut")]
    Truncated,
}

/// A client for HTTP/1.1, which may connect from one address of this instance.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Makes a client that keeps connections for later requests.
    #[must_use]
    pub fn pooled(own: Option<IpAddr>) -> Self {
        Self::new(own, usize::MAX, IDLE_TIME)
    }

    /// Makes a client that opens a connection for each request.
    ///
    /// The other side may close a kept connection just when a request is sent
    /// on it, and nobody knows then whether it ran.
    #[must_use]
    pub fn unpooled(own: Option<IpAddr>) -> Self {
        Self::new(own, 0, IDLE_TIME)
    }

    /// Makes a client that keeps a connection only for requests that soon follow.
    ///
    /// For a server that many clients share and that serves few connections.
    #[must_use]
    pub fn short_idle(own: Option<IpAddr>) -> Self {
        Self::new(own, 1, BRIEF_TIME)
    }

    fn new(own: Option<IpAddr>, idle: usize, idle_time: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        connector.set_local_address(own);
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(idle)
            .pool_idle_timeout(idle_time)
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] only when it is certain.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                SendError::NotSent(error.to_string())
            } else {
                SendError::MaybeSent(error.to_string())
            }
        })
    }
}

/// Reads a body of at most `limit` bytes.
///
/// # Errors
///
/// Returns a [`ReadError`] when it is larger or was cut.
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
