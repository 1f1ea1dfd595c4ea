//! Work and order of placement decisions while far more requests arrive than engines can start.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use jackdawpoint_policy::dispatch::engine::EngineProfile;
use jackdawpoint_policy::dispatch::placement::{
    EndpointInfo, EndpointState, EndpointTarget, PlacementDecision, PlacementRequest,
    PlacementScope, RunKey, StartPhase,
};
use jackdawpoint_policy::dispatch::{DispatchLimits, Dispatcher};
use jackdawpoint_policy::ids::{AccountId, DomainId, EndpointId, Millis, PoolId};
use jackdawpoint_policy::outcome::RefusalReason;
use jackdawpoint_policy::poison::Fingerprint;

const DEADLINE: Millis = 10_000;

fn pool() -> PoolId {
    PoolId::new("engines")
}

fn info(index: u8) -> EndpointInfo {
    EndpointInfo {
        target: EndpointTarget {
            endpoint: EndpointId::new(format!("engine-{index}")),
            address: SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 1, index)), 80),
        },
        domain: DomainId::new(format!("domain-{}", index % 3)),
        state: EndpointState::Ready,
        started: StartPhase::Settled,
    }
}

fn dispatcher(engines: u8) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatchLimits::default());
    let profile = EngineProfile {
        slots: 12,
        memory_tokens: 382_500,
        step_ms: 0.925,
        writer_step_ms: 0.004_83,
        context_step_ms: 0.002_54,
        read_tokens_per_ms: 256.0,
        million_pairs_ms: 0.091_7,
        steps_per_pass: 52.0,
    };
    dispatcher.set_pool(&pool(), &profile);
    let list: Vec<EndpointInfo> = (0..engines).map(info).collect();
    dispatcher.set_endpoints(&pool(), &list);
    dispatcher
}

fn request(prompt_tokens: u64, aim: Millis, pause_aim: Millis, waited: Millis) -> PlacementRequest {
    PlacementRequest {
        pool: pool(),
        account: AccountId::new("account"),
        scope: PlacementScope::Fleet,
        prompt_tokens,
        output_tokens: 1_500,
        waited,
        first_event_aim: aim,
        pause_aim,
        time_left: DEADLINE - waited,
        retry: None,
        excluded: Vec::new(),
        caller_domain: None,
        fingerprint: Fingerprint(prompt_tokens),
    }
}

fn short() -> PlacementRequest {
    request(5_000, 300, 200, 0)
}

fn long(prompt_tokens: u64) -> PlacementRequest {
    request(prompt_tokens, 4_000, 800, 0)
}

/// Requests that arrive at 60 engines within one round interval.
struct BurstCase {
    arrivals: u64,
}

/// Guards against a steward that spends its processor on decisions and answers nobody: work for
/// each message must not grow with the number of queued requests.
#[test]
fn work_for_a_message_does_not_grow_with_the_queue() {
    let limits = DispatchLimits::default();
    let cases = [100, 1_000, 5_000].map(|arrivals| BurstCase { arrivals });
    for BurstCase { arrivals } in cases {
        let mut dispatcher = dispatcher(60);
        let mut rounds = 0;
        for number in 0..arrivals {
            let request = long(250_000 + number);
            let refusal = dispatcher.submit(RunKey::new(1, number), request, 1_000);
            if refusal.is_none() {
                let was_round_due = dispatcher.is_round_due(1_000);
                let is_small = dispatcher.counts().0 <= limits.immediate_queue;
                rounds += u64::from(was_round_due || is_small);
                let _ = dispatcher.decide_after_change(1_000);
            }
        }
        let before = dispatcher.work();
        let queued = dispatcher.counts().0 as u64;
        let _ = dispatcher.decide(1_000 + limits.round_interval);
        let work = dispatcher.work();
        let tries = limits.tries_per_round as u64;
        let started = dispatcher.counts().1 as u64;
        assert!(
            before.searches <= rounds * tries + started,
            "{arrivals} arrivals: {} searches in {rounds} rounds",
            before.searches
        );
        assert!(
            rounds <= 2 * limits.immediate_queue as u64 + started,
            "{arrivals} arrivals: {rounds} rounds"
        );
        assert!(
            work.considered - before.considered <= queued,
            "{arrivals} arrivals: each queued request is considered once in a round"
        );
        assert!(work.searches - before.searches <= tries + started);
    }
}

/// Guards against serving only those that are late already in a burst of short prompts: callers that
/// have just come must not wait behind callers that came back after a refusal.
#[test]
fn short_requests_that_can_be_in_time_go_before_late_ones() {
    let mut dispatcher = dispatcher(1);
    for number in 0..40 {
        let late = request(5_000, 300, 200, 2_000);
        assert_eq!(dispatcher.submit(RunKey::new(1, number), late, 0), None);
    }
    for number in 40..60 {
        assert_eq!(dispatcher.submit(RunKey::new(1, number), short(), 0), None);
    }
    let decisions = dispatcher.decide(0);
    let granted = decisions
        .iter()
        .filter(|(_, decision)| matches!(decision, PlacementDecision::Granted(_)));
    let granted: Vec<u64> = granted.map(|(key, _)| key.number).collect();
    assert!(!granted.is_empty());
    assert!(
        granted.iter().all(|number| *number >= 40),
        "late requests were granted first: {granted:?}"
    );
}

/// Guards against short requests that wait in a queue until their target has passed, although it is
/// known when they arrive that they cannot be placed in time.
#[test]
fn short_requests_beyond_what_can_be_placed_in_time_are_refused_when_they_arrive() {
    let limits = DispatchLimits::default();
    let mut dispatcher = dispatcher(1);
    let arrivals = 400;
    let mut refused = Vec::new();
    for number in 0..arrivals {
        let refusal = dispatcher.submit(RunKey::new(1, number), short(), 1_000);
        refused.extend(refusal);
        let _ = dispatcher.decide_after_change(1_000);
    }
    assert!(dispatcher.counts().0 <= limits.short_queue);
    assert!(!refused.is_empty());
    for refusal in refused {
        assert_eq!(refusal.reason, RefusalReason::Overloaded);
        assert!(refusal.retry_after >= limits.shortest_return);
        assert!(refusal.retry_after <= DEADLINE / 3);
    }
}

/// Guards against a dispatcher that takes the whole processor for rounds: after a long round the next
/// one waits until messages have had their share.
#[test]
fn rounds_leave_time_for_messages() {
    let limits = DispatchLimits::default();
    let mut dispatcher = dispatcher(1);
    let _ = dispatcher.decide(1_000);
    dispatcher.round_took(100.0, 1_100);
    assert!(!dispatcher.is_round_due(1_100 + limits.round_interval));
    assert!(dispatcher.is_round_due(1_100 + 150));
}

/// Guards against an engine that is full with work that the dispatcher does not know of, and gets ever
/// more requests because its first events never arrive.
#[test]
fn engine_with_an_overdue_first_event_gets_no_more_requests() {
    let mut dispatcher = dispatcher(2);
    let host_of = |dispatcher: &mut Dispatcher, number: u64, now: Millis| {
        let key = RunKey::new(1, number);
        assert_eq!(dispatcher.submit(key, short(), now), None);
        let mut decisions = dispatcher.decide_after_change(now);
        match decisions.pop() {
            Some((_, PlacementDecision::Granted(grant))) => grant.host.endpoint,
            other => panic!("request {number} was not placed: {other:?}"),
        }
    };
    let full = host_of(&mut dispatcher, 1, 0);
    let before = host_of(&mut dispatcher, 2, 500);
    assert_eq!(
        before, full,
        "short requests join the engine with most of them"
    );
    dispatcher.first_event(RunKey::new(1, 2), 600);
    let after = host_of(&mut dispatcher, 3, 1_500);
    assert_ne!(after, full);
}
