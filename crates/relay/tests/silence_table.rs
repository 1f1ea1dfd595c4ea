//! Which connections a silence puts in doubt.

use jackdawpoint_relay::{DoubtScope, SilenceTable};
use policy::ids::{EndpointId, Millis};

struct Case {
    name: &'static str,
    /// Endpoints found silent one after the other, and when.
    silences: &'static [(&'static str, Millis)],
    /// What the last of them puts in doubt.
    expected: DoubtScope,
}

#[test]
fn only_silences_of_several_endpoints_at_about_the_same_time_put_all_in_doubt() {
    let cases = [
        Case {
            name: "a first silence",
            silences: &[("e1", 10_000)],
            expected: DoubtScope::OneEndpoint,
        },
        Case {
            name: "silences of one slow endpoint",
            silences: &[("e1", 10_000), ("e1", 10_100), ("e1", 10_900)],
            expected: DoubtScope::OneEndpoint,
        },
        Case {
            name: "silences of two endpoints",
            silences: &[("e1", 10_000), ("e2", 10_600)],
            expected: DoubtScope::AllEndpoints,
        },
        Case {
            name: "silences of two endpoints that have nothing to do with each other",
            silences: &[("e1", 10_000), ("e2", 12_000)],
            expected: DoubtScope::OneEndpoint,
        },
    ];
    for case in cases {
        let mut table = SilenceTable::new();
        let scopes = case
            .silences
            .iter()
            .map(|(endpoint, now)| table.silence_noticed(&EndpointId::new(*endpoint), *now));
        assert_eq!(scopes.last(), Some(case.expected), "{}", case.name);
    }
}
