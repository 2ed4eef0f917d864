//! Team limits shared by all nodes, based on escrowed shares or on usage reports.

pub mod bucket;
pub mod escrow;
mod reclaim;
pub mod shares;
pub mod usage;

pub use bucket::Bucket;
pub use escrow::{LimitSettings, ShareLimiter};
pub use shares::{LimitRow, Share};
pub use usage::UsageLimiter;
