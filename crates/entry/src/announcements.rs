//! Announcements that instances and endpoints leave, and news of crashes, passed on by peers.
//!
//! An operator's announcement is also written to the key-value service, so that an instance that
//! is cut off from its peers alone still hears it.

use std::rc::Rc;

use futures::future::join_all;
use operator::{AnnounceForm, AnnounceReport};
use platform::{CasVerdict, InstanceKind, InstanceState, ListedInstance, WatchEvent};
use policy::ids::{EndpointId, Incarnation, InstanceId, Millis};
use policy::leaving::{
    Announcement, LeavingKind, LeavingStatus, LeavingSubject, LeavingTable, TableChange,
};
use policy::poison::CrashReport;

use crate::control::Control;
use crate::lifecycle::drain_instance;

/// Prefix of announcements in the key-value service.
const ANNOUNCEMENT_PREFIX: &str = "announcements/";

/// How long a watch may wait for an announcement, in milliseconds.
const WATCH_WAIT: Millis = 25_000;

/// Between two looks whether this instance is to read announcements, in milliseconds.
const READER_CHECK: Millis = 1_000;

/// Tries to write an announcement to the key-value service.
const WRITE_TRIES: u32 = 3;

fn announcement_key(subject: &LeavingSubject) -> String {
    match subject {
        LeavingSubject::Endpoint(endpoint) => format!("{ANNOUNCEMENT_PREFIX}endpoint/{endpoint}"),
        LeavingSubject::Instance(instance) => format!("{ANNOUNCEMENT_PREFIX}instance/{instance}"),
    }
}

impl Control {
    /// Reads announcements from the key-value service while this instance is one of its domain's
    /// readers, which one that is cut off from its peers is.
    pub(crate) async fn run_announcement_reader(self: Rc<Self>) {
        let mut revision = 0;
        loop {
            let next = if self.is_reader() {
                self.read_announcements(revision).await
            } else {
                revision = 0;
                None
            };
            match next {
                Some(next) => revision = next,
                None => self.tables.timer.after(READER_CHECK).wait().await,
            }
        }
    }

    async fn read_announcements(self: &Rc<Self>, revision: u64) -> Option<u64> {
        self.tables.metrics.platform_calls.inc();
        let platform = &self.ports.platform;
        let watch = platform.watch(ANNOUNCEMENT_PREFIX, revision, WATCH_WAIT);
        let Ok(report) = watch.await else {
            self.tables.metrics.platform_faults.inc();
            return None;
        };
        let read = |event: &WatchEvent| match event {
            WatchEvent::Put { stored, .. } => serde_json::from_str(&stored.value).ok(),
            WatchEvent::Deleted { .. } => None,
        };
        let announcements: Vec<Announcement> = report.events.iter().filter_map(read).collect();
        if self.record_announcements(&announcements) == TableChange::Changed {
            self.spread_announcements().await;
        }
        Some(report.revision.max(1))
    }

    /// Writes an announcement to the key-value service, unless it holds a newer one.
    async fn store_announcement(self: Rc<Self>, announcement: Announcement) {
        let key = announcement_key(&announcement.subject);
        let Ok(text) = serde_json::to_string(&announcement) else {
            return;
        };
        for _ in 0..WRITE_TRIES {
            self.tables.metrics.platform_calls.inc();
            let platform = &self.ports.platform;
            let Ok(stored) = platform.get(&key).await else {
                self.tables.metrics.platform_faults.inc();
                self.tables.timer.after(READER_CHECK).wait().await;
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
            if matches!(written.await, Ok(CasVerdict::Written(_))) {
                return;
            }
        }
        spdlog::warn!("announcement not stored: {key}");
    }

    /// Takes announcements, acts on those that are new and says whether there were any.
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
            spdlog::info!("announced: {announcement:?}");
            self.act_on(announcement);
        }
        change
    }

    fn act_on(self: &Rc<Self>, announcement: &Announcement) {
        match &announcement.subject {
            LeavingSubject::Endpoint(endpoint) => self.close_endpoint(endpoint),
            LeavingSubject::Instance(instance) => {
                // A process that re-joined after a pause is still the one that was announced.
                let is_me = *instance == self.tables.me().instance;
                if is_me && announcement.incarnation >= self.tables.born {
                    self.spawn(drain_instance(self.tables.clone()));
                }
            }
        }
    }

    fn close_endpoint(&self, endpoint: &EndpointId) {
        if self.tables.endpoint_verdict(endpoint) == LeavingStatus::Open {
            return;
        }
        for desk in self.tables.pools.values() {
            desk.lock().table.endpoint_leaving(endpoint);
        }
    }

    /// Closes the leaving endpoints in tables that were made anew.
    pub(crate) fn close_leaving_endpoints(&self) {
        let endpoints: Vec<EndpointId> = {
            let leaving = self.tables.leaving.lock();
            leaving.iter().filter_map(announced_endpoint).collect()
        };
        for endpoint in endpoints {
            self.close_endpoint(&endpoint);
        }
    }

    /// Every announcement known.
    pub(crate) fn announcements(&self) -> Vec<Announcement> {
        let leaving: &LeavingTable = &self.tables.leaving.lock();
        leaving.iter().cloned().collect()
    }

    /// Exchanges announcements with the instance at `address`.
    pub(crate) async fn exchange_announcements(self: &Rc<Self>, address: &str) {
        let ours = self.announcements();
        self.tables.metrics.peer_messages.inc();
        if let Ok(theirs) = self.ports.peers.announce(address, &ours).await {
            self.record_announcements(&theirs);
        }
    }

    /// Records an operator's announcement and tells every member of the failure domain.
    pub(crate) async fn announce(self: &Rc<Self>, form: AnnounceForm) -> Option<AnnounceReport> {
        let incarnation = self.incarnation_of(&form.subject)?;
        let announcement = Announcement {
            subject: form.subject,
            incarnation,
            kind: form.kind,
        };
        self.record_announcements(std::slice::from_ref(&announcement));
        self.spawn(self.clone().store_announcement(announcement.clone()));
        let mut confirmed = vec![self.tables.settings.instance.clone()];
        let mut missing = Vec::new();
        for (instance, heard) in self.spread_announcements().await {
            if heard {
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

    /// Tells every other member what is announced, and who of them has heard it.
    pub(crate) async fn spread_announcements(self: &Rc<Self>) -> Vec<(InstanceId, bool)> {
        let others = self.tables.other_addresses();
        let ours = self.announcements();
        let calls = others.iter().map(|(instance, address)| {
            self.tables.metrics.peer_messages.inc();
            let call = self.ports.peers.announce(address, &ours);
            async move { (instance.clone(), call.await.is_ok()) }
        });
        join_all(calls).await
    }

    /// The incarnation that an announcement made now covers; none for an unknown subject.
    fn incarnation_of(&self, subject: &LeavingSubject) -> Option<Incarnation> {
        match subject {
            LeavingSubject::Endpoint(endpoint) => {
                let settings = &self.tables.settings;
                let services = settings.services.iter().flat_map(|one| &one.endpoints);
                let is_engine = self.tables.engines.contains_key(endpoint);
                let is_service = services
                    .map(|one| one.name.as_str())
                    .any(|name| name == endpoint.as_str());
                (is_engine || is_service).then(|| self.endpoint_incarnation(endpoint))
            }
            LeavingSubject::Instance(instance) => {
                let members = self.tables.members.lock();
                Some(members.member(instance)?.owner.incarnation)
            }
        }
    }

    /// Takes the platform's list: leaving instances are announced, new incarnations open again.
    pub(crate) async fn take_rows(self: &Rc<Self>, rows: &[ListedInstance]) {
        let mut announcements = Vec::new();
        for row in rows {
            let subject = match row.kind {
                InstanceKind::Endpoint => {
                    self.take_endpoint_row(row);
                    LeavingSubject::Endpoint(EndpointId::new(&row.name))
                }
                InstanceKind::Entry => LeavingSubject::Instance(InstanceId::new(&row.name)),
            };
            if row.state == InstanceState::Leaving {
                announcements.push(Announcement {
                    subject,
                    incarnation: row.incarnation,
                    kind: LeavingKind::Leave,
                });
            }
        }
        if self.record_announcements(&announcements) == TableChange::Changed {
            self.spread_announcements().await;
        }
    }

    fn take_endpoint_row(&self, row: &ListedInstance) {
        let endpoint = EndpointId::new(&row.name);
        {
            let mut listed = self.tables.listed.lock();
            let known = listed.entry(endpoint.clone()).or_default();
            *known = row.incarnation.max(*known);
        }
        if self.tables.endpoint_verdict(&endpoint) == LeavingStatus::Open {
            for desk in self.tables.pools.values() {
                desk.lock().table.endpoint_returned(&endpoint);
            }
        }
    }

    /// Tells every instance that can be reached of a crash, in all failure domains.
    pub(crate) async fn spread_crash(self: Rc<Self>, report: CrashReport) {
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

    /// Takes the fingerprints that the instance at `address` has quarantined.
    pub(crate) async fn fetch_quarantine(&self, address: &str) {
        self.tables.metrics.peer_messages.inc();
        let Ok(prints) = self.ports.peers.quarantined(address).await else {
            return;
        };
        let now = self.tables.now();
        let mut poison = self.tables.poison.lock();
        for print in prints {
            poison.quarantine(print, now);
        }
    }
}

fn announced_endpoint(announcement: &Announcement) -> Option<EndpointId> {
    match &announcement.subject {
        LeavingSubject::Endpoint(endpoint) => Some(endpoint.clone()),
        LeavingSubject::Instance(_) => None,
    }
}
