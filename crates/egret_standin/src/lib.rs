//! Stand-ins for the backend servers and the weights origin, for development.
//!
//! Programs reach them only over HTTP, as they would the real systems.
//!
//! - `engine`: a model engine whose answers echo the prompt.
//! - `service`: a plain service that counts how often each request ran.
//! - `origin`: an origin server of weights, with limited bandwidth.

pub mod engine;
pub mod origin;
mod respond;
pub mod service;
