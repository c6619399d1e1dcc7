//! Header names.

/// The request id, passed from entry to engine and back.
pub const REQUEST_ID: &str = "x-request-id";
/// The weight version with which a model engine answered, in the engine's own notation.
pub const ENGINE_VERSION: &str = "x-model-version";
/// The caller's idempotency key for a request that may run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The organisation that sends a request.
pub const ORGANISATION: &str = "x-organisation";
/// The record that a request is for, from entry to agent.
pub const RECORD: &str = "egret-record";
/// Marks a request that may run at most once, from entry to agent.
pub const ONCE: &str = "egret-once";
/// Milliseconds until the deadline of a request, from entry to agent.
pub const DEADLINE: &str = "egret-deadline-ms";
/// The weight version with which an answer was produced.
pub const VERSION: &str = "egret-version";
/// Requests in flight at an agent and its limit, as `running/limit`.
pub const LOAD: &str = "egret-load";
/// Marks a refusal, to distinguish it from an answer of the backend server.
pub const REFUSED: &str = "egret-refused";
/// The data centre of a caller, as a hint for the list of entries.
pub const DATA_CENTRE: &str = "x-data-centre";
/// The id of an operator's change.
pub const OPERATION: &str = "egret-operation";
/// The record revision that an operator's change expects.
pub const EXPECTED: &str = "egret-expected";
