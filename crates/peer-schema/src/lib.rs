//! Generated codec of the messages between entry instances.
//!
//! `src/peer_capnp.rs` is written by `cargo xtask generate` from `schema/peer.capnp` and
//! committed, so that a build needs no generator.

pub mod peer_capnp;
