//! Stand-in for a plain service, which counts how often each call was executed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ntex::util::Bytes;
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer, types};
use parking_lot::Mutex;

use crate::serve::{RunningStandin, StandinError, bind, delay, wait_while};

/// Faults that are injected into the service.
#[derive(Default)]
#[derives::wire]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// How calls are executed and answered.
    pub behaviour: CallBehaviour,
    /// Execution time of a call in milliseconds.
    pub run_ms: u64,
}

/// How the service executes and answers calls.
#[derive(Default, Copy, Eq)]
#[derives::wire]
#[serde(rename_all = "snake_case")]
pub enum CallBehaviour {
    /// The call is executed and answered.
    #[default]
    Answer,
    /// The call is executed, but its answer is withheld while this behaviour is set.
    SilentAfterRun,
    /// The call is neither executed nor answered while this behaviour is set.
    Frozen,
    /// The call is executed, then the process exits without an answer.
    ExitAfterRun,
    /// The process exits before the call is executed.
    ExitBeforeRun,
}

#[derive(Debug, Default)]
struct ServiceState {
    executions: BTreeMap<String, u32>,
    faults: ServiceFaults,
}

/// The service stand-in. Clones share the same state.
#[derive(Debug, Clone, Default)]
pub struct ServiceStandin {
    state: Arc<Mutex<ServiceState>>,
}

/// Exit code of a stand-in process that ends because of an injected crash.
pub const CRASH_EXIT_CODE: i32 = 3;

impl ServiceStandin {
    /// Creates a service that has executed no call.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how often each call was executed, keyed by the value of its `X-Call` header.
    /// Calls without the header are counted under `unnamed`.
    #[must_use]
    pub fn executions(&self) -> BTreeMap<String, u32> {
        self.state.lock().executions.clone()
    }

    /// Starts an HTTP server on `address`.
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

    fn has_behaviour(&self, behaviour: CallBehaviour) -> bool {
        self.state.lock().faults.behaviour == behaviour
    }

    fn record_execution(&self, call: &str) -> u32 {
        let mut state = self.state.lock();
        let count = state.executions.entry(call.to_owned()).or_default();
        *count += 1;
        *count
    }
}

type Service = types::State<ServiceStandin>;

async fn run_call(service: Service, request: HttpRequest, body: Bytes) -> HttpResponse {
    wait_while(|| service.has_behaviour(CallBehaviour::Frozen)).await;
    let faults = service.state.lock().faults.clone();
    if faults.behaviour == CallBehaviour::ExitBeforeRun {
        std::process::exit(CRASH_EXIT_CODE);
    }
    delay(Duration::from_millis(faults.run_ms)).await;
    let call = request
        .headers()
        .get("x-call")
        .and_then(|value| value.to_str().ok())
        .unwrap_or("unnamed");
    let count = service.record_execution(call);
    if faults.behaviour == CallBehaviour::ExitAfterRun {
        std::process::exit(CRASH_EXIT_CODE);
    }
    wait_while(|| service.has_behaviour(CallBehaviour::SilentAfterRun)).await;
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
    service.state.lock().faults = faults.into_inner();
    HttpResponse::Ok().finish()
}
