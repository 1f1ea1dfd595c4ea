//! Membership of the failure domain's entry instances: executes the actions of `policy::member`.

use std::rc::Rc;

use futures::future::join_all;
use peer::{PeerDigest, ProbeMessage, RelayOutcome};
use platform::{InstanceKind, ListedInstance};
use policy::ids::{Incarnation, Millis};
use policy::member::{MemberAction, MemberStatus, SelfAction};
use xxhash_rust::xxh3::xxh3_64;

use crate::control::Control;
use crate::tables::{LifecyclePhase, PAUSE_LIMIT};

/// Tick period of the control thread, in milliseconds.
const TICK_PERIOD: Millis = 100;

/// Interval between probes of configured addresses that no present member has, in milliseconds.
const JOIN_PERIOD: Millis = 5_000;

/// Length of a pause after which other members may have declared this instance dead, in
/// milliseconds.
const REJOIN_PAUSE_LIMIT: Millis = 2_000;

impl Control {
    /// Ticks the member table, detects pauses of the process and executes the table's actions.
    pub(crate) async fn run_membership(self: Rc<Self>) {
        let mut ticks = self.tables.timer.every(TICK_PERIOD);
        self.tables.tick();
        loop {
            ticks.tick().await;
            self.detect_pause();
            let now = self.tables.now();
            let actions = self.tables.members.lock().tick(now);
            for action in actions {
                self.spawn(self.clone().execute(action));
            }
            self.handle_member_changes();
        }
    }

    /// Detects that the process was paused since the last tick.
    ///
    /// Invariant: after a pause, the instance confirms its configuration before it admits requests.
    fn detect_pause(self: &Rc<Self>) {
        // The confirmation is withdrawn before the tick is recorded, so that no worker thread sees
        // a recent tick together with a confirmation from before the pause.
        let pause = self.tables.since_last_tick();
        if pause >= PAUSE_LIMIT {
            self.tables.set_confirmed(false);
        }
        if pause >= REJOIN_PAUSE_LIMIT {
            self.rejoin();
        }
        self.tables.tick();
        if pause >= PAUSE_LIMIT {
            spdlog::info!("process was paused for {pause} ms; confirming the configuration again");
            self.spawn(self.clone().confirm_configuration());
        }
    }

    fn rejoin(&self) {
        self.tables.metrics.rejoins.inc();
        let mut members = self.tables.members.lock();
        members.rejoin(Incarnation(self.tables.clock_and_ids.unix_millis()));
    }

    /// Handles the member table's events since the last call: rejoins if other members declared
    /// this instance dead, closes connections to dead members and updates the stewards of pools.
    pub(crate) fn handle_member_changes(self: &Rc<Self>) {
        let (events, action) = {
            let mut members = self.tables.members.lock();
            (members.take_events(), members.self_action())
        };
        if action == SelfAction::Rejoin {
            self.rejoin();
            self.tables.set_confirmed(false);
            self.spawn(self.clone().confirm_configuration());
        }
        if events.is_empty() {
            return;
        }
        for event in &events {
            spdlog::info!("member {} is now {:?}", event.owner, event.status);
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

    async fn execute(self: Rc<Self>, action: MemberAction) {
        match action {
            MemberAction::Probe {
                sequence,
                target,
                address,
            } => {
                let message = self.probe_message(&target);
                if self.probe_address(&address, message).await == RelayOutcome::Answered {
                    self.tables.members.lock().probe_answered(sequence);
                    self.handle_member_changes();
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
                if answer == Ok(RelayOutcome::Answered) {
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

    /// Probes the instance at `address`, merges the membership changes in its answer and compares
    /// digests.
    pub(crate) async fn probe_address(
        self: &Rc<Self>,
        address: &str,
        message: ProbeMessage,
    ) -> RelayOutcome {
        self.tables.metrics.peer_messages.inc();
        let Ok(answer) = self.ports.peers.probe(address, &message).await else {
            return RelayOutcome::Silent;
        };
        let now = self.tables.now();
        self.tables.members.lock().merge(&answer.updates, now);
        self.compare_digest(address, answer.digest);
        RelayOutcome::Answered
    }

    /// Returns the digest of this instance's configuration, announcements and quarantine. Each part
    /// is independent of the order of its items.
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
        let fingerprints = self.tables.poison.lock().quarantined(now);
        let quarantine = fingerprints
            .iter()
            .fold(0_u64, |sum, fingerprint| sum.wrapping_add(fingerprint.0));
        PeerDigest {
            config_version,
            leaving,
            quarantine,
        }
    }

    /// Fetches from the instance at `address` the parts whose digests differ from this instance's.
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

    /// Repeats [`join`](Self::join) periodically, so that an instance that reached no member at its
    /// start does not stay isolated.
    pub(crate) async fn run_joining(self: Rc<Self>) {
        loop {
            self.tables.timer.after(JOIN_PERIOD).wait().await;
            self.join().await;
        }
    }

    /// Probes the configured peer addresses that no present member has. If no member is present,
    /// the addresses in the platform's list are probed too.
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
        let unknown = policy::ids::InstanceId::new("");
        let probes = addresses.iter().map(|address| {
            let message = self.probe_message(&unknown);
            self.probe_address(address, message)
        });
        join_all(probes).await;
        self.handle_member_changes();
    }

    async fn listed_addresses(&self) -> Vec<String> {
        let instances = self.list_domain_instances().await;
        instances
            .unwrap_or_default()
            .into_iter()
            .filter(|instance| instance.kind == InstanceKind::Entry)
            .map(|instance| instance.address)
            .collect()
    }

    /// Returns the platform's list of this failure domain, or `None` if it cannot be read.
    pub(crate) async fn list_domain_instances(&self) -> Option<Vec<ListedInstance>> {
        self.tables.metrics.platform_calls.inc();
        let Ok(instances) = self.ports.platform.instances().await else {
            self.tables.metrics.platform_faults.inc();
            return None;
        };
        let domain = &self.tables.settings.failure_domain;
        let here = instances
            .into_iter()
            .filter(|instance| instance.failure_domain == *domain);
        Some(here.collect())
    }

    /// Marks this instance as left and probes every other member to spread the change.
    pub(crate) async fn leave_membership(self: &Rc<Self>) {
        self.tables.enter_phase(LifecyclePhase::Draining);
        self.tables.members.lock().leave();
        let others = self.tables.other_addresses();
        let probes = others.iter().map(|(instance, address)| {
            let message = self.probe_message(instance);
            self.probe_address(address, message)
        });
        join_all(probes).await;
    }
}
