//! Messages between entry instances, over capnp-rpc.

mod handler;
mod link;
mod message;
mod server;

pub use handler::{
    ApplyReport, DocumentBatch, PeerDigest, PeerFuture, PeerHandler, ProbeMessage, RelayVerdict,
};
pub use link::{PeerFault, PeerLinks};
pub use server::serve_peers;
