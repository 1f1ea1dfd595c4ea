//! Paths to endpoints, and the instances that open tunnels.

use jackdawpoint_policy::endpoint_path::{PathChange, PathPlan, PathProbe, PathTable};
use jackdawpoint_policy::ids::{DomainId, EndpointId, InstanceId, Millis};
use jackdawpoint_policy::tunnel::{TunnelHost, TunnelTable};

/// Number of all endpoints.
const ENDPOINTS: usize = 20;

fn endpoint(number: usize) -> EndpointId {
    EndpointId::new(format!("endpoint-{number}"))
}

/// Records for each endpoint that another instance reached it and this one did not.
fn block(table: &mut PathTable, numbers: std::ops::Range<usize>, now: Millis) -> PathChange {
    let mut change = PathChange::Same;
    for number in numbers {
        table.direct_failed(&endpoint(number), now);
        change = table.bypassed(&endpoint(number), ENDPOINTS, now);
    }
    change
}

#[test]
fn three_blocked_paths_without_contact_are_a_cut() {
    let mut table = PathTable::new();
    table.direct_opened(&endpoint(9), 0);
    assert_eq!(block(&mut table, 0..2, 10), PathChange::Same);
    assert_eq!(block(&mut table, 2..3, 20), PathChange::CutOff);
    assert!(table.is_cut_off());
    assert!(matches!(table.plan(&endpoint(7), 30), PathPlan::Tunnel(_)));
}

#[test]
fn paths_that_are_found_blocked_one_after_the_other_are_a_cut() {
    let mut table = PathTable::new();
    table.direct_opened(&endpoint(9), 0);
    assert_eq!(block(&mut table, 0..1, 10), PathChange::Same);
    assert_eq!(block(&mut table, 1..2, 4_000), PathChange::Same);
    assert_eq!(block(&mut table, 2..3, 8_000), PathChange::CutOff);
}

#[test]
fn all_paths_of_a_small_pool_are_a_cut() {
    let mut table = PathTable::new();
    assert_eq!(table.bypassed(&endpoint(0), 2, 10), PathChange::Same);
    assert_eq!(table.bypassed(&endpoint(1), 2, 10), PathChange::CutOff);
}

#[test]
fn blocked_paths_beside_open_ones_are_no_cut() {
    let mut table = PathTable::new();
    for number in 0..6 {
        assert_eq!(block(&mut table, number..number + 1, 10), PathChange::Same);
        table.direct_opened(&endpoint(9), 11);
    }
    assert!(matches!(table.plan(&endpoint(0), 20), PathPlan::Tunnel(_)));
    assert_eq!(table.plan(&endpoint(9), 20), PathPlan::DirectFirst);
}

#[test]
fn silent_endpoint_that_nobody_reaches_is_no_cut() {
    let mut table = PathTable::new();
    for number in 0..6 {
        table.direct_failed(&endpoint(number), 10);
        table.endpoint_lost(&endpoint(number), 15);
    }
    assert!(!table.is_cut_off());
    assert_eq!(table.plan(&endpoint(0), 20), PathPlan::DirectOnly);
    assert_eq!(table.plan(&endpoint(0), 3_000), PathPlan::DirectFirst);
}

#[test]
fn failures_say_nothing_about_endpoints_while_none_is_reached() {
    let mut table = PathTable::new();
    table.direct_opened(&endpoint(9), 0);
    for number in 0..3 {
        table.direct_failed(&endpoint(number), 10);
    }
    assert!(table.may_be_cut_off(20));
    table.direct_opened(&endpoint(9), 30);
    assert!(!table.may_be_cut_off(40));
}

#[test]
fn two_probes_in_a_row_end_a_cut() {
    let mut table = PathTable::new();
    block(&mut table, 0..3, 0);
    let is_due = |table: &mut PathTable, now| {
        table.plan(&endpoint(0), now) == PathPlan::Tunnel(PathProbe::Due)
    };
    assert!(!is_due(&mut table, 100));
    assert!(is_due(&mut table, 600));
    assert!(!is_due(&mut table, 700));
    assert_eq!(table.direct_opened(&endpoint(0), 700), PathChange::Same);
    table.direct_failed(&endpoint(1), 710);
    assert!(is_due(&mut table, 720));
    assert_eq!(table.direct_opened(&endpoint(0), 730), PathChange::Same);
    assert!(is_due(&mut table, 740));
    assert_eq!(table.direct_opened(&endpoint(1), 750), PathChange::Restored);
    assert_eq!(table.plan(&endpoint(2), 760), PathPlan::DirectFirst);
}

fn host(name: &str, domain: &str, capacity: f64) -> TunnelHost {
    TunnelHost {
        instance: InstanceId::new(name),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: DomainId::new(domain),
        capacity,
    }
}

fn names(hosts: &[TunnelHost]) -> Vec<&str> {
    hosts.iter().map(|host| host.instance.as_str()).collect()
}

#[test]
fn tunnels_are_spread_by_load_and_the_second_host_is_in_another_domain() {
    let hosts = [
        host("a", "near", 1.0),
        host("b", "near", 1.0),
        host("c", "far", 1.0),
    ];
    let mut table = TunnelTable::new(DomainId::new("near"));
    table.opened(&InstanceId::new("a"));
    assert_eq!(names(&table.choose(&hosts, 0)), ["b", "c", "a"]);
    table.opened(&InstanceId::new("b"));
    assert_eq!(names(&table.choose(&hosts, 0))[0], "c");
    table.closed(&InstanceId::new("a"));
    assert_eq!(names(&table.choose(&hosts, 0))[0], "a");
}

#[test]
fn host_that_failed_is_asked_only_if_there_is_no_other() {
    let hosts = [host("a", "near", 1.0), host("b", "far", 1.0)];
    let mut table = TunnelTable::new(DomainId::new("near"));
    table.failed(&InstanceId::new("a"), 0);
    assert_eq!(names(&table.choose(&hosts, 1_000)), ["b"]);
    assert_eq!(names(&table.choose(&hosts[..1], 1_000)), ["a"]);
    assert_eq!(names(&table.choose(&hosts, 2_000))[0], "a");
}

#[test]
fn no_host_gives_no_choice() {
    let mut table = TunnelTable::new(DomainId::new("near"));
    assert!(table.choose(&[], 0).is_empty());
}
