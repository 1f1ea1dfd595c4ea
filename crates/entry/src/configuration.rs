//! The operators' configuration: read from the platform by a few, passed on by peers to all.

use std::rc::Rc;

use futures::future::join_all;
use platform::{StoredValue, WatchEvent};
use policy::ids::{Incarnation, InstanceId, Millis, PoolId};
use policy::leaving::TableChange;
use policy::steward::steward_of;
use policy::template::{CONFIG_PREFIX, ConfigBody, ConfigDocument};

use crate::control::Control;
use crate::tables::LifePhase;

/// How long a watch may wait for a change, in milliseconds.
const WATCH_WAIT: Millis = 25_000;

/// Between two looks whether this instance is to read the platform, in milliseconds.
const READER_CHECK: Millis = 1_000;

/// Between two tries to confirm the configuration, in milliseconds.
const CONFIRM_RETRY: Millis = 200;

/// Earlier versions that a document's value keeps for its history.
const HISTORY_KEPT: usize = 10;

/// Names under which the readers of a failure domain are chosen.
const READER_ROLES: [&str; 2] = ["config-reader-1", "config-reader-2"];

/// The value of a configuration key in the key-value service.
#[derives::wire]
pub(crate) struct StoredDocument {
    pub(crate) change: String,
    pub(crate) author: String,
    pub(crate) written_ms: u64,
    pub(crate) body: ConfigBody,
    /// Earlier versions, the newest first.
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
    /// The next version of a document whose present version is `self`.
    pub(crate) fn into_earlier(self) -> Vec<EarlierDocument> {
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
        earlier.truncate(HISTORY_KEPT);
        earlier
    }
}

/// Reads a configuration key's value; none for one that cannot be read.
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
    /// Puts documents in force here. Older versions change nothing.
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

    /// Watches the platform while this instance is one of its domain's readers.
    pub(crate) async fn run_config_reader(self: Rc<Self>) {
        let mut revision = 0;
        loop {
            if !self.is_reader() {
                revision = 0;
                self.tables.timer.after(READER_CHECK).wait().await;
                continue;
            }
            match self.read_changes(revision).await {
                Some(next) => revision = next,
                None => self.tables.timer.after(READER_CHECK).wait().await,
            }
        }
    }

    /// Whether this instance reads the platform for its failure domain.
    pub(crate) fn is_reader(&self) -> bool {
        let members = self.tables.members.lock();
        let me = &members.local().instance;
        READER_ROLES
            .iter()
            .any(|role| steward_of(&PoolId::new(*role), members.alive()) == Some(me))
    }

    /// Waits for changes after `revision` and passes them on; gives the revision to go on from.
    pub(crate) async fn read_changes(self: &Rc<Self>, revision: u64) -> Option<u64> {
        self.tables.metrics.platform_calls.inc();
        let watch = self
            .ports
            .platform
            .watch(CONFIG_PREFIX, revision, WATCH_WAIT);
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
        Some(report.revision.max(1))
    }

    /// Has the other members of the failure domain put documents in force.
    async fn push_documents(&self, documents: &[ConfigDocument]) {
        let others = self.tables.other_addresses();
        let pushes = others.iter().map(|(_, address)| {
            self.tables.metrics.peer_messages.inc();
            self.ports.peers.apply(address, documents)
        });
        // An instance that misses a push sees another digest at the next probe.
        join_all(pushes).await;
    }

    /// Fetches the documents that the instance at `address` has and this one may not have.
    pub(crate) async fn fetch_documents(&self, address: &str) -> FetchVerdict {
        self.tables.metrics.peer_messages.inc();
        let Ok(batch) = self.ports.peers.documents(address, 0).await else {
            return FetchVerdict::NoAnswer;
        };
        self.apply_documents(&batch.documents);
        FetchVerdict::Fetched
    }

    /// Confirms the configuration with a peer or the platform, then lets requests in.
    ///
    /// Invariant: nothing is admitted before a source other than this instance's own memory has
    /// been asked since the start or the last pause.
    pub(crate) async fn confirm_configuration(self: Rc<Self>) {
        loop {
            let (by_peers, by_platform) =
                futures::join!(self.confirm_by_peers(), self.confirm_by_platform());
            let is_confirmed =
                by_peers == FetchVerdict::Fetched || by_platform == FetchVerdict::Fetched;
            if is_confirmed {
                self.tables.set_confirmed(true);
                self.tables.enter_phase(LifePhase::Serving);
                let version = self.tables.config.read().version();
                spdlog::info!("configuration confirmed at version {version}");
                return;
            }
            self.tables.timer.after(CONFIRM_RETRY).wait().await;
        }
    }

    /// Asks every other member; a member that was itself just started counts only if it has a
    /// configuration.
    async fn confirm_by_peers(&self) -> FetchVerdict {
        let others: Vec<(InstanceId, String)> = self.tables.other_addresses();
        let fetches = others
            .iter()
            .map(|(_, address)| self.fetch_documents(address));
        let verdicts = join_all(fetches).await;
        let has_answer = verdicts.contains(&FetchVerdict::Fetched);
        if has_answer && self.tables.config.read().version() > 0 {
            return FetchVerdict::Fetched;
        }
        FetchVerdict::NoAnswer
    }

    async fn confirm_by_platform(self: &Rc<Self>) -> FetchVerdict {
        if self.register().await == FetchVerdict::NoAnswer {
            return FetchVerdict::NoAnswer;
        }
        match self.read_changes(0).await {
            Some(_) => FetchVerdict::Fetched,
            None => FetchVerdict::NoAnswer,
        }
    }

    /// Joins the failure domain, confirms the configuration and then keeps it up to date.
    pub(crate) async fn run_configuration(self: Rc<Self>) {
        // Others must know this instance before it asks them for the configuration, so that no
        // change is accepted without it.
        self.join().await;
        self.clone().confirm_configuration().await;
        self.spawn(self.clone().run_joining());
        self.spawn(self.clone().run_config_reader());
        self.spawn(self.clone().run_announcement_reader());
        self.spawn(self.clone().run_list_reader());
        self.spawn(self.clone().run_claim_sweeper());
    }

    /// Keeps what the platform's list says of leaving instances and of new incarnations.
    pub(crate) async fn run_list_reader(self: Rc<Self>) {
        loop {
            self.tables.timer.after(LIST_PERIOD).wait().await;
            if self.is_reader() {
                let rows = self.domain_rows().await;
                self.take_rows(&rows.unwrap_or_default()).await;
            }
        }
    }

    /// The incarnation of an endpoint, as far as the list has told.
    pub(crate) fn endpoint_incarnation(&self, endpoint: &policy::ids::EndpointId) -> Incarnation {
        let listed = self.tables.listed.lock();
        listed.get(endpoint).copied().unwrap_or_default()
    }
}

/// Between two reads of the platform's list, in milliseconds.
const LIST_PERIOD: Millis = 2_000;

/// Whether a source gave its documents.
#[derives::tag]
pub(crate) enum FetchVerdict {
    /// It did.
    Fetched,
    /// It gave no answer.
    NoAnswer,
}
