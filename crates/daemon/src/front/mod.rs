//! The node on the users' platform, which forwards callers' requests to backend servers.
//!
//! A node is single-threaded: a request takes only a few short steps, and handing it to another
//! thread would cost more than any of them. Modules are split by the lifetime of their state:
//! [`process`] for the node, [`version`] for the configuration and the list of backend servers,
//! [`connection`] for connections to callers, backend servers, other nodes and the store,
//! [`request`] for a single request.

pub mod connection;
pub mod process;
pub mod request;
pub mod version;

pub use process::run;
