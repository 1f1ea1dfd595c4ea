//! Development tasks of the workspace.

use std::process::Command;

use anyhow::{Context, ensure};
use clap::{Parser, Subcommand};

/// Development tasks of the workspace.
#[derive(Debug, Parser)]
struct XtaskArgs {
    #[command(subcommand)]
    chore: XtaskCommand,
}

#[derive(Debug, Subcommand)]
enum XtaskCommand {
    /// Checks formatting and runs Clippy with warnings denied.
    Lint,
    /// Builds all programs, then runs all tests.
    Test,
    /// Measures the figures of docs/CAPACITY.md and writes them to docs/capacity.json.
    Measure,
    /// Regenerates the codec of the peers' messages; needs `capnp` and `capnpc-rust`.
    Generate,
}

fn main() -> anyhow::Result<()> {
    match XtaskArgs::parse().chore {
        XtaskCommand::Lint => lint(),
        XtaskCommand::Test => test(),
        XtaskCommand::Measure => measure(),
        XtaskCommand::Generate => generate(),
    }
}

fn lint() -> anyhow::Result<()> {
    run("cargo", &["fmt", "--all", "--check"])?;
    let clippy = ["clippy", "--workspace", "--all-targets", "--locked", "--"];
    run("cargo", &[&clippy[..], &["-D", "warnings"]].concat())
}

fn test() -> anyhow::Result<()> {
    run("cargo", &["build", "--workspace", "--bins", "--locked"])?;
    run("cargo", &["test", "--workspace", "--locked"])
}

fn measure() -> anyhow::Result<()> {
    let build = ["build", "--release", "--locked", "--bins"];
    run("cargo", &[&build[..], &["--workspace"]].concat())?;
    let commit = Command::new("git")
        .args(["rev-parse", "--short", "HEAD"])
        .output()
        .context("cannot run git")?;
    let commit = String::from_utf8_lossy(&commit.stdout).trim().to_owned();
    let slopes = ["slopes", "--out", "docs/capacity.json", "--commit", &commit];
    run("target/release/jackdawpoint-measure", &slopes)
}

fn generate() -> anyhow::Result<()> {
    let args = [
        "compile",
        "-orust:crates/peer-schema/src",
        "--src-prefix=crates/peer-schema/schema",
        "crates/peer-schema/schema/peer.capnp",
        "crates/peer-schema/schema/dispatch.capnp",
    ];
    run("capnp", &args)
}

fn run(program: &str, args: &[&str]) -> anyhow::Result<()> {
    let status = Command::new(program)
        .args(args)
        .status()
        .with_context(|| format!("cannot run {program}"))?;
    ensure!(status.success(), "{program} {args:?} failed: {status}");
    Ok(())
}
