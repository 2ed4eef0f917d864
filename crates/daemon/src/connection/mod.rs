//! Links to other nodes and the HTTP clients behind them.

pub mod clients;
pub mod forward;

pub use clients::Clients;
