//! Rate limits of teams over all nodes, enforced by shares that nodes hold ([`escrow`]) or by usage
//! reports ([`usage`]).

pub mod bucket;
pub mod escrow;
mod held;
mod reclaim;
pub mod shares;
pub mod usage;

pub use bucket::Bucket;
pub use escrow::{LimitSettings, ShareLimiter};
pub use shares::{LimitRow, Share};
pub use usage::UsageLimiter;
