//! Client for the platform's key-value service and instance list.

mod http;
mod key_value;
mod wire;

pub use http::HttpPlatform;
pub use key_value::{
    CasVerdict, InstanceKind, InstanceState, KeyValue, KeyValueFault, LeaseId, LeaseState,
    ListedInstance, PlatformFuture, StoredKey, StoredValue, WatchEvent, WatchReport,
};
