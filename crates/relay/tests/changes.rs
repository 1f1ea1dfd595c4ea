//! Changes of the store that a reader passes on: only while it is sure to be current.

use std::cell::Cell;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use jackdawpoint_relay::clock::BootClock;
use jackdawpoint_relay::{BoardKeeper, PassedOnStore, StewardDesk};
use peer::ChangeHandler;
use platform::{
    CasVerdict, KeyValue, KeyValueFault, LeaseId, LeaseState, ListedInstance, PlatformFuture,
    StoredKey, StoredValue, WatchEvent, WatchReport,
};
use policy::dispatch::DispatchLimits;
use policy::fleet::FleetMember;
use policy::ids::{DomainId, Incarnation, InstanceId};
use tokio::net::TcpListener;
use tokio::time::Instant;

/// What a store's watches after the first bring.
#[derive(Debug, Clone, Copy, PartialEq)]
enum LaterWatch {
    /// Its connection falls silent.
    Silence,
    /// The same large value under one key, written again.
    LargeValue,
    /// That nothing has changed.
    Nothing,
}

/// A large configuration, in bytes.
const LARGE_VALUE: usize = 300_000;

struct ScriptedStore {
    calls: Cell<u32>,
    later: LaterWatch,
}

impl ScriptedStore {
    fn new(later: LaterWatch) -> Rc<Self> {
        Rc::new(Self {
            calls: Cell::new(0),
            later,
        })
    }
}

impl KeyValue for ScriptedStore {
    fn get<'a>(&'a self, _key: &'a str) -> PlatformFuture<'a, Option<StoredValue>> {
        async { Ok(None) }.boxed_local()
    }

    fn compare_and_swap<'a>(
        &'a self,
        _key: &'a str,
        _value: &'a str,
        _expected: u64,
        _lease: Option<LeaseId>,
    ) -> PlatformFuture<'a, CasVerdict> {
        async { Err(KeyValueFault::Refused) }.boxed_local()
    }

    fn delete<'a>(&'a self, _key: &'a str, _expected: u64) -> PlatformFuture<'a, CasVerdict> {
        async { Err(KeyValueFault::Refused) }.boxed_local()
    }

    fn list<'a>(&'a self, _prefix: &'a str, _limit: usize) -> PlatformFuture<'a, Vec<StoredKey>> {
        async { Ok(Vec::new()) }.boxed_local()
    }

    fn grant_lease(&self, _ttl: u64) -> PlatformFuture<'_, LeaseId> {
        async { Err(KeyValueFault::Refused) }.boxed_local()
    }

    fn renew_lease(&self, _lease: LeaseId) -> PlatformFuture<'_, LeaseState> {
        async { Err(KeyValueFault::Refused) }.boxed_local()
    }

    fn watch<'a>(
        &'a self,
        _prefix: &'a str,
        _revision: u64,
        _wait: u64,
    ) -> PlatformFuture<'a, WatchReport> {
        let earlier = self.calls.replace(self.calls.get() + 1);
        let later = self.later;
        async move {
            if earlier == 0 {
                return Ok(report(FIRST_REVISION, None));
            }
            let revision = FIRST_REVISION + u64::from(earlier);
            match later {
                LaterWatch::Silence => std::future::pending().await,
                LaterWatch::LargeValue => Ok(report(revision, Some("x".repeat(LARGE_VALUE)))),
                LaterWatch::Nothing => Ok(report(FIRST_REVISION, None)),
            }
        }
        .boxed_local()
    }

    fn instances(&self) -> PlatformFuture<'_, Vec<ListedInstance>> {
        async { Ok(Vec::new()) }.boxed_local()
    }
}

const FIRST_REVISION: u64 = 7;

fn report(revision: u64, value: Option<String>) -> WatchReport {
    let put = |value| WatchEvent::Put {
        key: "op/config".to_owned(),
        stored: StoredValue { value, revision },
    };
    WatchReport {
        revision,
        events: value.map(put).into_iter().collect(),
    }
}

/// The store as the instance `me` sees it that knows `members` of its failure domain.
fn store_of(
    direct: Rc<ScriptedStore>,
    me: &str,
    members: &[(&str, SocketAddr)],
    link_rate: u64,
) -> PassedOnStore {
    let clock = BootClock::new();
    let domain = DomainId::new("near");
    let keeper = Rc::new(BoardKeeper::new(DispatchLimits::default(), clock.clone()));
    let desk = Rc::new(StewardDesk::new(
        InstanceId::new(me),
        domain.clone(),
        keeper,
        clock.clone(),
    ));
    for (name, address) in members {
        let member = FleetMember {
            domain: domain.clone(),
            address: *address,
            incarnation: Incarnation(1),
            capacity: 1.0,
        };
        desk.put_member(InstanceId::new(*name), member);
    }
    PassedOnStore::new(direct, desk, clock, link_rate)
}

const NOWHERE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);

/// A link that is in nobody's way, in bytes a millisecond: 1,000 Mbit/s.
const WIDE_LINK: u64 = 125_000;

#[tokio::test(start_paused = true)]
async fn a_reader_that_hears_nothing_from_the_store_stops_answering() {
    let direct = ScriptedStore::new(LaterWatch::Silence);
    let store = store_of(direct, "reader", &[("reader", NOWHERE)], WIDE_LINK);
    let source = store.source();
    store
        .watch("", 0, 0)
        .await
        .expect("the first call is answered");
    let short = Duration::from_millis(100);
    let answer = source.changes(FIRST_REVISION, short).await;
    assert!(answer.is_some(), "it is current");
    // Its next watch hangs; a follower that asks meanwhile is not told that nothing has changed
    // for longer than a change may take.
    let answer = source.changes(FIRST_REVISION, Duration::from_secs(5)).await;
    assert!(answer.is_none(), "{answer:?}");
}

/// Twenty followers of a small machine: all at once they would be sent 6 MB, for which its link takes
/// 2.4 s, longer than they wait.
#[tokio::test(start_paused = true)]
async fn a_reader_passes_on_no_more_than_its_link_carries_in_time() {
    // 20 Mbit/s.
    let link_rate = 2_500;
    let direct = ScriptedStore::new(LaterWatch::LargeValue);
    let store = store_of(direct, "reader", &[("reader", NOWHERE)], link_rate);
    let source = store.source();
    for revision in [0, FIRST_REVISION] {
        store.watch("", revision, 0).await.expect("it answers");
    }
    let mut passed = 0;
    let mut refused = 0;
    for _ in 0..20 {
        match source.changes(FIRST_REVISION, Duration::ZERO).await {
            Some(batch) => passed += batch.changes.len() * LARGE_VALUE,
            None => refused += 1,
        }
    }
    // In the 400 ms for which a follower waits beyond the time that it asked for.
    let carried = link_rate * 400;
    assert!(passed as u64 <= carried, "{passed} bytes of {carried}");
    assert!(
        passed > 0 && refused > 0,
        "{passed} bytes, {refused} refused"
    );
}

/// A value that was written again is not passed on with those that it replaced.
#[tokio::test(start_paused = true)]
async fn a_replaced_value_is_not_passed_on() {
    let direct = ScriptedStore::new(LaterWatch::LargeValue);
    let store = store_of(direct, "reader", &[("reader", NOWHERE)], WIDE_LINK);
    let source = store.source();
    for revision in [0, FIRST_REVISION, FIRST_REVISION + 1] {
        store.watch("", revision, 0).await.expect("it answers");
    }
    let answer = source.changes(FIRST_REVISION, Duration::ZERO).await;
    let batch = answer.expect("it is current");
    let revisions: Vec<u64> = batch.changes.iter().map(|change| change.revision).collect();
    assert_eq!(revisions, [FIRST_REVISION + 2]);
}

/// Readers that take a connection and never answer cost a follower the wait for one of them, not
/// for each.
#[tokio::test]
async fn a_follower_waits_for_one_silent_reader_only() {
    let mut listeners = Vec::new();
    for _ in 0..4 {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
        listeners.push(listener.expect("a free port"));
    }
    let addresses = listeners.iter().map(TcpListener::local_addr);
    let addresses: Vec<SocketAddr> = addresses.map(|address| address.expect("bound")).collect();
    let names = ["a", "b", "c", "d"];
    let members: Vec<(&str, SocketAddr)> = names.into_iter().zip(addresses).collect();
    let direct = ScriptedStore::new(LaterWatch::Nothing);
    let store = store_of(Rc::clone(&direct), "follower", &members, WIDE_LINK);
    store.watch("", 0, 0).await.expect("it answers");
    let asked_at = Instant::now();
    tokio::task::LocalSet::new()
        .run_until(store.watch("", FIRST_REVISION, 0))
        .await
        .expect("the store itself answers");
    // Half of the time in which a change must be in force is left for the store.
    assert!(
        asked_at.elapsed() < Duration::from_millis(1_500),
        "{:?}",
        asked_at.elapsed()
    );
    assert_eq!(direct.calls.get(), 2);
}
