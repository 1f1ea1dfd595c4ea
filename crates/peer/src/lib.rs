//! Messages between entry instances, over capnp-rpc.

mod handler;
mod link;
mod message;
mod port;
mod server;

pub use handler::{
    ApplyReport, DocumentBatch, PeerDigest, PeerFuture, PeerHandler, ProbeMessage, RelayVerdict,
};
pub use link::PeerLinks;
pub use message::probe_bytes;
pub use port::{PeerAnswer, PeerFault, PeerPort};
pub use server::serve_peers;
