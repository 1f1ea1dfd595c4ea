//! Stand-in of the platform's key-value service.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ntex::web::{self, App, HttpResponse, HttpServer, types};
use parking_lot::Mutex;

use crate::serve::{RunningStandin, StandinError, bind, hold_while, pause};

/// Events that a watch can still read.
const EVENTS_KEPT: usize = 65_536;

/// Faults of the key-value service.
#[derive(Default)]
#[derives::wire]
#[serde(default, deny_unknown_fields)]
pub struct KeyValueFaults {
    /// Every call is answered with an error and has no effect.
    pub down: bool,
    /// Calls get no answer and have no effect while this holds.
    pub frozen: bool,
    /// This many writes take effect, but their answers are errors.
    pub lose_answers: u32,
    /// Milliseconds before a call is looked at.
    pub slow_ms: u64,
}

/// Calls that the service has counted, a waiting watch as one.
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
struct LeaseRecord {
    ttl: Duration,
    expires: Instant,
}

#[derive(Debug, Default)]
struct StoreTable {
    entries: BTreeMap<String, StoredEntry>,
    events: VecDeque<ChangeEvent>,
    leases: BTreeMap<u64, LeaseRecord>,
    revision: u64,
    next_lease: u64,
    faults: KeyValueFaults,
    calls: KeyValueCalls,
}

impl StoreTable {
    fn record(&mut self, key: &str, value: Option<String>) -> u64 {
        self.revision += 1;
        self.events.push_back(ChangeEvent {
            key: key.to_owned(),
            value,
            revision: self.revision,
        });
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
        self.revision
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, lease| lease.expires > now);
        let leases = &self.leases;
        let lapsed: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, entry)| {
                entry
                    .lease
                    .is_some_and(|lease| !leases.contains_key(&lease))
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in lapsed {
            self.entries.remove(&key);
            self.record(&key, None);
        }
    }

    fn swap(&mut self, key: &str, put: PutForm) -> SwapForm {
        let present = self.entries.get(key).map_or(0, |entry| entry.revision);
        let is_lapsed = put
            .lease
            .is_some_and(|lease| !self.leases.contains_key(&lease));
        if present != put.expected || is_lapsed {
            return SwapForm {
                written: false,
                revision: present,
            };
        }
        let revision = self.record(key, Some(put.value.clone()));
        let entry = StoredEntry {
            value: put.value,
            revision,
            lease: put.lease,
        };
        self.entries.insert(key.to_owned(), entry);
        SwapForm {
            written: true,
            revision,
        }
    }

    fn delete(&mut self, key: &str, expected: u64) -> SwapForm {
        let present = self.entries.get(key).map_or(0, |entry| entry.revision);
        if present != expected || present == 0 {
            return SwapForm {
                written: false,
                revision: present,
            };
        }
        self.entries.remove(key);
        let revision = self.record(key, None);
        SwapForm {
            written: true,
            revision,
        }
    }

    fn changes(&self, prefix: &str, after: u64) -> Vec<EventForm> {
        if after == 0 {
            return self.everything(prefix);
        }
        self.events
            .iter()
            .filter(|event| event.revision > after && event.key.starts_with(prefix))
            .map(|event| EventForm {
                key: event.key.clone(),
                value: event.value.clone(),
                revision: event.revision,
            })
            .collect()
    }

    fn everything(&self, prefix: &str) -> Vec<EventForm> {
        self.entries
            .iter()
            .filter(|(key, _)| key.starts_with(prefix))
            .map(|(key, entry)| EventForm {
                key: key.clone(),
                value: Some(entry.value.clone()),
                revision: entry.revision,
            })
            .collect()
    }

    fn take_lost_answer(&mut self) -> AnswerFate {
        if self.faults.lose_answers == 0 {
            return AnswerFate::Delivered;
        }
        self.faults.lose_answers -= 1;
        AnswerFate::Lost
    }
}

enum AnswerFate {
    Delivered,
    Lost,
}

#[derives::wire]
struct PutForm {
    value: String,
    expected: u64,
    lease: Option<u64>,
}

#[derives::wire]
struct SwapForm {
    written: bool,
    revision: u64,
}

#[derives::wire]
struct ValueForm {
    value: String,
    revision: u64,
}

#[derives::wire]
struct KeyForm {
    key: String,
    revision: u64,
}

#[derives::wire]
struct EventForm {
    key: String,
    value: Option<String>,
    revision: u64,
}

#[derives::wire]
struct WatchForm {
    revision: u64,
    events: Vec<EventForm>,
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
struct LeaseQuery {
    ttl_ms: u64,
}

/// The stand-in's state; clones share it.
#[derive(Debug, Clone, Default)]
pub struct KeyValueStandin {
    table: Arc<Mutex<StoreTable>>,
}

/// Whether the service looks at a call.
enum CallFate {
    Served,
    Failed,
}

impl KeyValueStandin {
    /// An empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: KeyValueFaults) {
        self.table.lock().faults = faults;
    }

    /// The calls counted so far.
    #[must_use]
    pub fn calls(&self) -> KeyValueCalls {
        self.table.lock().calls.clone()
    }

    async fn admit(&self, count: impl Fn(&mut KeyValueCalls)) -> CallFate {
        let slow = {
            let mut table = self.table.lock();
            count(&mut table.calls);
            table.faults.slow_ms
        };
        pause(Duration::from_millis(slow)).await;
        hold_while(|| self.table.lock().faults.frozen).await;
        let mut table = self.table.lock();
        table.expire_leases();
        if table.faults.down {
            return CallFate::Failed;
        }
        CallFate::Served
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

fn failed() -> HttpResponse {
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
    if let CallFate::Failed = store.admit(count_read).await {
        return failed();
    }
    let table = store.table.lock();
    let Some(entry) = table.entries.get(key.as_str()) else {
        return HttpResponse::NotFound().finish();
    };
    HttpResponse::Ok().json(&ValueForm {
        value: entry.value.clone(),
        revision: entry.revision,
    })
}

fn write_answer(table: &mut StoreTable, form: &SwapForm) -> HttpResponse {
    match table.take_lost_answer() {
        AnswerFate::Lost => failed(),
        AnswerFate::Delivered => HttpResponse::Ok().json(form),
    }
}

async fn put(store: Store, key: types::Path<String>, form: types::Json<PutForm>) -> HttpResponse {
    if let CallFate::Failed = store.admit(count_write).await {
        return failed();
    }
    let mut table = store.table.lock();
    let form = table.swap(key.as_str(), form.into_inner());
    write_answer(&mut table, &form)
}

async fn delete(
    store: Store,
    key: types::Path<String>,
    query: types::Query<DeleteQuery>,
) -> HttpResponse {
    if let CallFate::Failed = store.admit(count_write).await {
        return failed();
    }
    let mut table = store.table.lock();
    let form = table.delete(key.as_str(), query.expected);
    write_answer(&mut table, &form)
}

async fn list(store: Store, query: types::Query<ListQuery>) -> HttpResponse {
    if let CallFate::Failed = store.admit(count_read).await {
        return failed();
    }
    let table = store.table.lock();
    let keys: Vec<KeyForm> = table
        .entries
        .range(query.prefix.clone()..)
        .take_while(|(key, _)| key.starts_with(&query.prefix))
        .take(query.limit)
        .map(|(key, entry)| KeyForm {
            key: key.clone(),
            revision: entry.revision,
        })
        .collect();
    HttpResponse::Ok().json(&keys)
}

async fn grant_lease(store: Store, query: types::Json<LeaseQuery>) -> HttpResponse {
    if let CallFate::Failed = store.admit(count_write).await {
        return failed();
    }
    let mut table = store.table.lock();
    table.next_lease += 1;
    let lease = table.next_lease;
    let ttl = Duration::from_millis(query.ttl_ms);
    let record = LeaseRecord {
        ttl,
        expires: Instant::now() + ttl,
    };
    table.leases.insert(lease, record);
    HttpResponse::Ok().json(&serde_json::json!({ "lease": lease }))
}

async fn renew_lease(store: Store, lease: types::Path<u64>) -> HttpResponse {
    if let CallFate::Failed = store.admit(count_write).await {
        return failed();
    }
    let mut table = store.table.lock();
    let renewed = match table.leases.get_mut(&*lease) {
        Some(record) => {
            record.expires = Instant::now() + record.ttl;
            true
        }
        None => false,
    };
    HttpResponse::Ok().json(&serde_json::json!({ "renewed": renewed }))
}

async fn watch(store: Store, query: types::Query<WatchQuery>) -> HttpResponse {
    if let CallFate::Failed = store.admit(count_watch).await {
        return failed();
    }
    let end = Instant::now() + Duration::from_millis(query.wait_ms);
    let is_waiting = || {
        let table = store.table.lock();
        let changes = table.changes(&query.prefix, query.after);
        changes.is_empty() && query.after != 0 && !table.faults.down && Instant::now() < end
    };
    hold_while(is_waiting).await;
    hold_while(|| store.table.lock().faults.frozen).await;
    let table = store.table.lock();
    if table.faults.down {
        return failed();
    }
    HttpResponse::Ok().json(&WatchForm {
        revision: table.revision,
        events: table.changes(&query.prefix, query.after),
    })
}

async fn set_faults(store: Store, faults: types::Json<KeyValueFaults>) -> HttpResponse {
    store.set_faults(faults.into_inner());
    HttpResponse::Ok().finish()
}

async fn calls(store: Store) -> HttpResponse {
    HttpResponse::Ok().json(&store.calls())
}
