//! What holds for one configuration version, and the list of backend servers.

pub mod follow;
