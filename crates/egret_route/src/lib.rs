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

mod adaptive;
mod addresses;
mod age;
mod budget;
mod choice;
mod cold;
mod gate;
mod health;
mod hold;
mod placement;
mod refusal;
mod waiting;

pub use adaptive::AdaptiveBound;
pub use addresses::{EntryAddress, EntryList, list_entries};
pub use age::CallAges;
pub use budget::RetryBudget;
pub use choice::{Candidate, Hints, choose};
pub use cold::ColdPace;
pub use gate::{Gate, Permit, Warmth};
pub use health::{Failure, Health};
pub use hold::{Hold, Holds};
pub use placement::{Distance, Place, entry_bound, place};
pub use refusal::{Code, Ran, Refusal};
pub use waiting::{Waiter, Waiting};
