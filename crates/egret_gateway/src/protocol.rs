//! The seam to a protocol of callers and backend servers.

use std::time::Duration;

use bytes::Bytes;
use egret_record::WeightVersion;
use egret_route::Refusal;
use http::{Request, Response, request, response};
use http_body_util::Full;

use crate::ResponseBody;

/// What a caller's request says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerHead {
    /// Names the request in every process that it passes.
    pub id: String,
    /// The host that it names.
    pub host: String,
    /// The key of its organisation.
    pub key: Option<String>,
    /// How long the caller will wait.
    pub timeout: Option<Duration>,
    /// The last event that the caller has, of a stream that broke.
    pub resume_after: Option<u64>,
    /// The model that shall answer it.
    pub model: Option<String>,
}

/// A head that cannot be understood.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct InvalidHead(pub String);

/// What a request tells the backend server that it is sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptHead<'a> {
    /// The id of the backend server that shall run it.
    pub instance: &'a str,
    /// The time that is left.
    pub timeout: Duration,
    /// The organisation of the caller.
    pub organisation: Option<&'a str>,
    /// The version of weights that shall answer, if no other may.
    pub version: Option<WeightVersion>,
    /// Whether it must begin soon, before others that wait at the backend server.
    pub urgent: bool,
    /// The last event that the caller has.
    pub resume_after: Option<u64>,
}

/// What the head of a backend server's answer says.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct BackendHead {
    /// The request that it answers.
    pub request: Option<String>,
    /// Whether it bears the signature of a backend server.
    pub signed: bool,
    /// Whether it says that the request did not run.
    pub not_run: bool,
    /// Whether another backend server, or other weights, stand at the address.
    pub mismatch: bool,
    /// Whether the backend server leaves and wants no further request.
    pub leaving: bool,
    /// For how long it wants no further request.
    pub retry_after: Option<Duration>,
    /// How much longer the backend server stays cold.
    pub cold_for: Option<Duration>,
    /// The version of weights that answers.
    pub version: Option<WeightVersion>,
    /// How long an idle connection is kept.
    pub keep_alive: Option<Duration>,
}

/// A protocol of callers and backend servers.
pub trait Protocol {
    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns [`InvalidHead`] when the head cannot be understood or could smuggle
    /// another request.
    fn caller_head(&self, head: &request::Parts) -> Result<CallerHead, InvalidHead>;

    /// Encodes a request for a backend server.
    fn backend_request(
        &self,
        head: &request::Parts,
        body: &Bytes,
        attempt: &AttemptHead<'_>,
    ) -> Request<Full<Bytes>>;

    /// Decodes the head of a backend server's answer.
    fn backend_head(&self, head: &response::Parts) -> BackendHead;

    /// Removes what concerns the connection to the backend server only.
    fn caller_response(&self, head: &mut response::Parts);

    /// Encodes a final answer to a request that is given up on.
    fn refusal(&self, refusal: &Refusal, request: Option<&str>) -> Response<ResponseBody>;
}
