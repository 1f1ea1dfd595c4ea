//! Stand-in for the platform's key-value service.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ntex::web::{self, App, HttpResponse, HttpServer, types};
use parking_lot::Mutex;

use crate::serve::{RunningStandin, StandinError, bind, delay, wait_while};

/// Number of change events that are kept for watches; older events are dropped.
const MAX_EVENTS: usize = 65_536;

/// Faults that are injected into the key-value service.
#[derive(Default)]
#[derives::wire]
#[serde(default, deny_unknown_fields)]
pub struct KeyValueFaults {
    /// Every call is answered with an error and has no effect.
    pub down: bool,
    /// Calls block, without effect or answer, until this is cleared.
    pub frozen: bool,
    /// Number of upcoming writes that take effect but are answered with an error.
    pub lose_answers: u32,
    /// Delay before each call is handled, in milliseconds.
    pub slow_ms: u64,
}

/// Number of calls that the service has received. A watch that waits counts once.
#[derive(Default)]
#[derives::wire]
pub struct KeyValueCalls {
    /// Reads and lists.
    pub reads: u64,
    /// Writes, deletions and lease calls.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
}

#[derive(Debug, Clone)]
struct StoredEntry {
    value: String,
    revision: u64,
    lease: Option<u64>,
}

#[derive(Debug, Clone)]
struct ChangeEvent {
    key: String,
    value: Option<String>,
    revision: u64,
}

#[derive(Debug)]
struct LeaseState {
    ttl: Duration,
    expires: Instant,
}

#[derive(Debug, Default)]
struct StoreState {
    entries: BTreeMap<String, StoredEntry>,
    events: VecDeque<ChangeEvent>,
    leases: BTreeMap<u64, LeaseState>,
    revision: u64,
    next_lease: u64,
    faults: KeyValueFaults,
    calls: KeyValueCalls,
}

impl StoreState {
    fn record(&mut self, key: &str, value: Option<String>) -> u64 {
        self.revision += 1;
        self.events.push_back(ChangeEvent {
            key: key.to_owned(),
            value,
            revision: self.revision,
        });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
        self.revision
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, lease| lease.expires > now);
        let leases = &self.leases;
        let expired: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, entry)| {
                entry
                    .lease
                    .is_some_and(|lease| !leases.contains_key(&lease))
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in expired {
            self.entries.remove(&key);
            self.record(&key, None);
        }
    }

    fn compare_and_swap(&mut self, key: &str, request: PutRequest) -> SwapResponse {
        let current = self.entries.get(key).map_or(0, |entry| entry.revision);
        let is_lease_expired = request
            .lease
            .is_some_and(|lease| !self.leases.contains_key(&lease));
        if current != request.expected || is_lease_expired {
            return SwapResponse {
                written: false,
                revision: current,
            };
        }
        let revision = self.record(key, Some(request.value.clone()));
        let entry = StoredEntry {
            value: request.value,
            revision,
            lease: request.lease,
        };
        self.entries.insert(key.to_owned(), entry);
        SwapResponse {
            written: true,
            revision,
        }
    }

    fn delete(&mut self, key: &str, expected: u64) -> SwapResponse {
        let current = self.entries.get(key).map_or(0, |entry| entry.revision);
        if current != expected || current == 0 {
            return SwapResponse {
                written: false,
                revision: current,
            };
        }
        self.entries.remove(key);
        let revision = self.record(key, None);
        SwapResponse {
            written: true,
            revision,
        }
    }

    /// Returns the changes after revision `after`. Revision 0 returns a snapshot of all entries.
    fn events_after(&self, prefix: &str, after: u64) -> Vec<WatchEvent> {
        if after == 0 {
            return self.snapshot(prefix);
        }
        self.events
            .iter()
            .filter(|event| event.revision > after && event.key.starts_with(prefix))
            .map(|event| WatchEvent {
                key: event.key.clone(),
                value: event.value.clone(),
                revision: event.revision,
            })
            .collect()
    }

    fn snapshot(&self, prefix: &str) -> Vec<WatchEvent> {
        self.entries
            .iter()
            .filter(|(key, _)| key.starts_with(prefix))
            .map(|(key, entry)| WatchEvent {
                key: key.clone(),
                value: Some(entry.value.clone()),
                revision: entry.revision,
            })
            .collect()
    }

    fn take_answer_fault(&mut self) -> WriteAnswer {
        if self.faults.lose_answers == 0 {
            return WriteAnswer::Delivered;
        }
        self.faults.lose_answers -= 1;
        WriteAnswer::Lost
    }
}

enum WriteAnswer {
    Delivered,
    Lost,
}

#[derives::wire]
struct PutRequest {
    value: String,
    expected: u64,
    lease: Option<u64>,
}

#[derives::wire]
struct SwapResponse {
    written: bool,
    revision: u64,
}

#[derives::wire]
struct ValueResponse {
    value: String,
    revision: u64,
}

#[derives::wire]
struct KeyEntry {
    key: String,
    revision: u64,
}

#[derives::wire]
struct WatchEvent {
    key: String,
    value: Option<String>,
    revision: u64,
}

#[derives::wire]
struct WatchResponse {
    revision: u64,
    events: Vec<WatchEvent>,
}

#[derives::wire]
struct WatchQuery {
    prefix: String,
    after: u64,
    wait_ms: u64,
}

#[derives::wire]
struct ListQuery {
    prefix: String,
    limit: usize,
}

#[derives::wire]
struct DeleteQuery {
    expected: u64,
}

#[derives::wire]
struct LeaseRequest {
    ttl_ms: u64,
}

/// The key-value stand-in. Clones share the same state.
#[derive(Debug, Clone, Default)]
pub struct KeyValueStandin {
    state: Arc<Mutex<StoreState>>,
}

/// Whether a call is handled or answered with an error.
enum CallAdmission {
    Served,
    Rejected,
}

impl KeyValueStandin {
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: KeyValueFaults) {
        self.state.lock().faults = faults;
    }

    /// Returns the number of calls received so far.
    #[must_use]
    pub fn calls(&self) -> KeyValueCalls {
        self.state.lock().calls.clone()
    }

    async fn admit(&self, count: impl Fn(&mut KeyValueCalls)) -> CallAdmission {
        let slow = {
            let mut state = self.state.lock();
            count(&mut state.calls);
            state.faults.slow_ms
        };
        delay(Duration::from_millis(slow)).await;
        wait_while(|| self.state.lock().faults.frozen).await;
        let mut state = self.state.lock();
        state.expire_leases();
        if state.faults.down {
            return CallAdmission::Rejected;
        }
        CallAdmission::Served
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
            App::new()
                .state(store.clone())
                .state(types::JsonConfig::default().limit(2 * 1_024 * 1_024))
                .service((
                    web::resource("/v1/kv/{key}*")
                        .route(web::get().to(get))
                        .route(web::put().to(put))
                        .route(web::delete().to(delete)),
                    web::resource("/v1/list").route(web::get().to(list)),
                    web::resource("/v1/leases").route(web::post().to(grant_lease)),
                    web::resource("/v1/leases/{lease}").route(web::put().to(renew_lease)),
                    web::resource("/v1/watch").route(web::get().to(watch)),
                    web::resource("/faults").route(web::post().to(set_faults)),
                    web::resource("/calls").route(web::get().to(calls)),
                ))
        })
        .workers(1)
        .disable_signals()
        .listen(listener)?
        .run();
        Ok(RunningStandin { address, server })
    }
}

type Store = types::State<KeyValueStandin>;

fn unavailable() -> HttpResponse {
    HttpResponse::ServiceUnavailable().finish()
}

fn count_read(calls: &mut KeyValueCalls) {
    calls.reads += 1;
}

fn count_write(calls: &mut KeyValueCalls) {
    calls.writes += 1;
}

fn count_watch(calls: &mut KeyValueCalls) {
    calls.watches += 1;
}

async fn get(store: Store, key: types::Path<String>) -> HttpResponse {
    if let CallAdmission::Rejected = store.admit(count_read).await {
        return unavailable();
    }
    let state = store.state.lock();
    let Some(entry) = state.entries.get(key.as_str()) else {
        return HttpResponse::NotFound().finish();
    };
    HttpResponse::Ok().json(&ValueResponse {
        value: entry.value.clone(),
        revision: entry.revision,
    })
}

fn write_response(state: &mut StoreState, response: &SwapResponse) -> HttpResponse {
    match state.take_answer_fault() {
        WriteAnswer::Lost => unavailable(),
        WriteAnswer::Delivered => HttpResponse::Ok().json(response),
    }
}

async fn put(
    store: Store,
    key: types::Path<String>,
    request: types::Json<PutRequest>,
) -> HttpResponse {
    if let CallAdmission::Rejected = store.admit(count_write).await {
        return unavailable();
    }
    let mut state = store.state.lock();
    let response = state.compare_and_swap(key.as_str(), request.into_inner());
    write_response(&mut state, &response)
}

async fn delete(
    store: Store,
    key: types::Path<String>,
    query: types::Query<DeleteQuery>,
) -> HttpResponse {
    if let CallAdmission::Rejected = store.admit(count_write).await {
        return unavailable();
    }
    let mut state = store.state.lock();
    let response = state.delete(key.as_str(), query.expected);
    write_response(&mut state, &response)
}

async fn list(store: Store, query: types::Query<ListQuery>) -> HttpResponse {
    if let CallAdmission::Rejected = store.admit(count_read).await {
        return unavailable();
    }
    let state = store.state.lock();
    let keys: Vec<KeyEntry> = state
        .entries
        .range(query.prefix.clone()..)
        .take_while(|(key, _)| key.starts_with(&query.prefix))
        .take(query.limit)
        .map(|(key, entry)| KeyEntry {
            key: key.clone(),
            revision: entry.revision,
        })
        .collect();
    HttpResponse::Ok().json(&keys)
}

async fn grant_lease(store: Store, request: types::Json<LeaseRequest>) -> HttpResponse {
    if let CallAdmission::Rejected = store.admit(count_write).await {
        return unavailable();
    }
    let mut state = store.state.lock();
    state.next_lease += 1;
    let lease = state.next_lease;
    let ttl = Duration::from_millis(request.ttl_ms);
    let record = LeaseState {
        ttl,
        expires: Instant::now() + ttl,
    };
    state.leases.insert(lease, record);
    HttpResponse::Ok().json(&serde_json::json!({ "lease": lease }))
}

async fn renew_lease(store: Store, lease: types::Path<u64>) -> HttpResponse {
    if let CallAdmission::Rejected = store.admit(count_write).await {
        return unavailable();
    }
    let mut state = store.state.lock();
    let renewed = match state.leases.get_mut(&*lease) {
        Some(record) => {
            record.expires = Instant::now() + record.ttl;
            true
        }
        None => false,
    };
    HttpResponse::Ok().json(&serde_json::json!({ "renewed": renewed }))
}

async fn watch(store: Store, query: types::Query<WatchQuery>) -> HttpResponse {
    if let CallAdmission::Rejected = store.admit(count_watch).await {
        return unavailable();
    }
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms);
    let must_wait = || {
        let state = store.state.lock();
        let events = state.events_after(&query.prefix, query.after);
        events.is_empty() && query.after != 0 && !state.faults.down && Instant::now() < deadline
    };
    wait_while(must_wait).await;
    wait_while(|| store.state.lock().faults.frozen).await;
    let state = store.state.lock();
    if state.faults.down {
        return unavailable();
    }
    HttpResponse::Ok().json(&WatchResponse {
        revision: state.revision,
        events: state.events_after(&query.prefix, query.after),
    })
}

async fn set_faults(store: Store, faults: types::Json<KeyValueFaults>) -> HttpResponse {
    store.set_faults(faults.into_inner());
    HttpResponse::Ok().finish()
}

async fn calls(store: Store) -> HttpResponse {
    HttpResponse::Ok().json(&store.calls())
}
