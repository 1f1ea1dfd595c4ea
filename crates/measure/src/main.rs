//! Measures grant decisions, routing, membership, and the overhead of running instances.

mod costs;
mod engine_model;
mod fleet;
mod membership;
mod processes;
mod routers;
mod routing;
mod workload;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use serde_json::json;

/// Measures decisions on virtual time, and the cost of decisions and instances on this machine.
#[derive(Debug, Parser)]
#[command(version)]
struct MeasureArgs {
    #[command(subcommand)]
    measure: MeasureCommand,
}

#[derive(Debug, Subcommand)]
enum MeasureCommand {
    /// Compares routing with round robin and least outstanding, on virtual time.
    Routing(routing::RoutingArgs),
    /// Writes every measurement that the capacity page uses to one JSON file.
    Slopes {
        /// File to write.
        #[arg(long)]
        out: PathBuf,
        /// Commit that is measured.
        #[arg(long)]
        commit: String,
    },
}

#[ntex::main]
async fn main() -> ExitCode {
    let result = match MeasureArgs::parse().measure {
        MeasureCommand::Routing(args) => routing::run(&args),
        MeasureCommand::Slopes { out, commit } => slopes(&out, &commit).await,
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            // The stand-ins' servers are still running. Exiting the process stops them.
            std::process::exit(1);
        }
    }
}

async fn slopes(out: &Path, commit: &str) -> anyhow::Result<()> {
    let program = std::env::current_exe()?.with_file_name("jackdawpoint-entry");
    let virtual_time = std::thread::spawn(|| {
        json!({
            "decisions": costs::decisions(),
            "memory": costs::memory(),
            "membership": membership::measure(),
            "changes": fleet::changes(),
            "claims": fleet::claims(),
            "orders": fleet::orders(),
        })
    });
    let virtual_time = virtual_time
        .join()
        .map_err(|_| anyhow::anyhow!("a measurement on virtual time panicked"))?;
    let latency = processes::latency(&program).await?;
    eprintln!("latency {latency:?}");
    let idle = processes::idle(&program).await?;
    eprintln!("idle {idle:?}");
    let figures = json!({
        "commit": commit,
        "settings": "defaults of the settings, limits and member table",
        "virtual_time": virtual_time,
        "latency": latency,
        "idle": idle,
        "routing": routing::all()?,
    });
    std::fs::write(
        out,
        format!("{}\n", serde_json::to_string_pretty(&figures)?),
    )?;
    println!("wrote {}", out.display());
    Ok(())
}
