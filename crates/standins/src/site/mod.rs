//! Stand-ins that implement the HTTP formats of the users' platform.

pub mod runner;
pub mod store;

pub use runner::{Runner, RunnerFaults, RunnerSettings};
pub use store::MetadataStore;
