//! Connections to other nodes, and the HTTP clients for all outgoing requests.

pub mod clients;
pub mod forward;
pub mod peers;

pub use clients::Clients;
