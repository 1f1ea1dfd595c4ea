//! Checks settings and prints their schema.

use anyhow::anyhow;
use settings::{load_settings, settings_schema};

use crate::args::SettingsCommand;

/// Runs a command on settings.
pub(crate) fn run(command: &SettingsCommand) -> anyhow::Result<()> {
    match command {
        SettingsCommand::Schema => println!("{}", settings_schema()),
        SettingsCommand::Check { file } => {
            load_settings(file).map_err(|fault| anyhow!("{}: {fault}", file.display()))?;
            println!("{}: usable", file.display());
        }
    }
    Ok(())
}
