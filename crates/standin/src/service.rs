//! Stand-in of a plain service that counts how often each call ran.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ntex::util::Bytes;
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer, types};
use parking_lot::Mutex;

use crate::serve::{RunningStandin, StandinError, bind, hold_while, pause};

/// Faults of the service.
#[derive(Default)]
#[derives::wire]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// What becomes of a call.
    pub behaviour: CallBehaviour,
    /// Milliseconds that a call takes.
    pub run_ms: u64,
}

/// What becomes of a call.
#[derive(Default, Copy, Eq)]
#[derives::wire]
#[serde(rename_all = "snake_case")]
pub enum CallBehaviour {
    /// It runs and is answered.
    #[default]
    Answer,
    /// It runs, but gets no answer while this holds.
    SilentAfterRun,
    /// It does not run and gets no answer while this holds.
    Frozen,
    /// It runs, then the process exits without an answer.
    ExitAfterRun,
    /// The process exits before the call runs.
    ExitBeforeRun,
}

#[derive(Debug, Default)]
struct ServiceTable {
    executions: BTreeMap<String, u32>,
    faults: ServiceFaults,
}

/// The service's state; clones share it.
#[derive(Debug, Clone, Default)]
pub struct ServiceStandin {
    table: Arc<Mutex<ServiceTable>>,
}

/// Exit code of a stand-in that was told to die.
pub const DEATH_EXIT: i32 = 3;

impl ServiceStandin {
    /// A service that has run nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// How often each call ran, by the caller's `X-Call` header.
    #[must_use]
    pub fn executions(&self) -> BTreeMap<String, u32> {
        self.table.lock().executions.clone()
    }

    /// Serves on `address`.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub fn serve(&self, address: SocketAddr) -> Result<RunningStandin, StandinError> {
        let (listener, address) = bind(address)?;
        let service = self.clone();
        let server = HttpServer::new(async move || {
            App::new()
                .state(service.clone())
                .service((
                    web::resource("/executions").route(web::get().to(executions)),
                    web::resource("/faults").route(web::post().to(set_faults)),
                ))
                .default_service(web::route().to(run_call))
        })
        .workers(1)
        .disable_signals()
        .listen(listener)?
        .run();
        Ok(RunningStandin { address, server })
    }

    fn behaves(&self, behaviour: CallBehaviour) -> bool {
        self.table.lock().faults.behaviour == behaviour
    }

    fn run(&self, call: &str) -> u32 {
        let mut table = self.table.lock();
        let count = table.executions.entry(call.to_owned()).or_default();
        *count += 1;
        *count
    }
}

type Service = types::State<ServiceStandin>;

async fn run_call(service: Service, request: HttpRequest, body: Bytes) -> HttpResponse {
    hold_while(|| service.behaves(CallBehaviour::Frozen)).await;
    let faults = service.table.lock().faults.clone();
    if faults.behaviour == CallBehaviour::ExitBeforeRun {
        std::process::exit(DEATH_EXIT);
    }
    pause(Duration::from_millis(faults.run_ms)).await;
    let call = request
        .headers()
        .get("x-call")
        .and_then(|value| value.to_str().ok())
        .unwrap_or("unnamed");
    let count = service.run(call);
    if faults.behaviour == CallBehaviour::ExitAfterRun {
        std::process::exit(DEATH_EXIT);
    }
    hold_while(|| service.behaves(CallBehaviour::SilentAfterRun)).await;
    HttpResponse::Ok()
        .header("x-method", request.method().as_str())
        .json(&serde_json::json!({
            "call": call,
            "path": request.path(),
            "bytes": body.len(),
            "execution": count,
        }))
}

async fn executions(service: Service) -> HttpResponse {
    HttpResponse::Ok().json(&service.executions())
}

async fn set_faults(service: Service, faults: types::Json<ServiceFaults>) -> HttpResponse {
    service.table.lock().faults = faults.into_inner();
    HttpResponse::Ok().finish()
}
