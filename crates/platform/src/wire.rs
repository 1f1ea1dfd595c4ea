//! JSON forms of the platform's HTTP interface.

use policy::ids::Incarnation;

use crate::key_value::{
    InstanceKind, InstanceState, ListedInstance, StoredKey, StoredValue, WatchEvent, WatchReport,
};

#[derives::wire]
pub(crate) struct ValueForm {
    pub(crate) value: String,
    pub(crate) revision: u64,
}

impl From<ValueForm> for StoredValue {
    fn from(form: ValueForm) -> Self {
        Self {
            value: form.value,
            revision: form.revision,
        }
    }
}

#[derives::wire]
pub(crate) struct PutForm<'a> {
    pub(crate) value: std::borrow::Cow<'a, str>,
    pub(crate) expected: u64,
    pub(crate) lease: Option<u64>,
}

#[derives::wire]
pub(crate) struct SwapForm {
    pub(crate) written: bool,
    pub(crate) revision: u64,
}

#[derives::wire]
pub(crate) struct LeaseForm {
    pub(crate) lease: u64,
}

#[derives::wire]
pub(crate) struct RenewForm {
    pub(crate) renewed: bool,
}

#[derives::wire]
pub(crate) struct LeaseRequestForm {
    pub(crate) ttl_ms: u64,
}

#[derives::wire]
pub(crate) struct KeyForm {
    pub(crate) key: String,
    pub(crate) revision: u64,
}

impl From<KeyForm> for StoredKey {
    fn from(form: KeyForm) -> Self {
        Self {
            key: form.key,
            revision: form.revision,
        }
    }
}

#[derives::wire]
pub(crate) struct EventForm {
    pub(crate) key: String,
    pub(crate) value: Option<String>,
    pub(crate) revision: u64,
}

impl From<EventForm> for WatchEvent {
    fn from(form: EventForm) -> Self {
        let EventForm {
            key,
            value,
            revision,
        } = form;
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
pub(crate) struct WatchForm {
    pub(crate) revision: u64,
    pub(crate) events: Vec<EventForm>,
}

impl From<WatchForm> for WatchReport {
    fn from(form: WatchForm) -> Self {
        Self {
            revision: form.revision,
            events: form.events.into_iter().map(WatchEvent::from).collect(),
        }
    }
}

#[derives::wire]
#[serde(rename_all = "snake_case")]
pub(crate) enum KindForm {
    Entry,
    Endpoint,
}

#[derives::wire]
#[serde(rename_all = "snake_case")]
pub(crate) enum StateForm {
    Live,
    Leaving,
}

#[derives::wire]
pub(crate) struct InstanceForm {
    pub(crate) name: String,
    pub(crate) kind: KindForm,
    pub(crate) failure_domain: String,
    pub(crate) address: String,
    pub(crate) incarnation: u64,
    pub(crate) state: StateForm,
}

impl From<InstanceForm> for ListedInstance {
    fn from(form: InstanceForm) -> Self {
        Self {
            name: form.name,
            kind: match form.kind {
                KindForm::Entry => InstanceKind::Entry,
                KindForm::Endpoint => InstanceKind::Endpoint,
            },
            failure_domain: form.failure_domain,
            address: form.address,
            incarnation: Incarnation(form.incarnation),
            state: match form.state {
                StateForm::Live => InstanceState::Live,
                StateForm::Leaving => InstanceState::Leaving,
            },
        }
    }
}
