//! Team limits over all nodes together: escrowed shares of a token bucket.

pub mod bucket;
pub mod escrow;
mod reclaim;
pub mod shares;
pub mod usage;

pub use bucket::Bucket;
pub use escrow::{Escrow, LimitSettings};
pub use shares::{LimitRow, Share};
pub use usage::UsageLimiter;
