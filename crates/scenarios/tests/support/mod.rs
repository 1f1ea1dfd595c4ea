//! Starts entry instances and stand-ins as processes of their own, and talks to them.

#![allow(dead_code, reason = "each test file uses a part of the support")]

pub mod caller_client;
pub mod fleet;
pub mod process;
