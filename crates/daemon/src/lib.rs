//! The dandelionfront daemon: accepts calls over HTTP and forwards them to model engines and plain
//! services.
//!
//! Modules are split by lifetime: [`process`] for the node, [`version`] for the active
//! configuration, [`connection`] for connections to other nodes, [`request`] for a single call.

pub mod backend;
pub mod cli;
pub mod connection;
pub mod consts;
pub mod crash;
pub mod front;
pub mod logs;
pub mod operator;
pub mod process;
pub mod registry;
pub mod request;
pub mod settings;
#[cfg(feature = "trial")]
pub mod trial;
pub mod version;

pub use settings::Settings;
