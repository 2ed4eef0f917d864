//! Updates of the configuration and of the list of backend servers.

pub mod follow;
pub mod list_age;
