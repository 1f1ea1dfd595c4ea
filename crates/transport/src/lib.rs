//! HTTP client shared by the packages that call other processes.
//!
//! By default every exchange opens a connection of its own and closes it afterwards: a keep-alive
//! connection can fail silently while it is idle, and then it is unknown whether a call was sent. A
//! client [`with_keep_alive`](HttpClient::with_keep_alive) is for calls that may be repeated.
//!
//! Timeouts use tokio's timers. The timers of `ntex` run on a wheel that measures each tick from
//! the time at which the previous tick was processed, so on a busy thread the delays accumulate
//! without limit.

mod events;
mod unread_limit;

use std::time::Duration;

use ntex::SharedCfg;
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientRequest, ClientResponse, Connector};
use ntex::connect::{Connect, ConnectError as ConnectFailure, Connector as TcpConnector};
use ntex::http::Uri;
use ntex::http::{Method, StatusCode};
use ntex::io::{IoBoxed, IoConfig};
use ntex::service::apply_fn_factory;
use ntex::time::{Millis, Seconds};
use ntex::util::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

pub use crate::events::{EventSplitter, EventTooLarge, WholeEvent, is_after};
pub use crate::unread_limit::UnreadLimit;

/// Number of connections that one client may have open at once. Zero would mean no limit, but with
/// it `ntex` never wakes a task that waits for a connection to the same address.
const MAX_OPEN_CONNECTIONS: usize = 65_536;

/// Why an exchange failed.
#[derives::tag]
pub enum ExchangeError {
    /// No connection was established, so no byte was sent.
    NotSent,
    /// The connection closed after bytes may have been sent.
    Lost,
    /// No answer arrived in time after bytes may have been sent.
    Silent,
    /// An answer arrived but could not be parsed.
    Unreadable,
}

/// Limits on the time and size of an exchange.
#[derives::tag]
pub struct ExchangeLimits {
    /// Time within which a connection must be established.
    pub connect: Duration,
    /// Time within which the answer's head must arrive, and then within which its body must be
    /// read.
    pub head: Duration,
    /// Largest accepted answer body, in bytes.
    pub body_bytes: usize,
}

impl Default for ExchangeLimits {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            head: Duration::from_secs(2),
            body_bytes: 8 * 1_024 * 1_024,
        }
    }
}

/// An HTTP client for use on one thread.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client,
    limits: ExchangeLimits,
    reuse: ConnectionReuse,
}

/// Whether a connection is used for more than one exchange.
#[derives::tag]
enum ConnectionReuse {
    Fresh,
    KeepAlive,
}

impl HttpClient {
    /// Creates a client that opens a new connection for each exchange.
    ///
    /// # Panics
    ///
    /// If `ntex` cannot build its connector, which depends on nothing outside the process.
    pub async fn new(limits: ExchangeLimits) -> Self {
        Self::build(limits, Seconds::ZERO, ConnectionReuse::Fresh).await
    }

    /// Creates a client that keeps idle connections open for `idle`.
    ///
    /// # Panics
    ///
    /// See [`new`](Self::new).
    pub async fn with_keep_alive(limits: ExchangeLimits, idle: Seconds) -> Self {
        Self::build(limits, idle, ConnectionReuse::KeepAlive).await
    }

    async fn build(limits: ExchangeLimits, idle: Seconds, reuse: ConnectionReuse) -> Self {
        let connect = millis(limits.connect);
        let config: SharedCfg = SharedCfg::new("jackdawpoint-client")
            .add(IoConfig::new().set_connect_timeout(connect))
            .into();
        let limited = apply_fn_factory(
            TcpConnector::new(),
            async move |address: Connect<Uri>, connector| {
                let io = connector.call(address).await?;
                Ok::<_, ConnectFailure>(IoBoxed::from(io.add_filter(UnreadLimit)))
            },
        );
        let connector = Connector::new()
            .connector(limited)
            .limit(MAX_OPEN_CONNECTIONS)
            .keep_alive(idle);
        let client = Client::builder()
            .connector::<()>(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .response_payload_limit(limits.body_bytes)
            .build(config)
            .await
            .expect("the connector depends on nothing outside the process");
        Self {
            client,
            limits,
            reuse,
        }
    }

    /// Starts building a request.
    #[must_use]
    pub fn request(&self, method: Method, url: &str) -> ClientRequest {
        let request = self.client.request(method, url).no_decompress();
        match self.reuse {
            ConnectionReuse::Fresh => request.force_close(),
            ConnectionReuse::KeepAlive => request,
        }
    }

    /// Sends a request and waits for the answer's head, within the limits of this client.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::NotSent`] if no byte was sent; with every other error the request may have
    /// been sent.
    pub async fn send(
        &self,
        request: ClientRequest,
        body: Bytes,
    ) -> Result<ClientResponse, ExchangeError> {
        let time_limit = self.limits.connect + self.limits.head;
        self.send_within(request, body, time_limit).await
    }

    /// Sends a request and waits at most `time_limit` for the answer's head. If `body` is empty,
    /// the request has no `Content-Length`. Interim answers are not read over.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::NotSent`] if no byte was sent; with every other error the request may have
    /// been sent. An answer whose status [does not end an exchange](is_final_status) is `Unreadable`.
    pub async fn send_within(
        &self,
        request: ClientRequest,
        body: Bytes,
        time_limit: Duration,
    ) -> Result<ClientResponse, ExchangeError> {
        let response = self.send_unchecked(request, body, time_limit).await?;
        if !is_final_status(response.status().as_u16()) {
            return Err(ExchangeError::Unreadable);
        }
        Ok(response)
    }

    /// Does the same as [`send_within`](Self::send_within), for callers that judge the status
    /// themselves.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::NotSent`] if no byte was sent; with every other error the request may have
    /// been sent.
    pub async fn send_unchecked(
        &self,
        request: ClientRequest,
        body: Bytes,
        time_limit: Duration,
    ) -> Result<ClientResponse, ExchangeError> {
        let sent = async {
            if body.is_empty() {
                request.send().await
            } else {
                request.send_body(body).await
            }
        };
        match timeout(time_limit, sent).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => Err(classify(&error)),
            Err(_) => Err(ExchangeError::Silent),
        }
    }

    /// Reads the complete body of an answer.
    ///
    /// # Errors
    ///
    /// `Lost` if the connection fails or the body is too large, `Silent` if the body is not
    /// complete in time.
    pub async fn read_body(&self, response: &ClientResponse) -> Result<Bytes, ExchangeError> {
        self.read_body_within(response, self.limits.head).await
    }

    /// Reads the complete body of an answer within `time_limit`.
    ///
    /// # Errors
    ///
    /// See [`read_body`](Self::read_body).
    pub async fn read_body_within(
        &self,
        response: &ClientResponse,
        time_limit: Duration,
    ) -> Result<Bytes, ExchangeError> {
        let body = response.body().limit(self.limits.body_bytes);
        match timeout(time_limit, body).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(_)) => Err(ExchangeError::Lost),
            Err(_) => Err(ExchangeError::Silent),
        }
    }

    /// Sends a request without a body and parses the JSON answer; `None` for an error status.
    ///
    /// # Errors
    ///
    /// See [`send`](Self::send) and [`read_body`](Self::read_body); `Unreadable` if the answer of a
    /// successful exchange is not of type `A`.
    pub async fn fetch<A: DeserializeOwned>(
        &self,
        method: Method,
        url: &str,
    ) -> Result<(StatusCode, Option<A>), ExchangeError> {
        let request = self.request(method, url);
        self.exchange(request, Bytes::new()).await
    }

    /// Sends a JSON body and parses the JSON answer; `None` for an error status.
    ///
    /// # Errors
    ///
    /// See [`send`](Self::send) and [`read_body`](Self::read_body); `Unreadable` if the answer of a
    /// successful exchange is not of type `A`.
    ///
    /// # Panics
    ///
    /// If `body` cannot be written as JSON.
    pub async fn post<A: DeserializeOwned>(
        &self,
        method: Method,
        url: &str,
        body: &impl Serialize,
    ) -> Result<(StatusCode, Option<A>), ExchangeError> {
        let text = serde_json::to_vec(body).expect("wire types can be written as JSON");
        let request = self.request(method, url).content_type("application/json");
        self.exchange(request, Bytes::from(text)).await
    }

    async fn exchange<A: DeserializeOwned>(
        &self,
        request: ClientRequest,
        body: Bytes,
    ) -> Result<(StatusCode, Option<A>), ExchangeError> {
        let response = self.send(request, body).await?;
        let status = response.status();
        let body = self.read_body(&response).await?;
        if !status.is_success() {
            return Ok((status, None));
        }
        let answer = serde_json::from_slice(&body).map_err(|_| ExchangeError::Unreadable)?;
        Ok((status, Some(answer)))
    }
}

/// Determines from an error of `ntex` whether bytes may have been sent.
///
/// `ntex` reports a connection that closes after the request was sent as
/// `Connect(Disconnected(None))`; only the other connect errors prove that nothing was sent.
fn classify(error: &ClientError) -> ExchangeError {
    match error {
        ClientError::Connect(ConnectError::Disconnected(None)) => ExchangeError::Lost,
        ClientError::Connect(_) | ClientError::Url(_) => ExchangeError::NotSent,
        ClientError::Timeout => ExchangeError::Silent,
        ClientError::Response(_) => ExchangeError::Unreadable,
        _ => ExchangeError::Lost,
    }
}

/// Whether an answer with this status ends an exchange (RFC 9110, section 15): it is valid, and not that of
/// an interim answer or of the switch to another protocol, which no request asks for.
#[must_use]
pub fn is_final_status(status: u16) -> bool {
    (200..600).contains(&status)
}

fn millis(duration: Duration) -> Millis {
    Millis(u32::try_from(duration.as_millis()).unwrap_or(u32::MAX))
}
