//! The dandelionfront daemon: accepts calls over HTTP and forwards them to model engines and plain
//! services.
//!
//! State is grouped by how long it lives: [`process`] for the node, [`version`] for the active
//! configuration, [`connection`] for connections to other nodes, [`request`] for a single request.

pub mod backend;
pub mod cli;
pub mod connection;
pub mod consts;
pub mod crash;
mod descriptors;
pub mod front;
pub mod logs;
pub mod operator;
pub mod process;
pub mod registry;
pub mod request;
pub mod settings;
pub mod transfer;
#[cfg(feature = "trial")]
pub mod trial;
mod upload;
pub mod version;

pub use settings::Settings;
