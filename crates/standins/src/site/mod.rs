//! Stand-ins that speak the formats of the users' platform.

pub mod runner;
pub mod store;

pub use runner::{Runner, RunnerFaults, RunnerSettings};
pub use store::MetadataStore;
