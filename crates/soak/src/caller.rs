//! Callers that keep their connections until the process is gone, and what they were told.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ntex::http::{Method, StatusCode};
use ntex::time::Seconds;
use ntex::util::Bytes;
use transport::{ExchangeLimits, HttpClient};

/// Time that callers wait.
pub const PATIENCE: Duration = Duration::from_secs(3);

/// Time after that in which the connection must have ended or an answer come.
const SLACK: Duration = Duration::from_millis(1_500);

/// Time for which callers keep idle connections.
const IDLE_TIME: Seconds = Seconds(30);

/// The kinds of request.
#[derives::tag]
pub enum CallKind {
    /// A stream that can be resumed.
    Question,
    /// A call that may run at most once.
    Order,
    /// A call that may be repeated.
    Status,
}

impl CallKind {
    /// All kinds.
    pub const ALL: [Self; 3] = [Self::Question, Self::Order, Self::Status];

    fn path(self) -> &'static str {
        match self {
            Self::Question => "/question/1",
            Self::Order => "/order/1",
            Self::Status => "/status/1",
        }
    }
}

/// What a caller was told.
#[derives::value]
pub enum CallEnd {
    /// A status and a whole body.
    Told(StatusCode, String),
    /// The connection ended without a whole answer.
    Cut,
    /// Nothing came in time.
    Hung,
}

/// One call.
#[derives::value]
pub struct CallRecord {
    /// Its id.
    pub id: String,
    /// Its kind.
    pub kind: CallKind,
    /// The daemon that it was sent to.
    pub daemon: usize,
    /// When it was sent.
    pub sent: Instant,
    /// What the caller was told.
    pub end: CallEnd,
}

/// A caller of one daemon.
pub struct SoakCaller {
    link: HttpClient,
    address: SocketAddr,
    daemon: usize,
}

impl SoakCaller {
    /// Calls daemon number `daemon` at `address`.
    pub async fn new(daemon: usize, address: SocketAddr) -> Self {
        let limits = ExchangeLimits {
            connect: Duration::from_secs(1),
            head: PATIENCE + SLACK,
            ..ExchangeLimits::default()
        };
        Self {
            link: HttpClient::with_keep_alive(limits, IDLE_TIME).await,
            address,
            daemon,
        }
    }

    /// Makes a call with `key` and waits for its end.
    pub async fn call(&self, id: &str, kind: CallKind, key: &str) -> CallRecord {
        let sent = Instant::now();
        let exchange = self.exchange(id, kind, key);
        let end = tokio::time::timeout(PATIENCE + SLACK, exchange).await;
        CallRecord {
            id: id.to_owned(),
            kind,
            daemon: self.daemon,
            sent,
            end: end.unwrap_or(CallEnd::Hung),
        }
    }

    async fn exchange(&self, id: &str, kind: CallKind, key: &str) -> CallEnd {
        let url = format!("http://{}{}", self.address, kind.path());
        let mut request = self
            .link
            .request(Method::POST, &url)
            .set_header("Host", crate::HOST)
            .header("Request-Id", id)
            .header("Deadline-Ms", PATIENCE.as_millis().to_string())
            .header("Authorization", format!("Token {key}"));
        if kind == CallKind::Question {
            request = request.header("Token-Count", "4000,200");
        }
        let body = Bytes::from_static(b"body");
        let Ok(response) = self.link.send(request, body).await else {
            return CallEnd::Cut;
        };
        let status = response.status();
        match response.body().await {
            Ok(body) => CallEnd::Told(status, String::from_utf8_lossy(&body).into_owned()),
            Err(_) => CallEnd::Cut,
        }
    }
}
