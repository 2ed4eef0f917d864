//! State and tasks that live as long as the process.

mod clock;
mod cold;
mod lifecycle;
mod logs;
pub mod metrics;
mod node;
pub mod quarantine;
mod stop;

pub use clock::FrontClock;
pub use lifecycle::run;
pub use metrics::{FrontMetrics, RetryReason};
pub use node::FrontNode;
pub use stop::ActiveGuard;
pub use stop::StopSignal;
