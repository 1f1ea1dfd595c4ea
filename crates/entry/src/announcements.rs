//! Announcements that instances and endpoints leave, and crash reports, both spread among peers.
//!
//! An operator's announcement is also written to the key-value service, so that an instance that
//! reaches the platform but not its peers still receives it.

use std::rc::Rc;

use futures::future::join_all;
use operator::{AnnounceReport, AnnounceRequest};
use platform::{CasOutcome, InstanceKind, InstanceState, ListedInstance, WatchEvent};
use policy::ids::{EndpointId, Incarnation, InstanceId, Millis};
use policy::leaving::{
    Announcement, LeavingKind, LeavingStatus, LeavingSubject, LeavingTable, TableChange,
};
use policy::poison::CrashReport;
use policy::store_position::StorePosition;

use crate::control::Control;
use crate::lifecycle::drain_instance;

/// Key prefix of announcements in the key-value service.
const ANNOUNCEMENT_PREFIX: &str = "announcements/";

/// Longest time that a watch waits for an announcement, in milliseconds.
const WATCH_WAIT: Millis = 25_000;

/// Interval between checks of whether this instance is a reader of its domain, and delay after a
/// failed read or write, in milliseconds.
const READER_CHECK_PERIOD: Millis = 1_000;

/// Maximum number of attempts to write an announcement to the key-value service.
const MAX_WRITE_ATTEMPTS: u32 = 3;

fn announcement_key(subject: &LeavingSubject) -> String {
    match subject {
        LeavingSubject::Endpoint(endpoint) => format!("{ANNOUNCEMENT_PREFIX}endpoint/{endpoint}"),
        LeavingSubject::Instance(instance) => format!("{ANNOUNCEMENT_PREFIX}instance/{instance}"),
    }
}

impl Control {
    /// Watches the announcements in the key-value service while this instance is one of its
    /// domain's readers. An instance that is cut off from its peers becomes a reader.
    pub(crate) async fn run_announcement_reader(self: Rc<Self>) {
        let mut revision = 0;
        loop {
            let next = if self.is_domain_reader() {
                self.read_announcements(revision).await
            } else {
                revision = 0;
                None
            };
            match next {
                Some(next) => revision = next,
                None => self.tables.timer.after(READER_CHECK_PERIOD).wait().await,
            }
        }
    }

    async fn read_announcements(self: &Rc<Self>, revision: u64) -> Option<u64> {
        self.tables.metrics.platform_calls.inc();
        let platform = &self.ports.platform;
        let watch = platform.watch(
            ANNOUNCEMENT_PREFIX,
            StorePosition::without_era(revision),
            WATCH_WAIT,
        );
        let Ok(report) = watch.await else {
            self.tables.metrics.platform_faults.inc();
            return None;
        };
        let parse = |event: &WatchEvent| match event {
            WatchEvent::Put { stored, .. } => serde_json::from_str(&stored.value).ok(),
            WatchEvent::Deleted { .. } => None,
        };
        let announcements: Vec<Announcement> = report.events.iter().filter_map(parse).collect();
        if self.record_announcements(&announcements) == TableChange::Changed {
            self.broadcast_announcements().await;
        }
        Some(report.position.revision.max(1))
    }

    /// Writes an announcement to the key-value service, unless the stored one is the same or newer.
    async fn store_announcement(self: Rc<Self>, announcement: Announcement) {
        let key = announcement_key(&announcement.subject);
        let Ok(text) = serde_json::to_string(&announcement) else {
            return;
        };
        for _ in 0..MAX_WRITE_ATTEMPTS {
            self.tables.metrics.platform_calls.inc();
            let platform = &self.ports.platform;
            let Ok(stored) = platform.get(&key).await else {
                self.tables.metrics.platform_faults.inc();
                self.tables.timer.after(READER_CHECK_PERIOD).wait().await;
                continue;
            };
            let known: Option<Announcement> = stored
                .as_ref()
                .and_then(|stored| serde_json::from_str(&stored.value).ok());
            let is_newer = known.is_some_and(|known| {
                (known.incarnation, known.kind) >= (announcement.incarnation, announcement.kind)
            });
            if is_newer {
                return;
            }
            let expected = stored.map_or(0, |stored| stored.revision);
            self.tables.metrics.platform_calls.inc();
            let written = platform.compare_and_swap(&key, &text, expected, None);
            if matches!(written.await, Ok(CasOutcome::Written(_))) {
                return;
            }
        }
        spdlog::warn!("announcement not stored in the key-value service: {key}");
    }

    /// Records announcements and applies those that are new; returns whether there were any.
    pub(crate) fn record_announcements(
        self: &Rc<Self>,
        announcements: &[Announcement],
    ) -> TableChange {
        let mut change = TableChange::Unchanged;
        for announcement in announcements {
            if self.tables.leaving.lock().record(announcement) == TableChange::Unchanged {
                continue;
            }
            change = TableChange::Changed;
            spdlog::info!("recorded announcement: {announcement:?}");
            self.apply_announcement(announcement);
        }
        change
    }

    fn apply_announcement(self: &Rc<Self>, announcement: &Announcement) {
        match &announcement.subject {
            LeavingSubject::Endpoint(endpoint) => self.mark_endpoint_leaving(endpoint),
            LeavingSubject::Instance(instance) => {
                // A process keeps its first incarnation here: if it rejoined after a pause, an
                // announcement made before the pause still covers it.
                let is_local = *instance == self.tables.local_owner().instance;
                if is_local && announcement.incarnation >= self.tables.first_incarnation {
                    self.spawn(drain_instance(self.tables.clone()));
                }
            }
        }
    }

    fn mark_endpoint_leaving(&self, endpoint: &EndpointId) {
        if self.tables.endpoint_leaving_status(endpoint) == LeavingStatus::Open {
            return;
        }
        for pool_state in self.tables.pools.values() {
            pool_state.lock().table.endpoint_leaving(endpoint);
        }
    }

    /// Marks all leaving endpoints in the pool tables, for tables that were just restarted.
    pub(crate) fn mark_leaving_endpoints(&self) {
        let endpoints: Vec<EndpointId> = {
            let leaving = self.tables.leaving.lock();
            leaving.iter().filter_map(announced_endpoint).collect()
        };
        for endpoint in endpoints {
            self.mark_endpoint_leaving(&endpoint);
        }
    }

    /// Returns all known announcements.
    pub(crate) fn announcements(&self) -> Vec<Announcement> {
        let leaving: &LeavingTable = &self.tables.leaving.lock();
        leaving.iter().cloned().collect()
    }

    /// Sends all known announcements to the instance at `address` and records those it knows.
    pub(crate) async fn exchange_announcements(self: &Rc<Self>, address: &str) {
        let ours = self.announcements();
        self.tables.metrics.peer_messages.inc();
        if let Ok(theirs) = self.ports.peers.announce(address, &ours).await {
            self.record_announcements(&theirs);
        }
    }

    /// Records an operator's announcement, stores it and broadcasts it to the failure domain.
    /// Returns `None` if the subject is unknown.
    pub(crate) async fn announce(
        self: &Rc<Self>,
        request: AnnounceRequest,
    ) -> Option<AnnounceReport> {
        let incarnation = self.incarnation_of(&request.subject)?;
        let announcement = Announcement {
            subject: request.subject,
            incarnation,
            kind: request.kind,
        };
        self.record_announcements(std::slice::from_ref(&announcement));
        self.spawn(self.clone().store_announcement(announcement.clone()));
        let mut confirmed = vec![self.tables.settings.instance.clone()];
        let mut missing = Vec::new();
        for (instance, answered) in self.broadcast_announcements().await {
            if answered {
                confirmed.push(instance.to_string());
            } else {
                missing.push(instance.to_string());
            }
        }
        Some(AnnounceReport {
            announcement,
            confirmed,
            missing,
        })
    }

    /// Sends all known announcements to every other member; returns for each whether it answered.
    pub(crate) async fn broadcast_announcements(self: &Rc<Self>) -> Vec<(InstanceId, bool)> {
        let others = self.tables.other_addresses();
        let ours = self.announcements();
        let calls = others.iter().map(|(instance, address)| {
            self.tables.metrics.peer_messages.inc();
            let call = self.ports.peers.announce(address, &ours);
            async move { (instance.clone(), call.await.is_ok()) }
        });
        join_all(calls).await
    }

    /// Returns the subject's incarnation, which an announcement made now covers; `None` for an
    /// unknown subject.
    fn incarnation_of(&self, subject: &LeavingSubject) -> Option<Incarnation> {
        match subject {
            LeavingSubject::Endpoint(endpoint) => {
                let settings = &self.tables.settings;
                let service_endpoints = settings
                    .services
                    .iter()
                    .flat_map(|service| &service.endpoints);
                let is_engine = self.tables.engines.contains_key(endpoint);
                let is_service = service_endpoints
                    .map(|service_endpoint| service_endpoint.name.as_str())
                    .any(|name| name == endpoint.as_str());
                (is_engine || is_service).then(|| self.endpoint_incarnation(endpoint))
            }
            LeavingSubject::Instance(instance) => {
                let members = self.tables.members.lock();
                Some(members.member(instance)?.owner.incarnation)
            }
        }
    }

    /// Applies the platform's list: announces leaving instances, and reopens endpoints that have a
    /// new incarnation.
    pub(crate) async fn apply_listed_instances(self: &Rc<Self>, instances: &[ListedInstance]) {
        let mut announcements = Vec::new();
        for instance in instances {
            let subject = match instance.kind {
                InstanceKind::Endpoint => {
                    self.apply_listed_endpoint(instance);
                    LeavingSubject::Endpoint(EndpointId::new(&instance.name))
                }
                InstanceKind::Entry => LeavingSubject::Instance(InstanceId::new(&instance.name)),
            };
            if instance.state == InstanceState::Leaving {
                announcements.push(Announcement {
                    subject,
                    incarnation: instance.incarnation,
                    kind: LeavingKind::Leave,
                });
            }
        }
        if self.record_announcements(&announcements) == TableChange::Changed {
            self.broadcast_announcements().await;
        }
    }

    fn apply_listed_endpoint(&self, listed_endpoint: &ListedInstance) {
        let endpoint = EndpointId::new(&listed_endpoint.name);
        {
            let mut listed = self.tables.listed_incarnations.lock();
            let known = listed.entry(endpoint.clone()).or_default();
            *known = listed_endpoint.incarnation.max(*known);
        }
        if self.tables.endpoint_leaving_status(&endpoint) == LeavingStatus::Open {
            for pool_state in self.tables.pools.values() {
                pool_state.lock().table.endpoint_returned(&endpoint);
            }
        }
    }

    /// Sends a crash report to every known instance in all failure domains.
    pub(crate) async fn broadcast_crash(self: Rc<Self>, report: CrashReport) {
        let mut addresses: Vec<String> = self
            .tables
            .other_addresses()
            .into_iter()
            .map(|(_, address)| address)
            .collect();
        for domain in &self.tables.settings.other_domains {
            addresses.extend(domain.peers.iter().map(ToString::to_string));
        }
        let calls = addresses.iter().map(|address| {
            self.tables.metrics.peer_messages.inc();
            self.ports.peers.crashed(address, &report)
        });
        join_all(calls).await;
    }

    /// Quarantines the fingerprints that the instance at `address` has quarantined.
    pub(crate) async fn fetch_quarantine(&self, address: &str) {
        self.tables.metrics.peer_messages.inc();
        let Ok(fingerprints) = self.ports.peers.quarantined(address).await else {
            return;
        };
        let now = self.tables.now();
        let mut poison = self.tables.poison.lock();
        for fingerprint in fingerprints {
            poison.quarantine(fingerprint, now);
        }
    }
}

fn announced_endpoint(announcement: &Announcement) -> Option<EndpointId> {
    match &announcement.subject {
        LeavingSubject::Endpoint(endpoint) => Some(endpoint.clone()),
        LeavingSubject::Instance(_) => None,
    }
}
