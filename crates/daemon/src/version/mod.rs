//! One published configuration and how the node follows to the next.

mod follower;

pub use follower::Follower;
