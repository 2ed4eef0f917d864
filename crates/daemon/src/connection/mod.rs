//! Connections to other nodes and to backend servers.

pub mod clients;
pub mod exchange;
pub mod forward;
pub mod peers;

pub use clients::Clients;
