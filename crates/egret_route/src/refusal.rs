//! Final error responses to requests that are not served.

use std::{fmt, time::Duration};

use http::StatusCode;
use serde::{Deserialize, Serialize};

/// Whether a refused request was executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// It certainly did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request is malformed.
    BadRequest,
    /// No record matches the request.
    NoRecord,
    /// The request needs an idempotency key.
    KeyMissing,
    /// The idempotency key was used for another request.
    KeyReused,
    /// The idempotency key is older than the time for which outcomes are kept.
    KeyExpired,
    /// The same request is in flight.
    InProgress,
    /// No backend server is ready for the request.
    NoBackend,
    /// All backend servers are at their limit.
    Overloaded,
    /// A part of the prompt crashes backend servers.
    PartBlocked,
    /// The data centre is out of service.
    DataCentreOut,
    /// This instance may be partitioned from the control state, or is shutting down.
    NotInService,
    /// The response was cut off, belonged to another request, or came from another version.
    BrokenAnswer,
    /// The deadline of the request has passed.
    DeadlinePassed,
    /// The control state cannot be reached.
    NoControl,
    /// The API key is missing or wrong.
    Unauthorized,
    /// The body is larger than allowed.
    TooLarge,
    /// A concurrent amendment was accepted first.
    Conflict,
}

impl Code {
    /// Returns the HTTP status.
    #[must_use]
    pub const fn status(self) -> StatusCode {
        match self {
            Self::BadRequest | Self::KeyMissing => StatusCode::BAD_REQUEST,
            Self::NoRecord => StatusCode::NOT_FOUND,
            Self::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::KeyExpired | Self::InProgress | Self::Conflict => StatusCode::CONFLICT,
            Self::Overloaded => StatusCode::TOO_MANY_REQUESTS,
            Self::BrokenAnswer => StatusCode::BAD_GATEWAY,
            Self::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoBackend
            | Self::PartBlocked
            | Self::DataCentreOut
            | Self::NotInService
            | Self::NoControl => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// The final error response to a request that is not served.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The reason.
    pub code: Code,
    /// Whether the request was executed.
    pub ran: Ran,
    /// The reason in words, and what the caller should do.
    pub message: String,
    /// When to retry, in milliseconds; none when a retry would not help.
    pub retry_ms: Option<u64>,
}

impl Refusal {
    /// Refuses a request that certainly did not run.
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self { code, ran: Ran::NotRun, message: message.into(), retry_ms: None }
    }

    /// Refuses a request that may have run.
    pub fn unknown(code: Code, message: impl Into<String>) -> Self {
        Self { code, ran: Ran::Unknown, message: message.into(), retry_ms: None }
    }

    /// Sets the time after which to retry.
    #[must_use]
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_ms = Some(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
        self
    }

    /// Corrects a refusal that says "not run" if an earlier attempt may have run, by `ran`.
    #[must_use]
    pub fn after_attempts(self, ran: Ran) -> Self {
        if ran == Ran::NotRun || self.ran == Ran::Unknown {
            return self;
        }
        Self { code: Code::BrokenAnswer, ran, ..self }
    }

    /// Returns the value of `Retry-After`, in whole seconds, at least one.
    #[must_use]
    pub fn retry_seconds(&self) -> Option<u64> {
        self.retry_ms.map(|wait| wait.div_ceil(1_000).max(1))
    }

    /// Returns the JSON body.
    #[must_use]
    pub fn body(&self) -> Vec<u8> {
        let error = serde_json::json!({ "error": self });
        error.to_string().into_bytes()
    }

    /// Parses a JSON body.
    #[must_use]
    pub fn parse(body: &[u8]) -> Option<Self> {
        #[derive(Deserialize)]
        struct Envelope {
            error: Refusal,
        }
        serde_json::from_slice::<Envelope>(body).ok().map(|envelope| envelope.error)
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "code={:?} ran={:?} message={:?}", self.code, self.ran, self.message)
    }
}
