//! Admission limits, load balancing and retries of requests.
//!
//! - `refusal`: final error responses to requests that are not served.
//! - `concurrency_limit`: an agent's limit on requests to its backend server, with slow start.
//! - `adaptive`: an entry's limit on requests to a backend server, set by response times.
//! - `cold`: the request rate to a cold backend server.
//! - `cost_model`: prediction of an engine's delays from its figures.
//! - `circuit_breaker`: backend servers that fail are skipped for a while.
//! - `back_off`: backend servers that asked for no requests in their responses.
//! - `placement`: load balancing by the estimated load of each backend server.
//! - `choice`: load balancing by two random choices, with load hints from responses.
//! - `wait_queue`: the order of requests that wait for a backend server.
//! - `age`: how long a caller has been retrying already.
//! - `budget`: how many requests may be retried.
//! - `addresses`: which entries a caller should use.

mod adaptive;
mod addresses;
mod age;
mod back_off;
mod budget;
mod choice;
mod circuit_breaker;
mod cold;
mod concurrency_limit;
mod cost_model;
mod placement;
mod refusal;
mod wait_queue;

pub use adaptive::AdaptiveLimit;
pub use addresses::{EntryAddress, EntryList, list_entries};
pub use age::RequestAges;
pub use back_off::{BackOff, BackOffs};
pub use budget::RetryBudget;
pub use choice::{Candidate, LoadHints, choose};
pub use circuit_breaker::{CircuitBreaker, Failure};
pub use cold::ColdRateLimit;
pub use concurrency_limit::{ConcurrencyLimit, Permit, Warmup};
pub use cost_model::{EngineModel, Running};
pub use placement::{BackendLoad, Distance, choose_cheapest, entry_limit, overcommits_memory};
pub use refusal::{Code, Ran, Refusal};
pub use wait_queue::{WaitQueue, Waiter};
