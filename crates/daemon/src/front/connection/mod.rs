//! Connections to callers, backend servers, other nodes and the store.

pub mod backend;
pub mod backend_reach;
pub mod caller;
pub mod ended;
pub mod listener;
pub mod paced;
pub mod peers;
pub mod reach;
pub mod relay_server;
pub mod responder;
pub mod status;
pub mod store;
pub mod tunnel;
mod tunnel_server;

pub use backend::{BackendPool, SendOutcome};
pub use responder::Responder;
