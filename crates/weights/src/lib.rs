//! Client for the weight store, which limits the rate of model loads.

use std::net::SocketAddr;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use ntex::http::{Method, StatusCode};
use transport::{ExchangeError, ExchangeLimits, HttpClient};

/// Whether a model's weights may be loaded now.
#[derives::tag]
pub enum LoadDecision {
    /// The load may start now.
    Allowed,
    /// The load may not start before this many milliseconds have passed.
    RetryAfter(u64),
}

/// Why the weight store gave no decision.
#[derives::tag]
pub enum WeightStoreError {
    /// The store is unreachable, did not answer in time, or answered with an error.
    Unavailable,
    /// The store does not have the model.
    UnknownModel,
}

/// Client for the weight store.
pub trait WeightStore {
    /// Requests permission to load `model` onto an engine.
    fn reserve<'a>(
        &'a self,
        model: &'a str,
    ) -> LocalBoxFuture<'a, Result<LoadDecision, WeightStoreError>>;
}

#[derives::wire]
struct ReservationResponse {
    wait_ms: u64,
}

/// [`WeightStore`] over HTTP and JSON, for use on one thread.
#[derive(Debug, Clone)]
pub struct HttpWeightStore {
    client: HttpClient,
    address: SocketAddr,
}

impl HttpWeightStore {
    /// Creates a client for the weight store at `address`.
    pub async fn new(address: SocketAddr) -> Self {
        Self {
            client: HttpClient::new(ExchangeLimits::default()).await,
            address,
        }
    }
}

impl WeightStore for HttpWeightStore {
    fn reserve<'a>(
        &'a self,
        model: &'a str,
    ) -> LocalBoxFuture<'a, Result<LoadDecision, WeightStoreError>> {
        async move {
            let url = format!("http://{}/v1/loads/{model}", self.address);
            let answer = self
                .client
                .fetch::<ReservationResponse>(Method::POST, &url)
                .await;
            let (status, response) =
                answer.map_err(|_: ExchangeError| WeightStoreError::Unavailable)?;
            if status == StatusCode::NOT_FOUND {
                return Err(WeightStoreError::UnknownModel);
            }
            let response = response.ok_or(WeightStoreError::Unavailable)?;
            if response.wait_ms == 0 {
                return Ok(LoadDecision::Allowed);
            }
            Ok(LoadDecision::RetryAfter(response.wait_ms))
        }
        .boxed_local()
    }
}
