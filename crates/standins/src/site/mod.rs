//! Stand-ins for the users' platform, on which the daemon's `front` module runs: backend server
//! and metadata store.

pub mod runner;
pub mod store;

pub use runner::{Runner, RunnerFaults, RunnerSettings};
pub use store::MetadataStore;
