//! Links to other nodes and the HTTP clients behind them.

pub mod clients;
pub mod forward;
pub mod peers;

pub use clients::Clients;
