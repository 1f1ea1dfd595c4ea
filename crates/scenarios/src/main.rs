//! Runs scenario scripts and random schedules from the command line.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use clap::{Parser, Subcommand, ValueEnum};
use jackdawpoint_scenarios::{
    ModelLoading, ScheduleReport, run_order_schedule, run_schedule, run_script,
};

/// Runs simulated scenarios on virtual time.
#[derive(Debug, Parser)]
#[command(version)]
struct ScenarioArgs {
    #[command(subcommand)]
    command: ScenarioCommand,
}

#[derive(Debug, Subcommand)]
enum ScenarioCommand {
    /// Runs script files.
    Run {
        /// Paths of the script files.
        files: Vec<PathBuf>,
    },
    /// Runs the random schedules of a range of seeds.
    Soak {
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        first: u64,
        /// Number of seeds.
        #[arg(long, default_value_t = 100)]
        count: u64,
        /// How engines get their models.
        #[arg(long, value_enum, default_value_t = LoadingArg::Fixed)]
        loading: LoadingArg,
        /// Number of threads.
        #[arg(long, default_value_t = 6)]
        threads: usize,
    },
    /// Runs the random schedule of one seed and prints its actions and violations.
    Seed {
        /// The seed.
        seed: u64,
        /// How engines get their models.
        #[arg(long, value_enum, default_value_t = LoadingArg::Fixed)]
        loading: LoadingArg,
    },
}

/// How engines get their models and whether they check the fencing token of orders.
#[derive(Debug, Clone, Copy, ValueEnum)]
enum LoadingArg {
    /// Every engine serves the same single model and gets no orders.
    Fixed,
    /// Engines reject orders with an outdated fencing token.
    Checked,
    /// Engines follow orders whatever their fencing token.
    Ignored,
}

impl LoadingArg {
    fn run(self, seed: u64) -> ScheduleReport {
        match self {
            Self::Fixed => run_schedule(seed),
            Self::Checked => run_order_schedule(seed, ModelLoading::Checked),
            Self::Ignored => run_order_schedule(seed, ModelLoading::Ignored),
        }
    }
}

fn main() -> ExitCode {
    match ScenarioArgs::parse().command {
        ScenarioCommand::Run { files } => run_files(&files),
        ScenarioCommand::Soak {
            first,
            count,
            loading,
            threads,
        } => soak(first, count, loading, threads),
        ScenarioCommand::Seed { seed, loading } => show_seed(seed, loading),
    }
}

fn run_files(files: &[PathBuf]) -> ExitCode {
    let mut failed = 0;
    for file in files {
        let result = std::fs::read_to_string(file)
            .map_err(|error| error.to_string())
            .and_then(|source| run_script(&source));
        match result {
            Ok(()) => println!("{}: passed", file.display()),
            Err(error) => {
                failed += 1;
                println!("{}: FAILED: {error}", file.display());
            }
        }
    }
    if failed > 0 {
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

fn soak(first: u64, count: u64, loading: LoadingArg, threads: usize) -> ExitCode {
    let next = AtomicU64::new(first);
    let run = || {
        let mut reports = Vec::new();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= first + count {
                return reports;
            }
            let report = loading.run(seed);
            if !report.violations.is_empty() {
                println!("seed {seed}: {}", report.violations[0]);
            }
            reports.push(report);
        }
    };
    let reports: Vec<ScheduleReport> = thread::scope(|scope| {
        let handles: Vec<_> = (0..threads).map(|_| scope.spawn(run)).collect();
        handles
            .into_iter()
            .flat_map(|handle| handle.join().expect("a schedule panicked"))
            .collect()
    });
    summarize(&reports)
}

fn summarize(reports: &[ScheduleReport]) -> ExitCode {
    let sum = |part: fn(&ScheduleReport) -> usize| reports.iter().map(part).sum::<usize>();
    let failed = reports
        .iter()
        .filter(|one| !one.violations.is_empty())
        .count();
    println!(
        "{} seeds, {failed} with violations; {} requests: {} whole, {} not run, {} unfinished, \
         {} with a lost connection",
        reports.len(),
        sum(|one| one.requests),
        sum(|one| one.whole),
        sum(|one| one.not_run),
        sum(|one| one.unfinished),
        sum(|one| one.connection_lost),
    );
    if failed > 0 {
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

fn show_seed(seed: u64, loading: LoadingArg) -> ExitCode {
    let report = loading.run(seed);
    for action in &report.actions {
        println!("{action}");
    }
    for violation in &report.violations {
        println!("VIOLATION {violation}");
    }
    summarize(&[report])
}
