//! Stand-ins for the users' platform, on which the daemon's `front` module runs: backend server
//! and metadata store. [`crate::platform`] stands in for a different interface, the services of
//! [`dandelionfront_coordination::platform`].

pub mod crashing;
pub mod faulty;
pub mod repeater;
pub mod runner;
pub mod scripted;
pub mod store;

pub use crashing::{CrashingServer, CrashingSettings};
pub use faulty::{FaultyAnswer, FaultyServer};
pub use repeater::{Repeater, RepeaterSettings};
pub use runner::{Runner, RunnerFaults, RunnerSettings};
pub use scripted::{Script, ScriptedRequest, ScriptedServer, Step};
pub use store::MetadataStore;
