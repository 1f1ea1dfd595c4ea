//! Generated codec of the messages between entry instances.
//!
//! The modules are written by `cargo xtask generate` from the schemas of the same names and
//! committed, so that a build needs no generator.

pub mod dispatch_capnp;
pub mod peer_capnp;
