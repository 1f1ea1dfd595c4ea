//! Settings of an entry instance: the types of the JSON file, validation and JSON schema.

mod check;
mod load;
mod schema;

pub use check::check_settings;
pub use load::{
    SettingsError, load_settings, parse_settings, parse_unchecked, read_file, settings_schema,
};
pub use schema::{
    EndpointSettings, EngineFencing, EngineSettings, EntrySettings, FailureDomainSettings,
    LimitSettings, ListenSettings, Objective, PlatformSettings, PoolLoading, PoolSettings,
    ServiceSettings,
};
