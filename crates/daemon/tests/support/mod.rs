//! Starts separate processes and connects to them over loopback.
#![allow(dead_code, reason = "each test binary uses only some of the support module")]

pub mod crowd;
pub mod deadly;
pub mod fleet;
pub mod http;
pub mod process;
pub mod raw;
pub mod scripted;
pub mod site;
