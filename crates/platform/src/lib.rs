//! Client for the platform's key-value service and instance list.

mod http;
mod key_value;
mod wire;

pub use http::HttpPlatformClient;
pub use key_value::{
    CasOutcome, InstanceKind, InstanceState, KeyValue, KeyValueError, LeaseId, LeaseState,
    ListedInstance, PlatformFuture, StoredKey, StoredValue, WatchEvent, WatchReport,
};
