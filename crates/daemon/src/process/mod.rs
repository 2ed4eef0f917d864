//! State of the process: threads, listeners, shared state, graceful shutdown.

pub mod clock;
pub mod control;
pub mod handle;
pub mod lifecycle;
pub mod metrics;
pub mod platform;
pub mod shared;

pub use control::Control;
pub use handle::ControlHandle;
pub use lifecycle::{RunningNode, run, start, wait_for_stop_signal};
pub use metrics::Metrics;
pub use shared::{Shared, Worker};
