//! Random schedules on fixed seeds, and the proof that each invariant check detects a violation.

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use jackdawpoint_scenarios::{
    ModelLoading, PlantedFault, ScheduleReport, run_order_schedule, run_planted_schedule,
    run_schedule,
};

/// Number of seeds for schedules without model orders.
const SEEDS: u64 = 100;

/// Number of seeds for schedules with model orders, for each kind of fencing.
const ORDER_SEEDS: u64 = 20;

const THREADS: usize = 6;

/// Regression seeds that violated an invariant in an earlier version, with that invariant.
const REGRESSION_SEEDS: [(u64, &str); 1] = [(28, "accepted changes are in force")];

fn run_all(seeds: u64, run_one: fn(u64) -> ScheduleReport) -> Vec<ScheduleReport> {
    let next = AtomicU64::new(1);
    let run = || {
        let mut reports = Vec::new();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed > seeds {
                return reports;
            }
            reports.push(run_one(seed));
        }
    };
    thread::scope(|scope| {
        let handles: Vec<_> = (0..THREADS).map(|_| scope.spawn(run)).collect();
        let reports = handles.into_iter().map(thread::ScopedJoinHandle::join);
        reports
            .flat_map(|one| one.expect("no schedule panics"))
            .collect()
    })
}

#[test]
fn schedules_keep_all_invariants() {
    let reports = run_all(SEEDS, run_schedule);
    for report in &reports {
        let violations = &report.violations;
        assert!(
            violations.is_empty(),
            "seed {}: {violations:?}",
            report.seed
        );
    }
    let whole: usize = reports.iter().map(|report| report.whole).sum();
    let requests: usize = reports.iter().map(|report| report.requests).sum();
    assert!(
        whole * 3 > requests,
        "most requests meet a fault, but more than a third must get a complete answer"
    );
}

#[test]
fn schedules_with_model_orders_keep_all_invariants() {
    let runs: [fn(u64) -> ScheduleReport; 2] = [
        |seed| run_order_schedule(seed, ModelLoading::Checked),
        |seed| run_order_schedule(seed, ModelLoading::Ignored),
    ];
    for run in runs {
        for report in run_all(ORDER_SEEDS, run) {
            let violations = &report.violations;
            assert!(
                violations.is_empty(),
                "seed {}: {violations:?}",
                report.seed
            );
        }
    }
}

#[test]
fn regression_seeds_keep_all_invariants() {
    for (seed, invariant) in REGRESSION_SEEDS {
        let report = run_schedule(seed);
        assert_eq!(
            report.violations,
            [],
            "seed {seed} regressed; it once violated: {invariant}"
        );
    }
}

/// Regression seeds of schedules with model orders, with the invariant that was violated.
const ORDER_REGRESSION_SEEDS: [(u64, ModelLoading, &str); 3] = [
    (56, ModelLoading::Ignored, "the fleet recovers"),
    (
        587,
        ModelLoading::Checked,
        "leaving instances get no new work",
    ),
    (
        587,
        ModelLoading::Ignored,
        "leaving instances get no new work",
    ),
];

#[test]
fn regression_seeds_with_model_orders_keep_all_invariants() {
    for (seed, loading, invariant) in ORDER_REGRESSION_SEEDS {
        let report = run_order_schedule(seed, loading);
        assert_eq!(
            report.violations,
            [],
            "seed {seed} regressed; it once violated: {invariant}"
        );
    }
}

#[test]
fn same_seed_gives_the_same_schedule_and_result() {
    for seed in [3, 17] {
        assert_eq!(run_schedule(seed), run_schedule(seed));
    }
}

struct PlantedCase {
    fault: PlantedFault,
    invariant: &'static str,
}

const PLANTED: [PlantedCase; 9] = [
    PlantedCase {
        fault: PlantedFault::UnconditionalWrite,
        invariant: "non-idempotent calls run at most once",
    },
    PlantedCase {
        fault: PlantedFault::ForeignText,
        invariant: "answers belong to their request and have no gap",
    },
    PlantedCase {
        fault: PlantedFault::RefusalAfterStart,
        invariant: "requests reported as not run did not run",
    },
    PlantedCase {
        fault: PlantedFault::LeakedStreams,
        invariant: "engine memory is released",
    },
    PlantedCase {
        fault: PlantedFault::UnappliedConfirmation,
        invariant: "accepted changes are in force",
    },
    PlantedCase {
        fault: PlantedFault::AbandonedStream,
        invariant: "every request ends by its deadline",
    },
    PlantedCase {
        fault: PlantedFault::AbruptStop,
        invariant: "planned stops interrupt no request",
    },
    PlantedCase {
        fault: PlantedFault::DroppedAnnouncement,
        invariant: "leaving instances get no new work",
    },
    PlantedCase {
        fault: PlantedFault::UncountedLoads,
        invariant: "loads stay within the weight store's rate",
    },
];

/// Number of seeds within which a planted fault must be detected.
const PLANTED_SEEDS: u64 = 40;

#[test]
fn every_check_detects_its_planted_fault() {
    for case in &PLANTED {
        let is_detected = |seed| {
            let report = run_planted_schedule(seed, case.fault);
            let mut violations = report.violations.iter();
            violations.any(|violation| violation.invariant == case.invariant)
        };
        let detected = (1..=PLANTED_SEEDS).any(is_detected);
        assert!(
            detected,
            "no seed detects the planted fault {:?}",
            case.fault
        );
    }
}
