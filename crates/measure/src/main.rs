//! Measurements of the decisions.

mod engine_model;
mod routers;
mod routing;
mod workload;

use clap::{Parser, Subcommand};

/// Measures the decisions on virtual time and their cost on this machine.
#[derive(Debug, Parser)]
#[command(version)]
struct MeasureArgs {
    #[command(subcommand)]
    measure: MeasureCommand,
}

#[derive(Debug, Subcommand)]
enum MeasureCommand {
    /// Routing against round robin and least outstanding, on virtual time.
    Routing(routing::RoutingArgs),
}

fn main() -> anyhow::Result<()> {
    match MeasureArgs::parse().measure {
        MeasureCommand::Routing(args) => routing::run(&args),
    }
}
