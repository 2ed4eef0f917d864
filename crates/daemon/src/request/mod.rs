//! Request handlers and the state of a single request.

pub mod answer;
pub mod auth;
pub mod chat;
pub mod execute;
pub mod forwarded;
pub mod programs;
pub mod routes;
pub mod service;
pub mod submit;

pub use submit::CallStream;
