//! The names of headers.

/// Names one request, from entry to engine and back.
pub const REQUEST_ID: &str = "x-request-id";
/// The version that a model engine answered with, as the engine names it.
pub const ENGINE_VERSION: &str = "x-model-version";
/// A caller's key for a request that may run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The organisation that sends a request.
pub const ORGANISATION: &str = "x-organisation";
/// The record that a request is for, from entry to agent.
pub const RECORD: &str = "egret-record";
/// Marks a request that may run at most once, from entry to agent.
pub const ONCE: &str = "egret-once";
/// Milliseconds that are left for a request, from entry to agent.
pub const DEADLINE: &str = "egret-deadline-ms";
/// The version that an answer was made with.
pub const VERSION: &str = "egret-version";
/// Requests that run at an agent and its bound, as `running/limit`.
pub const LOAD: &str = "egret-load";
/// Marks an agent's refusal, to tell it from an answer of the backend server.
pub const REFUSED: &str = "egret-refused";
/// The data centre of a caller, as a hint for the list of entries.
pub const DATA_CENTRE: &str = "x-data-centre";
/// Names an operator's amendment.
pub const OPERATION: &str = "egret-operation";
/// The revision that an amendment expects.
pub const EXPECTED: &str = "egret-expected";
