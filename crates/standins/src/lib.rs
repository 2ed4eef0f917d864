//! Stand-ins for the systems that dandelionfront communicates with.
//!
//! Each stand-in keeps its state in memory and serves HTTP on one thread. Engines, services and
//! runners record the requests that they execute, so that tests can count executions and search
//! the requests for callers' keys. The examples of this package run stand-ins as programs.

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
