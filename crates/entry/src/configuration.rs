//! The operators' configuration: a few readers per failure domain watch it on the platform and
//! forward it to their peers.

use std::rc::Rc;

use futures::future::join_all;
use platform::{StoredValue, WatchEvent};
use policy::ids::{Incarnation, InstanceId, Millis, PoolId};
use policy::leaving::TableChange;
use policy::steward::steward_of;
use policy::store_position::StorePosition;
use policy::template::{CONFIG_PREFIX, ConfigBody, ConfigDocument};

use crate::control::Control;
use crate::tables::LifecyclePhase;

/// Longest time that a watch waits for a change, in milliseconds.
const WATCH_WAIT: Millis = 25_000;

/// Interval between checks of whether this instance is a reader of its domain, and delay after a
/// failed read, in milliseconds.
const READER_CHECK_PERIOD: Millis = 1_000;

/// Delay between attempts to confirm the configuration, in milliseconds.
const CONFIRM_RETRY_DELAY: Millis = 200;

/// Number of earlier versions stored with a document.
const HISTORY_LENGTH: usize = 10;

/// Rendezvous hashing keys by which the readers of a failure domain are chosen among its members.
const READER_ROLES: [&str; 2] = ["config-reader-1", "config-reader-2"];

/// Stored value of a configuration key in the key-value service.
#[derives::wire]
pub(crate) struct StoredDocument {
    pub(crate) change: String,
    pub(crate) author: String,
    pub(crate) written_ms: u64,
    pub(crate) body: ConfigBody,
    /// Earlier versions, newest first.
    #[serde(default)]
    pub(crate) earlier: Vec<EarlierDocument>,
}

/// An earlier version of a document.
#[derives::wire]
pub(crate) struct EarlierDocument {
    pub(crate) change: String,
    pub(crate) author: String,
    pub(crate) written_ms: u64,
    pub(crate) body: ConfigBody,
}

impl StoredDocument {
    /// Returns the history to store with the next version: this version, then its predecessors,
    /// truncated to [`HISTORY_LENGTH`].
    pub(crate) fn into_history(self) -> Vec<EarlierDocument> {
        let mut earlier = self.earlier;
        earlier.insert(
            0,
            EarlierDocument {
                change: self.change,
                author: self.author,
                written_ms: self.written_ms,
                body: self.body,
            },
        );
        earlier.truncate(HISTORY_LENGTH);
        earlier
    }
}

/// Parses the stored value of a configuration key; `None` if it is not a valid document.
pub(crate) fn read_document(key: &str, stored: &StoredValue) -> Option<ConfigDocument> {
    let document: StoredDocument = serde_json::from_str(&stored.value).ok()?;
    Some(ConfigDocument {
        key: key.to_owned(),
        version: stored.revision,
        change: document.change,
        body: document.body,
    })
}

impl Control {
    /// Applies documents to this instance's configuration. Older versions change nothing.
    pub(crate) fn apply_documents(&self, documents: &[ConfigDocument]) -> TableChange {
        let mut config = self.tables.config.write();
        let mut change = TableChange::Unchanged;
        for document in documents {
            if config.apply(document) == TableChange::Changed {
                change = TableChange::Changed;
            }
        }
        let version = i64::try_from(config.version()).unwrap_or(i64::MAX);
        self.tables.metrics.config_version.set(version);
        change
    }

    /// Watches the configuration on the platform while this instance is one of its domain's
    /// readers.
    pub(crate) async fn run_config_reader(self: Rc<Self>) {
        let mut revision = 0;
        loop {
            if !self.is_domain_reader() {
                revision = 0;
                self.tables.timer.after(READER_CHECK_PERIOD).wait().await;
                continue;
            }
            match self.read_changes(revision).await {
                Some(next) => revision = next,
                None => self.tables.timer.after(READER_CHECK_PERIOD).wait().await,
            }
        }
    }

    /// Whether this instance is one of the readers that watch the platform for their failure
    /// domain.
    pub(crate) fn is_domain_reader(&self) -> bool {
        let members = self.tables.members.lock();
        let local_instance = &members.local().instance;
        READER_ROLES
            .iter()
            .any(|role| steward_of(&PoolId::new(*role), members.alive()) == Some(local_instance))
    }

    /// Waits for changes after `revision`, applies them and forwards them to the peers. Returns the
    /// revision to continue from, or `None` if the platform did not answer.
    pub(crate) async fn read_changes(self: &Rc<Self>, revision: u64) -> Option<u64> {
        self.tables.metrics.platform_calls.inc();
        let watch = self.ports.platform.watch(
            CONFIG_PREFIX,
            StorePosition::without_era(revision),
            WATCH_WAIT,
        );
        let Ok(report) = watch.await else {
            self.tables.metrics.platform_faults.inc();
            return None;
        };
        let documents: Vec<ConfigDocument> = report
            .events
            .iter()
            .filter_map(|event| match event {
                WatchEvent::Put { key, stored } => read_document(key, stored),
                WatchEvent::Deleted { key, revision } => Some(ConfigDocument {
                    key: key.clone(),
                    version: *revision,
                    change: String::new(),
                    body: ConfigBody::Deleted,
                }),
            })
            .collect();
        if self.apply_documents(&documents) == TableChange::Changed {
            self.push_documents(&documents).await;
        }
        Some(report.position.revision.max(1))
    }

    /// Sends documents to the other members of the failure domain, which apply them.
    async fn push_documents(&self, documents: &[ConfigDocument]) {
        let others = self.tables.other_addresses();
        let pushes = others.iter().map(|(_, address)| {
            self.tables.metrics.peer_messages.inc();
            self.ports.peers.apply(address, documents)
        });
        // An instance that misses a push notices the different digest at its next probe.
        join_all(pushes).await;
    }

    /// Fetches and applies all documents of the instance at `address`.
    pub(crate) async fn fetch_documents(&self, address: &str) -> FetchOutcome {
        self.tables.metrics.peer_messages.inc();
        let Ok(batch) = self.ports.peers.documents(address, 0).await else {
            return FetchOutcome::NoAnswer;
        };
        self.apply_documents(&batch.documents);
        FetchOutcome::Fetched
    }

    /// Confirms the configuration with a peer or the platform, then admits requests.
    ///
    /// Invariant: no request is admitted before a source other than this instance's own memory has
    /// confirmed the configuration since the start or the last pause.
    pub(crate) async fn confirm_configuration(self: Rc<Self>) {
        loop {
            let (with_peers, with_platform) =
                futures::join!(self.confirm_with_peers(), self.confirm_with_platform());
            let is_confirmed =
                with_peers == FetchOutcome::Fetched || with_platform == FetchOutcome::Fetched;
            if is_confirmed {
                self.tables.set_confirmed(true);
                self.tables.enter_phase(LifecyclePhase::Serving);
                let version = self.tables.config.read().version();
                spdlog::info!("configuration confirmed at version {version}");
                return;
            }
            self.tables.timer.after(CONFIRM_RETRY_DELAY).wait().await;
        }
    }

    /// Fetches documents from every other member. A member that has just started itself may answer
    /// without documents, so an answer counts only if this instance then has a configuration.
    async fn confirm_with_peers(&self) -> FetchOutcome {
        let others: Vec<(InstanceId, String)> = self.tables.other_addresses();
        let fetches = others
            .iter()
            .map(|(_, address)| self.fetch_documents(address));
        let outcomes = join_all(fetches).await;
        let has_answer = outcomes.contains(&FetchOutcome::Fetched);
        if has_answer && self.tables.config.read().version() > 0 {
            return FetchOutcome::Fetched;
        }
        FetchOutcome::NoAnswer
    }

    async fn confirm_with_platform(self: &Rc<Self>) -> FetchOutcome {
        if self.register().await == FetchOutcome::NoAnswer {
            return FetchOutcome::NoAnswer;
        }
        match self.read_changes(0).await {
            Some(_) => FetchOutcome::Fetched,
            None => FetchOutcome::NoAnswer,
        }
    }

    /// Joins the failure domain, confirms the configuration and then keeps it up to date.
    pub(crate) async fn run_configuration(self: Rc<Self>) {
        // Other members must know this instance before it asks them for the configuration, so that
        // no rollout is accepted without asking this instance.
        self.join().await;
        self.clone().confirm_configuration().await;
        self.spawn(self.clone().run_joining());
        self.spawn(self.clone().run_config_reader());
        self.spawn(self.clone().run_announcement_reader());
        self.spawn(self.clone().run_list_reader());
        self.spawn(self.clone().run_claim_sweeper());
    }

    /// Periodically applies what the platform's list says about leaving instances and new
    /// incarnations, while this instance is one of its domain's readers.
    pub(crate) async fn run_list_reader(self: Rc<Self>) {
        loop {
            self.tables.timer.after(LIST_READ_PERIOD).wait().await;
            if self.is_domain_reader() {
                let instances = self.list_domain_instances().await;
                self.apply_listed_instances(&instances.unwrap_or_default())
                    .await;
            }
        }
    }

    /// Returns the incarnation of an endpoint from the platform's list, 0 if it was never listed.
    pub(crate) fn endpoint_incarnation(&self, endpoint: &policy::ids::EndpointId) -> Incarnation {
        let listed = self.tables.listed_incarnations.lock();
        listed.get(endpoint).copied().unwrap_or_default()
    }
}

/// Interval between reads of the platform's list, in milliseconds.
const LIST_READ_PERIOD: Millis = 2_000;

/// Result of contacting a source of the configuration.
#[derives::tag]
pub(crate) enum FetchOutcome {
    /// The source answered.
    Fetched,
    /// The source did not answer.
    NoAnswer,
}
