//! Starts a stand-in's HTTP server, and the switch that freezes one.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use ntex::server::Server;
use ntex::time::{Millis, sleep};

/// Why a stand-in could not be started.
pub type StandinError = std::io::Error;

/// A stand-in that serves until it is stopped or its runtime ends.
#[derive(Debug)]
pub struct RunningStandin {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its server, which resolves when it has been stopped.
    pub server: Server,
}

/// Binds `address`, where port zero takes a free one.
pub(crate) fn bind(address: SocketAddr) -> Result<(TcpListener, SocketAddr), StandinError> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// How often a held-up handler looks whether it may go on.
const HOLD_POLL: Millis = Millis(5);

/// Holds a handler up while `is_held`.
pub(crate) async fn hold_while(is_held: impl Fn() -> bool) {
    while is_held() {
        sleep(HOLD_POLL).await;
    }
}

/// Sleeps for `duration`, which may be zero.
pub(crate) async fn pause(duration: Duration) {
    if !duration.is_zero() {
        tokio::time::sleep(duration).await;
    }
}
