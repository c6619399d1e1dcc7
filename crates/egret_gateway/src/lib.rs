//! HTTP gateway from callers to the backend servers of the catalog's routes.
//!
//! The gateway chooses a backend server for each request and forwards it. It
//! guarantees that a request runs at most as often as its route allows, that a
//! refusal that says "not run" is true, that a response is complete and belongs to
//! its request, and that a request is cancelled when its caller disconnects. The
//! HTTP headers in use are left to a [`Protocol`].
//!
//! - `protocol`: how requests and responses are encoded in HTTP heads.
//! - `tables`: routes, API keys and weight versions, as last received from the control state.
//! - `backend`: one backend server, with its connections and its circuit breaker.
//! - `slots`: load balancing and the queue for slots at backend servers.
//! - `attempt`: one attempt at one backend server.
//! - `events`: the framing of event streams.
//! - `body_reader`: response bodies that are no event streams.
//! - `relay`: event streams, with failover to another backend server.
//! - `exchange`: a request, from its arrival to its response.
//! - `serve`: connections of callers.

mod attempt;
mod backend;
mod body;
mod body_reader;
mod events;
mod exchange;
mod gateway;
mod protocol;
mod relay;
mod serve;
mod slots;
mod tables;

pub use body::{ResponseAborted, ResponseBody};
pub use events::{Event, EventReader};
pub use gateway::{Gateway, GatewaySettings};
pub use protocol::{AttemptHead, BackendHead, CallerHead, InvalidHead, Protocol};
pub use serve::{ConnectionLimits, serve};
