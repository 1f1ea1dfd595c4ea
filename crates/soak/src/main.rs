//! Command line of the soak test.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use anyhow::Context;
use clap::{Args, Parser, Subcommand};
use jackdawpoint_soak::{
    SoakReport, SoakSize, StormSite, Violation, draw_schedule, run_seed, run_storm,
};

const SECONDS_PER_MINUTE: u64 = 60;

/// Runs daemons under injected faults and checks invariants.
#[derive(Debug, Parser)]
#[command(name = "jackdawpoint-soak", version)]
struct SoakArgs {
    #[command(subcommand)]
    command: SoakCommand,
}

#[derive(Debug, Subcommand)]
enum SoakCommand {
    /// Runs several seeds one after the other.
    Run {
        /// First seed to run.
        #[arg(long, default_value_t = 1)]
        from: u64,
        /// Number of seeds to run.
        #[arg(long, default_value_t = 5)]
        count: u64,
        /// Minutes after which no further seed is started.
        #[arg(long, default_value_t = 10)]
        minutes: u64,
        #[command(flatten)]
        size: SizeArgs,
    },
    /// Sends configurations in quick succession to a deployment's number of daemons, beside faults
    /// and planned work, for several seeds one after the other.
    Storm {
        /// Name of the deployment.
        #[arg(long, default_value = "pappalieve-prod")]
        site: String,
        /// First seed to run; a third each has planned work only, drills, and other faults. Odd
        /// seeds have versions with 1,400 idle routes.
        #[arg(long, default_value_t = 1)]
        from: u64,
        /// Number of seeds to run.
        #[arg(long, default_value_t = 3)]
        count: u64,
        /// Program of the daemons, in place of the newest one.
        #[arg(long)]
        program: Option<PathBuf>,
        /// Program of an older daemon, which every second start of a daemon takes.
        #[arg(long)]
        old: Option<PathBuf>,
    },
    /// Runs one seed and prints its fault schedule.
    Replay {
        /// Seed to run.
        seed: u64,
        #[command(flatten)]
        size: SizeArgs,
    },
}

/// Size of the system under test.
#[derive(Debug, Clone, Args)]
struct SizeArgs {
    /// Number of daemons.
    #[arg(long, default_value_t = 4)]
    daemons: usize,
    /// Number of model engines.
    #[arg(long, default_value_t = 4)]
    engines: usize,
    /// Number of endpoints of the plain service.
    #[arg(long, default_value_t = 2)]
    workers: usize,
    /// Program of an older daemon, which every second start of a daemon takes.
    #[arg(long)]
    old: Option<PathBuf>,
}

impl SizeArgs {
    /// The programs that daemons run, the newest first.
    fn programs(&self, newest: &Path) -> Vec<PathBuf> {
        let newest = std::iter::once(newest.to_owned());
        newest.chain(self.old.clone()).collect()
    }
}

impl From<&SizeArgs> for SoakSize {
    fn from(args: &SizeArgs) -> Self {
        Self {
            daemons: args.daemons,
            engines: args.engines,
            service_endpoints: args.workers,
        }
    }
}

#[ntex::main]
async fn main() -> anyhow::Result<ExitCode> {
    let newest = daemon_program()?;
    let mut all_passed = true;
    match SoakArgs::parse().command {
        SoakCommand::Run {
            from,
            count,
            minutes,
            size,
        } => {
            let deadline = Instant::now() + Duration::from_secs(minutes * SECONDS_PER_MINUTE);
            for seed in from..from + count {
                if Instant::now() >= deadline {
                    println!("time limit reached before seed {seed}");
                    break;
                }
                let programs = size.programs(&newest);
                let report = run_and_print(seed, &SoakSize::from(&size), &programs).await?;
                all_passed &= report.violations.is_empty();
            }
        }
        SoakCommand::Storm {
            site,
            from,
            count,
            program,
            old,
        } => {
            let site = find_site(&site)?;
            let first = program.unwrap_or(newest);
            let programs: Vec<PathBuf> = std::iter::once(first).chain(old).collect();
            for seed in from..from + count {
                all_passed &= storm_and_print(seed, &site, &programs).await?;
            }
        }
        SoakCommand::Replay { seed, size } => {
            let programs = size.programs(&newest);
            let size = SoakSize::from(&size);
            for time in draw_schedule(seed, &size) {
                println!("{time:?}");
            }
            all_passed = run_and_print(seed, &size, &programs)
                .await?
                .violations
                .is_empty();
        }
    }
    Ok(if all_passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

async fn run_and_print(
    seed: u64,
    size: &SoakSize,
    programs: &[PathBuf],
) -> anyhow::Result<SoakReport> {
    let folder = create_folder("soak", seed)?;
    let report = run_seed(seed, size, programs, &folder).await?;
    println!(
        "seed {seed}: {} faults, {} calls, {} complete answers, {} violations",
        report.faults,
        report.calls,
        report.complete,
        report.violations.len()
    );
    print_violations(&report.violations, &folder)?;
    Ok(report)
}

/// Runs a storm. Returns whether all rules were kept.
async fn storm_and_print(
    seed: u64,
    site: &StormSite,
    programs: &[PathBuf],
) -> anyhow::Result<bool> {
    let folder = create_folder("storm", seed)?;
    let report = run_storm(seed, site, programs, &folder).await?;
    println!(
        "{} seed {seed}: {} versions, {} disruptions, {} calls, {} judged, {} violations",
        site.name,
        report.versions,
        report.disruptions,
        report.calls,
        report.judged,
        report.violations.len()
    );
    print_violations(&report.violations, &folder)?;
    Ok(report.violations.is_empty())
}

fn find_site(name: &str) -> anyhow::Result<StormSite> {
    let known = StormSite::ALL.map(|site| site.name);
    StormSite::find(name)
        .with_context(|| format!("site {name:?}: expected one of {}", known.join(", ")))
}

fn create_folder(kind: &str, seed: u64) -> anyhow::Result<PathBuf> {
    let name = format!("jackdawpoint-{kind}-{}-{seed}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).context("cannot create the folder for the daemons' files")?;
    Ok(folder)
}

/// Prints violations and where the logs are, or removes the logs if there are none.
fn print_violations(violations: &[Violation], folder: &Path) -> anyhow::Result<()> {
    for violation in violations {
        println!("  {}: {}", violation.invariant, violation.observed);
    }
    if violations.is_empty() {
        return std::fs::remove_dir_all(folder)
            .context("cannot remove the folder with the daemons' files");
    }
    println!("  logs: {}", folder.display());
    Ok(())
}

/// Returns the path of the daemon's program, which is expected beside this one.
fn daemon_program() -> anyhow::Result<PathBuf> {
    let own = std::env::current_exe().context("cannot find the path of this program")?;
    let program = own.with_file_name("jackdawpoint-relay");
    anyhow::ensure!(
        program.exists(),
        "{} does not exist; build it first",
        program.display()
    );
    Ok(program)
}
