//! The interface of the platform's key-value service and instance list, as a trait.

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use policy::ids::Incarnation;
use policy::store_position::StorePosition;

/// A call to the platform in flight.
pub type PlatformFuture<'a, T> = LocalBoxFuture<'a, Result<T, KeyValueError>>;

/// Why a call to the platform failed.
#[derives::tag]
pub enum KeyValueError {
    /// The call was not sent.
    Unreachable,
    /// The call may have taken effect, but its answer was lost.
    AnswerLost,
    /// The service's answer cannot be parsed.
    Unreadable,
    /// The service refused the call, which had no effect.
    Refused,
    /// The service does not keep the changes after the requested position, or is in another era.
    HistoryLost,
    /// The changes after the requested position are more than one answer can hold, or arrive too
    /// slowly. Repeating the call does not help, since they grow; the present values can be read.
    BacklogTooLong,
    /// The answer is of an earlier era than is known already, and is not used.
    EarlierEra,
}

impl KeyValueError {
    /// Whether the service answers: only changes are missing, and the present values can be read.
    #[must_use]
    pub fn lacks_changes_only(self) -> bool {
        matches!(self, Self::HistoryLost | Self::BacklogTooLong)
    }
}

/// A value with the revision of its last write.
#[derives::value]
pub struct StoredValue {
    /// Content of the key.
    pub value: String,
    /// Store-wide revision of its last write.
    pub revision: u64,
}

/// A key with the revision of its last write.
#[derives::value]
pub struct StoredKey {
    /// Name of the key.
    pub key: String,
    /// Store-wide revision of its last write.
    pub revision: u64,
}

/// Outcome of a compare-and-swap.
#[derives::tag]
pub enum CasOutcome {
    /// The write took effect; the key is now at this revision.
    Written(u64),
    /// The write had no effect: the key is at this revision, zero if absent, and not at the
    /// expected one.
    Conflict(u64),
}

/// Id of a lease granted by the platform.
#[derives::tag]
pub struct LeaseId(pub u64);

/// One change to a key.
#[derives::value]
pub enum WatchEvent {
    /// The key was written.
    Put {
        /// Name of the key.
        key: String,
        /// New value and its revision.
        stored: StoredValue,
    },
    /// The key was deleted.
    Deleted {
        /// Name of the key.
        key: String,
        /// Store-wide revision of the deletion.
        revision: u64,
    },
}

impl WatchEvent {
    /// Name of the key.
    #[must_use]
    pub fn key(&self) -> &str {
        match self {
            Self::Put { key, .. } | Self::Deleted { key, .. } => key,
        }
    }
}

/// The changes that a watch returned.
#[derives::value]
pub struct WatchReport {
    /// Position from which to continue the watch.
    pub position: StorePosition,
    /// The changes, oldest first.
    pub events: Vec<WatchEvent>,
}

/// Kind of a listed instance.
#[derives::tag]
pub enum InstanceKind {
    /// An entry instance.
    Entry,
    /// An endpoint.
    Endpoint,
}

/// State of an instance in the platform's list, which lags behind the actual state.
#[derives::tag]
pub enum InstanceState {
    /// The instance is running.
    Live,
    /// The instance is leaving.
    Leaving,
}

/// One entry of the platform's instance list.
#[derives::value]
pub struct ListedInstance {
    /// Name of the instance.
    pub name: String,
    /// Whether it is an entry instance or an endpoint.
    pub kind: InstanceKind,
    /// Failure domain of the instance.
    pub failure_domain: String,
    /// Address as `IP:PORT`; for an entry instance the address of its peer listener.
    pub address: String,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// State of the instance according to the list.
    pub state: InstanceState,
}

/// Client for the platform's key-value service and instance list.
pub trait KeyValue {
    /// Reads a key; `None` if it is absent.
    fn get<'a>(&'a self, key: &'a str) -> PlatformFuture<'a, Option<StoredValue>>;

    /// Writes a key if it is at revision `expected`, where zero stands for an absent key. With a
    /// lease, the key is deleted when the lease expires.
    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        value: &'a str,
        expected: u64,
        lease: Option<LeaseId>,
    ) -> PlatformFuture<'a, CasOutcome>;

    /// Deletes a key if it is at revision `expected`.
    fn delete<'a>(&'a self, key: &'a str, expected: u64) -> PlatformFuture<'a, CasOutcome>;

    /// Lists at most `limit` keys that begin with `prefix`, in the order of the keys.
    fn list<'a>(&'a self, prefix: &'a str, limit: usize) -> PlatformFuture<'a, Vec<StoredKey>>;

    /// Acquires a lease with a time to live of `ttl` milliseconds.
    fn grant_lease(&self, ttl: u64) -> PlatformFuture<'_, LeaseId>;

    /// Renews a lease, or reports that it has expired.
    fn renew_lease(&self, lease: LeaseId) -> PlatformFuture<'_, LeaseState>;

    /// Waits up to `wait` milliseconds for changes after a position to keys that begin with `prefix`.
    /// From [`StorePosition::START`] it returns the present content at once.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: StorePosition,
        wait: u64,
    ) -> PlatformFuture<'a, WatchReport>;

    /// Reads the present content of the keys that sort after `after`.
    fn read_after<'a>(&'a self, after: &'a str) -> PlatformFuture<'a, WatchReport> {
        async move {
            let mut report = self.watch("", StorePosition::START, 0).await?;
            report.events.retain(|event| event.key() > after);
            Ok(report)
        }
        .boxed_local()
    }

    /// Reads the instance list.
    fn instances(&self) -> PlatformFuture<'_, Vec<ListedInstance>>;
}

/// Result of renewing a lease.
#[derives::tag]
pub enum LeaseState {
    /// The lease was renewed.
    Renewed,
    /// The lease has expired.
    Expired,
}
