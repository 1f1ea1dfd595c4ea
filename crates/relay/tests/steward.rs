//! Instances that ask each other for places, over loopback.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use jackdawpoint_relay::clock::BootClock;
use jackdawpoint_relay::{BoardKeeper, ChangeSource, DispatchDesk, StewardDesk};
use peer::serve_instance;
use policy::dispatch::DispatchLimits;
use policy::dispatch::engine::EngineProfile;
use policy::dispatch::placement::{
    EndpointInfo, EndpointState, EndpointTarget, PlacementDecision, PlacementRequest,
    PlacementScope, RunOutcome, RunReport,
};
use policy::fleet::FleetMember;
use policy::ids::{AccountId, DomainId, EndpointId, Incarnation, InstanceId, PoolId};
use policy::poison::Fingerprint;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

fn pool() -> PoolId {
    PoolId::new("engines")
}

/// Bytes a millisecond: 1,000 Mbit/s.
const LINK_RATE: u64 = 125_000;

/// One instance and its listener.
struct TestInstance {
    name: &'static str,
    domain: &'static str,
    capacity: f64,
    desk: Rc<StewardDesk>,
    keeper: Rc<BoardKeeper>,
    address: SocketAddr,
    listening: JoinHandle<()>,
}

impl TestInstance {
    async fn new(name: &'static str, domain: &'static str, capacity: f64) -> Self {
        let instance = Self::without_pools(name, domain, capacity).await;
        instance.learn_pools();
        instance
    }

    /// An instance that has read no configuration yet.
    async fn without_pools(name: &'static str, domain: &'static str, capacity: f64) -> Self {
        let clock = BootClock::new();
        let keeper = Rc::new(BoardKeeper::new(DispatchLimits::default(), clock.clone()));
        let desk = Rc::new(StewardDesk::new(
            InstanceId::new(name),
            DomainId::new(domain),
            Rc::clone(&keeper),
            clock.clone(),
        ));
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("a free port");
        let address = listener
            .local_addr()
            .expect("a bound listener has an address");
        let handler: Rc<StewardDesk> = Rc::clone(&desk);
        let changes = Rc::new(ChangeSource::new(clock, LINK_RATE));
        let listening = tokio::task::spawn_local(serve_instance(listener, handler, changes));
        tokio::task::spawn_local(Rc::clone(&desk).run());
        let running = Rc::clone(&keeper);
        tokio::task::spawn_local(async move { running.run().await });
        Self {
            name,
            domain,
            capacity,
            desk,
            keeper,
            address,
            listening,
        }
    }

    fn learn_pools(&self) {
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
        let facts: Vec<EndpointInfo> = ["one", "two"].map(endpoint).to_vec();
        self.keeper.change(|board| {
            board.set_pool(&pool(), &profile);
            board.set_endpoints(&pool(), &facts);
        });
    }

    fn know(&self, others: &[&TestInstance]) {
        for other in others {
            let member = FleetMember {
                domain: DomainId::new(other.domain),
                address: other.address,
                incarnation: Incarnation(1),
                capacity: other.capacity,
            };
            self.desk.put_member(InstanceId::new(other.name), member);
        }
    }

    async fn ask(&self, number: u64) -> PlacementDecision {
        let asked = Rc::clone(&self.desk).ask(number, work());
        tokio::time::timeout(Duration::from_secs(3), asked)
            .await
            .expect("an ask is answered in time")
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
    }
}

fn work() -> PlacementRequest {
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

async fn settle() {
    tokio::time::sleep(Duration::from_millis(700)).await;
}

#[tokio::test]
async fn one_steward_counts_the_runs_of_all() {
    tokio::task::LocalSet::new()
        .run_until(async {
            let first = TestInstance::new("first", "x", 1.0).await;
            let second = TestInstance::new("second", "y", 0.5).await;
            for one in [&first, &second] {
                one.know(&[&first, &second]);
            }
            settle().await;
            for number in 1..=2 {
                assert!(matches!(
                    second.ask(number).await,
                    PlacementDecision::Granted(_)
                ));
                assert!(matches!(
                    first.ask(number).await,
                    PlacementDecision::Granted(_)
                ));
            }
            assert_eq!(first.keeper.counts(), (0, 4));
            assert_eq!(second.keeper.counts(), (0, 0));
            let waiting = Rc::clone(&second.desk).ask(9, work());
            let too_many = tokio::time::timeout(Duration::from_millis(200), waiting).await;
            assert!(too_many.is_err(), "all four slots are taken");
            second
                .desk
                .finish(9, RunReport::new(RunOutcome::CallerLeft));
            second.desk.finish(1, RunReport::new(RunOutcome::Served));
            settle().await;
            assert_eq!(first.keeper.counts(), (0, 3), "the withdrawn ask is gone");
            assert!(matches!(first.ask(10).await, PlacementDecision::Granted(_)));
        })
        .await;
}

#[tokio::test]
async fn a_lost_steward_is_replaced_and_told_of_what_runs() {
    tokio::task::LocalSet::new()
        .run_until(async {
            let first = TestInstance::new("first", "x", 1.0).await;
            let second = TestInstance::new("second", "x", 0.8).await;
            let third = TestInstance::new("third", "x", 0.5).await;
            for one in [&second, &third] {
                one.know(&[&first, &second, &third]);
            }
            settle().await;
            assert!(matches!(third.ask(1).await, PlacementDecision::Granted(_)));
            assert_eq!(first.keeper.counts(), (0, 1));
            // The steward stops, and its entry goes; its place falls to the next in rank.
            first.desk.retire();
            first.listening.abort();
            for one in [&second, &third] {
                let gone = InstanceId::new("first");
                one.desk.remove_member(&gone);
            }
            settle().await;
            assert_eq!(
                second.keeper.counts(),
                (0, 1),
                "the run is counted by the new steward"
            );
            assert!(matches!(third.ask(2).await, PlacementDecision::Granted(_)));
            assert_eq!(second.keeper.counts(), (0, 2));
        })
        .await;
}

#[tokio::test]
async fn an_instance_alone_decides_itself() {
    tokio::task::LocalSet::new()
        .run_until(async {
            let alone = TestInstance::new("alone", "x", 0.5).await;
            let dead = TestInstance::new("dead", "y", 1.0).await;
            dead.listening.abort();
            settle().await;
            alone.know(&[&alone, &dead]);
            assert!(matches!(alone.ask(1).await, PlacementDecision::Granted(_)));
            assert_eq!(alone.keeper.counts(), (0, 1));
        })
        .await;
}

#[tokio::test]
async fn a_steward_that_knows_no_pool_is_passed_over() {
    tokio::task::LocalSet::new()
        .run_until(async {
            let anew = TestInstance::without_pools("anew", "x", 1.0).await;
            let other = TestInstance::new("other", "x", 0.5).await;
            other.know(&[&anew, &other]);
            settle().await;
            assert!(matches!(other.ask(1).await, PlacementDecision::Granted(_)));
            assert_eq!(other.keeper.counts(), (0, 1));
            // Once it knows the pool it decides.
            anew.learn_pools();
            settle().await;
            settle().await;
            assert_eq!(anew.keeper.counts(), (0, 1));
        })
        .await;
}

#[tokio::test]
async fn the_next_in_rank_decides_while_a_lost_steward_is_still_listed() {
    // The store is away, so that nobody hears that the steward is gone.
    tokio::task::LocalSet::new()
        .run_until(async {
            let first = TestInstance::new("first", "x", 1.0).await;
            let second = TestInstance::new("second", "y", 0.8).await;
            let third = TestInstance::new("third", "z", 0.5).await;
            let fourth = TestInstance::new("fourth", "x", 0.4).await;
            let all = [&first, &second, &third, &fourth];
            for one in [&second, &third, &fourth] {
                one.know(&all);
            }
            first.listening.abort();
            settle().await;
            settle().await;
            for (number, one) in [&second, &third, &fourth].iter().enumerate() {
                let verdict = one.ask(number as u64).await;
                assert!(matches!(verdict, PlacementDecision::Granted(_)));
            }
            assert_eq!(
                second.keeper.counts(),
                (0, 3),
                "one board counts the runs of all"
            );
        })
        .await;
}

#[tokio::test]
async fn a_steward_that_refuses_sessions_is_passed_over_for_the_next() {
    tokio::task::LocalSet::new()
        .run_until(async {
            let anew = TestInstance::without_pools("anew", "x", 1.0).await;
            let second = TestInstance::new("second", "x", 0.8).await;
            let third = TestInstance::new("third", "x", 0.5).await;
            for one in [&second, &third] {
                one.know(&[&anew, &second, &third]);
            }
            settle().await;
            for (number, one) in [&second, &third].iter().enumerate() {
                let verdict = one.ask(number as u64).await;
                assert!(matches!(verdict, PlacementDecision::Granted(_)));
            }
            assert_eq!(second.keeper.counts(), (0, 2));
        })
        .await;
}

#[tokio::test]
async fn a_steward_that_hears_of_no_other_domain_uses_its_own_endpoints() {
    tokio::task::LocalSet::new()
        .run_until(async {
            let steward = TestInstance::new("steward", "x", 1.0).await;
            let near = TestInstance::new("near", "x", 0.8).await;
            let cut_off = TestInstance::new("cut-off", "y", 0.5).await;
            steward.keeper.change(|board| {
                let far = EndpointInfo {
                    domain: DomainId::new("y"),
                    ..endpoint("one")
                };
                board.set_endpoints(&pool(), &[far, endpoint("two")]);
            });
            cut_off.listening.abort();
            for one in [&steward, &near] {
                one.know(&[&steward, &near, &cut_off]);
            }
            settle().await;
            let mut hosts = Vec::new();
            for (number, one) in [&steward, &near].iter().enumerate() {
                if let PlacementDecision::Granted(grant) = one.ask(number as u64).await {
                    hosts.push(grant.host.endpoint.as_str().to_owned());
                }
            }
            assert_eq!(hosts, ["two", "two"]);
            // The near endpoint is full: a third waits for it, though the far one is free.
            let waiting = Rc::clone(&near.desk).ask(8, work());
            let third = tokio::time::timeout(Duration::from_millis(200), waiting).await;
            assert!(third.is_err(), "{third:?}");
            near.desk.finish(8, RunReport::new(RunOutcome::CallerLeft));
            // Once it hears of the other domain again it uses all.
            let other = TestInstance::new("other", "y", 0.5).await;
            for one in [&steward, &other] {
                one.know(&[&steward, &near, &other]);
            }
            settle().await;
            assert!(matches!(other.ask(9).await, PlacementDecision::Granted(_)));
        })
        .await;
}

#[tokio::test]
async fn lapsed_entries_do_not_move_the_stewardship_when_the_store_returns() {
    tokio::task::LocalSet::new()
        .run_until(async {
            let steward = TestInstance::new("steward", "x", 1.0).await;
            let second = TestInstance::new("second", "y", 0.5).await;
            for one in [&steward, &second] {
                one.know(&[&steward, &second]);
            }
            settle().await;
            // All entries lapsed while the store was away; the second has registered again first.
            for one in [&steward, &second] {
                one.desk.store_regained();
                one.desk.list_members(&[InstanceId::new("second")]);
            }
            // One that has no session yet takes the same steward.
            let third = TestInstance::new("third", "z", 0.4).await;
            third.know(&[&steward, &second, &third]);
            third.desk.store_regained();
            third
                .desk
                .list_members(&[InstanceId::new("second"), InstanceId::new("third")]);
            settle().await;
            assert!(matches!(third.ask(1).await, PlacementDecision::Granted(_)));
            assert_eq!(steward.keeper.counts(), (0, 1));
            third.desk.finish(1, RunReport::new(RunOutcome::Served));
            assert!(matches!(second.ask(1).await, PlacementDecision::Granted(_)));
            settle().await;
            assert_eq!(steward.keeper.counts(), (0, 1));
            // An entry that does not come back is dropped; the steward itself is gone too.
            steward.desk.retire();
            steward.listening.abort();
            tokio::time::sleep(Duration::from_secs(3)).await;
            assert!(matches!(second.ask(2).await, PlacementDecision::Granted(_)));
            assert_eq!(second.keeper.counts().1, 2, "the second decides for itself");
        })
        .await;
}

#[tokio::test]
async fn an_entry_that_lapses_does_not_depose_a_steward_that_answers() {
    // The store turns the steward away, so that its entry lapses; all others are served.
    tokio::task::LocalSet::new()
        .run_until(async {
            let first = TestInstance::new("first", "x", 1.0).await;
            let second = TestInstance::new("second", "y", 0.8).await;
            let third = TestInstance::new("third", "z", 0.5).await;
            for one in [&first, &second, &third] {
                one.know(&[&first, &second, &third]);
            }
            settle().await;
            for one in [&second, &third] {
                one.desk.remove_member(&InstanceId::new("first"));
            }
            settle().await;
            for (number, one) in [&first, &second, &third].iter().enumerate() {
                let verdict = one.ask(number as u64).await;
                assert!(matches!(verdict, PlacementDecision::Granted(_)));
            }
            assert_eq!(first.keeper.counts(), (0, 3), "one board counts all runs");
            // It stops for good: its place falls to the next.
            first.desk.retire();
            settle().await;
            settle().await;
            assert_eq!(second.keeper.counts(), (0, 2));
        })
        .await;
}
