//! The `settings` command.

use anyhow::anyhow;
use settings::{load_settings, settings_schema};

use crate::args::SettingsCommand;

/// Checks a settings file or prints the JSON schema of the settings.
pub(crate) fn run(command: &SettingsCommand) -> anyhow::Result<()> {
    match command {
        SettingsCommand::Schema => println!("{}", settings_schema()),
        SettingsCommand::Check { file } => {
            load_settings(file).map_err(|error| anyhow!("{}: {error}", file.display()))?;
            println!("{}: usable", file.display());
        }
    }
    Ok(())
}
