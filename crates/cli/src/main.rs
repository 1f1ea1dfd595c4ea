//! The `jackdawpoint` command for operators.

mod args;
mod client;
mod demo;
mod documents;
mod experiment;
mod explain;
mod fleet;
mod settings_check;

use std::process::ExitCode;

use clap::Parser;

use crate::args::{CommandArgs, OperatorCommand};

/// Exit code of a command that failed, such as a refused request or invalid settings.
const FAILURE_EXIT_CODE: u8 = 2;

#[ntex::main]
async fn main() -> ExitCode {
    let args = CommandArgs::parse();
    match run(args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::from(FAILURE_EXIT_CODE)
        }
    }
}

async fn run(args: CommandArgs) -> anyhow::Result<()> {
    match args.command {
        OperatorCommand::Settings(command) => settings_check::run(&command),
        OperatorCommand::Template(command) => documents::run_template(command).await,
        OperatorCommand::Account(command) => documents::run_account(command).await,
        OperatorCommand::Announce(command) => fleet::announce(command).await,
        OperatorCommand::Status(target) => fleet::status(&target).await,
        OperatorCommand::Rollout { version, target } => fleet::rollout(version, &target).await,
        OperatorCommand::Experiment(args) => experiment::run(&args),
        OperatorCommand::Explain(args) => explain::run(&args),
        OperatorCommand::Demo => demo::run().await,
    }
}
