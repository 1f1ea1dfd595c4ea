//! Placement across several instances that are connected over loopback.

use std::cell::Cell;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use jackdawpoint_relay::clock::BootClock;
use jackdawpoint_relay::{ChangeSource, DispatcherDriver, PlacementClient, PlacementRouter};
use peer::serve_instance;
use policy::dispatch::DispatchLimits;
use policy::dispatch::engine::EngineProfile;
use policy::dispatch::placement::{
    EndpointInfo, EndpointState, EndpointTarget, PlacementDecision, PlacementRequest,
    PlacementScope, RunOutcome, RunReport, StartPhase,
};
use policy::fleet::FleetMember;
use policy::ids::{AccountId, DomainId, EndpointId, Incarnation, InstanceId, PoolId};
use policy::poison::Fingerprint;
use policy::rate_limit::{PermitDecision, RateNotice, RequestRate};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

fn pool() -> PoolId {
    PoolId::new("engines")
}

/// Bytes per millisecond: 1,000 Mbit/s.
const LINK_RATE: u64 = 125_000;

/// Interval and number of checks within which a member has joined again after a silence.
const REJOIN_CHECK_PERIOD: Duration = Duration::from_millis(20);
const REJOIN_CHECKS: usize = 250;

/// An instance and its listener.
struct TestInstance {
    name: &'static str,
    domain: &'static str,
    capacity: f64,
    router: Rc<PlacementRouter>,
    driver: Rc<DispatcherDriver>,
    address: SocketAddr,
    listening: JoinHandle<()>,
}

impl TestInstance {
    async fn new(name: &'static str, domain: &'static str, capacity: f64) -> Self {
        let instance = Self::without_pools(name, domain, capacity).await;
        instance.set_pools();
        instance
    }

    /// Creates an instance that has not read a configuration yet.
    async fn without_pools(name: &'static str, domain: &'static str, capacity: f64) -> Self {
        let clock = BootClock::new();
        let driver = Rc::new(DispatcherDriver::new(
            DispatchLimits::default(),
            clock.clone(),
        ));
        let router = Rc::new(PlacementRouter::new(
            InstanceId::new(name),
            DomainId::new(domain),
            Rc::clone(&driver),
            clock.clone(),
        ));
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("a free port");
        let address = listener.local_addr().expect("the listener is bound");
        let handler: Rc<PlacementRouter> = Rc::clone(&router);
        let changes = Rc::new(ChangeSource::new(clock, LINK_RATE, Rc::default()));
        let listening = tokio::task::spawn_local(serve_instance(listener, handler, changes));
        tokio::task::spawn_local(Rc::clone(&router).run());
        let running = Rc::clone(&driver);
        tokio::task::spawn_local(async move { running.run().await });
        Self {
            name,
            domain,
            capacity,
            router,
            driver,
            address,
            listening,
        }
    }

    fn set_pools(&self) {
        let profile = EngineProfile {
            slots: 2,
            memory_tokens: 100_000,
            step_ms: 0.85,
            writer_step_ms: 0.004,
            context_step_ms: 0.003,
            read_tokens_per_ms: 177.0,
            million_pairs_ms: 0.184,
            steps_per_pass: 51.0,
        };
        let endpoints: Vec<EndpointInfo> = ["one", "two"].map(endpoint).to_vec();
        self.driver.update(|dispatcher| {
            dispatcher.set_pool(&pool(), &profile);
            dispatcher.set_endpoints(&pool(), &endpoints);
        });
    }

    fn add_members(&self, others: &[&TestInstance]) {
        for other in others {
            let member = FleetMember {
                domain: DomainId::new(other.domain),
                address: other.address,
                tunnel_address: None,
                incarnation: Incarnation(1),
                capacity: other.capacity,
            };
            self.router.put_member(InstanceId::new(other.name), member);
        }
    }

    async fn request(&self, number: u64) -> PlacementDecision {
        let requested = Rc::clone(&self.router).request_placement(number, placement_request());
        tokio::time::timeout(Duration::from_secs(3), requested)
            .await
            .expect("a placement request is answered in time")
    }
}

fn endpoint(name: &str) -> EndpointInfo {
    EndpointInfo {
        target: EndpointTarget {
            endpoint: EndpointId::new(name),
            address: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1),
        },
        domain: DomainId::new("x"),
        state: EndpointState::Ready,
        started: StartPhase::Settled,
    }
}

fn placement_request() -> PlacementRequest {
    PlacementRequest {
        pool: pool(),
        account: AccountId::new("account"),
        scope: PlacementScope::Fleet,
        prompt_tokens: 1_000,
        output_tokens: 100,
        waited: 0,
        first_event_aim: 300,
        pause_aim: 250,
        time_left: 2_000,
        retry: None,
        excluded: Vec::new(),
        caller_domain: None,
        fingerprint: Fingerprint(1),
    }
}

async fn wait_for_sessions() {
    tokio::time::sleep(Duration::from_millis(700)).await;
}

#[tokio::test]
async fn the_steward_counts_all_runs() {
    tokio::task::LocalSet::new()
        .run_until(async {
            let first = TestInstance::new("first", "x", 1.0).await;
            let second = TestInstance::new("second", "y", 0.5).await;
            for instance in [&first, &second] {
                instance.add_members(&[&first, &second]);
            }
            wait_for_sessions().await;
            for number in 1..=2 {
                assert!(matches!(
                    second.request(number).await,
                    PlacementDecision::Granted(_)
                ));
                assert!(matches!(
                    first.request(number).await,
                    PlacementDecision::Granted(_)
                ));
            }
            assert_eq!(first.driver.counts(), (0, 4));
            assert_eq!(second.driver.counts(), (0, 0));
            let waiting = Rc::clone(&second.router).request_placement(9, placement_request());
            let too_many = tokio::time::timeout(Duration::from_millis(200), waiting).await;
            assert!(too_many.is_err(), "all four slots are taken");
            second
                .router
                .finish(9, RunReport::new(RunOutcome::CallerLeft));
            second.router.finish(1, RunReport::new(RunOutcome::Served));
            wait_for_sessions().await;
            assert_eq!(
                first.driver.counts(),
                (0, 3),
                "the withdrawn request is gone"
            );
            assert!(matches!(
                first.request(10).await,
                PlacementDecision::Granted(_)
            ));
        })
        .await;
}

#[tokio::test]
async fn the_successor_of_a_lost_steward_learns_of_runs_in_flight() {
    tokio::task::LocalSet::new()
        .run_until(async {
            let first = TestInstance::new("first", "x", 1.0).await;
            let second = TestInstance::new("second", "x", 0.8).await;
            let third = TestInstance::new("third", "x", 0.5).await;
            for instance in [&second, &third] {
                instance.add_members(&[&first, &second, &third]);
            }
            wait_for_sessions().await;
            assert!(matches!(
                third.request(1).await,
                PlacementDecision::Granted(_)
            ));
            assert_eq!(first.driver.counts(), (0, 1));
            // The steward stops and its entry is removed; the next in rank takes over.
            first.router.resign();
            first.listening.abort();
            for instance in [&second, &third] {
                let gone = InstanceId::new("first");
                instance.router.remove_member(&gone);
            }
            wait_for_sessions().await;
            assert_eq!(
                second.driver.counts(),
                (0, 1),
                "the run is counted by the new steward"
            );
            assert!(matches!(
                third.request(2).await,
                PlacementDecision::Granted(_)
            ));
            assert_eq!(second.driver.counts(), (0, 2));
        })
        .await;
}

#[tokio::test]
async fn the_only_reachable_instance_places_locally() {
    tokio::task::LocalSet::new()
        .run_until(async {
            let alone = TestInstance::new("alone", "x", 0.5).await;
            let dead = TestInstance::new("dead", "y", 1.0).await;
            dead.listening.abort();
            wait_for_sessions().await;
            alone.add_members(&[&alone, &dead]);
            assert!(matches!(
                alone.request(1).await,
                PlacementDecision::Granted(_)
            ));
            assert_eq!(alone.driver.counts(), (0, 1));
        })
        .await;
}

#[tokio::test]
async fn a_steward_without_pools_is_skipped_until_it_has_them() {
    tokio::task::LocalSet::new()
        .run_until(async {
            let restarted = TestInstance::without_pools("restarted", "x", 1.0).await;
            let other = TestInstance::new("other", "x", 0.5).await;
            other.add_members(&[&restarted, &other]);
            wait_for_sessions().await;
            assert!(matches!(
                other.request(1).await,
                PlacementDecision::Granted(_)
            ));
            assert_eq!(other.driver.counts(), (0, 1));
            // The instance becomes the steward as soon as it has the pool.
            restarted.set_pools();
            wait_for_sessions().await;
            wait_for_sessions().await;
            assert_eq!(restarted.driver.counts(), (0, 1));
        })
        .await;
}

#[tokio::test]
async fn the_next_in_rank_is_steward_while_the_lost_steward_is_still_listed() {
    // The store is unavailable, so that no instance learns that the steward is gone.
    tokio::task::LocalSet::new()
        .run_until(async {
            let first = TestInstance::new("first", "x", 1.0).await;
            let second = TestInstance::new("second", "y", 0.8).await;
            let third = TestInstance::new("third", "z", 0.5).await;
            let fourth = TestInstance::new("fourth", "x", 0.4).await;
            let all = [&first, &second, &third, &fourth];
            for instance in [&second, &third, &fourth] {
                instance.add_members(&all);
            }
            first.listening.abort();
            wait_for_sessions().await;
            wait_for_sessions().await;
            for (number, instance) in [&second, &third, &fourth].iter().enumerate() {
                let decision = instance.request(number as u64).await;
                assert!(matches!(decision, PlacementDecision::Granted(_)));
            }
            assert_eq!(
                second.driver.counts(),
                (0, 3),
                "one dispatcher counts all runs"
            );
        })
        .await;
}

#[tokio::test]
async fn the_next_in_rank_is_steward_if_the_first_refuses_sessions() {
    tokio::task::LocalSet::new()
        .run_until(async {
            let restarted = TestInstance::without_pools("restarted", "x", 1.0).await;
            let second = TestInstance::new("second", "x", 0.8).await;
            let third = TestInstance::new("third", "x", 0.5).await;
            for instance in [&second, &third] {
                instance.add_members(&[&restarted, &second, &third]);
            }
            wait_for_sessions().await;
            for (number, instance) in [&second, &third].iter().enumerate() {
                let decision = instance.request(number as u64).await;
                assert!(matches!(decision, PlacementDecision::Granted(_)));
            }
            assert_eq!(second.driver.counts(), (0, 2));
        })
        .await;
}

#[tokio::test]
async fn a_steward_without_sessions_from_other_domains_uses_only_its_own_endpoints() {
    tokio::task::LocalSet::new()
        .run_until(async {
            let steward = TestInstance::new("steward", "x", 1.0).await;
            let neighbour = TestInstance::new("neighbour", "x", 0.8).await;
            let cut_off = TestInstance::new("cut-off", "y", 0.5).await;
            steward.driver.update(|dispatcher| {
                let far = EndpointInfo {
                    domain: DomainId::new("y"),
                    ..endpoint("one")
                };
                dispatcher.set_endpoints(&pool(), &[far, endpoint("two")]);
            });
            cut_off.listening.abort();
            for instance in [&steward, &neighbour] {
                instance.add_members(&[&steward, &neighbour, &cut_off]);
            }
            wait_for_sessions().await;
            let mut hosts = Vec::new();
            for (number, instance) in [&steward, &neighbour].iter().enumerate() {
                if let PlacementDecision::Granted(grant) = instance.request(number as u64).await {
                    hosts.push(grant.host.endpoint.as_str().to_owned());
                }
            }
            assert_eq!(hosts, ["two", "two"]);
            // The endpoint of the steward's domain is full: a third request waits for it, although
            // the other domain's endpoint is free.
            let waiting = Rc::clone(&neighbour.router).request_placement(8, placement_request());
            let third = tokio::time::timeout(Duration::from_millis(200), waiting).await;
            assert!(third.is_err(), "{third:?}");
            neighbour
                .router
                .finish(8, RunReport::new(RunOutcome::CallerLeft));
            // After a session from the other domain has been opened, all endpoints are used.
            let other = TestInstance::new("other", "y", 0.5).await;
            for instance in [&steward, &other] {
                instance.add_members(&[&steward, &neighbour, &other]);
            }
            wait_for_sessions().await;
            assert!(matches!(
                other.request(9).await,
                PlacementDecision::Granted(_)
            ));
        })
        .await;
}

#[tokio::test]
async fn expired_entries_do_not_change_the_steward_when_the_store_recovers() {
    tokio::task::LocalSet::new()
        .run_until(async {
            let steward = TestInstance::new("steward", "x", 1.0).await;
            let second = TestInstance::new("second", "y", 0.5).await;
            for instance in [&steward, &second] {
                instance.add_members(&[&steward, &second]);
            }
            wait_for_sessions().await;
            // All entries expired while the store was unavailable; the second instance registers
            // again first.
            for instance in [&steward, &second] {
                instance.router.store_recovered();
                instance.router.retain_members(&[InstanceId::new("second")]);
            }
            // An instance that has no session yet takes the same instance for its steward.
            let third = TestInstance::new("third", "z", 0.4).await;
            third.add_members(&[&steward, &second, &third]);
            third.router.store_recovered();
            third
                .router
                .retain_members(&[InstanceId::new("second"), InstanceId::new("third")]);
            wait_for_sessions().await;
            assert!(matches!(
                third.request(1).await,
                PlacementDecision::Granted(_)
            ));
            assert_eq!(steward.driver.counts(), (0, 1));
            third.router.finish(1, RunReport::new(RunOutcome::Served));
            assert!(matches!(
                second.request(1).await,
                PlacementDecision::Granted(_)
            ));
            wait_for_sessions().await;
            assert_eq!(steward.driver.counts(), (0, 1));
            // An entry that does not come back is removed, and the steward itself has stopped.
            steward.router.resign();
            steward.listening.abort();
            tokio::time::sleep(Duration::from_secs(3)).await;
            assert!(matches!(
                second.request(2).await,
                PlacementDecision::Granted(_)
            ));
            assert_eq!(
                second.driver.counts().1,
                2,
                "the second instance places locally"
            );
        })
        .await;
}

#[tokio::test]
async fn a_steward_that_answers_pings_survives_the_expiry_of_its_entry() {
    // The store rejects the steward's calls, so that its entry expires; all other instances are
    // served.
    tokio::task::LocalSet::new()
        .run_until(async {
            let first = TestInstance::new("first", "x", 1.0).await;
            let second = TestInstance::new("second", "y", 0.8).await;
            let third = TestInstance::new("third", "z", 0.5).await;
            for instance in [&first, &second, &third] {
                instance.add_members(&[&first, &second, &third]);
            }
            wait_for_sessions().await;
            for instance in [&second, &third] {
                instance.router.remove_member(&InstanceId::new("first"));
            }
            wait_for_sessions().await;
            for (number, instance) in [&first, &second, &third].iter().enumerate() {
                let decision = instance.request(number as u64).await;
                assert!(matches!(decision, PlacementDecision::Granted(_)));
            }
            assert_eq!(
                first.driver.counts(),
                (0, 3),
                "one dispatcher counts all runs"
            );
            // The steward stops; the next in rank takes over.
            first.router.resign();
            wait_for_sessions().await;
            wait_for_sessions().await;
            assert_eq!(second.driver.counts(), (0, 2));
        })
        .await;
}

/// A network path to an instance that can fall silent without closing its connections.
struct SilentPath {
    address: SocketAddr,
    /// Of open and new connections.
    is_silent: Rc<Cell<bool>>,
    /// Connections with a smaller number are silent for good.
    first_open: Rc<Cell<u64>>,
    connections: Rc<Cell<u64>>,
}

impl SilentPath {
    /// Silences all open connections; new ones work.
    fn silence_open(&self) {
        self.first_open.set(self.connections.get());
    }

    async fn new(target: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("a free port");
        let address = listener.local_addr().expect("the listener is bound");
        let is_silent = Rc::new(Cell::new(false));
        let first_open = Rc::new(Cell::new(0));
        let connections = Rc::new(Cell::new(0));
        let (silent, first, accepted) = (
            Rc::clone(&is_silent),
            Rc::clone(&first_open),
            Rc::clone(&connections),
        );
        tokio::task::spawn_local(async move {
            while let Ok((caller, _)) = listener.accept().await {
                let number = accepted.replace(accepted.get() + 1);
                let (silent, first) = (Rc::clone(&silent), Rc::clone(&first));
                let is_silent: Rc<dyn Fn() -> bool> =
                    Rc::new(move || silent.get() || number < first.get());
                let Ok(instance) = TcpStream::connect(target).await else {
                    continue;
                };
                let (from_caller, to_caller) = caller.into_split();
                let (from_instance, to_instance) = instance.into_split();
                let forward = Self::copy(from_caller, to_instance, Rc::clone(&is_silent));
                tokio::task::spawn_local(forward);
                let back = Self::copy(from_instance, to_caller, is_silent);
                tokio::task::spawn_local(back);
            }
        });
        Self {
            address,
            is_silent,
            first_open,
            connections,
        }
    }

    async fn copy(
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
        is_silent: Rc<dyn Fn() -> bool>,
    ) {
        let mut buffer = [0; 4_096];
        while let Ok(length) = from.read(&mut buffer).await {
            if is_silent() {
                std::future::pending::<()>().await;
            }
            if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
                return;
            }
        }
    }
}

#[tokio::test]
async fn requests_queued_at_a_steward_that_falls_silent_are_decided_without_it() {
    tokio::task::LocalSet::new()
        .run_until(async {
            let mut first = TestInstance::new("first", "x", 1.0).await;
            let second = TestInstance::new("second", "x", 0.5).await;
            let path = SilentPath::new(first.address).await;
            first.address = path.address;
            for instance in [&first, &second] {
                instance.add_members(&[&first, &second]);
            }
            wait_for_sessions().await;
            for number in 1..=4 {
                let granted = second.request(number).await;
                assert!(matches!(granted, PlacementDecision::Granted(_)));
            }
            let queued = Rc::clone(&second.router).request_placement(5, placement_request());
            path.is_silent.set(true);
            let deadline = Duration::from_millis(placement_request().time_left);
            let decided = tokio::time::timeout(deadline, queued).await;
            assert!(decided.is_ok(), "the request waits for the silent steward");
        })
        .await;
}

#[tokio::test]
async fn runs_of_a_member_that_joins_again_are_counted_once() {
    tokio::task::LocalSet::new()
        .run_until(async {
            let mut first = TestInstance::new("first", "x", 1.0).await;
            let second = TestInstance::new("second", "x", 0.5).await;
            let path = SilentPath::new(first.address).await;
            first.address = path.address;
            for instance in [&first, &second] {
                instance.add_members(&[&first, &second]);
            }
            wait_for_sessions().await;
            for number in 1..=2 {
                let granted = second.request(number).await;
                assert!(matches!(granted, PlacementDecision::Granted(_)));
            }
            assert_eq!(first.driver.counts(), (0, 2));
            path.silence_open();
            let mut most_counted = 0;
            for _ in 0..REJOIN_CHECKS {
                tokio::time::sleep(REJOIN_CHECK_PERIOD).await;
                most_counted = most_counted.max(first.driver.counts().1);
            }
            assert_eq!(most_counted, 2, "runs counted at the steward");
            assert_eq!(first.driver.counts(), (0, 2));
        })
        .await;
}

#[tokio::test]
async fn limit_heard_by_a_member_holds_at_its_steward_and_at_the_successor() {
    tokio::task::LocalSet::new()
        .run_until(async {
            let first = TestInstance::new("first", "x", 1.0).await;
            let second = TestInstance::new("second", "x", 0.8).await;
            let third = TestInstance::new("third", "x", 0.5).await;
            let all = [&first, &second, &third];
            for instance in all {
                instance.add_members(&all);
            }
            wait_for_sessions().await;
            let limited = EndpointId::new("one");
            third.router.report_limit(&RateNotice {
                endpoint: limited.clone(),
                rate: RequestRate::new(0.5),
                age: 0,
            });
            tokio::time::sleep(Duration::from_millis(50)).await;
            assert_eq!(first.driver.limit_notices().len(), 1);
            let asked = third.router.request_permit(&limited).await;
            assert!(matches!(asked, PermitDecision::Wait(_)), "{asked:?}");
            assert!(second.driver.limit_notices().is_empty());
            first.router.resign();
            for instance in [&second, &third] {
                instance.router.remove_member(&InstanceId::new("first"));
            }
            // The sessions with the first end at the next ping.
            tokio::time::sleep(Duration::from_millis(2_500)).await;
            let known = second.driver.limit_notices();
            let rates: Vec<_> = known.iter().map(|notice| notice.rate).collect();
            assert_eq!(rates, [RequestRate::new(0.5)]);
            assert!(known[0].age >= 2_000, "{known:?}");
        })
        .await;
}

#[tokio::test]
async fn dispatchers_divide_a_limit_by_the_instances_that_they_decide_for() {
    tokio::task::LocalSet::new()
        .run_until(async {
            let first = TestInstance::new("first", "x", 1.0).await;
            let second = TestInstance::new("second", "x", 0.8).await;
            let alone = TestInstance::new("alone", "y", 0.5).await;
            let all = [&first, &second, &alone];
            for instance in [&first, &second] {
                instance.add_members(&all);
            }
            // The third is listed, but reaches nobody.
            alone.add_members(&[&alone]);
            alone.listening.abort();
            wait_for_sessions().await;
            let limited = EndpointId::new("one");
            let notice = RateNotice {
                endpoint: limited.clone(),
                rate: RequestRate::new(1.0),
                age: 0,
            };
            first.router.report_limit(&notice);
            let PermitDecision::Wait(wait) = first.driver.request_permit(&limited) else {
                panic!("the first grant comes after an interval");
            };
            // Two of three instances: two thirds of a request a second.
            assert!((1_400..=1_500).contains(&wait), "{wait}");
        })
        .await;
}
