//! Request rate limits of backend servers, kept by all entries together.
//!
//! A backend server may name in its responses how many requests per second it
//! accepts from all entries together.
//!
//! - `limit`: the limit that responses of one backend server name.

mod limit;

pub use limit::{KnownLimit, LimitNotice};
