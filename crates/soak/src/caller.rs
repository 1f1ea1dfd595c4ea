//! Callers, which keep their connections alive until the daemon's process ends, and the outcome of
//! their calls.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ntex::http::{Method, StatusCode};
use ntex::time::Seconds;
use ntex::util::Bytes;
use transport::{ExchangeError, ExchangeLimits, HttpClient};

use crate::storm::StormOutcome;

/// Time that callers give each call, which they send as its deadline.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after the deadline within which a call must have been answered or its connection closed.
pub const TIMEOUT_SLACK: Duration = Duration::from_millis(1_500);

/// Time for which callers keep idle connections open.
const IDLE_TIMEOUT: Seconds = Seconds(30);

/// Kind of a request.
#[derives::tag]
pub enum CallKind {
    /// A resumable stream.
    Question,
    /// A call that may run at most once.
    Order,
    /// A call that may run at most once, with a body that the buffers of connections do not hold.
    Upload,
    /// An idempotent call.
    Status,
    /// A resumable stream that crashes the endpoints that begin to run it.
    CrashingStream,
    /// An idempotent call that crashes the endpoints that begin to run it.
    CrashingCall,
    /// A resumable stream, like no other, with a part in its prompt that crashes endpoints.
    CrashingPart,
}

/// Part of prompts that crashes endpoints.
pub const CRASHING_PART: &str = "c0ffee";

/// Body of the calls that crash endpoints.
pub const CRASHING_BODY: &[u8] = b"crash";

/// Size of the body of an upload, in bytes.
pub const UPLOAD_BYTES: usize = 12 * 1_024 * 1_024;

impl CallKind {
    /// Every kind of request that endpoints serve at any time.
    pub const ALL: [Self; 3] = [Self::Question, Self::Order, Self::Status];

    /// Whether the call may run at most once.
    #[must_use]
    pub fn runs_once(self) -> bool {
        matches!(self, Self::Order | Self::Upload)
    }

    fn path(self) -> &'static str {
        match self {
            Self::Question | Self::CrashingStream | Self::CrashingPart => "/question/1",
            Self::Order | Self::Upload => "/order/1",
            Self::Status | Self::CrashingCall => "/status/1",
        }
    }

    /// Whether endpoints answer with a stream.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(
            self,
            Self::Question | Self::CrashingStream | Self::CrashingPart
        )
    }

    /// Path and query of call `id`. Half of the calls that crash endpoints have a query of their own.
    fn target(self, id: &str) -> String {
        let path = self.path();
        let is_odd = id.ends_with(['1', '3', '5', '7', '9']);
        match self {
            Self::CrashingStream | Self::CrashingCall if is_odd => format!("{path}?page={id}"),
            _ => path.to_owned(),
        }
    }

    fn body(self, id: &str) -> Bytes {
        match self {
            Self::CrashingStream | Self::CrashingCall => Bytes::from_static(CRASHING_BODY),
            Self::CrashingPart => Bytes::copy_from_slice(id.as_bytes()),
            Self::Upload => Bytes::from(vec![b'u'; UPLOAD_BYTES]),
            Self::Question | Self::Order | Self::Status => Bytes::from_static(b"body"),
        }
    }

    /// Parts of the prompt of call `id`. All prompts share the first part.
    fn prompt_parts(self, id: &str) -> String {
        let second = match self {
            Self::CrashingPart => CRASHING_PART,
            _ => "b0",
        };
        format!("5a:40,{second}:100,{id}:300")
    }
}

/// Outcome of a call as its caller saw it.
#[derives::value]
pub enum CallOutcome {
    /// A response with its status and complete body.
    Response(StatusCode, String),
    /// The connection closed before a complete response had arrived.
    ConnectionLost,
    /// No response arrived, and the connection stayed open past the deadline and its slack.
    TimedOut,
}

/// A finished call.
#[derives::value]
pub struct CallRecord {
    /// Request id.
    pub id: String,
    /// Kind of the request.
    pub kind: CallKind,
    /// Index of the daemon that the call was sent to.
    pub daemon: usize,
    /// Time at which the call was sent.
    pub sent: Instant,
    /// Outcome that the caller saw.
    pub outcome: CallOutcome,
}

/// A caller of one daemon.
pub struct SoakCaller {
    client: HttpClient,
    address: SocketAddr,
    daemon: usize,
}

impl SoakCaller {
    /// Creates a caller of the daemon with index `daemon` at `address`.
    pub async fn new(daemon: usize, address: SocketAddr) -> Self {
        let limits = ExchangeLimits {
            connect: Duration::from_secs(1),
            head: CALL_TIMEOUT + TIMEOUT_SLACK,
            ..ExchangeLimits::default()
        };
        Self {
            client: HttpClient::with_keep_alive(limits, IDLE_TIMEOUT).await,
            address,
            daemon,
        }
    }

    /// Sends a call with the API key `key` and waits for its outcome.
    pub async fn call(&self, id: &str, kind: CallKind, key: &str) -> CallRecord {
        let sent = Instant::now();
        let exchange = self.exchange(id, kind, key);
        let outcome = tokio::time::timeout(CALL_TIMEOUT + TIMEOUT_SLACK, exchange).await;
        CallRecord {
            id: id.to_owned(),
            kind,
            daemon: self.daemon,
            sent,
            outcome: outcome.unwrap_or(CallOutcome::TimedOut),
        }
    }

    /// Sends a call and closes its connection after `patience`, unless it has been answered.
    pub async fn call_and_leave(
        &self,
        id: &str,
        kind: CallKind,
        key: &str,
        patience: Duration,
    ) -> CallRecord {
        let sent = Instant::now();
        let outcome = tokio::time::timeout(patience, self.exchange(id, kind, key)).await;
        CallRecord {
            id: id.to_owned(),
            kind,
            daemon: self.daemon,
            sent,
            outcome: outcome.unwrap_or(CallOutcome::ConnectionLost),
        }
    }

    async fn exchange(&self, id: &str, kind: CallKind, key: &str) -> CallOutcome {
        let url = format!("http://{}{}", self.address, kind.target(id));
        let mut request = self
            .client
            .request(Method::POST, &url)
            .set_header("Host", crate::HOST)
            .header("Request-Id", id)
            .header("Deadline-Ms", CALL_TIMEOUT.as_millis().to_string())
            .header("Authorization", format!("Token {key}"));
        if kind.is_stream() {
            request = request.header("Token-Count", "4000,200");
            request = request.header("Prompt-Prefix", kind.prompt_parts(id));
        }
        let body = kind.body(id);
        let patience = CALL_TIMEOUT + TIMEOUT_SLACK;
        let sent = self.client.send_unchecked(request, body, patience);
        let Ok(response) = sent.await else {
            return CallOutcome::ConnectionLost;
        };
        let status = response.status();
        match response.body().await {
            Ok(body) => CallOutcome::Response(status, String::from_utf8_lossy(&body).into_owned()),
            Err(_) => CallOutcome::ConnectionLost,
        }
    }
}

/// A request of a storm.
#[derives::value]
pub struct StormRequest {
    /// Request id.
    pub id: String,
    /// Name of the route, which is also its path.
    pub route: String,
    /// API key.
    pub key: String,
    /// Time that the caller gives the request.
    pub deadline: Duration,
}

/// A caller of one daemon in a storm.
pub struct StormCaller {
    client: HttpClient,
    address: SocketAddr,
}

impl StormCaller {
    /// Creates a caller of the daemon at `address`.
    pub async fn new(address: SocketAddr) -> Self {
        let limits = ExchangeLimits {
            connect: Duration::from_secs(1),
            ..ExchangeLimits::default()
        };
        Self {
            client: HttpClient::with_keep_alive(limits, IDLE_TIMEOUT).await,
            address,
        }
    }

    /// Sends a request. Returns its outcome and the time at which that was known.
    pub async fn call(&self, request: &StormRequest) -> (StormOutcome, Instant) {
        let patience = request.deadline + TIMEOUT_SLACK;
        let exchange = tokio::time::timeout(patience, self.exchange(request, patience));
        let outcome = exchange.await.unwrap_or(StormOutcome::Silent);
        (outcome, Instant::now())
    }

    async fn exchange(&self, request: &StormRequest, patience: Duration) -> StormOutcome {
        let url = format!("http://{}/{}/1", self.address, request.route);
        let deadline = request.deadline.as_millis().to_string();
        let head = self
            .client
            .request(Method::POST, &url)
            .set_header("Host", crate::HOST)
            .header("Request-Id", &request.id)
            .header("Deadline-Ms", deadline)
            .header("Authorization", format!("Token {}", request.key));
        let body = Bytes::from_static(b"body");
        let response = match self.client.send_unchecked(head, body, patience).await {
            Ok(response) => response,
            Err(ExchangeError::NotSent) => return StormOutcome::NotSent,
            Err(ExchangeError::Silent) => return StormOutcome::Silent,
            Err(ExchangeError::Lost | ExchangeError::Unreadable) => return StormOutcome::Lost,
        };
        let status = response.status().as_u16();
        match self.client.read_body(&response).await {
            Ok(_) => StormOutcome::Answered(status),
            Err(ExchangeError::Silent) => StormOutcome::Silent,
            Err(_) => StormOutcome::Lost,
        }
    }
}
