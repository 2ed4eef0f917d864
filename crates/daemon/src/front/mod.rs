//! A node on the users' platform.
//!
//! The node is single-threaded: a request takes only a few short steps, and handing it to another
//! thread costs more than any of them. Modules are split by lifetime: [`process`] for the node,
//! [`version`] for the active configuration, [`connection`] for connections to callers, backend
//! servers and the store, [`request`] for a single request.

pub mod connection;
pub mod process;
pub mod request;
pub mod version;

pub use process::run;
