//! Starts real processes and talks to them over loopback.
#![allow(dead_code, reason = "each test program uses a part of the support module")]

pub mod fleet;
pub mod http;
pub mod process;
pub mod site;
