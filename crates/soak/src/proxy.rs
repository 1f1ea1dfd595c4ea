//! Loopback TCP proxy that can delay traffic, block it in one or both directions, or reset
//! connections.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

/// Largest number of bytes forwarded at once.
const BUFFER_BYTES: usize = 16 * 1_024;

/// Interval at which blocked traffic checks whether it may continue.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How a proxy treats the traffic that it forwards.
#[derives::tag]
pub enum ProxyMode {
    /// Forwards all traffic at once.
    Pass,
    /// Forwards all traffic after a delay in milliseconds.
    Delay(u64),
    /// Blocks traffic in both directions, on open and new connections.
    Silent,
    /// Blocks traffic to the server.
    SilentForward,
    /// Blocks traffic from the server.
    SilentBack,
    /// Closes open connections, and new ones as soon as they are accepted.
    Reset,
}

#[derive(Debug)]
struct ProxyState {
    mode: ProxyMode,
    connections: Vec<AbortHandle>,
}

/// A proxy in front of one server. Dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    state: Rc<RefCell<ProxyState>>,
    accept_task: AbortHandle,
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.accept_task.abort();
        self.state
            .borrow()
            .connections
            .iter()
            .for_each(AbortHandle::abort);
    }
}

impl FaultProxy {
    /// Listens on a free port of `host` and forwards connections to `server`.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub async fn new(host: std::net::Ipv4Addr, server: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((host, 0)).await?;
        let address = listener.local_addr()?;
        let state = Rc::new(RefCell::new(ProxyState {
            mode: ProxyMode::Pass,
            connections: Vec::new(),
        }));
        let shared = Rc::clone(&state);
        let accept_task = tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if shared.borrow().mode == ProxyMode::Reset {
                    continue;
                }
                let connection =
                    tokio::task::spawn_local(proxy_connection(stream, server, Rc::clone(&shared)));
                let mut state = shared.borrow_mut();
                state
                    .connections
                    .retain(|connection| !connection.is_finished());
                state.connections.push(connection.abort_handle());
            }
        });
        Ok(Self {
            address,
            state,
            accept_task: accept_task.abort_handle(),
        })
    }

    /// Returns the address that the proxy listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the mode. `Reset` closes the open connections at once.
    pub fn set_mode(&self, mode: ProxyMode) {
        let mut state = self.state.borrow_mut();
        state.mode = mode;
        if mode == ProxyMode::Reset {
            for connection in state.connections.drain(..) {
                connection.abort();
            }
        }
    }
}

async fn proxy_connection(stream: TcpStream, server: SocketAddr, state: Rc<RefCell<ProxyState>>) {
    let Ok(upstream) = TcpStream::connect(server).await else {
        return;
    };
    let (from_caller, to_caller) = stream.into_split();
    let (from_server, to_server) = upstream.into_split();
    let requests = forward(from_caller, to_server, &state, ProxyMode::SilentForward);
    let responses = forward(from_server, to_caller, &state, ProxyMode::SilentBack);
    tokio::join!(requests, responses);
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    state: &RefCell<ProxyState>,
    blocked_mode: ProxyMode,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(length) = from.read(&mut buffer).await {
        loop {
            let mode = state.borrow().mode;
            match mode {
                ProxyMode::Silent => {}
                current if current == blocked_mode => {}
                ProxyMode::Delay(millis) => {
                    tokio::time::sleep(Duration::from_millis(millis)).await;
                    break;
                }
                _ => break,
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
