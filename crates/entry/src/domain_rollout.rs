//! Puts a configuration change in force everywhere, and finds out whether it is.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use futures::future::join_all;
use operator::{ChangeReport, ChangeRequest, HistoryRow, OperatorFault};
use platform::{CasVerdict, InstanceKind, StoredValue};
use policy::ids::{DomainId, InstanceId, Millis, OwnerId};
use policy::member::{MemberStatus, MemberUpdate};
use policy::rollout::{DomainReport, RolloutStatus, rollout_status};
use policy::template::ConfigDocument;

use crate::configuration::{StoredDocument, read_document};
use crate::control::Control;

/// How long a write whose answer was lost is looked for, in milliseconds.
const SETTLE_TIME: Millis = 2_000;

/// Between two tries to settle a write, in milliseconds.
const SETTLE_PAUSE: Millis = 50;

/// What became of a write.
enum WriteVerdict {
    Written(u64),
    Conflict(u64),
    Unsettled,
}

impl Control {
    /// Writes an operator's change with one compare-and-swap, then rolls it out.
    pub(crate) async fn change(
        self: &Rc<Self>,
        request: ChangeRequest,
    ) -> Result<ChangeReport, OperatorFault> {
        let present = self.read_key(&request.key).await?;
        let revision = present.as_ref().map_or(0, |stored| stored.revision);
        if request
            .if_version
            .is_some_and(|version| version != revision)
        {
            return Err(OperatorFault::Conflict(revision));
        }
        let change = format!("{:032x}", self.tables.identity.unique_id());
        let earlier = present
            .and_then(|stored| serde_json::from_str::<StoredDocument>(&stored.value).ok())
            .map(StoredDocument::into_earlier)
            .unwrap_or_default();
        let stored = StoredDocument {
            change: change.clone(),
            author: request.author,
            written_ms: self.tables.identity.unix_millis(),
            body: request.body.clone(),
            earlier,
        };
        let version = match self.write_key(&request.key, &stored, revision).await {
            WriteVerdict::Written(version) => version,
            WriteVerdict::Conflict(version) => return Err(OperatorFault::Conflict(version)),
            WriteVerdict::Unsettled => return Err(OperatorFault::Uncertain),
        };
        let document = ConfigDocument {
            key: request.key,
            version,
            change,
            body: request.body,
        };
        let rollout = self.roll_out(version, vec![document]).await;
        Ok(ChangeReport { version, rollout })
    }

    async fn read_key(&self, key: &str) -> Result<Option<StoredValue>, OperatorFault> {
        self.tables.metrics.platform_calls.inc();
        self.ports.platform.get(key).await.map_err(|_| {
            self.tables.metrics.platform_faults.inc();
            OperatorFault::PlatformDown
        })
    }

    /// Writes a key once; an answer that was lost is settled by reading the change id back.
    async fn write_key(&self, key: &str, stored: &StoredDocument, expected: u64) -> WriteVerdict {
        let Ok(value) = serde_json::to_string(stored) else {
            return WriteVerdict::Unsettled;
        };
        self.tables.metrics.platform_calls.inc();
        let swap = self
            .ports
            .platform
            .compare_and_swap(key, &value, expected, None);
        match swap.await {
            Ok(CasVerdict::Written(version)) => return WriteVerdict::Written(version),
            Ok(CasVerdict::Conflict(version)) => return WriteVerdict::Conflict(version),
            Err(_) => self.tables.metrics.platform_faults.inc(),
        }
        let end = self.tables.now() + SETTLE_TIME;
        while self.tables.now() < end {
            if let Ok(present) = self.read_key(key).await
                && let Some(verdict) = settle(present, &stored.change, expected)
            {
                return verdict;
            }
            self.tables.timer.after(SETTLE_PAUSE).wait().await;
        }
        WriteVerdict::Unsettled
    }

    /// Puts documents in force in every failure domain and weighs what they report.
    pub(crate) async fn roll_out(
        self: &Rc<Self>,
        version: u64,
        documents: Vec<ConfigDocument>,
    ) -> RolloutStatus {
        let own = self.domain();
        let others = &self.tables.settings.other_domains;
        let mut domains: BTreeSet<DomainId> = BTreeSet::from([own.clone()]);
        domains.extend(others.iter().map(|domain| DomainId::new(&domain.name)));
        let remote = others.iter().map(|domain| {
            let addresses: Vec<String> = domain.peers.iter().map(ToString::to_string).collect();
            let documents = &documents;
            async move {
                let report = self.roll_out_at(&addresses, version, documents).await;
                (DomainId::new(&domain.name), report)
            }
        });
        let local = self.roll_out_here(version, &documents);
        let (here, elsewhere) = futures::join!(local, join_all(remote));
        let mut reports: BTreeMap<DomainId, DomainReport> = elsewhere.into_iter().collect();
        reports.insert(own, here);
        rollout_status(&domains, &reports)
    }

    fn domain(&self) -> DomainId {
        self.tables.domain()
    }

    /// Has another failure domain roll out, by the first of its instances that answers.
    async fn roll_out_at(
        &self,
        addresses: &[String],
        version: u64,
        documents: &[ConfigDocument],
    ) -> DomainReport {
        for address in addresses {
            self.tables.metrics.peer_messages.inc();
            if let Ok(report) = self.ports.peers.rollout(address, version, documents).await {
                return report;
            }
        }
        DomainReport::Unreachable
    }

    /// Puts documents in force in this failure domain.
    ///
    /// Instances that a member knows and this instance does not are asked too, so that one which
    /// has just joined is not missed.
    pub(crate) async fn roll_out_here(
        self: &Rc<Self>,
        version: u64,
        documents: &[ConfigDocument],
    ) -> DomainReport {
        self.apply_documents(documents);
        let me = self.tables.me().instance;
        let mut confirmed = BTreeSet::new();
        if self.tables.config.read().version() >= version {
            confirmed.insert(me.clone());
        }
        let mut missing = BTreeSet::new();
        let mut asked = BTreeSet::from([me]);
        let listed = self.listed_targets().await;
        let is_listed = listed.is_some();
        let mut next = self.rollout_targets(listed.unwrap_or_default());
        while !next.is_empty() {
            asked.extend(next.iter().map(|(instance, _)| instance.clone()));
            let mut found: BTreeMap<InstanceId, String> = BTreeMap::new();
            for (instance, answer) in self.apply_at(&next, documents).await {
                match answer {
                    Some((reached, members)) if reached >= version => {
                        confirmed.insert(instance);
                        found.extend(present_addresses(&members));
                    }
                    _ => {
                        missing.insert(instance);
                    }
                }
            }
            found.retain(|instance, _| !asked.contains(instance));
            next = found.into_iter().collect();
        }
        self.forget_departed(&mut missing);
        if missing.is_empty() && !is_listed {
            return DomainReport::Unlisted;
        }
        DomainReport::Heard { confirmed, missing }
    }

    async fn apply_at(
        &self,
        targets: &[(InstanceId, String)],
        documents: &[ConfigDocument],
    ) -> Vec<(InstanceId, Option<(u64, Vec<MemberUpdate>)>)> {
        let calls = targets.iter().map(|(instance, address)| {
            self.tables.metrics.peer_messages.inc();
            let call = self.ports.peers.apply(address, documents);
            async move {
                let answer = call.await.ok();
                let answer = answer.map(|report| (report.version, report.members));
                (instance.clone(), answer)
            }
        });
        join_all(calls).await
    }

    /// Whoever the platform's list or a registration shows; none where it cannot be asked.
    ///
    /// Invariant: an instance registers before it reads the configuration from the platform, and
    /// registrations are read after the configuration was written. So either the instance reads
    /// the change or the rollout asks the instance.
    async fn listed_targets(&self) -> Option<Vec<(OwnerId, String)>> {
        let (rows, registered) = futures::join!(self.domain_rows(), self.registrations());
        let rows = rows?.into_iter();
        let entries = rows.filter(|row| row.kind == InstanceKind::Entry);
        let mut targets: Vec<(OwnerId, String)> = entries
            .map(|row| {
                let owner = OwnerId::new(InstanceId::new(row.name), row.incarnation);
                (owner, row.address)
            })
            .collect();
        targets.extend(registered?);
        Some(targets)
    }

    /// Everyone who may be live: those listed that have not said goodbye, and the members that
    /// are not known to be dead.
    fn rollout_targets(&self, listed: Vec<(OwnerId, String)>) -> Vec<(InstanceId, String)> {
        let listed = listed
            .into_iter()
            .filter(|(owner, _)| !self.has_left(owner));
        let mut targets: BTreeMap<InstanceId, String> = listed
            .map(|(owner, address)| (owner.instance, address))
            .collect();
        targets.extend(self.tables.other_addresses());
        targets.remove(&self.tables.me().instance);
        targets.into_iter().collect()
    }

    fn has_left(&self, owner: &OwnerId) -> bool {
        let members = self.tables.members.lock();
        members.member(&owner.instance).is_some_and(|update| {
            update.status == MemberStatus::Left && update.owner.incarnation >= owner.incarnation
        })
    }

    /// An instance that said goodbye while it was being asked is not live.
    fn forget_departed(&self, missing: &mut BTreeSet<InstanceId>) {
        let members = self.tables.members.lock();
        missing.retain(|instance| {
            let known = members.member(instance);
            known.is_none_or(|update| update.status != MemberStatus::Left)
        });
    }

    /// Asks again whether a version is in force everywhere.
    ///
    /// The platform is read first: this instance may have newer documents and lack the one in
    /// question. Whatever was written since is sent along, since a newer version of the same
    /// document puts the older one out of force.
    pub(crate) async fn ask_rollout(
        self: &Rc<Self>,
        version: u64,
    ) -> Result<RolloutStatus, OperatorFault> {
        if self.read_changes(0).await.is_none() {
            return Err(OperatorFault::PlatformDown);
        }
        let documents = {
            let config = self.tables.config.read();
            config.since(version.saturating_sub(1))
        };
        if documents.is_empty() {
            return Err(OperatorFault::Unknown);
        }
        Ok(self.roll_out(version, documents).await)
    }

    /// A document's versions, the newest first.
    pub(crate) async fn history(&self, key: &str) -> Result<Vec<HistoryRow>, OperatorFault> {
        let stored = self.read_key(key).await?.ok_or(OperatorFault::Unknown)?;
        let document: StoredDocument =
            serde_json::from_str(&stored.value).map_err(|_| OperatorFault::Unknown)?;
        let rows = document.into_earlier();
        Ok(rows
            .into_iter()
            .map(|row| HistoryRow {
                change: row.change,
                author: row.author,
                written_ms: row.written_ms,
                body: row.body,
            })
            .collect())
    }
}

/// What a key that was read back tells of a write with this change id.
fn settle(present: Option<StoredValue>, change: &str, expected: u64) -> Option<WriteVerdict> {
    let Some(stored) = present else {
        return (expected != 0).then_some(WriteVerdict::Conflict(0));
    };
    let document = read_document("", &stored)?;
    if document.change == change {
        return Some(WriteVerdict::Written(stored.revision));
    }
    if stored.revision != expected {
        return Some(WriteVerdict::Conflict(stored.revision));
    }
    // The write may still be on its way.
    None
}

fn present_addresses(members: &[MemberUpdate]) -> impl Iterator<Item = (InstanceId, String)> {
    members
        .iter()
        .filter(|update| update.status <= MemberStatus::Suspect)
        .map(|update| (update.owner.instance.clone(), update.address.clone()))
}
