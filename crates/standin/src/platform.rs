//! Stand-ins of the instance list and the weight store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ntex::web::{self, App, HttpResponse, HttpServer, types};
use parking_lot::Mutex;

use crate::serve::{RunningStandin, StandinError, bind};

/// One row of the instance list.
#[derives::wire]
pub struct InstanceRow {
    /// The instance's name.
    pub name: String,
    /// `entry` or `endpoint`.
    pub kind: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Its address.
    pub address: String,
    /// Which of its lives.
    pub incarnation: u64,
    /// `live` or `leaving`.
    pub state: String,
}

/// Faults of the instance list.
#[derive(Default)]
#[derives::wire]
#[serde(default, deny_unknown_fields)]
pub struct ListFaults {
    /// Every call is answered with an error.
    pub down: bool,
}

#[derive(Debug, Default)]
struct ListTable {
    rows: Vec<InstanceRow>,
    faults: ListFaults,
}

/// The instance list's state; clones share it. It lags as far as its writer does.
#[derive(Debug, Clone, Default)]
pub struct InstanceListStandin {
    table: Arc<Mutex<ListTable>>,
}

impl InstanceListStandin {
    /// An empty list.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the rows.
    pub fn set_rows(&self, rows: Vec<InstanceRow>) {
        self.table.lock().rows = rows;
    }

    /// Serves on `address`.
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
                    .route(web::get().to(read_rows))
                    .route(web::put().to(write_rows)),
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

async fn read_rows(list: List) -> HttpResponse {
    let table = list.table.lock();
    if table.faults.down {
        return HttpResponse::ServiceUnavailable().finish();
    }
    HttpResponse::Ok().json(&table.rows)
}

async fn write_rows(list: List, rows: types::Json<Vec<InstanceRow>>) -> HttpResponse {
    list.set_rows(rows.into_inner());
    HttpResponse::Ok().finish()
}

async fn set_list_faults(list: List, faults: types::Json<ListFaults>) -> HttpResponse {
    list.table.lock().faults = faults.into_inner();
    HttpResponse::Ok().finish()
}

#[derive(Debug)]
struct WeightTable {
    period: Duration,
    next: Instant,
    loads: Vec<String>,
}

/// The weight store's state; clones share it. It allows one load a period.
#[derive(Debug, Clone)]
pub struct WeightStandin {
    table: Arc<Mutex<WeightTable>>,
}

impl WeightStandin {
    /// A store that allows one load a `period`.
    #[must_use]
    pub fn new(period: Duration) -> Self {
        let table = WeightTable {
            period,
            next: Instant::now(),
            loads: Vec::new(),
        };
        Self {
            table: Arc::new(Mutex::new(table)),
        }
    }

    /// Serves on `address`.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub fn serve(&self, address: SocketAddr) -> Result<RunningStandin, StandinError> {
        let (listener, address) = bind(address)?;
        let store = self.clone();
        let server = HttpServer::new(async move || {
            App::new().state(store.clone()).service((
                web::resource("/v1/loads/{model}").route(web::post().to(reserve)),
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

async fn reserve(store: Weights, model: types::Path<String>) -> HttpResponse {
    let mut table = store.table.lock();
    let now = Instant::now();
    if now < table.next {
        let wait = (table.next - now).as_millis().max(1);
        return HttpResponse::Ok().json(&serde_json::json!({ "wait_ms": wait }));
    }
    table.next = now + table.period;
    table.loads.push(model.into_inner());
    HttpResponse::Ok().json(&serde_json::json!({ "wait_ms": 0 }))
}

async fn read_loads(store: Weights) -> HttpResponse {
    HttpResponse::Ok().json(&store.table.lock().loads)
}
