//! Starts entry instances and stand-ins as separate processes, and sends them requests.

#![allow(dead_code, reason = "each test file uses only some of these items")]

pub mod caller_client;
pub mod fleet;
pub mod process;
