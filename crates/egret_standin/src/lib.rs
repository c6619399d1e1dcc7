//! Stand-ins of the systems that egretgap serves, for development.
//!
//! Each is spoken to only by its HTTP protocol, as the real system would be.
//!
//! - `engine`: a model engine.
//! - `service`: a plain service, some of whose calls may not be repeated.
//! - `origin`: an origin of weights.

pub mod engine;
pub mod origin;
mod respond;
pub mod service;
