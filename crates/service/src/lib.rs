//! Client for plain services, which answer one HTTP request with one response.

use std::net::SocketAddr;
use std::time::Duration;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use ntex::http::header::{HeaderMap, HeaderName, HeaderValue};
use ntex::http::{Method, StatusCode};
use ntex::util::Bytes;
use tokio::time::timeout;
use transport::{ExchangeError, ExchangeLimits, HttpClient};

/// A call to forward as the caller made it.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query, beginning with a slash.
    pub path: String,
    /// End-to-end headers.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Complete body.
    pub body: Bytes,
}

/// The complete answer of a service.
#[derive(Debug, Clone)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Complete body.
    pub body: Bytes,
}

/// Why a call has no complete answer.
#[derives::tag]
pub enum ServiceCallError {
    /// No connection was established, so no byte was sent.
    NotSent,
    /// The connection failed, or no valid answer arrived in time, after bytes may have been sent.
    Lost,
}

/// Client for plain services.
pub trait ServiceClient {
    /// Sends `call` once to the endpoint at `address`, on a new connection, and waits at most
    /// `wait` milliseconds for the complete answer.
    fn send<'a>(
        &'a self,
        address: SocketAddr,
        call: &'a ServiceCall,
        wait: u64,
    ) -> LocalBoxFuture<'a, Result<ServiceAnswer, ServiceCallError>>;
}

/// Upper limit on the duration of a call, as [`ExchangeLimits::head`], beyond the caller's own
/// timeout.
const MAX_CALL_TIME: Duration = Duration::from_hours(1);

/// [`ServiceClient`] over HTTP, for use on one thread.
#[derive(Debug, Clone)]
pub struct HttpServiceClient {
    client: HttpClient,
}

impl HttpServiceClient {
    /// Creates a client; `connect` limits the time to establish a connection.
    pub async fn new(connect: Duration) -> Self {
        let limits = ExchangeLimits {
            connect,
            head: MAX_CALL_TIME,
            ..ExchangeLimits::default()
        };
        Self {
            client: HttpClient::new(limits).await,
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        call: &ServiceCall,
    ) -> Result<ServiceAnswer, ServiceCallError> {
        let url = format!("http://{address}{}", call.path);
        let mut request = self.client.request(call.method.clone(), &url);
        for (name, value) in &call.headers {
            request.headers_mut().append(name.clone(), value.clone());
        }
        let response = self
            .client
            .send(request, call.body.clone())
            .await
            .map_err(call_error)?;
        let body = self.client.read_body(&response).await;
        Ok(ServiceAnswer {
            status: response.status(),
            headers: end_to_end_headers(response.headers()),
            body: body.map_err(|_| ServiceCallError::Lost)?,
        })
    }
}

impl ServiceClient for HttpServiceClient {
    fn send<'a>(
        &'a self,
        address: SocketAddr,
        call: &'a ServiceCall,
        wait: u64,
    ) -> LocalBoxFuture<'a, Result<ServiceAnswer, ServiceCallError>> {
        async move {
            let time_limit = Duration::from_millis(wait);
            match timeout(time_limit, self.exchange(address, call)).await {
                Ok(answer) => answer,
                Err(_) => Err(ServiceCallError::Lost),
            }
        }
        .boxed_local()
    }
}

/// Headers that apply to one connection and are not forwarded (RFC 9110, section 7.6.1).
const HOP_BY_HOP_HEADERS: [&str; 10] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The headers of a message that an intermediary forwards.
#[must_use]
pub fn end_to_end_headers(headers: &HeaderMap) -> Vec<(HeaderName, HeaderValue)> {
    headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP_HEADERS.contains(&name.as_str()))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

fn call_error(error: ExchangeError) -> ServiceCallError {
    match error {
        ExchangeError::NotSent => ServiceCallError::NotSent,
        ExchangeError::Lost | ExchangeError::Silent | ExchangeError::Unreadable => {
            ServiceCallError::Lost
        }
    }
}
