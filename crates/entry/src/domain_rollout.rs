//! Rolls out configuration changes to all instances and collects their confirmations.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use futures::future::join_all;
use operator::{ChangeReport, DocumentChange, HistoryRow, OperatorError};
use platform::{CasOutcome, InstanceKind, StoredValue};
use policy::ids::{DomainId, InstanceId, Millis, OwnerId};
use policy::member::{MemberStatus, MemberUpdate};
use policy::rollout::{DomainReport, RolloutStatus, rollout_status};
use policy::template::ConfigDocument;

use crate::configuration::{StoredDocument, read_document};
use crate::control::Control;

/// How long a key is read back to resolve a write whose answer was lost, in milliseconds.
const WRITE_CHECK_TIMEOUT: Millis = 2_000;

/// Delay between reads that resolve a lost answer, in milliseconds.
const WRITE_CHECK_DELAY: Millis = 50;

/// Outcome of a compare-and-swap write, with the written or the conflicting revision.
enum WriteOutcome {
    Written(u64),
    Conflict(u64),
    Undetermined,
}

impl Control {
    /// Writes an operator's change with one compare-and-swap, then rolls it out.
    pub(crate) async fn change(
        self: &Rc<Self>,
        request: DocumentChange,
    ) -> Result<ChangeReport, OperatorError> {
        let present = self.read_key(&request.key).await?;
        let revision = present.as_ref().map_or(0, |stored| stored.revision);
        if request
            .if_version
            .is_some_and(|version| version != revision)
        {
            return Err(OperatorError::Conflict(revision));
        }
        let change = format!("{:032x}", self.tables.clock_and_ids.unique_id());
        let earlier = present
            .and_then(|stored| serde_json::from_str::<StoredDocument>(&stored.value).ok())
            .map(StoredDocument::into_history)
            .unwrap_or_default();
        let stored = StoredDocument {
            change: change.clone(),
            author: request.author,
            written_ms: self.tables.clock_and_ids.unix_millis(),
            body: request.body.clone(),
            earlier,
        };
        let version = match self.write_key(&request.key, &stored, revision).await {
            WriteOutcome::Written(version) => version,
            WriteOutcome::Conflict(version) => return Err(OperatorError::Conflict(version)),
            WriteOutcome::Undetermined => return Err(OperatorError::Uncertain),
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

    async fn read_key(&self, key: &str) -> Result<Option<StoredValue>, OperatorError> {
        self.tables.metrics.platform_calls.inc();
        self.ports.platform.get(key).await.map_err(|_| {
            self.tables.metrics.platform_faults.inc();
            OperatorError::PlatformDown
        })
    }

    /// Writes a key once. If the answer is lost, reads the key back and compares its change id.
    async fn write_key(&self, key: &str, stored: &StoredDocument, expected: u64) -> WriteOutcome {
        let Ok(value) = serde_json::to_string(stored) else {
            return WriteOutcome::Undetermined;
        };
        self.tables.metrics.platform_calls.inc();
        let swap = self
            .ports
            .platform
            .compare_and_swap(key, &value, expected, None);
        match swap.await {
            Ok(CasOutcome::Written(version)) => return WriteOutcome::Written(version),
            Ok(CasOutcome::Conflict(version)) => return WriteOutcome::Conflict(version),
            Err(_) => self.tables.metrics.platform_faults.inc(),
        }
        let end = self.tables.now() + WRITE_CHECK_TIMEOUT;
        while self.tables.now() < end {
            if let Ok(present) = self.read_key(key).await
                && let Some(outcome) = resolve_write(present, &stored.change, expected)
            {
                return outcome;
            }
            self.tables.timer.after(WRITE_CHECK_DELAY).wait().await;
        }
        WriteOutcome::Undetermined
    }

    /// Rolls documents out to every failure domain and combines their reports.
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
                let report = self.roll_out_remote(&addresses, version, documents).await;
                (DomainId::new(&domain.name), report)
            }
        });
        let local = self.roll_out_domain(version, &documents);
        let (here, elsewhere) = futures::join!(local, join_all(remote));
        let mut reports: BTreeMap<DomainId, DomainReport> = elsewhere.into_iter().collect();
        reports.insert(own, here);
        rollout_status(&domains, &reports)
    }

    fn domain(&self) -> DomainId {
        self.tables.domain()
    }

    /// Requests the rollout in another failure domain, from the first of its instances that
    /// answers.
    async fn roll_out_remote(
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

    /// Rolls documents out to all instances of this failure domain.
    ///
    /// Instances that only another member knows are asked too, so that an instance that has just
    /// joined is not missed.
    pub(crate) async fn roll_out_domain(
        self: &Rc<Self>,
        version: u64,
        documents: &[ConfigDocument],
    ) -> DomainReport {
        self.apply_documents(documents);
        let local_instance = self.tables.local_owner().instance;
        let mut confirmed = BTreeSet::new();
        if self.tables.config.read().version() >= version {
            confirmed.insert(local_instance.clone());
        }
        let mut missing = BTreeSet::new();
        let mut asked = BTreeSet::from([local_instance]);
        let listed = self.listed_targets().await;
        let is_listed = listed.is_some();
        let mut next = self.rollout_targets(listed.unwrap_or_default());
        while !next.is_empty() {
            asked.extend(next.iter().map(|(instance, _)| instance.clone()));
            let mut newly_known: BTreeMap<InstanceId, String> = BTreeMap::new();
            for (instance, answer) in self.apply_on(&next, documents).await {
                match answer {
                    Some((reached, members)) if reached >= version => {
                        confirmed.insert(instance);
                        newly_known.extend(present_addresses(&members));
                    }
                    _ => {
                        missing.insert(instance);
                    }
                }
            }
            newly_known.retain(|instance, _| !asked.contains(instance));
            next = newly_known.into_iter().collect();
        }
        self.remove_departed(&mut missing);
        if missing.is_empty() && !is_listed {
            return DomainReport::Unlisted;
        }
        DomainReport::Heard { confirmed, missing }
    }

    async fn apply_on(
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

    /// Returns the instances in the platform's list and the registrations, or `None` if either
    /// cannot be read.
    ///
    /// Invariant: an instance registers before it reads the configuration from the platform, and
    /// registrations are read after the configuration was written. So either the instance reads
    /// the change or the rollout asks the instance.
    async fn listed_targets(&self) -> Option<Vec<(OwnerId, String)>> {
        let (instances, registered) =
            futures::join!(self.list_domain_instances(), self.registrations());
        let instances = instances?.into_iter();
        let entries = instances.filter(|instance| instance.kind == InstanceKind::Entry);
        let mut targets: Vec<(OwnerId, String)> = entries
            .map(|instance| {
                let owner = OwnerId::new(InstanceId::new(instance.name), instance.incarnation);
                (owner, instance.address)
            })
            .collect();
        targets.extend(registered?);
        Some(targets)
    }

    /// Returns all other instances that may be live: listed instances that have not left the
    /// membership, and members that are alive or suspected.
    fn rollout_targets(&self, listed: Vec<(OwnerId, String)>) -> Vec<(InstanceId, String)> {
        let listed = listed
            .into_iter()
            .filter(|(owner, _)| !self.has_left(owner));
        let mut targets: BTreeMap<InstanceId, String> = listed
            .map(|(owner, address)| (owner.instance, address))
            .collect();
        targets.extend(self.tables.other_addresses());
        targets.remove(&self.tables.local_owner().instance);
        targets.into_iter().collect()
    }

    fn has_left(&self, owner: &OwnerId) -> bool {
        let members = self.tables.members.lock();
        members.member(&owner.instance).is_some_and(|update| {
            update.status == MemberStatus::Left && update.owner.incarnation >= owner.incarnation
        })
    }

    /// Removes instances that left the membership while they were being asked.
    fn remove_departed(&self, missing: &mut BTreeSet<InstanceId>) {
        let members = self.tables.members.lock();
        missing.retain(|instance| {
            let known = members.member(instance);
            known.is_none_or(|update| update.status != MemberStatus::Left)
        });
    }

    /// Repeats the rollout of a version to find out whether it is in force everywhere.
    ///
    /// The platform is read first, because this instance may have newer documents but lack the one
    /// in question. All documents written since are sent as well, because a newer version of the
    /// same document supersedes the older one.
    pub(crate) async fn repeat_rollout(
        self: &Rc<Self>,
        version: u64,
    ) -> Result<RolloutStatus, OperatorError> {
        if self.read_changes(0).await.is_none() {
            return Err(OperatorError::PlatformDown);
        }
        let documents = {
            let config = self.tables.config.read();
            config.since(version.saturating_sub(1))
        };
        if documents.is_empty() {
            return Err(OperatorError::Unknown);
        }
        Ok(self.roll_out(version, documents).await)
    }

    /// Returns a document's stored versions, newest first.
    pub(crate) async fn history(&self, key: &str) -> Result<Vec<HistoryRow>, OperatorError> {
        let stored = self.read_key(key).await?.ok_or(OperatorError::Unknown)?;
        let document: StoredDocument =
            serde_json::from_str(&stored.value).map_err(|_| OperatorError::Unknown)?;
        let rows = document.into_history();
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

/// Determines from a key that was read back what became of the write with this change id, made
/// against revision `expected`; `None` if the write may still be in flight.
fn resolve_write(
    present: Option<StoredValue>,
    change: &str,
    expected: u64,
) -> Option<WriteOutcome> {
    let Some(stored) = present else {
        return (expected != 0).then_some(WriteOutcome::Conflict(0));
    };
    let document = read_document("", &stored)?;
    if document.change == change {
        return Some(WriteOutcome::Written(stored.revision));
    }
    if stored.revision != expected {
        return Some(WriteOutcome::Conflict(stored.revision));
    }
    // The write may still be in flight.
    None
}

fn present_addresses(members: &[MemberUpdate]) -> impl Iterator<Item = (InstanceId, String)> {
    members
        .iter()
        .filter(|update| update.status <= MemberStatus::Suspect)
        .map(|update| (update.owner.instance.clone(), update.address.clone()))
}
