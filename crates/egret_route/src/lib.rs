//! Limits, choices and retries of requests.
//!
//! - `refusal`: final answers to requests that are given up on.
//! - `adaptive`: how many requests a backend server is given, by how fast it answers.
//! - `age`: how long a caller has been waiting already.
//! - `cold`: the pace of requests to a cold backend server.
//! - `health`: what outcomes say of a backend server.
//! - `placement`: where a request goes, by known load.
//! - `waiting`: who gets the next place, and who gives up.
//! - `hold`: who wants no requests for now, by the word of its own answers.
//! - `gate`: the bound before one backend server.
//! - `choice`: which backend server gets a request.
//! - `budget`: how many requests may be tried again.
//! - `addresses`: which entries a caller should use.

mod adaptive_limit;
mod addresses;
mod back_off;
mod choice;
mod circuit_breaker;
mod cold_rate_limit;
mod concurrency_limit;
mod placement;
mod refusal;
mod request_age;
mod retry_budget;
mod wait_queue;

pub use adaptive_limit::AdaptiveLimit;
pub use addresses::{EntryAddress, EntryList, list_entries};
pub use back_off::{BackOff, BackOffs};
pub use choice::{Candidate, LoadHints, choose};
pub use circuit_breaker::{CircuitBreaker, Failure};
pub use cold_rate_limit::ColdRateLimit;
pub use concurrency_limit::{ConcurrencyLimit, Permit, Warmup};
pub use placement::{BackendLoad, Distance, entry_limit, place};
pub use refusal::{Code, Ran, Refusal};
pub use request_age::RequestAges;
pub use retry_budget::RetryBudget;
pub use wait_queue::{WaitQueue, Waiter};
