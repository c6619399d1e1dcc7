//! Final answers to requests that are given up on.

use std::{fmt, time::Duration};

use http::StatusCode;
use serde::{Deserialize, Serialize};

/// Whether a refused request ran.
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
    /// The request cannot be understood.
    BadRequest,
    /// No record takes the request.
    NoRecord,
    /// The request must have an idempotency key.
    KeyMissing,
    /// The idempotency key was used for another request.
    KeyReused,
    /// The idempotency key is older than outcomes are kept.
    KeyExpired,
    /// The same request is under way.
    InProgress,
    /// No backend server is live for the request.
    NoBackend,
    /// All backend servers have as much work as they can bear.
    Overloaded,
    /// The data centre is out.
    DataCentreOut,
    /// This instance may be cut off, or is shutting down.
    NotInService,
    /// The answer was cut, crossed or of another version.
    BrokenAnswer,
    /// The time for the request is over.
    DeadlinePassed,
    /// The control state cannot be reached.
    NoControl,
    /// The key is missing or wrong.
    Unauthorized,
    /// The body is larger than allowed.
    TooLarge,
    /// An amendment came second.
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
            Self::NoBackend | Self::DataCentreOut | Self::NotInService | Self::NoControl => {
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    }
}

/// The final answer to a request that is given up on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub code: Code,
    /// Whether the request ran.
    pub ran: Ran,
    /// What the caller should do.
    pub message: String,
    /// When to come back, in milliseconds; none when trying again is no use.
    pub retry_ms: Option<u64>,
}

impl Refusal {
    /// Refuses a request that certainly did not run.
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self { code, ran: Ran::NotRun, message: message.into(), retry_ms: None }
    }

    /// Gives up on a request that may have run.
    pub fn unknown(code: Code, message: impl Into<String>) -> Self {
        Self { code, ran: Ran::Unknown, message: message.into(), retry_ms: None }
    }

    /// Says when to come back.
    #[must_use]
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_ms = Some(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
        self
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

    /// Reads a JSON body.
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
