//! Messages between entry instances, over capnp-rpc.

mod accept;
mod change_link;
mod dispatch_message;
mod handler;
mod link;
mod message;
mod message_size;
mod port;
mod server;
mod silence_timer;
mod steward_link;
mod steward_server;
mod tunnel_link;
mod tunnel_message;
mod tunnel_server;

pub use accept::accept;
pub use change_link::{ChangeAnswer, ChangeBatch, ChangeHandler, ChangeLink, StoreChange};
pub use dispatch_message::RunUpdate;
pub use handler::{
    ApplyReport, DocumentBatch, PeerDigest, PeerFuture, PeerHandler, ProbeMessage, RelayOutcome,
};
pub use link::PeerLinks;
pub use message::probe_bytes;
pub use port::{PeerAnswer, PeerError, PeerPort};
pub use server::serve_peers;
pub use steward_link::StewardLink;
pub use steward_server::{StewardHandler, serve_instance};
pub use tunnel_link::{TunnelError, TunnelStream, open_tunnel, report_to_host};
pub use tunnel_message::{HostReport, TunnelPurpose, TunnelRefusal};
pub use tunnel_server::{TunnelGuard, TunnelHandler, TunnelTarget, serve_tunnels};
