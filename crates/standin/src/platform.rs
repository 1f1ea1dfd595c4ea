//! Stand-ins for the platform's instance list and weight store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ntex::web::{self, App, HttpResponse, HttpServer, types};
use parking_lot::Mutex;

use crate::serve::{RunningStandin, StandinError, bind};

/// An entry of the instance list.
#[derives::wire]
pub struct ListedInstance {
    /// Name of the instance.
    pub name: String,
    /// `entry` or `endpoint`.
    pub kind: String,
    /// Failure domain of the instance.
    pub failure_domain: String,
    /// Address that the instance serves on.
    pub address: String,
    /// Incarnation of the instance.
    pub incarnation: u64,
    /// `live` or `leaving`.
    pub state: String,
}

/// Faults that are injected into the instance list.
#[derive(Default)]
#[derives::wire]
#[serde(default, deny_unknown_fields)]
pub struct ListFaults {
    /// Every call is answered with an error.
    pub down: bool,
}

#[derive(Debug, Default)]
struct ListState {
    instances: Vec<ListedInstance>,
    faults: ListFaults,
}

/// The instance-list stand-in. Clones share the same state. The list changes only when a writer
/// replaces its entries, so it lags as far as that writer does.
#[derive(Debug, Clone, Default)]
pub struct InstanceListStandin {
    state: Arc<Mutex<ListState>>,
}

impl InstanceListStandin {
    /// Creates an empty list.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces all entries.
    pub fn set_instances(&self, instances: Vec<ListedInstance>) {
        self.state.lock().instances = instances;
    }

    /// Starts an HTTP server on `address`.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub fn serve(&self, address: SocketAddr) -> Result<RunningStandin, StandinError> {
        let (listener, address) = bind(address)?;
        let list = self.clone();
        let server = HttpServer::new(async move || {
            App::new().state(list.clone()).service((
                web::resource("/v1/instances")
                    .route(web::get().to(read_instances))
                    .route(web::put().to(write_instances)),
                web::resource("/faults").route(web::post().to(set_list_faults)),
            ))
        })
        .workers(1)
        .disable_signals()
        .listen(listener)?
        .run();
        Ok(RunningStandin { address, server })
    }
}

type List = types::State<InstanceListStandin>;

async fn read_instances(list: List) -> HttpResponse {
    let state = list.state.lock();
    if state.faults.down {
        return HttpResponse::ServiceUnavailable().finish();
    }
    HttpResponse::Ok().json(&state.instances)
}

async fn write_instances(list: List, instances: types::Json<Vec<ListedInstance>>) -> HttpResponse {
    list.set_instances(instances.into_inner());
    HttpResponse::Ok().finish()
}

async fn set_list_faults(list: List, faults: types::Json<ListFaults>) -> HttpResponse {
    list.state.lock().faults = faults.into_inner();
    HttpResponse::Ok().finish()
}

#[derive(Debug)]
struct WeightState {
    period: Duration,
    next_load: Instant,
    loads: Vec<String>,
}

/// The weight-store stand-in, which allows one model load per period. Clones share the same state.
#[derive(Debug, Clone)]
pub struct WeightStandin {
    state: Arc<Mutex<WeightState>>,
}

impl WeightStandin {
    /// Creates a store that allows one model load per `period`.
    #[must_use]
    pub fn new(period: Duration) -> Self {
        let state = WeightState {
            period,
            next_load: Instant::now(),
            loads: Vec::new(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Starts an HTTP server on `address`.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub fn serve(&self, address: SocketAddr) -> Result<RunningStandin, StandinError> {
        let (listener, address) = bind(address)?;
        let store = self.clone();
        let server = HttpServer::new(async move || {
            App::new().state(store.clone()).service((
                web::resource("/v1/loads/{model}").route(web::post().to(reserve_load)),
                web::resource("/v1/loads").route(web::get().to(read_loads)),
            ))
        })
        .workers(1)
        .disable_signals()
        .listen(listener)?
        .run();
        Ok(RunningStandin { address, server })
    }
}

type Weights = types::State<WeightStandin>;

async fn reserve_load(store: Weights, model: types::Path<String>) -> HttpResponse {
    let mut state = store.state.lock();
    let now = Instant::now();
    if now < state.next_load {
        let wait = (state.next_load - now).as_millis().max(1);
        return HttpResponse::Ok().json(&serde_json::json!({ "wait_ms": wait }));
    }
    state.next_load = now + state.period;
    state.loads.push(model.into_inner());
    HttpResponse::Ok().json(&serde_json::json!({ "wait_ms": 0 }))
}

async fn read_loads(store: Weights) -> HttpResponse {
    HttpResponse::Ok().json(&store.state.lock().loads)
}
