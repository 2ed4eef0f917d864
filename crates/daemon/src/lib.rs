//! Daemon of dandelionfront: callers' HTTP in front, model engines and plain services behind.
//!
//! Modules follow life span: [`request`] for one call, [`connection`] for links to peers,
//! [`version`] for one published configuration, [`process`] for the node as a whole.

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
