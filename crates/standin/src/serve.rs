//! Helpers for the stand-ins' HTTP servers: binding an address, waiting and delaying.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use ntex::server::Server;
use ntex::time::{Millis, sleep};

/// Error that keeps a stand-in from starting.
pub type StandinError = std::io::Error;

/// A running stand-in, which serves until its server is stopped or its runtime shuts down.
#[derive(Debug)]
pub struct RunningStandin {
    /// Address that the server is bound to.
    pub address: SocketAddr,
    /// Server future, which resolves once the server has been stopped.
    pub server: Server,
}

/// Binds `address` and returns the listener with its actual address. Port 0 selects a free port.
pub(crate) fn bind(address: SocketAddr) -> Result<(TcpListener, SocketAddr), StandinError> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Interval at which a blocked handler checks its condition again.
const POLL_INTERVAL: Millis = Millis(5);

/// Waits until `condition` is false, polling it every `POLL_INTERVAL`.
pub(crate) async fn wait_while(condition: impl Fn() -> bool) {
    while condition() {
        sleep(POLL_INTERVAL).await;
    }
}

/// Sleeps for `duration`; a zero duration returns without yielding to the runtime.
pub(crate) async fn delay(duration: Duration) {
    if !duration.is_zero() {
        tokio::time::sleep(duration).await;
    }
}
