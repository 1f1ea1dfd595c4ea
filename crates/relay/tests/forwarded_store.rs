//! Forwarding of store changes within a failure domain: readers answer only while they are current
//! and have budget, and followers fall back to the store.

use std::cell::Cell;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use jackdawpoint_relay::clock::BootClock;
use jackdawpoint_relay::{DispatcherDriver, ForwardedStore, PlacementRouter, StoreEra};
use peer::{ChangeAnswer, ChangeBatch, ChangeHandler, serve_instance};
use platform::{
    CasOutcome, KeyValue, KeyValueError, LeaseId, LeaseState, ListedInstance, PlatformFuture,
    StoredKey, StoredValue, WatchEvent, WatchReport,
};
use policy::dispatch::DispatchLimits;
use policy::fleet::FleetMember;
use policy::ids::{DomainId, Incarnation, InstanceId};
use policy::store_position::StorePosition;
use tokio::net::TcpListener;
use tokio::time::Instant;

/// Result of all watches but the first.
#[derive(Debug, Clone, Copy, PartialEq)]
enum WatchScript {
    /// The watch hangs.
    Hang,
    /// A large value of the same key, with a new revision each time.
    LargeValue,
    /// No change.
    NoChange,
    /// The store cannot be reached.
    Away,
}

/// Size of a large configuration, in bytes.
const LARGE_VALUE: usize = 300_000;

struct ScriptedStore {
    calls: Cell<u32>,
    later: WatchScript,
    /// Position of the present content.
    first: StorePosition,
}

impl ScriptedStore {
    fn new(later: WatchScript) -> Rc<Self> {
        Rc::new(Self {
            calls: Cell::new(0),
            later,
            first: at(FIRST_REVISION),
        })
    }

    fn at_position(first: StorePosition) -> Rc<Self> {
        Rc::new(Self {
            calls: Cell::new(0),
            later: WatchScript::NoChange,
            first,
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
    ) -> PlatformFuture<'a, CasOutcome> {
        async { Err(KeyValueError::Refused) }.boxed_local()
    }

    fn delete<'a>(&'a self, _key: &'a str, _expected: u64) -> PlatformFuture<'a, CasOutcome> {
        async { Err(KeyValueError::Refused) }.boxed_local()
    }

    fn list<'a>(&'a self, _prefix: &'a str, _limit: usize) -> PlatformFuture<'a, Vec<StoredKey>> {
        async { Ok(Vec::new()) }.boxed_local()
    }

    fn grant_lease(&self, _ttl: u64) -> PlatformFuture<'_, LeaseId> {
        async { Err(KeyValueError::Refused) }.boxed_local()
    }

    fn renew_lease(&self, _lease: LeaseId) -> PlatformFuture<'_, LeaseState> {
        async { Err(KeyValueError::Refused) }.boxed_local()
    }

    fn watch<'a>(
        &'a self,
        _prefix: &'a str,
        _after: StorePosition,
        _wait: u64,
    ) -> PlatformFuture<'a, WatchReport> {
        let earlier = self.calls.replace(self.calls.get() + 1);
        let (later, first) = (self.later, self.first);
        async move {
            let unchanged = WatchReport {
                position: first,
                events: Vec::new(),
            };
            if earlier == 0 {
                return Ok(unchanged);
            }
            let revision = FIRST_REVISION + u64::from(earlier);
            match later {
                WatchScript::Hang => std::future::pending().await,
                WatchScript::LargeValue => Ok(report(revision, "x".repeat(LARGE_VALUE))),
                WatchScript::NoChange => Ok(unchanged),
                WatchScript::Away => Err(KeyValueError::Unreachable),
            }
        }
        .boxed_local()
    }

    fn instances(&self) -> PlatformFuture<'_, Vec<ListedInstance>> {
        async { Ok(Vec::new()) }.boxed_local()
    }
}

const FIRST_REVISION: u64 = 7;

/// A position of a store that states no eras.
fn at(revision: u64) -> StorePosition {
    StorePosition::without_era(revision)
}

/// The changes in a reader's answer, if it has any.
fn changes(answer: ChangeAnswer) -> Option<ChangeBatch> {
    match answer {
        ChangeAnswer::Changes(batch) => Some(batch),
        ChangeAnswer::HistoryLost { .. } | ChangeAnswer::Declined => None,
    }
}

fn report(revision: u64, value: String) -> WatchReport {
    let put = WatchEvent::Put {
        key: "op/config".to_owned(),
        stored: StoredValue { value, revision },
    };
    WatchReport {
        position: at(revision),
        events: vec![put],
    }
}

/// The store as seen by `instance`, which knows the `members` of its failure domain.
fn store_of(
    direct: Rc<ScriptedStore>,
    instance: &str,
    members: &[(&str, SocketAddr)],
    link_rate: u64,
) -> ForwardedStore {
    let router = router_of(instance, members);
    ForwardedStore::new(direct, router, BootClock::new(), link_rate, Rc::default())
}

/// The router of `instance`, which knows the `members` of its failure domain.
fn router_of(instance: &str, members: &[(&str, SocketAddr)]) -> Rc<PlacementRouter> {
    let clock = BootClock::new();
    let domain = DomainId::new("near");
    let driver = Rc::new(DispatcherDriver::new(
        DispatchLimits::default(),
        clock.clone(),
    ));
    let router = Rc::new(PlacementRouter::new(
        InstanceId::new(instance),
        domain.clone(),
        driver,
        clock.clone(),
    ));
    for (name, address) in members {
        router.put_member(InstanceId::new(*name), member(*address));
    }
    router
}

/// A member of the failure domain of all instances here.
fn member(address: SocketAddr) -> FleetMember {
    FleetMember {
        domain: DomainId::new("near"),
        address,
        tunnel_address: None,
        incarnation: Incarnation(1),
        capacity: 1.0,
    }
}

const UNUSED_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);

/// Rate of a link that never limits forwarding, in bytes per millisecond: 1,000 Mbit/s.
const WIDE_LINK: u64 = 125_000;

#[tokio::test(start_paused = true)]
async fn a_reader_whose_watch_hangs_stops_answering() {
    let direct = ScriptedStore::new(WatchScript::Hang);
    let store = store_of(direct, "reader", &[("reader", UNUSED_ADDRESS)], WIDE_LINK);
    let source = store.source();
    store
        .watch("", StorePosition::START, 0)
        .await
        .expect("the first watch is answered");
    let short = Duration::from_millis(100);
    let answer = source.changes(at(FIRST_REVISION), short).await;
    assert!(changes(answer).is_some(), "the reader is current");
    // The reader's next watch hangs. A follower that asks meanwhile must not be answered "no
    // changes" for longer than a change may take to be in force.
    let position = at(FIRST_REVISION);
    let answer = source.changes(position, Duration::from_secs(5)).await;
    assert_eq!(answer, ChangeAnswer::Declined);
}

/// Twenty followers of an instance with a slow link: sending 6 MB to all at once would take its
/// link 2.4 s, which is longer than followers wait.
#[tokio::test(start_paused = true)]
async fn a_reader_forwards_no_more_than_its_link_carries_in_time() {
    // 20 Mbit/s.
    let link_rate = 2_500;
    let direct = ScriptedStore::new(WatchScript::LargeValue);
    let store = store_of(direct, "reader", &[("reader", UNUSED_ADDRESS)], link_rate);
    let source = store.source();
    for revision in [0, FIRST_REVISION] {
        store
            .watch("", at(revision), 0)
            .await
            .expect("the store answers");
    }
    let mut forwarded = 0;
    let mut refused = 0;
    for _ in 0..20 {
        let answer = source.changes(at(FIRST_REVISION), Duration::ZERO).await;
        match changes(answer) {
            Some(batch) => forwarded += batch.changes.len() * LARGE_VALUE,
            None => refused += 1,
        }
    }
    // Followers wait for an answer 400 ms longer than the watch time that they request.
    let carried = link_rate * 400;
    assert!(
        forwarded as u64 <= carried,
        "{forwarded} bytes of {carried}"
    );
    assert!(
        forwarded > 0 && refused > 0,
        "{forwarded} bytes, {refused} refused"
    );
}

#[tokio::test(start_paused = true)]
async fn only_the_latest_value_of_a_key_is_forwarded() {
    let direct = ScriptedStore::new(WatchScript::LargeValue);
    let store = store_of(direct, "reader", &[("reader", UNUSED_ADDRESS)], WIDE_LINK);
    let source = store.source();
    for revision in [0, FIRST_REVISION, FIRST_REVISION + 1] {
        store
            .watch("", at(revision), 0)
            .await
            .expect("the store answers");
    }
    let answer = source.changes(at(FIRST_REVISION), Duration::ZERO).await;
    let batch = changes(answer).expect("the reader is current");
    let revisions: Vec<u64> = batch.changes.iter().map(|change| change.revision).collect();
    assert_eq!(revisions, [FIRST_REVISION + 2]);
}

/// Memory of the smallest instances on the platform, in kilobytes.
const INSTANCE_MEMORY_KB: u64 = 160 * 1_024;

/// Number of large values that together are larger than this memory.
const MANY_VALUES: u64 = 700;

/// Largest resident memory that this process has had, in kilobytes.
fn peak_memory_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("the process runs");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let value = line.and_then(|line| line.split_whitespace().next());
    value.and_then(|value| value.parse().ok()).expect("a size")
}

#[tokio::test(start_paused = true)]
async fn large_values_of_one_key_do_not_add_up_in_a_readers_memory() {
    let direct = ScriptedStore::new(WatchScript::LargeValue);
    let store = store_of(direct, "reader", &[("reader", UNUSED_ADDRESS)], WIDE_LINK);
    for revision in FIRST_REVISION..FIRST_REVISION + MANY_VALUES {
        let after = if revision == FIRST_REVISION {
            StorePosition::START
        } else {
            at(revision - 1)
        };
        let watched = store.watch("", after, 0).await;
        watched.expect("the store answers");
    }
    let peak = peak_memory_kb();
    assert!(peak < INSTANCE_MEMORY_KB, "{peak} kB");
}

/// With several readers that accept connections but never answer, a follower waits for only one of
/// them.
#[tokio::test]
async fn a_follower_waits_for_only_one_silent_reader() {
    let mut listeners = Vec::new();
    for _ in 0..4 {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
        listeners.push(listener.expect("a free port"));
    }
    let addresses = listeners.iter().map(TcpListener::local_addr);
    let addresses: Vec<SocketAddr> = addresses.map(|address| address.expect("bound")).collect();
    let names = ["a", "b", "c", "d"];
    let members: Vec<(&str, SocketAddr)> = names.into_iter().zip(addresses).collect();
    let direct = ScriptedStore::new(WatchScript::NoChange);
    let store = store_of(Rc::clone(&direct), "follower", &members, WIDE_LINK);
    store
        .watch("", StorePosition::START, 0)
        .await
        .expect("the store answers");
    let started_at = Instant::now();
    tokio::task::LocalSet::new()
        .run_until(store.watch("", at(FIRST_REVISION), 0))
        .await
        .expect("the store answers directly");
    // Half of the time in which a change must take effect is left for the store.
    assert!(
        started_at.elapsed() < Duration::from_millis(1_500),
        "{:?}",
        started_at.elapsed()
    );
    assert_eq!(direct.calls.get(), 2);
}

/// Pause of an instance between two watches.
const LOOP_PAUSE: Duration = Duration::from_millis(150);

/// A reader for other instances, whose own calls of `direct` go on all the time.
fn serve_reader(listener: TcpListener, direct: Rc<ScriptedStore>) {
    let address = listener.local_addr().expect("bound");
    let members = [("reader", address)];
    let store = store_of(direct, "reader", &members, WIDE_LINK);
    let handler: Rc<PlacementRouter> = router_of("reader", &members);
    let source = Rc::new(store.source());
    tokio::task::spawn_local(serve_instance(listener, handler, source));
    tokio::task::spawn_local(async move {
        let mut position = StorePosition::START;
        loop {
            // The script answers at once, so failures and changes are waited for here.
            if let Ok(report) = store.watch("", position, 100).await {
                position = report.position;
            }
            tokio::time::sleep(LOOP_PAUSE).await;
        }
    });
}

/// Follows the store through four readers for `length`, and returns the follower's own calls.
async fn calls_of_a_follower(direct: WatchScript, readers: WatchScript, length: Duration) -> u32 {
    let mut members = Vec::new();
    for name in ["a", "b", "c", "d", "e"] {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let listener = listener.expect("a free port");
        members.push((name, listener.local_addr().expect("bound")));
        serve_reader(listener, ScriptedStore::new(readers));
    }
    let direct = ScriptedStore::new(direct);
    let store = store_of(Rc::clone(&direct), "follower", &members, WIDE_LINK);
    store
        .watch("", StorePosition::START, 0)
        .await
        .expect("the store answers");
    let following = async {
        loop {
            let _ = store.watch("", at(FIRST_REVISION), 100).await;
            tokio::time::sleep(LOOP_PAUSE).await;
        }
    };
    // The loop never ends by itself.
    let _ = tokio::time::timeout(length, following).await;
    direct.calls.get() - 1
}

#[tokio::test]
async fn followers_leave_an_unavailable_store_to_their_readers() {
    struct Case {
        name: &'static str,
        direct: WatchScript,
        readers: WatchScript,
        calls: std::ops::RangeInclusive<u32>,
    }
    let cases = [
        Case {
            name: "the store is away for all: a call a second at most",
            direct: WatchScript::Away,
            readers: WatchScript::Away,
            calls: 1..=4,
        },
        Case {
            name: "the readers serve: no call",
            direct: WatchScript::Away,
            readers: WatchScript::NoChange,
            calls: 0..=0,
        },
        Case {
            name: "only the readers are turned away: the follower is served",
            direct: WatchScript::NoChange,
            readers: WatchScript::Away,
            calls: 1..=u32::MAX,
        },
    ];
    for case in cases {
        let length = Duration::from_secs(4);
        let calls = tokio::task::LocalSet::new()
            .run_until(calls_of_a_follower(case.direct, case.readers, length))
            .await;
        assert!(case.calls.contains(&calls), "{}: {calls} calls", case.name);
    }
}

/// What a reader answers to a follower by the eras that both have read.
#[tokio::test(start_paused = true)]
async fn a_reader_compares_revisions_only_within_an_era() {
    enum Expected {
        NoChanges,
        HistoryLost,
        Declined,
    }
    struct Case {
        name: &'static str,
        /// Eras that the reader has read, one after the other.
        read: &'static [u64],
        /// Revision that the reader has read in the last one.
        revision: u64,
        follower: StorePosition,
        expected: Expected,
    }
    let position = |era, revision| StorePosition { era, revision };
    let case = |name, read, revision, follower, expected| Case {
        name,
        read,
        revision,
        follower,
        expected,
    };
    let cases = [
        case("same era", &[1], 7, position(1, 7), Expected::NoChanges),
        case("no eras", &[0], 7, position(0, 7), Expected::NoChanges),
        case("earlier", &[1], 7, position(1, 6), Expected::HistoryLost),
        case(
            "former era, revision ahead of the reader's",
            &[1, 2],
            5,
            position(1, 7),
            Expected::HistoryLost,
        ),
        case(
            "former era, revision of the reader's history",
            &[1, 2],
            7,
            position(1, 7),
            Expected::HistoryLost,
        ),
        case("later era", &[1], 7, position(2, 5), Expected::Declined),
        case(
            "era not stated, only one so far",
            &[1],
            7,
            position(0, 7),
            Expected::NoChanges,
        ),
        case(
            "era not stated, several so far",
            &[1, 2],
            7,
            position(0, 7),
            Expected::Declined,
        ),
    ];
    for case in cases {
        let era: Rc<StoreEra> = Rc::default();
        for read in case.read {
            era.observe(*read);
        }
        let first = position(era.known(), case.revision);
        let direct = ScriptedStore::at_position(first);
        let router = router_of("reader", &[("reader", UNUSED_ADDRESS)]);
        let store = ForwardedStore::new(direct, router, BootClock::new(), WIDE_LINK, era);
        let source = store.source();
        store
            .watch("", StorePosition::START, 0)
            .await
            .expect("the store answers");
        let answer = source.changes(case.follower, Duration::ZERO).await;
        let is_expected = match (&case.expected, &answer) {
            (Expected::NoChanges, ChangeAnswer::Changes(batch)) => batch.changes.is_empty(),
            (Expected::HistoryLost, ChangeAnswer::HistoryLost { era }) => *era == first.era,
            (Expected::Declined, ChangeAnswer::Declined) => true,
            _ => false,
        };
        assert!(is_expected, "{}: {answer:?}", case.name);
    }
}

/// A follower whose history the readers have lost learns that from them, whatever its own delay is.
#[tokio::test]
async fn a_follower_is_told_at_once_that_its_history_is_lost() {
    let watched = tokio::task::LocalSet::new()
        .run_until(async {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
            let listener = listener.expect("a free port");
            let address = listener.local_addr().expect("bound");
            serve_reader(
                listener,
                ScriptedStore::at_position(at(FIRST_REVISION + 90)),
            );
            let members = [
                ("a", address),
                ("b", UNUSED_ADDRESS),
                ("c", UNUSED_ADDRESS),
                ("d", UNUSED_ADDRESS),
                ("e", UNUSED_ADDRESS),
            ];
            let direct = ScriptedStore::new(WatchScript::Away);
            let store = store_of(direct, "follower", &members, WIDE_LINK);
            tokio::time::sleep(LOOP_PAUSE).await;
            let watched = store.watch("", at(FIRST_REVISION), 100);
            tokio::time::timeout(Duration::from_millis(600), watched).await
        })
        .await;
    assert_eq!(watched, Ok(Err(KeyValueError::HistoryLost)));
}

/// The delays that a follower draws while readers would tell it of the store's return do not hold once
/// the readers are gone.
#[tokio::test]
async fn a_follower_whose_readers_are_gone_calls_the_store_soon() {
    let took = tokio::task::LocalSet::new()
        .run_until(async {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
            let listener = listener.expect("a free port");
            let address = listener.local_addr().expect("bound");
            serve_reader(listener, ScriptedStore::new(WatchScript::Away));
            let names = ["a", "b", "c", "d", "e"];
            let router = router_of("follower", &names.map(|name| (name, address)));
            let direct = ScriptedStore::new(WatchScript::Away);
            let known: Rc<dyn KeyValue> = direct.clone();
            let store = ForwardedStore::new(
                known,
                Rc::clone(&router),
                BootClock::new(),
                WIDE_LINK,
                Rc::default(),
            );
            store
                .watch("", StorePosition::START, 0)
                .await
                .expect("the store answers");
            let following = async {
                loop {
                    let _ = store.watch("", at(FIRST_REVISION), 100).await;
                    tokio::time::sleep(LOOP_PAUSE).await;
                }
            };
            let losing_readers = async {
                // The delays grow meanwhile.
                let declined_until = Instant::now() + Duration::from_secs(5);
                let mut calls = direct.calls.get();
                while Instant::now() < declined_until || calls == direct.calls.get() {
                    if Instant::now() < declined_until {
                        calls = direct.calls.get();
                    }
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
                for name in names {
                    router.put_member(InstanceId::new(name), member(UNUSED_ADDRESS));
                }
                let calls = direct.calls.get();
                let gone_at = Instant::now();
                while direct.calls.get() == calls {
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
                gone_at.elapsed()
            };
            tokio::select! {
                () = following => unreachable!("the loop does not end"),
                took = losing_readers => took,
            }
        })
        .await;
    assert!(took < Duration::from_millis(1_200), "{took:?}");
}

/// Longest time between two calls of the store by a follower while only its readers are turned away:
/// a change must take effect within two seconds, and the pause between two watches is left.
const LONGEST_BLIND_TIME: Duration = Duration::from_millis(1_500);

#[tokio::test]
async fn a_follower_whose_readers_are_turned_away_is_not_blind_for_long() {
    let gaps = tokio::task::LocalSet::new()
        .run_until(async {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
            let listener = listener.expect("a free port");
            let address = listener.local_addr().expect("bound");
            serve_reader(listener, ScriptedStore::new(WatchScript::Away));
            let members = ["a", "b", "c", "d", "e"].map(|name| (name, address));
            let direct = ScriptedStore::new(WatchScript::NoChange);
            let store = store_of(Rc::clone(&direct), "follower", &members, WIDE_LINK);
            store
                .watch("", StorePosition::START, 0)
                .await
                .expect("the store answers");
            let following = async {
                loop {
                    let _ = store.watch("", at(FIRST_REVISION), 100).await;
                    tokio::time::sleep(LOOP_PAUSE).await;
                }
            };
            let watching = async {
                let until = Instant::now() + Duration::from_secs(8);
                let (mut calls, mut called_at) = (direct.calls.get(), Instant::now());
                let mut gaps = Vec::new();
                while Instant::now() < until {
                    if direct.calls.get() != calls {
                        gaps.push(called_at.elapsed());
                        (calls, called_at) = (direct.calls.get(), Instant::now());
                    }
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
                gaps
            };
            tokio::select! {
                () = following => unreachable!("the loop does not end"),
                gaps = watching => gaps,
            }
        })
        .await;
    let longest = gaps.iter().max();
    assert!(
        longest.is_some_and(|longest| *longest <= LONGEST_BLIND_TIME),
        "{gaps:?}"
    );
}
