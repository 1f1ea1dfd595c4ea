//! Short soak on fixed seeds and on regression seeds.

mod daemon_program;

use daemon_program::daemon_program;
use jackdawpoint_soak::{SoakSize, draw_schedule, run_seed};

const SEEDS: [u64; 2] = [1, 2];

/// Seeds that violated an invariant in an earlier version, with the cause.
const REGRESSION_SEEDS: [(u64, &str); 0] = [];

fn size() -> SoakSize {
    SoakSize {
        daemons: 3,
        engines: 3,
        service_endpoints: 2,
    }
}

#[ntex::test]
async fn fixed_seeds_keep_all_invariants() {
    let regressions = REGRESSION_SEEDS.iter().map(|(seed, _)| *seed);
    for seed in SEEDS.into_iter().chain(regressions) {
        let folder = std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("creating the folder for the daemons' files");
        let report = run_seed(seed, &size(), &[daemon_program()], &folder)
            .await
            .expect("starting the system under test");
        assert!(
            report.violations.is_empty(),
            "seed {seed}: {:?}",
            report.violations
        );
        assert!(
            report.complete * 3 > report.calls,
            "seed {seed}: {report:?}"
        );
    }
}

#[test]
fn a_seed_gives_the_same_schedule_every_time() {
    assert_eq!(draw_schedule(7, &size()), draw_schedule(7, &size()));
    assert_ne!(draw_schedule(7, &size()), draw_schedule(8, &size()));
}
