//! A node on the users' platform.
//!
//! One thread does all the work: a request needs a handful of short steps, and each hop between
//! threads costs more than any of them. Modules follow life span: [`process`] for the node,
//! [`version`] for the configuration in force, [`connection`] for links to callers, backend
//! servers and the store, [`request`] for one request.

pub mod connection;
pub mod process;
pub mod request;
pub mod version;

pub use process::run;
