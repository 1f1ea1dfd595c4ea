//! Short storms of configurations on fixed seeds.

mod daemon_program;

use jackdawpoint_soak::{StormSite, run_storm};

/// Seeds with drills, with other faults beside large versions, and with other faults.
const SEEDS: [u64; 3] = [4, 5, 8];

/// Guards against versions that come late or are undone, and requests that are lost or denied, on
/// the number of instances of a small deployment.
#[ntex::test]
async fn fixed_storms_keep_all_rules() {
    let site = StormSite::find("pappalieve-prod").expect("a known deployment");
    for seed in SEEDS {
        let folder = std::env::temp_dir().join(format!("storm-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("creating the folder for the daemons' files");
        let programs = [daemon_program::daemon_program()];
        let report = run_storm(seed, &site, &programs, &folder).await;
        let report = report.expect("starting the system under test");
        let violations = &report.violations;
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
        assert!(
            2 * report.judged > report.calls / 2,
            "seed {seed}: {report:?}"
        );
    }
}
