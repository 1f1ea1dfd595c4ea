//! Client of the weight store, which allows a limited rate of loads.

use std::net::SocketAddr;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use ntex::http::{Method, StatusCode};
use transport::{ExchangeFault, ExchangeLimits, HttpLink};

/// Whether a load of weights may start.
#[derives::tag]
pub enum LoadVerdict {
    /// It may.
    Allowed,
    /// Not before this many milliseconds.
    Later(u64),
}

/// Why the weight store has no answer.
#[derives::tag]
pub enum WeightFault {
    /// It cannot be reached or does not answer.
    Unavailable,
    /// It does not know the model.
    UnknownModel,
}

/// The weight store.
pub trait WeightStore {
    /// Asks leave to load `model` onto an engine.
    fn reserve<'a>(
        &'a self,
        model: &'a str,
    ) -> LocalBoxFuture<'a, Result<LoadVerdict, WeightFault>>;
}

#[derives::wire]
struct ReservationForm {
    wait_ms: u64,
}

/// The weight store over HTTP and JSON, called from one thread.
#[derive(Debug, Clone)]
pub struct HttpWeights {
    link: HttpLink,
    address: SocketAddr,
}

impl HttpWeights {
    /// A client of the weight store at `address`.
    pub async fn new(address: SocketAddr) -> Self {
        Self {
            link: HttpLink::new(ExchangeLimits::default()).await,
            address,
        }
    }
}

impl WeightStore for HttpWeights {
    fn reserve<'a>(
        &'a self,
        model: &'a str,
    ) -> LocalBoxFuture<'a, Result<LoadVerdict, WeightFault>> {
        async move {
            let url = format!("http://{}/v1/loads/{model}", self.address);
            let answer = self.link.fetch::<ReservationForm>(Method::POST, &url).await;
            let (status, form) = answer.map_err(|_: ExchangeFault| WeightFault::Unavailable)?;
            if status == StatusCode::NOT_FOUND {
                return Err(WeightFault::UnknownModel);
            }
            let form = form.ok_or(WeightFault::Unavailable)?;
            if form.wait_ms == 0 {
                return Ok(LoadVerdict::Allowed);
            }
            Ok(LoadVerdict::Later(form.wait_ms))
        }
        .boxed_local()
    }
}
