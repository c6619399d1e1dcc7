//! Limits, choices and retries of requests.
//!
//! - `refusal`: final answers to requests that are given up on.
//! - `gate`: the bound before one backend server.
//! - `choice`: which backend server gets a request.
//! - `budget`: how many requests may be tried again.
//! - `addresses`: which entries a caller should use.

mod addresses;
mod budget;
mod choice;
mod gate;
mod refusal;

pub use addresses::{EntryAddress, EntryList, list_entries};
pub use budget::RetryBudget;
pub use choice::{Candidate, Hints, choose};
pub use gate::{Gate, Permit, Warmth};
pub use refusal::{Code, Ran, Refusal};
