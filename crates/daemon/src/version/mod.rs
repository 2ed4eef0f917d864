//! State with the lifetime of one published configuration, and the switch to the next one.

mod follower;

pub use follower::Follower;
