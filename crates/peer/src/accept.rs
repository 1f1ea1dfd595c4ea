//! Accepts connections.

use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

/// Pause after a failure to accept. While descriptors are exhausted, a connection that waits makes each
/// attempt fail at once.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);

/// Waits for the next connection on `listener`, however often accepting fails.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                spdlog::warn!("accept failed", kv: { error: });
                tokio::time::sleep(FAILURE_PAUSE).await;
            }
        }
    }
}
