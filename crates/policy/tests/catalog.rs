//! Routing and authorization of requests, balancing of plain calls, and the ranking of stewards.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use jackdawpoint_policy::balance::CallBalancer;
use jackdawpoint_policy::catalog::{
    AccountKeys, AdmissionError, AnswerKind, CallerBounds, RepeatRule, RouteAccess, RouteTarget,
    ServiceCatalog, ServiceRoute,
};
use jackdawpoint_policy::dispatch::placement::{
    EndpointInfo, EndpointState, EndpointTarget, RunOutcome, StartPhase,
};
use jackdawpoint_policy::fleet::{FleetMember, FleetMembership};
use jackdawpoint_policy::ids::{
    AccountId, DomainId, EndpointId, Incarnation, InstanceId, Millis, PoolId,
};

fn route(host: &str, prefix: &str, access: RouteAccess) -> ServiceRoute {
    ServiceRoute {
        name: format!("{host}{prefix}"),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        repeat: RepeatRule::Repeatable,
        answer_kind: AnswerKind::Whole,
        timeout: 1_000,
        aim: 300,
        pause_aim: 250,
        attempts: 2,
        rank: 1,
        access,
        targets: vec![RouteTarget {
            service: PoolId::new("service"),
            weight: 1.0,
        }],
    }
}

fn catalog() -> ServiceCatalog {
    let bounds = CallerBounds {
        head_bytes: 16_384,
        body_bytes: 1_000,
        head_time: 3_000,
        idle_time: 15_000,
    };
    ServiceCatalog::new(7, bounds)
        .with_routes([
            route("a.example", "/x/", RouteAccess::Keyed),
            route("a.example", "/x/y/", RouteAccess::Keyed),
            route("a.example", "/open/", RouteAccess::Open),
            route("b.example", "/x/", RouteAccess::Keyed),
        ])
        .with_accounts([AccountKeys {
            account: AccountId::new("kitchen"),
            keys: vec!["one".to_owned(), "two".to_owned()],
        }])
}

#[test]
fn requests_match_the_longest_prefix_and_the_account_of_their_key() {
    struct Case {
        host: &'static str,
        path: &'static str,
        key: Option<&'static str>,
        expected: Result<(&'static str, Option<&'static str>), AdmissionError>,
    }
    let cases = [
        Case {
            host: "a.example",
            path: "/x/1",
            key: Some("one"),
            expected: Ok(("a.example/x/", Some("kitchen"))),
        },
        Case {
            host: "A.Example:80",
            path: "/x/1",
            key: Some("two"),
            expected: Ok(("a.example/x/", Some("kitchen"))),
        },
        Case {
            host: "a.example",
            path: "/x/y/1",
            key: Some("one"),
            expected: Ok(("a.example/x/y/", Some("kitchen"))),
        },
        Case {
            host: "a.example",
            path: "/x/yy/1",
            key: Some("one"),
            expected: Ok(("a.example/x/", Some("kitchen"))),
        },
        Case {
            host: "b.example",
            path: "/x/",
            key: Some("one"),
            expected: Ok(("b.example/x/", Some("kitchen"))),
        },
        Case {
            host: "a.example",
            path: "/open/1",
            key: None,
            expected: Ok(("a.example/open/", None)),
        },
        Case {
            host: "a.example",
            path: "/x",
            key: Some("one"),
            expected: Err(AdmissionError::NoRoute),
        },
        Case {
            host: "a.example",
            path: "/z/1",
            key: Some("one"),
            expected: Err(AdmissionError::NoRoute),
        },
        Case {
            host: "c.example",
            path: "/x/1",
            key: Some("one"),
            expected: Err(AdmissionError::NoRoute),
        },
        Case {
            host: "a.example",
            path: "/x/1",
            key: Some("three"),
            expected: Err(AdmissionError::UnknownKey),
        },
        Case {
            host: "a.example",
            path: "/x/1",
            key: None,
            expected: Err(AdmissionError::UnknownKey),
        },
    ];
    let catalog = catalog();
    for case in cases {
        let admitted = catalog.admit(case.host, case.path, case.key);
        let actual = admitted.map(|admitted| {
            let account = admitted.account.map(|account| account.as_str().to_owned());
            (admitted.route.name.clone(), account)
        });
        let expected = case
            .expected
            .map(|(route, account)| (route.to_owned(), account.map(str::to_owned)));
        assert_eq!(
            actual, expected,
            "{}{} with {:?}",
            case.host, case.path, case.key
        );
    }
}

#[test]
fn split_routes_follow_target_weights() {
    struct Case {
        weights: [f64; 2],
        draw: f64,
        expected: &'static str,
    }
    let cases = [
        Case {
            weights: [90.0, 10.0],
            draw: 0.0,
            expected: "first",
        },
        Case {
            weights: [90.0, 10.0],
            draw: 0.899,
            expected: "first",
        },
        Case {
            weights: [90.0, 10.0],
            draw: 0.901,
            expected: "second",
        },
        Case {
            weights: [0.0, 10.0],
            draw: 0.0,
            expected: "second",
        },
        Case {
            weights: [10.0, 0.0],
            draw: 1.0,
            expected: "first",
        },
        Case {
            weights: [0.25, 0.75],
            draw: 0.26,
            expected: "second",
        },
    ];
    for case in cases {
        let mut route = route("a.example", "/x/", RouteAccess::Open);
        let target = |service: &str, weight| RouteTarget {
            service: PoolId::new(service),
            weight,
        };
        route.targets = vec![
            target("first", case.weights[0]),
            target("second", case.weights[1]),
        ];
        let actual = route.target(case.draw).map(PoolId::as_str);
        assert_eq!(
            actual,
            Some(case.expected),
            "{:?} at {}",
            case.weights,
            case.draw
        );
    }
}

fn endpoint_info(index: u8, domain: &str) -> EndpointInfo {
    EndpointInfo {
        target: EndpointTarget {
            endpoint: EndpointId::new(format!("endpoint-{index}")),
            address: SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 0, index)), 80),
        },
        domain: DomainId::new(domain),
        state: EndpointState::Ready,
        started: StartPhase::Settled,
    }
}

#[test]
fn calls_prefer_their_own_domain_until_it_is_busy() {
    let mut balancer = CallBalancer::new(DomainId::new("near"));
    balancer.set_endpoints(&[endpoint_info(1, "near"), endpoint_info(2, "far")]);
    let picks: Vec<String> = (0..4)
        .filter_map(|_| balancer.start(&[], 0.5, 0))
        .map(|target| target.endpoint.as_str().to_owned())
        .collect();
    assert_eq!(
        picks,
        ["endpoint-1", "endpoint-1", "endpoint-2", "endpoint-1"]
    );
}

#[test]
fn calls_avoid_ejected_endpoints_unless_all_are_ejected() {
    let mut balancer = CallBalancer::new(DomainId::new("near"));
    balancer.set_endpoints(&[endpoint_info(1, "near"), endpoint_info(2, "far")]);
    let first = balancer
        .start(&[], 0.0, 0)
        .expect("two endpoints are ready");
    balancer.finish(&first.endpoint, RunOutcome::NotConnected, None, 1);
    let second = balancer
        .start(&[], 0.0, 2)
        .expect("one endpoint is healthy");
    assert_ne!(first.endpoint, second.endpoint);
    balancer.finish(&second.endpoint, RunOutcome::NotConnected, None, 3);
    assert!(
        balancer.start(&[], 0.0, 4).is_some(),
        "all endpoints are ejected, so one of them is tried"
    );
    let excluded = [first.endpoint, second.endpoint];
    assert!(balancer.start(&excluded, 0.0, 5).is_none());
}

#[test]
fn stewards_are_ranked_by_capacity_then_age_then_name() {
    struct Case {
        members: &'static [(&'static str, &'static str, f64, u64)],
        fleet: &'static str,
        domain: Option<&'static str>,
    }
    let cases = [
        Case {
            members: &[("b", "x", 0.5, 2), ("a", "x", 0.25, 1)],
            fleet: "b",
            domain: Some("b"),
        },
        Case {
            members: &[("b", "x", 0.5, 1), ("a", "y", 0.5, 2)],
            fleet: "b",
            domain: Some("b"),
        },
        Case {
            members: &[("b", "x", 0.5, 1), ("a", "x", 0.5, 1)],
            fleet: "a",
            domain: Some("a"),
        },
        Case {
            members: &[("a", "y", 0.5, 1)],
            fleet: "a",
            domain: None,
        },
    ];
    for case in cases {
        let mut membership = FleetMembership::new();
        for (name, domain, capacity, incarnation) in case.members {
            let member = FleetMember {
                domain: DomainId::new(*domain),
                address: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1),
                tunnel_address: None,
                incarnation: Incarnation(*incarnation),
                capacity: *capacity,
            };
            membership.put(InstanceId::new(*name), member);
        }
        let fleet = membership
            .fleet_steward(|_, _| true)
            .map(|(name, _)| name.as_str());
        assert_eq!(fleet, Some(case.fleet), "{:?}", case.members);
        let domain = membership.domain_steward(&DomainId::new("x"), |_, _| true);
        assert_eq!(
            domain.map(|(name, _)| name.as_str()),
            case.domain,
            "{:?}",
            case.members
        );
    }
}

/// Guards against a full share of calls for an endpoint that has just started.
#[test]
fn started_endpoint_gets_a_growing_share_of_calls() {
    struct Case {
        name: &'static str,
        now: Millis,
        share: std::ops::RangeInclusive<u32>,
    }
    let cases = [
        Case {
            name: "just started",
            now: 1_000,
            share: 130..=200,
        },
        Case {
            name: "half of the time has passed",
            now: 3_000,
            share: 290..=370,
        },
        Case {
            name: "the time has passed",
            now: 5_000,
            share: 480..=520,
        },
    ];
    for case in cases {
        let mut balancer = CallBalancer::new(DomainId::new("near"));
        let started = EndpointInfo {
            started: StartPhase::StartedAt(1_000),
            ..endpoint_info(1, "near")
        };
        balancer.set_endpoints(&[started, endpoint_info(2, "near")]);
        let mut calls = 0;
        for number in 0..1_000 {
            let draw = (f64::from(number) * 0.618_034).fract();
            let target = balancer.start(&[], draw, case.now).expect("one is ready");
            balancer.finish(&target.endpoint, RunOutcome::Served, None, case.now);
            calls += u32::from(target.endpoint.as_str() == "endpoint-1");
        }
        assert!(case.share.contains(&calls), "{}: {calls}", case.name);
    }
}
