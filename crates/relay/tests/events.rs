//! Streams of events in whole events, and what is believed of endpoints.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use jackdawpoint_relay::{BeliefChange, EventSplitter, FleetBelief, is_after};
use policy::dispatch::placement::{EndpointInfo, EndpointState, EndpointTarget};
use policy::ids::{DomainId, EndpointId, PoolId};

#[test]
fn only_whole_events_are_handed_out() {
    struct Case {
        name: &'static str,
        pieces: &'static [&'static str],
        events: &'static [(&'static str, Option<&'static str>)],
        is_empty: bool,
    }
    let cases = [
        Case {
            name: "one event",
            pieces: &["id: 1\ndata: a\n\n"],
            events: &[("id: 1\ndata: a\n\n", Some("1"))],
            is_empty: true,
        },
        Case {
            name: "two in one piece",
            pieces: &["id:1\ndata:a\n\nid:2\ndata:b\n\n"],
            events: &[
                ("id:1\ndata:a\n\n", Some("1")),
                ("id:2\ndata:b\n\n", Some("2")),
            ],
            is_empty: true,
        },
        Case {
            name: "one in many pieces",
            pieces: &["i", "d: 7\r", "\ndata: a\r\n", "\r", "\n"],
            events: &[("id: 7\r\ndata: a\r\n\r\n", Some("7"))],
            is_empty: true,
        },
        Case {
            name: "broken off inside an event",
            pieces: &["id: 1\ndata: a\n\nid: 2\nda"],
            events: &[("id: 1\ndata: a\n\n", Some("1"))],
            is_empty: false,
        },
        Case {
            name: "without an id",
            pieces: &["data: a\n\n"],
            events: &[("data: a\n\n", None)],
            is_empty: true,
        },
    ];
    for case in cases {
        let mut splitter = EventSplitter::new();
        let mut events = Vec::new();
        for piece in case.pieces {
            splitter.push(piece.as_bytes()).expect("small events");
            while let Some(event) = splitter.next_event() {
                let text = String::from_utf8(event.bytes.to_vec()).expect("text");
                events.push((text, event.id));
            }
        }
        let expected: Vec<(String, Option<String>)> = case
            .events
            .iter()
            .map(|(text, id)| ((*text).to_owned(), id.map(str::to_owned)))
            .collect();
        assert_eq!(events, expected, "{}", case.name);
        assert_eq!(splitter.is_empty(), case.is_empty, "{}", case.name);
    }
}

#[test]
fn an_event_without_end_is_a_fault() {
    let mut splitter = EventSplitter::new();
    let piece = vec![b'x'; 400_000];
    assert!(splitter.push(&piece).is_ok());
    assert!(splitter.push(&piece).is_ok());
    assert!(splitter.push(&piece).is_err());
}

#[test]
fn ids_count_up() {
    struct Case {
        id: &'static str,
        last: &'static str,
        expected: bool,
    }
    let cases = [
        Case {
            id: "10",
            last: "9",
            expected: true,
        },
        Case {
            id: "9",
            last: "10",
            expected: false,
        },
        Case {
            id: "9",
            last: "9",
            expected: false,
        },
        Case {
            id: "b",
            last: "a",
            expected: true,
        },
        Case {
            id: "a",
            last: "a",
            expected: false,
        },
    ];
    for case in cases {
        assert_eq!(
            is_after(case.id, case.last),
            case.expected,
            "{} after {}",
            case.id,
            case.last
        );
    }
}

fn facts(name: &str, state: EndpointState) -> EndpointInfo {
    EndpointInfo {
        target: EndpointTarget {
            endpoint: EndpointId::new(name),
            address: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1),
        },
        domain: DomainId::new("domain"),
        state,
    }
}

/// What happens to a belief, with the time in milliseconds.
#[derive(Debug, Clone, Copy)]
enum Step {
    Put(&'static str, EndpointState),
    Remove(u64, &'static str),
    Lost,
    Regained(u64),
    Expire(u64),
}

/// What happens to a belief and what is left of it.
struct BeliefCase {
    name: &'static str,
    steps: &'static [Step],
    known: &'static [&'static str],
    departed: &'static [&'static str],
}

fn belief_cases() -> [BeliefCase; 7] {
    use EndpointState::{Leaving, Ready};
    [
        BeliefCase {
            name: "removed while the list is current",
            steps: &[Step::Put("a", Ready), Step::Remove(10, "a")],
            known: &[],
            departed: &["a"],
        },
        BeliefCase {
            name: "missing while the store is away is kept",
            steps: &[
                Step::Put("a", Ready),
                Step::Lost,
                Step::Remove(10, "a"),
                Step::Expire(60_000),
            ],
            known: &["a"],
            departed: &[],
        },
        BeliefCase {
            name: "missing two seconds after the store's return is gone",
            steps: &[
                Step::Put("a", Ready),
                Step::Lost,
                Step::Regained(5_000),
                Step::Remove(5_001, "a"),
                Step::Expire(7_001),
            ],
            known: &[],
            departed: &["a"],
        },
        BeliefCase {
            name: "back within two seconds stays",
            steps: &[
                Step::Put("a", Ready),
                Step::Lost,
                Step::Regained(5_000),
                Step::Remove(5_001, "a"),
                Step::Put("a", Ready),
                Step::Expire(7_001),
            ],
            known: &["a"],
            departed: &[],
        },
        BeliefCase {
            name: "a leaving endpoint is not kept, whatever the store does",
            steps: &[Step::Put("a", Leaving), Step::Lost, Step::Remove(10, "a")],
            known: &[],
            departed: &["a"],
        },
        BeliefCase {
            name: "leaving counts as departed",
            steps: &[Step::Put("a", Leaving)],
            known: &["a"],
            departed: &["a"],
        },
        BeliefCase {
            name: "started again under its name",
            steps: &[
                Step::Put("a", Ready),
                Step::Remove(10, "a"),
                Step::Put("a", Ready),
            ],
            known: &["a"],
            departed: &[],
        },
    ]
}

#[test]
fn a_belief_ages_as_the_platform_states() {
    for case in belief_cases() {
        let pool = PoolId::new("pool");
        let mut belief = FleetBelief::new();
        for step in case.steps {
            match *step {
                Step::Put(name, state) => {
                    belief.put(pool.clone(), facts(name, state));
                }
                Step::Remove(now, name) => {
                    belief.remove(&EndpointId::new(name), now);
                }
                Step::Lost => belief.lost(),
                Step::Regained(now) => belief.regained(now),
                Step::Expire(now) => {
                    belief.expire(now);
                }
            }
        }
        let known = belief.of_pool(&pool);
        let known: Vec<&str> = known
            .iter()
            .map(|facts| facts.target.endpoint.as_str())
            .collect();
        assert_eq!(known, case.known, "{}", case.name);
        for name in case.departed {
            assert!(
                belief.is_departed(&EndpointId::new(*name)),
                "{}: {name}",
                case.name
            );
        }
        if case.departed.is_empty() {
            assert!(!belief.is_departed(&EndpointId::new("a")), "{}", case.name);
        }
    }
}

#[test]
fn an_unchanged_entry_changes_nothing() {
    let mut belief = FleetBelief::new();
    let put = |belief: &mut FleetBelief| {
        belief.put(PoolId::new("pool"), facts("a", EndpointState::Ready))
    };
    assert_eq!(put(&mut belief), BeliefChange::Changed);
    assert_eq!(put(&mut belief), BeliefChange::Same);
}
