//! Presence among the entry instances of the failure domain: carries out `policy::member`.

use std::rc::Rc;

use futures::future::join_all;
use peer::{PeerDigest, ProbeMessage, RelayVerdict};
use platform::{InstanceKind, ListedInstance};
use policy::ids::{Incarnation, Millis};
use policy::member::{MemberAction, MemberStatus, SelfAction};
use xxhash_rust::xxh3::xxh3_64;

use crate::control::Control;
use crate::tables::{LifePhase, PAUSE_LIMIT};

/// Between two looks at the clock, in milliseconds.
const TICK: Millis = 100;

/// Between two tries to reach addresses that no present member has, in milliseconds.
const JOIN_PERIOD: Millis = 5_000;

/// A pause after which others may have declared this instance dead, in milliseconds.
const REJOIN_PAUSE: Millis = 2_000;

impl Control {
    /// Keeps time, notices pauses and carries out the member table's probes.
    pub(crate) async fn run_membership(self: Rc<Self>) {
        let mut ticks = self.tables.timer.every(TICK);
        self.tables.tick();
        loop {
            ticks.tick().await;
            self.notice_pause();
            let now = self.tables.now();
            let actions = self.tables.members.lock().tick(now);
            for action in actions {
                self.spawn(self.clone().carry_out(action));
            }
            self.after_member_changes();
        }
    }

    /// Invariant: an instance that was paused confirms its configuration before it admits again.
    fn notice_pause(self: &Rc<Self>) {
        // Confirmation is withdrawn before the tick is recorded, so that no worker thread sees a
        // fresh tick with an old confirmation.
        let pause = self.tables.pause_so_far();
        if pause >= PAUSE_LIMIT {
            self.tables.set_confirmed(false);
        }
        if pause >= REJOIN_PAUSE {
            self.rejoin();
        }
        self.tables.tick();
        if pause >= PAUSE_LIMIT {
            spdlog::info!("paused for {pause} ms; confirming the configuration");
            self.spawn(self.clone().confirm_configuration());
        }
    }

    fn rejoin(&self) {
        self.tables.metrics.rejoins.inc();
        let mut members = self.tables.members.lock();
        members.rejoin(Incarnation(self.tables.identity.unix_millis()));
    }

    /// Acts on what the member table learned since it was last asked.
    pub(crate) fn after_member_changes(self: &Rc<Self>) {
        let (events, verdict) = {
            let mut members = self.tables.members.lock();
            (members.take_events(), members.self_action())
        };
        if verdict == SelfAction::Rejoin {
            self.rejoin();
            self.tables.set_confirmed(false);
            self.spawn(self.clone().confirm_configuration());
        }
        if events.is_empty() {
            return;
        }
        for event in &events {
            spdlog::info!("member {} is {:?}", event.owner, event.status);
            if event.status >= MemberStatus::Dead {
                self.close_link(&event.owner.instance);
            }
        }
        let alive = self.tables.members.lock().alive().count();
        self.tables
            .metrics
            .members_alive
            .set(i64::try_from(alive).unwrap_or(i64::MAX));
        self.update_stewardship();
    }

    fn close_link(&self, instance: &policy::ids::InstanceId) {
        let address = {
            let members = self.tables.members.lock();
            members
                .member(instance)
                .map(|update| update.address.clone())
        };
        if let Some(address) = address {
            self.ports.peers.close(&address);
        }
    }

    async fn carry_out(self: Rc<Self>, action: MemberAction) {
        match action {
            MemberAction::Probe {
                sequence,
                target,
                address,
            } => {
                let message = self.probe_message(&target);
                if self.probe_address(&address, message).await == RelayVerdict::Answered {
                    self.tables.members.lock().probe_answered(sequence);
                    self.after_member_changes();
                }
            }
            MemberAction::Relay {
                sequence,
                relay_address,
                target_address,
                ..
            } => {
                self.tables.metrics.peer_messages.inc();
                let answer = self
                    .ports
                    .peers
                    .relay(&relay_address, &target_address)
                    .await;
                if answer == Ok(RelayVerdict::Answered) {
                    self.tables.members.lock().probe_answered(sequence);
                }
            }
        }
    }

    fn probe_message(&self, target: &policy::ids::InstanceId) -> ProbeMessage {
        let updates = self.tables.members.lock().outgoing(target);
        ProbeMessage {
            from: self.tables.settings.listen.peers.to_string(),
            updates,
            digest: self.digest(),
        }
    }

    /// Probes the instance at `address` and takes what it answers.
    pub(crate) async fn probe_address(
        self: &Rc<Self>,
        address: &str,
        message: ProbeMessage,
    ) -> RelayVerdict {
        self.tables.metrics.peer_messages.inc();
        let Ok(answer) = self.ports.peers.probe(address, &message).await else {
            return RelayVerdict::Silent;
        };
        let now = self.tables.now();
        self.tables.members.lock().merge(&answer.updates, now);
        self.compare_digest(address, answer.digest);
        RelayVerdict::Answered
    }

    /// What this instance knows, in brief.
    pub(crate) fn digest(&self) -> PeerDigest {
        let leaving = {
            let table = self.tables.leaving.lock();
            table.iter().fold(0_u64, |sum, announcement| {
                let text = format!("{announcement:?}");
                sum.wrapping_add(xxh3_64(text.as_bytes()))
            })
        };
        let config_version = self.tables.config.read().digest();
        let now = self.tables.now();
        let prints = self.tables.poison.lock().quarantined(now);
        let quarantine = prints
            .iter()
            .fold(0_u64, |sum, print| sum.wrapping_add(print.0));
        PeerDigest {
            config_version,
            leaving,
            quarantine,
        }
    }

    /// Fetches from `address` what it knows and this instance does not.
    pub(crate) fn compare_digest(self: &Rc<Self>, address: &str, theirs: PeerDigest) {
        let ours = self.digest();
        if ours == theirs {
            return;
        }
        let control = self.clone();
        let address = address.to_owned();
        self.spawn(async move {
            if ours.config_version != theirs.config_version {
                control.fetch_documents(&address).await;
            }
            if ours.leaving != theirs.leaving {
                control.exchange_announcements(&address).await;
            }
            if ours.quarantine != theirs.quarantine {
                control.fetch_quarantine(&address).await;
            }
        });
    }

    /// Makes itself known again and again to those addresses that no present member has, so that
    /// an instance which found nobody at its start is not left alone.
    pub(crate) async fn run_joining(self: Rc<Self>) {
        loop {
            self.tables.timer.after(JOIN_PERIOD).wait().await;
            self.join().await;
        }
    }

    /// Makes itself known to the addresses from the settings and from the platform's list that
    /// no present member has.
    pub(crate) async fn join(self: &Rc<Self>) {
        let mut addresses: Vec<String> = self
            .tables
            .settings
            .peers
            .iter()
            .map(ToString::to_string)
            .collect();
        let present = self.tables.other_addresses();
        if present.is_empty() {
            addresses.extend(self.listed_addresses().await);
        }
        addresses.sort();
        addresses.dedup();
        let own = self.tables.settings.listen.peers.to_string();
        addresses.retain(|address| *address != own);
        addresses.retain(|address| present.iter().all(|(_, known)| known != address));
        let nobody = policy::ids::InstanceId::new("");
        let probes = addresses.iter().map(|address| {
            let message = self.probe_message(&nobody);
            self.probe_address(address, message)
        });
        join_all(probes).await;
        self.after_member_changes();
    }

    async fn listed_addresses(&self) -> Vec<String> {
        let rows = self.domain_rows().await;
        rows.unwrap_or_default()
            .into_iter()
            .filter(|row| row.kind == InstanceKind::Entry)
            .map(|row| row.address)
            .collect()
    }

    /// The platform's list of this failure domain; none where it cannot be read.
    pub(crate) async fn domain_rows(&self) -> Option<Vec<ListedInstance>> {
        self.tables.metrics.platform_calls.inc();
        let Ok(rows) = self.ports.platform.instances().await else {
            self.tables.metrics.platform_faults.inc();
            return None;
        };
        let domain = &self.tables.settings.failure_domain;
        let here = rows.into_iter().filter(|row| row.failure_domain == *domain);
        Some(here.collect())
    }

    /// Tells the others that this instance stops.
    pub(crate) async fn say_goodbye(self: &Rc<Self>) {
        self.tables.enter_phase(LifePhase::Draining);
        self.tables.members.lock().leave();
        let others = self.tables.other_addresses();
        let probes = others.iter().map(|(instance, address)| {
            let message = self.probe_message(instance);
            self.probe_address(address, message)
        });
        join_all(probes).await;
    }
}
