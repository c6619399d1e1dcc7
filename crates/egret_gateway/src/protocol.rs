//! How requests and responses are encoded in HTTP heads.

use std::time::Duration;

use bytes::Bytes;
use egret_permits::LimitNotice;
use egret_record::{PartId, WeightVersion};
use egret_route::Refusal;
use http::{Request, Response, request, response};
use http_body_util::Full;

use crate::ResponseBody;

/// The head of a caller's request, decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerHead {
    /// The id of the request, the same in every process that it passes through.
    pub id: String,
    /// The requested host.
    pub host: String,
    /// The API key of its organisation.
    pub key: Option<String>,
    /// How long the caller will wait.
    pub timeout: Option<Duration>,
    /// The last event that the caller received of a broken stream.
    pub resume_after: Option<u64>,
    /// The requested model.
    pub model: Option<String>,
    /// The parts of its prompt that other requests may share, each once.
    pub parts: Vec<PartId>,
    /// The tokens of its prompt.
    pub prompt_tokens: Option<u32>,
    /// The maximum number of tokens of its output.
    pub output_max: Option<u32>,
    /// An estimate of the tokens of its output; single estimates are often far off.
    pub output_hint: Option<u32>,
}

/// A request head that is malformed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct InvalidHead(pub String);

/// What the head of a request to a backend server adds to the head of the caller's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptHead<'a> {
    /// The id of the backend server that must run it.
    pub instance: &'a str,
    /// The time left until its deadline.
    pub timeout: Duration,
    /// The organisation of the caller.
    pub organisation: Option<&'a str>,
    /// The only weight version that may answer; none for a request that names no model.
    pub version: Option<WeightVersion>,
    /// Whether it must start soon, before others that are queued at the backend server.
    pub urgent: bool,
    /// The last event that the caller received.
    pub resume_after: Option<u64>,
}

/// The head of a backend server's response, decoded.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct BackendHead {
    /// The id of the request that it answers; without it, it may be a late copy.
    pub request: Option<String>,
    /// Whether it has the signature of a backend server.
    pub signed: bool,
    /// Whether it states that the request did not run.
    pub not_run: bool,
    /// Whether another backend server, or another weight version, is at the address.
    pub mismatch: bool,
    /// Whether the backend server is leaving and accepts no further request.
    pub leaving: bool,
    /// For how long it accepts no further request.
    pub retry_after: Option<Duration>,
    /// How many requests per second it accepts from all entries together.
    pub rate_limit: LimitNotice,
    /// How much longer the backend server stays cold.
    pub cold_for: Option<Duration>,
    /// The weight version that answers.
    pub version: Option<WeightVersion>,
    /// How long an idle connection is kept.
    pub keep_alive: Option<Duration>,
}

/// The HTTP protocol of callers and backend servers.
pub trait Protocol {
    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns [`InvalidHead`] when the head is malformed or could smuggle another
    /// request.
    fn caller_head(&self, head: &request::Parts) -> Result<CallerHead, InvalidHead>;

    /// Encodes a request for a backend server.
    fn backend_request(
        &self,
        head: &request::Parts,
        body: &Bytes,
        attempt: &AttemptHead<'_>,
    ) -> Request<Full<Bytes>>;

    /// Decodes the head of a backend server's response.
    fn backend_head(&self, head: &response::Parts) -> BackendHead;

    /// Returns whether events of backend servers may have this field besides the standard ones.
    fn is_event_field(&self, name: &[u8]) -> bool;

    /// Removes the headers that only concern the connection to the backend server.
    fn caller_response(&self, head: &mut response::Parts);

    /// Encodes the final error response to a request that is not served.
    fn refusal(&self, refusal: &Refusal, request: Option<&str>) -> Response<ResponseBody>;
}
