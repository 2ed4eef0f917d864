//! Configuration objects: parsing, validation, and publication of versions.

pub mod check;
pub mod files;
pub mod objects;
pub mod publish;
pub mod review;
pub mod snapshot;

pub use check::Problem;
pub use files::ObjectFiles;
pub use objects::ObjectSet;
pub use publish::{ConfigStore, PublishError, Published};
pub use snapshot::ConfigSnapshot;
