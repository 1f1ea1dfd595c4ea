//! JSON messages of the platform's HTTP interface.

use policy::ids::Incarnation;
use policy::store_position::StorePosition;

use crate::key_value::{
    InstanceKind, InstanceState, ListedInstance, StoredKey, StoredValue, WatchEvent, WatchReport,
};

#[derives::wire]
pub(crate) struct ValueResponse {
    pub(crate) value: String,
    pub(crate) revision: u64,
}

impl From<ValueResponse> for StoredValue {
    fn from(response: ValueResponse) -> Self {
        Self {
            value: response.value,
            revision: response.revision,
        }
    }
}

#[derives::wire]
pub(crate) struct PutRequest<'a> {
    pub(crate) value: std::borrow::Cow<'a, str>,
    pub(crate) expected: u64,
    pub(crate) lease: Option<u64>,
}

#[derives::wire]
pub(crate) struct SwapResponse {
    pub(crate) written: bool,
    pub(crate) revision: u64,
}

#[derives::wire]
pub(crate) struct LeaseResponse {
    pub(crate) lease: u64,
}

#[derives::wire]
pub(crate) struct RenewResponse {
    pub(crate) renewed: bool,
}

#[derives::wire]
pub(crate) struct LeaseRequest {
    pub(crate) ttl_ms: u64,
}

#[derives::wire]
pub(crate) struct KeyEntry {
    pub(crate) key: String,
    pub(crate) revision: u64,
}

impl From<KeyEntry> for StoredKey {
    fn from(entry: KeyEntry) -> Self {
        Self {
            key: entry.key,
            revision: entry.revision,
        }
    }
}

#[derives::wire]
pub(crate) struct EventEntry {
    pub(crate) key: String,
    pub(crate) value: Option<String>,
    pub(crate) revision: u64,
}

impl From<EventEntry> for WatchEvent {
    fn from(entry: EventEntry) -> Self {
        let EventEntry {
            key,
            value,
            revision,
        } = entry;
        match value {
            Some(value) => Self::Put {
                key,
                stored: StoredValue { value, revision },
            },
            None => Self::Deleted { key, revision },
        }
    }
}

#[derives::wire]
pub(crate) struct WatchResponse {
    pub(crate) revision: u64,
    pub(crate) events: Vec<EventEntry>,
}

impl From<WatchResponse> for WatchReport {
    fn from(response: WatchResponse) -> Self {
        Self {
            position: StorePosition::without_era(response.revision),
            events: response.events.into_iter().map(WatchEvent::from).collect(),
        }
    }
}

#[derives::wire]
#[serde(rename_all = "snake_case")]
pub(crate) enum InstanceEntryKind {
    Entry,
    Endpoint,
}

#[derives::wire]
#[serde(rename_all = "snake_case")]
pub(crate) enum InstanceEntryState {
    Live,
    Leaving,
}

#[derives::wire]
pub(crate) struct InstanceEntry {
    pub(crate) name: String,
    pub(crate) kind: InstanceEntryKind,
    pub(crate) failure_domain: String,
    pub(crate) address: String,
    pub(crate) incarnation: u64,
    pub(crate) state: InstanceEntryState,
}

impl From<InstanceEntry> for ListedInstance {
    fn from(entry: InstanceEntry) -> Self {
        Self {
            name: entry.name,
            kind: match entry.kind {
                InstanceEntryKind::Entry => InstanceKind::Entry,
                InstanceEntryKind::Endpoint => InstanceKind::Endpoint,
            },
            failure_domain: entry.failure_domain,
            address: entry.address,
            incarnation: Incarnation(entry.incarnation),
            state: match entry.state {
                InstanceEntryState::Live => InstanceState::Live,
                InstanceEntryState::Leaving => InstanceState::Leaving,
            },
        }
    }
}
