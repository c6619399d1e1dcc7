//! Takes requests of callers, chooses a backend server and forwards.
//!
//! The gateway serves the routes of the catalog. It keeps what must hold for
//! every request: it runs at most as often as its route allows, a refusal that
//! says "not run" is true, an answer is whole and belongs to its request, and a
//! caller that leaves takes its request along. How requests look on the wire is
//! left to a [`Protocol`].
//!
//! - `wire`: the seam to a protocol of callers and backend servers.
//! - `tables`: routes, keys and weights, as the control state last told them.
//! - `backend`: one backend server, with its connections and its health.
//! - `service`: who gets a place at the backend servers of a service.
//! - `attempt`: one try at one backend server.
//! - `events`: the framing of event streams.
//! - `reading`: the body of an answer that is no stream of events.
//! - `relay`: a stream of events that goes on at another backend server.
//! - `exchange`: a request, from its arrival to its answer.
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
