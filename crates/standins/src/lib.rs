//! Small stand-ins for the systems around dandelionfront.
//!
//! Each stand-in keeps its state behind one mutex, serves HTTP on one thread and records what it
//! executed, so that tests can count executions and look for callers' keys. Their programs are the
//! examples of this package.

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
pub use table::MemoryTable;
