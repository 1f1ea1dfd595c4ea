//! HTTP client over fresh connections, shared by the packages that speak HTTP to a peer.
//!
//! Every exchange opens a connection of its own and closes it afterwards: a pooled connection can
//! go silent while it is idle, and then nobody can tell whether a call was sent.

use std::time::Duration;

use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientRequest, ClientResponse, Connector};
use ntex::http::{Method, StatusCode};
use ntex::time::{Millis, Seconds, timeout};
use ntex::util::Bytes;
use ntex::{SharedCfg, io::IoConfig};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Connections of one thread that may be open at once. (The library takes zero for "no limit",
/// but then never wakes a caller that waits for a connection to the same address.)
const OPEN_CONNECTIONS: usize = 65_536;

/// Why an exchange has no answer.
#[derives::tag]
pub enum ExchangeFault {
    /// No connection was made: no byte was sent.
    NotSent,
    /// The connection closed after bytes may have been sent.
    Lost,
    /// Nothing came in time after bytes may have been sent.
    Silent,
    /// An answer came that could not be read.
    Unreadable,
}

/// Time bounds of an exchange.
#[derives::tag]
pub struct ExchangeLimits {
    /// Until a connection must stand.
    pub connect: Duration,
    /// Until the answer's head must have come.
    pub head: Duration,
    /// Largest answer that is read whole, in bytes.
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

/// An HTTP client of one thread.
#[derive(Debug, Clone)]
pub struct HttpLink {
    client: Client,
    limits: ExchangeLimits,
}

impl HttpLink {
    /// Builds a client.
    ///
    /// # Panics
    ///
    /// When the library cannot build its connector, which needs nothing from outside.
    pub async fn new(limits: ExchangeLimits) -> Self {
        let connect = millis(limits.connect);
        let config: SharedCfg = SharedCfg::new("jackdawpoint-client")
            .add(IoConfig::new().set_connect_timeout(connect))
            .into();
        let connector = Connector::new()
            .limit(OPEN_CONNECTIONS)
            .keep_alive(Seconds::ZERO);
        let client = Client::builder()
            .connector::<()>(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .response_payload_limit(limits.body_bytes)
            .build(config)
            .await
            .expect("the connector needs nothing from outside");
        Self { client, limits }
    }

    /// Starts a request on a connection of its own.
    #[must_use]
    pub fn request(&self, method: Method, url: &str) -> ClientRequest {
        self.client.request(method, url).force_close()
    }

    /// Sends a request and waits for the answer's head.
    ///
    /// # Errors
    ///
    /// Says whether bytes may have been sent.
    pub async fn send(
        &self,
        request: ClientRequest,
        body: Bytes,
    ) -> Result<ClientResponse, ExchangeFault> {
        let bound = millis(self.limits.connect + self.limits.head);
        match timeout(bound, request.send_body(body)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => Err(classify(&error)),
            Err(()) => Err(ExchangeFault::Silent),
        }
    }

    /// Reads an answer's body whole.
    ///
    /// # Errors
    ///
    /// `Lost` for a body that breaks off, `Silent` for one that stops.
    pub async fn read_body(&self, response: &ClientResponse) -> Result<Bytes, ExchangeFault> {
        let body = response.body().limit(self.limits.body_bytes);
        match timeout(millis(self.limits.head), body).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(_)) => Err(ExchangeFault::Lost),
            Err(()) => Err(ExchangeFault::Silent),
        }
    }

    /// Sends a request without a body and reads a JSON answer.
    ///
    /// # Errors
    ///
    /// As [`send`](Self::send); `Unreadable` for an answer of another form.
    pub async fn fetch<A: DeserializeOwned>(
        &self,
        method: Method,
        url: &str,
    ) -> Result<(StatusCode, Option<A>), ExchangeFault> {
        let request = self.request(method, url);
        self.exchange(request, Bytes::new()).await
    }

    /// Sends a JSON body and reads a JSON answer.
    ///
    /// # Errors
    ///
    /// As [`send`](Self::send); `Unreadable` for an answer of another form.
    ///
    /// # Panics
    ///
    /// When `body` has no JSON form.
    pub async fn post<A: DeserializeOwned>(
        &self,
        method: Method,
        url: &str,
        body: &impl Serialize,
    ) -> Result<(StatusCode, Option<A>), ExchangeFault> {
        let text = serde_json::to_vec(body).expect("wire types have a JSON form");
        let request = self.request(method, url).content_type("application/json");
        self.exchange(request, Bytes::from(text)).await
    }

    async fn exchange<A: DeserializeOwned>(
        &self,
        request: ClientRequest,
        body: Bytes,
    ) -> Result<(StatusCode, Option<A>), ExchangeFault> {
        let response = self.send(request, body).await?;
        let status = response.status();
        let body = self.read_body(&response).await?;
        if !status.is_success() {
            return Ok((status, None));
        }
        let answer = serde_json::from_slice(&body).map_err(|_| ExchangeFault::Unreadable)?;
        Ok((status, Some(answer)))
    }
}

/// Tells whether bytes may have been sent.
///
/// The library reports a connection that closes after the request as
/// `Connect(Disconnected(None))`; only the other connect errors prove that nothing was sent.
fn classify(error: &ClientError) -> ExchangeFault {
    match error {
        ClientError::Connect(ConnectError::Disconnected(None)) => ExchangeFault::Lost,
        ClientError::Connect(_) | ClientError::Url(_) => ExchangeFault::NotSent,
        ClientError::Timeout => ExchangeFault::Silent,
        ClientError::Response(_) => ExchangeFault::Unreadable,
        _ => ExchangeFault::Lost,
    }
}

fn millis(duration: Duration) -> Millis {
    Millis(u32::try_from(duration.as_millis()).unwrap_or(u32::MAX))
}
