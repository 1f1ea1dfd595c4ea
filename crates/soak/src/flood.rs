//! Callers whose requests do not end.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Number of connections at the same time.
const CONNECTIONS: usize = 50;

/// Bytes that are written at once.
const WRITTEN_BYTES: usize = 16 * 1_024;

/// Which part of a request does not end.
#[derives::tag]
pub enum EndlessRequest {
    /// Its head.
    Head,
    /// The line that begins a chunk of its body.
    ChunkLine,
    /// Its body, in chunks of one byte.
    SmallChunks,
}

impl EndlessRequest {
    /// All of them.
    pub const ALL: [Self; 3] = [Self::Head, Self::ChunkLine, Self::SmallChunks];

    fn begin(self) -> &'static str {
        match self {
            Self::Head => "POST /order/1 HTTP/1.1\r\nX-Fill: ",
            Self::ChunkLine => "POST /order/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;",
            Self::SmallChunks => "POST /order/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
        }
    }

    fn repeated(self) -> &'static str {
        match self {
            Self::Head | Self::ChunkLine => "a",
            Self::SmallChunks => "1\r\na\r\n",
        }
    }

    /// Sends such requests to `address` until the daemon closes their connections, for `time` at the most.
    pub async fn send(self, address: SocketAddr, time: Duration) {
        let repeated = self.repeated();
        let repeated = repeated.repeat(WRITTEN_BYTES.div_ceil(repeated.len()));
        let connections = (0..CONNECTIONS).map(|_| {
            let written = async {
                let mut stream = TcpStream::connect(address).await?;
                stream.write_all(self.begin().as_bytes()).await?;
                loop {
                    stream.write_all(repeated.as_bytes()).await?;
                    tokio::task::yield_now().await;
                }
            };
            timeout(time, written)
        });
        // Each connection ends with an error, or with its time.
        let _: Vec<Result<std::io::Result<()>, _>> = join_all(connections).await;
    }
}
