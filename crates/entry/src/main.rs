//! The daemon of an entry instance.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use jackdawpoint_entry::start_entry;
use settings::{EntrySettings, load_settings};
use tokio::signal::unix::{SignalKind, signal};

/// Process exit code when the settings file cannot be read or is invalid.
const BAD_SETTINGS: u8 = 2;

/// An entry instance of jackdawpoint.
#[derive(Debug, Parser)]
#[command(version)]
struct EntryArgs {
    /// The settings file (JSON).
    #[arg(long)]
    settings: PathBuf,
}

#[ntex::main]
async fn main() -> anyhow::Result<ExitCode> {
    let args = EntryArgs::parse();
    let settings = match load_settings(&args.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{}: {error}", args.settings.display());
            return Ok(ExitCode::from(BAD_SETTINGS));
        }
    };
    serve(settings).await?;
    Ok(ExitCode::SUCCESS)
}

async fn serve(settings: EntrySettings) -> anyhow::Result<()> {
    let instance = settings.instance.clone();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let entry = start_entry(settings).await?;
    spdlog::info!("instance {instance} started");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = entry.stop_announced() => {}
    }
    spdlog::info!("instance {instance} is stopping");
    entry.stop().await;
    spdlog::info!("instance {instance} stopped");
    Ok(())
}
