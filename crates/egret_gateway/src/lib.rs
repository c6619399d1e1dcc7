//! HTTP gateway that forwards callers' requests to backend servers.
//!
//! Each entry, the process that accepts callers, runs one gateway on one thread.
//! The gateway finds the route of a request, chooses a backend server and retries
//! elsewhere if that fails. It guarantees that
//!
//! - a request runs at most as often as its route allows,
//! - a request that was refused as "not run" did not run,
//! - a response is complete and belongs to its request, or else breaks off,
//! - a request is cancelled when its caller disconnects.
//!
//! A [`Protocol`] encodes and decodes the HTTP heads.
//!
//! The modules:
//!
//! - `gateway`: state that the requests of one entry share.
//! - `protocol`: how requests and responses are encoded in HTTP heads.
//! - `tables`: routes, API keys and weight versions, as last received from the control state.
//! - `backend`: one backend server, with its connections and its circuit breaker.
//! - `parts`: parts of prompts that crash backend servers, found by all entries together.
//! - `grants`: the slots of engines that their agents grant this entry.
//! - `permits`: rate limits that backend servers name, kept by all entries together.
//! - `slot`: the right to one request at a backend server.
//! - `slots`: load balancing and the queue for slots at backend servers.
//! - `attempt`: one attempt at one backend server.
//! - `body_reader`: response bodies that are not event streams.
//! - `relay`: event streams, with failover to another backend server.
//! - `exchange`: a request, from its arrival to its response.
//! - `body`: bodies of responses to callers.
//! - `memory`: which bodies to reject when memory does not suffice.
//! - `charge`: bodies that are read within that memory.
//! - `read_ahead`: responses that are read on while their callers do not read.
//! - `connections`: which connections to close, and when.
//! - `serve`: connections of callers.

mod attempt;
mod backend;
mod body;
mod body_reader;
mod charge;
mod connections;
mod exchange;
mod gateway;
mod grants;
mod memory;
mod parts;
mod permits;
mod protocol;
mod read_ahead;
mod relay;
mod serve;
mod slot;
mod slots;
mod tables;

pub use body::{ResponseAborted, ResponseBody};
pub use charge::{BodyError, BodyLimits, Charge, SharedBudget};
pub use connections::{ConnectionLimits, ConnectionState, Phase, dispensable};
pub use gateway::{Gateway, GatewaySettings};
pub use memory::{BodyId, BodyPace, MemoryBudget};
pub use protocol::{AttemptHead, BackendHead, CallerHead, InvalidHead, Protocol};
pub use serve::{Connections, serve};
