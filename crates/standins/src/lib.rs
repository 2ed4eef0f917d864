//! Stand-ins for the systems that dandelionfront communicates with.
//!
//! Servers keep their state in memory and handle HTTP requests on one worker thread. Engines,
//! services and runners (backend servers of the users' platform) record the requests that they
//! accept, so that tests can count executions and check that callers' keys were not forwarded.
//! The examples of this package run stand-ins as programs. [`StepClock`], [`MemoryRows`] and
//! [`PlatformState`] are used in process, without HTTP.

pub mod clock;
pub mod engine;
pub mod faults;
pub mod http;
pub mod platform;
pub mod proxy;
pub mod rows;
pub mod service;
pub mod site;
pub mod table;

pub use clock::StepClock;
pub use engine::{Engine, EngineSettings};
pub use faults::StoreFaults;
pub use platform::Platform;
pub use proxy::{FaultProxy, ProxyFaults};
pub use rows::MemoryRows;
pub use service::{Service, ServiceSettings};
pub use table::PlatformState;
