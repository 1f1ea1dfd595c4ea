//! Endpoints of evacuated failure domains: they get nothing, whatever else is ignored when no other
//! endpoint is left, and nothing that happens there counts against them.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use jackdawpoint_policy::balance::CallBalancer;
use jackdawpoint_policy::dispatch::engine::EngineProfile;
use jackdawpoint_policy::dispatch::placement::{
    EndpointInfo, EndpointState, EndpointTarget, PlacementDecision, PlacementRequest,
    PlacementScope, RunKey, RunOutcome, RunReport, StartPhase,
};
use jackdawpoint_policy::dispatch::{DispatchLimits, Dispatcher};
use jackdawpoint_policy::ids::{AccountId, DomainId, EndpointId, Millis, PoolId};
use jackdawpoint_policy::outcome::RefusalReason;
use jackdawpoint_policy::poison::Fingerprint;

/// Number of engines, in two failure domains: those with an even index are in `even`.
const ENGINES: u8 = 8;

fn pool() -> PoolId {
    PoolId::new("engines")
}

/// The endpoints `indices`, of which those of the domains in `evacuated` are evacuated.
fn endpoints(indices: impl Iterator<Item = u8>, evacuated: &[&str]) -> Vec<EndpointInfo> {
    let info = |index: u8| {
        let domain = if index.is_multiple_of(2) {
            "even"
        } else {
            "odd"
        };
        EndpointInfo {
            target: EndpointTarget {
                endpoint: EndpointId::new(format!("engine-{index}")),
                address: SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 0, index)), 80),
            },
            domain: DomainId::new(domain),
            state: if evacuated.contains(&domain) {
                EndpointState::Evacuated
            } else {
                EndpointState::Ready
            },
            started: StartPhase::Settled,
        }
    };
    indices.map(info).collect()
}

fn engines(evacuated: &[&str]) -> Vec<EndpointInfo> {
    endpoints(0..ENGINES, evacuated)
}

fn dispatcher() -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatchLimits::default());
    let profile = EngineProfile {
        slots: 12,
        memory_tokens: 197_200,
        step_ms: 0.85,
        writer_step_ms: 0.004_25,
        context_step_ms: 0.002_85,
        read_tokens_per_ms: 177.0,
        million_pairs_ms: 0.184,
        steps_per_pass: 51.0,
    };
    dispatcher.set_pool(&pool(), &profile);
    dispatcher.set_endpoints(&pool(), &engines(&[]));
    dispatcher
}

fn request(prompt_tokens: u64, scope: PlacementScope) -> PlacementRequest {
    PlacementRequest {
        pool: pool(),
        account: AccountId::new("account"),
        scope,
        prompt_tokens,
        output_tokens: 500,
        waited: 0,
        first_event_aim: 6_000,
        pause_aim: 1_000,
        time_left: 15_000,
        retry: None,
        excluded: Vec::new(),
        caller_domain: None,
        fingerprint: Fingerprint(prompt_tokens),
    }
}

fn decide(
    dispatcher: &mut Dispatcher,
    number: u64,
    request: PlacementRequest,
    now: Millis,
) -> PlacementDecision {
    let key = RunKey::new(1, number);
    if let Some(refusal) = dispatcher.submit(key, request, now) {
        return PlacementDecision::Refused(refusal);
    }
    let decisions = dispatcher.decide(now);
    let own = decisions.into_iter().find(|(decided, _)| *decided == key);
    own.expect("the request is decided at once").1
}

fn host(decision: &PlacementDecision) -> &str {
    match decision {
        PlacementDecision::Granted(grant) => grant.host.endpoint.as_str(),
        PlacementDecision::Refused(refusal) => panic!("refused: {refusal:?}"),
    }
}

fn finish(dispatcher: &mut Dispatcher, number: u64, outcome: RunOutcome, now: Millis) {
    dispatcher.finish(RunKey::new(1, number), &RunReport::new(outcome), now);
}

/// Guards against the branches that ignore ejections, scope or other limits when nothing else is left.
#[test]
fn evacuated_engine_is_neither_host_nor_helper() {
    struct Case {
        name: &'static str,
        prompt_tokens: u64,
        scope: PlacementScope,
        /// Whether every engine of the other domain is ejected.
        is_rest_ejected: bool,
    }
    let odd = || PlacementScope::Domain(DomainId::new("odd"));
    let cases = [
        Case {
            name: "short prompt",
            prompt_tokens: 5_000,
            scope: PlacementScope::Fleet,
            is_rest_ejected: false,
        },
        Case {
            name: "prompt with helpers",
            prompt_tokens: 190_000,
            scope: PlacementScope::Fleet,
            is_rest_ejected: false,
        },
        Case {
            name: "prompt with memory on helpers",
            prompt_tokens: 400_000,
            scope: PlacementScope::Fleet,
            is_rest_ejected: false,
        },
        Case {
            name: "the rest is ejected",
            prompt_tokens: 190_000,
            scope: PlacementScope::Fleet,
            is_rest_ejected: true,
        },
        Case {
            name: "the scope is the evacuated domain",
            prompt_tokens: 5_000,
            scope: odd(),
            is_rest_ejected: false,
        },
        Case {
            name: "the scope is the evacuated domain, the rest is ejected",
            prompt_tokens: 5_000,
            scope: odd(),
            is_rest_ejected: true,
        },
    ];
    for case in cases {
        let mut dispatcher = dispatcher();
        if case.is_rest_ejected {
            // While the odd engines are away, every run goes to an even one, and fails.
            dispatcher.set_endpoints(&pool(), &engines(&["odd"]));
            for number in 100..100 + u64::from(ENGINES) {
                let short = request(5_000, PlacementScope::Fleet);
                decide(&mut dispatcher, number, short, 0);
                finish(&mut dispatcher, number, RunOutcome::NotConnected, 0);
            }
        }
        dispatcher.set_endpoints(&pool(), &engines(&["odd"]));
        let request = request(case.prompt_tokens, case.scope);
        let PlacementDecision::Granted(grant) = decide(&mut dispatcher, 1, request, 1) else {
            panic!("{}: not granted", case.name);
        };
        let helpers = grant.helpers.iter().map(|helper| &helper.target);
        for engine in std::iter::once(&grant.host).chain(helpers) {
            let name = engine.endpoint.as_str();
            let is_even = engines(&["odd"])
                .iter()
                .any(|info| info.target == *engine && info.domain.as_str() == "even");
            assert!(is_even, "{}: {name}", case.name);
        }
    }
}

/// Guards against a request that is held until its deadline although nothing may be sent.
#[test]
fn queued_requests_are_refused_at_once_when_all_domains_are_evacuated() {
    let mut dispatcher = dispatcher();
    let queued = RunKey::new(1, 1);
    let submitted = dispatcher.submit(queued, request(5_000, PlacementScope::Fleet), 0);
    assert_eq!(submitted, None);
    dispatcher.set_endpoints(&pool(), &engines(&["even", "odd"]));
    let decisions = dispatcher.decide_after_change(0);
    let [(decided, PlacementDecision::Refused(refusal))] = decisions.as_slice() else {
        panic!("{decisions:?}");
    };
    assert_eq!(*decided, queued);
    assert_eq!(refusal.reason, RefusalReason::NoEndpoint);
    assert!(refusal.retry_after > 0);
    let empty = {
        let mut dispatcher = Dispatcher::new(DispatchLimits::default());
        dispatcher.set_pool(
            &pool(),
            &EngineProfile {
                slots: 1,
                memory_tokens: 1,
                step_ms: 1.0,
                writer_step_ms: 0.0,
                context_step_ms: 0.0,
                read_tokens_per_ms: 1.0,
                million_pairs_ms: 0.0,
                steps_per_pass: 1.0,
            },
        );
        decide(&mut dispatcher, 1, request(5_000, PlacementScope::Fleet), 0)
    };
    assert_eq!(
        PlacementDecision::Refused(refusal.clone()),
        empty,
        "as if no endpoint existed"
    );
}

/// Guards against ejections, outages and quarantines for what happens in an evacuated domain.
#[test]
fn failures_of_evacuated_engines_count_against_nothing() {
    let outcomes = [
        RunOutcome::NotConnected,
        RunOutcome::Silent,
        RunOutcome::Broken,
        RunOutcome::Failed,
        RunOutcome::Refused,
    ];
    for outcome in outcomes {
        let mut dispatcher = dispatcher();
        // Runs of one request on all odd engines.
        dispatcher.set_endpoints(&pool(), &engines(&["even"]));
        let runs: u64 = 40;
        for number in 0..runs {
            decide(
                &mut dispatcher,
                number,
                request(5_000, PlacementScope::Fleet),
                0,
            );
        }
        dispatcher.set_endpoints(&pool(), &engines(&["odd"]));
        for number in 0..runs {
            finish(&mut dispatcher, number, outcome, 10);
        }
        dispatcher.set_endpoints(&pool(), &engines(&["even"]));
        let decision = decide(
            &mut dispatcher,
            runs,
            request(5_000, PlacementScope::Fleet),
            11,
        );
        assert!(
            matches!(decision, PlacementDecision::Granted(_)),
            "{outcome:?}: {decision:?}"
        );
        // An ejected engine would be passed over for a while.
        let mut hosts: Vec<String> = Vec::new();
        for number in runs + 1..runs + 40 {
            let request = request(5_000, PlacementScope::Fleet);
            let decision = decide(&mut dispatcher, number, request, 12);
            hosts.push(host(&decision).to_owned());
        }
        hosts.sort();
        hosts.dedup();
        assert_eq!(hosts.len(), usize::from(ENGINES) / 2, "{outcome:?}");
    }
}

/// Guards against a new endpoint that takes the place, and with it the health, of an evacuated one.
#[test]
fn evacuated_engine_keeps_its_health_and_place() {
    let mut dispatcher = dispatcher();
    dispatcher.set_endpoints(&pool(), &endpoints(0..2, &[]));
    let scope = || PlacementScope::Domain(DomainId::new("odd"));
    let decision = decide(&mut dispatcher, 1, request(5_000, scope()), 0);
    assert_eq!(host(&decision), "engine-1");
    finish(&mut dispatcher, 1, RunOutcome::NotConnected, 0);
    // It is ejected for 400 ms; then its domain is evacuated, and further endpoints appear.
    dispatcher.set_endpoints(&pool(), &endpoints(0..2, &["odd"]));
    dispatcher.set_endpoints(&pool(), &endpoints(0..4, &["odd"]));
    dispatcher.set_endpoints(&pool(), &endpoints(0..2, &[]));
    let decision = decide(&mut dispatcher, 2, request(5_000, scope()), 100);
    assert_eq!(host(&decision), "engine-0", "still ejected");
    let decision = decide(&mut dispatcher, 3, request(5_000, scope()), 500);
    assert_eq!(host(&decision), "engine-1");
}

/// Guards against runs that are forgotten, so that an engine gets more than its slots after the
/// withdrawal.
#[test]
fn runs_in_flight_are_counted_through_an_evacuation() {
    let mut dispatcher = dispatcher();
    dispatcher.set_endpoints(&pool(), &endpoints(1..2, &[]));
    for number in 0..3 {
        let decision = decide(
            &mut dispatcher,
            number,
            request(5_000, PlacementScope::Fleet),
            0,
        );
        assert_eq!(host(&decision), "engine-1");
    }
    dispatcher.set_endpoints(&pool(), &endpoints(1..2, &["odd"]));
    assert_eq!(dispatcher.counts(), (0, 3));
    finish(&mut dispatcher, 0, RunOutcome::Served, 10);
    dispatcher.set_endpoints(&pool(), &endpoints(1..2, &[]));
    assert_eq!(dispatcher.counts(), (0, 2));
}

/// Guards against the branch of the balancer that picks an ejected endpoint when no other is left.
#[test]
fn calls_pass_over_evacuated_endpoints() {
    let mut balancer = CallBalancer::new(DomainId::new("odd"));
    balancer.set_endpoints(&endpoints(0..2, &[]));
    let own = balancer.start(&[], 0.0, 0).expect("two are ready");
    assert_eq!(own.endpoint.as_str(), "engine-1");
    balancer.set_endpoints(&endpoints(0..2, &["odd"]));
    for now in 0..4 {
        let other = balancer.start(&[], 0.0, now).expect("one is ready");
        assert_eq!(other.endpoint.as_str(), "engine-0");
        // It is ejected, and still the only one that may get calls.
        balancer.finish(&other.endpoint, RunOutcome::NotConnected, None, now);
    }
    let excluded = [EndpointId::new("engine-0")];
    assert_eq!(balancer.start(&excluded, 0.0, 5), None);
    balancer.finish(&own.endpoint, RunOutcome::Silent, None, 6);
    balancer.set_endpoints(&endpoints(0..2, &["even", "odd"]));
    assert_eq!(balancer.start(&[], 0.0, 7), None);
    balancer.set_endpoints(&endpoints(0..2, &[]));
    let again = balancer.start(&[], 0.0, 8).expect("two are ready");
    assert_eq!(again.endpoint, own.endpoint, "not ejected");
}
