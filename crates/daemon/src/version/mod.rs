//! The active configuration and the switch to newer versions.

mod follower;

pub use follower::ConfigFollower;
