//! Quarantine of requests that crash endpoints.

use jackdawpoint_policy::ids::{EndpointId, Millis};
use jackdawpoint_policy::poison::{CrashReport, Fingerprint, PoisonStatus, PoisonTable};

const QUARANTINE_TIME: Millis = 30_000;

const THRESHOLD: usize = 3;

const FINGERPRINT: Fingerprint = Fingerprint(7);

fn table() -> PoisonTable {
    PoisonTable::with_threshold(QUARANTINE_TIME, THRESHOLD)
}

fn report(endpoint: &str) -> CrashReport {
    CrashReport {
        fingerprint: FINGERPRINT,
        endpoint: EndpointId::new(endpoint),
    }
}

#[test]
#[ignore = "known red, issue 19"]
fn quarantine_is_renewed_by_one_crash_and_for_longer() {
    let mut table = table();
    for endpoint in ["one", "two", "three"] {
        table.record(&report(endpoint), 0);
    }
    let tried_at = QUARANTINE_TIME + 10_000;
    assert_ne!(
        table.status(FINGERPRINT, tried_at),
        PoisonStatus::Quarantined
    );
    table.record(&report("four"), tried_at);
    for age in [0, QUARANTINE_TIME, 2 * QUARANTINE_TIME] {
        let status = table.status(FINGERPRINT, tried_at + age);
        assert_eq!(status, PoisonStatus::Quarantined, "{age} ms later");
    }
}

#[test]
#[ignore = "known red, issue 19"]
fn crashes_far_apart_add_up() {
    let mut table = table();
    for (number, endpoint) in (0..).zip(["one", "two", "three"]) {
        table.record(&report(endpoint), number * 2 * QUARANTINE_TIME);
    }
    let now = 4 * QUARANTINE_TIME;
    assert_eq!(table.status(FINGERPRINT, now), PoisonStatus::Quarantined);
}
