//! Membership and failure detection among the entry instances of one failure domain.
//!
//! The protocol follows SWIM (Das, Gupta and Motivala, 2002). In each period an instance probes one
//! other. If the probe is not answered, it asks other members to probe on its behalf; a member that
//! still does not answer is suspected before it is declared dead. Updates are piggybacked on probes
//! and answers, so that the load of an instance does not grow with the number of members.

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

use crate::ids::{Incarnation, InstanceId, Millis, OwnerId};

/// Status of a member. In the same incarnation and refutation, later variants override earlier
/// ones.
#[derives::tag]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberStatus {
    /// The member answers probes.
    Alive,
    /// The member did not answer; it has time to refute the suspicion.
    Suspect,
    /// The member did not refute the suspicion in time.
    Dead,
    /// The member announced that it stops.
    Left,
}

/// Status update on one member, as exchanged between members.
#[derive(Eq)]
#[derives::wire]
pub struct MemberUpdate {
    /// The member and its incarnation.
    pub owner: OwnerId,
    /// Number of suspicions that the member has refuted in this incarnation.
    pub refutation: u32,
    /// Status of the member.
    pub status: MemberStatus,
    /// Address of the member's peer listener, `IP:PORT`.
    pub address: String,
}

impl MemberUpdate {
    fn rank(&self) -> (Incarnation, u32, MemberStatus) {
        (self.owner.incarnation, self.refutation, self.status)
    }
}

/// Periods, timeouts and limits of the protocol; times are in milliseconds.
#[derives::value]
pub struct MemberLimits {
    /// Interval between two probes that this member starts.
    pub probe_period: Millis,
    /// Timeout of a direct probe, after which the target is probed through other members.
    pub direct_timeout: Millis,
    /// Timeout of indirect probes, after which the target is suspected.
    pub indirect_timeout: Millis,
    /// Time until a suspected member is declared dead.
    pub suspicion: Millis,
    /// Interval between two direct probes of a suspected member; each one lets it refute the
    /// suspicion.
    pub suspect_period: Millis,
    /// Interval between two probes of dead members, by which partitions heal.
    pub heal_period: Millis,
    /// Number of members that are asked to probe on this member's behalf.
    pub relays: usize,
    /// Most updates about other members per message.
    pub updates_per_message: usize,
    /// Number of messages that carry the same update.
    pub sends_per_update: u32,
}

impl Default for MemberLimits {
    fn default() -> Self {
        Self {
            probe_period: 1_000,
            direct_timeout: 300,
            indirect_timeout: 500,
            suspicion: 2_000,
            suspect_period: 400,
            heal_period: 5_000,
            relays: 3,
            updates_per_message: 6,
            sends_per_update: 12,
        }
    }
}

/// A message to send.
#[derives::value]
pub enum MemberAction {
    /// Probe `target` directly.
    Probe {
        /// Sequence number that identifies the probe in answers.
        sequence: u64,
        /// The member to probe.
        target: InstanceId,
        /// Address of the target.
        address: String,
    },
    /// Ask `relay` to probe `target` on this member's behalf.
    Relay {
        /// Sequence number of the probe that the answer completes.
        sequence: u64,
        /// The member that is asked.
        relay: InstanceId,
        /// Address of the relay.
        relay_address: String,
        /// The member to probe.
        target: InstanceId,
        /// Address of the target.
        target_address: String,
    },
}

/// A change of a member's status.
#[derives::value]
pub struct MemberEvent {
    /// The member and its incarnation.
    pub owner: OwnerId,
    /// The new status.
    pub status: MemberStatus,
}

/// Action that the membership requires of the local instance.
#[derives::tag]
pub enum SelfAction {
    /// No action.
    Keep,
    /// Other members have declared this incarnation dead: take a new one and confirm the
    /// configuration before issuing grants again.
    Rejoin,
}

#[derive(Debug)]
struct MemberRecord {
    update: MemberUpdate,
    since: Millis,
    /// When a suspected member is probed again.
    next_probe_at: Millis,
    sends_left: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProbePhase {
    Direct,
    Indirect,
}

#[derive(Debug)]
struct ProbeRecord {
    target: InstanceId,
    phase: ProbePhase,
    started: Millis,
}

/// The members of one failure domain, as seen by the local instance.
///
/// Invariant: of all updates on a member the one with the highest (incarnation, refutation, status)
/// is kept, so that tables converge independently of the order of updates.
#[derive(Debug)]
pub struct MemberTable {
    local: MemberUpdate,
    local_sends_left: u32,
    limits: MemberLimits,
    members: BTreeMap<InstanceId, MemberRecord>,
    probes: BTreeMap<u64, ProbeRecord>,
    probe_order: Vec<InstanceId>,
    next_sequence: u64,
    next_probe: Millis,
    next_heal: Millis,
    rng: SmallRng,
    events: Vec<MemberEvent>,
    action: SelfAction,
}

impl MemberTable {
    /// Creates a table with the local instance only; `seed` determines the order of probes.
    #[must_use]
    pub fn new(local: OwnerId, address: &str, limits: MemberLimits, seed: u64) -> Self {
        let sends = limits.sends_per_update;
        Self {
            local: MemberUpdate {
                owner: local,
                refutation: 0,
                status: MemberStatus::Alive,
                address: address.to_owned(),
            },
            local_sends_left: sends,
            limits,
            members: BTreeMap::new(),
            probes: BTreeMap::new(),
            probe_order: Vec::new(),
            next_sequence: 1,
            next_probe: 0,
            next_heal: 0,
            rng: SmallRng::seed_from_u64(seed),
            events: Vec::new(),
            action: SelfAction::Keep,
        }
    }

    /// The local instance and its current incarnation.
    #[must_use]
    pub fn local(&self) -> &OwnerId {
        &self.local.owner
    }

    /// Starts a new incarnation, after a pause of the process or a false declaration of death. The
    /// incarnation never decreases.
    pub fn rejoin(&mut self, incarnation: Incarnation) {
        self.local.owner.incarnation = incarnation.max(self.local.owner.incarnation);
        self.local.refutation = 0;
        self.local_sends_left = self.limits.sends_per_update;
        self.action = SelfAction::Keep;
    }

    /// Marks the local instance as stopped, to be announced before the process ends.
    pub fn leave(&mut self) {
        self.local.status = MemberStatus::Left;
        self.local_sends_left = self.limits.sends_per_update;
    }

    /// Whether the local instance must re-join.
    #[must_use]
    pub fn self_action(&self) -> SelfAction {
        self.action
    }

    /// Members that are alive or suspected, including the local instance.
    pub fn present(&self) -> impl Iterator<Item = &MemberUpdate> {
        let others = self.members.values().map(|record| &record.update);
        std::iter::once(&self.local)
            .chain(others)
            .filter(|update| update.status <= MemberStatus::Suspect)
    }

    /// Members that are alive, including the local instance: the candidates for stewardship.
    pub fn alive(&self) -> impl Iterator<Item = &InstanceId> {
        self.present()
            .filter(|update| update.status == MemberStatus::Alive)
            .map(|update| &update.owner.instance)
    }

    /// The latest update on a member, if it is known.
    #[must_use]
    pub fn member(&self, instance: &InstanceId) -> Option<&MemberUpdate> {
        if *instance == self.local.owner.instance {
            return Some(&self.local);
        }
        self.members.get(instance).map(|record| &record.update)
    }

    /// The latest updates on all members, for a peer that joins.
    #[must_use]
    pub fn snapshot(&self) -> Vec<MemberUpdate> {
        let others = self.members.values().map(|record| record.update.clone());
        std::iter::once(self.local.clone()).chain(others).collect()
    }

    /// Removes and returns the status changes since the last call.
    pub fn take_events(&mut self) -> Vec<MemberEvent> {
        std::mem::take(&mut self.events)
    }

    /// Merges the updates of a received message.
    pub fn merge(&mut self, updates: &[MemberUpdate], now: Millis) {
        for update in updates {
            self.merge_update(update, now);
        }
    }

    fn merge_update(&mut self, update: &MemberUpdate, now: Millis) {
        if update.owner.instance == self.local.owner.instance {
            self.merge_about_local(update);
            return;
        }
        let known = self.members.get(&update.owner.instance);
        if known.is_some_and(|record| record.update.rank() >= update.rank()) {
            return;
        }
        let record = MemberRecord {
            update: update.clone(),
            since: now,
            next_probe_at: now,
            sends_left: self.limits.sends_per_update,
        };
        self.members.insert(update.owner.instance.clone(), record);
        self.events.push(MemberEvent {
            owner: update.owner.clone(),
            status: update.status,
        });
    }

    fn merge_about_local(&mut self, update: &MemberUpdate) {
        if update.owner.incarnation < self.local.owner.incarnation
            || self.local.status == MemberStatus::Left
        {
            return;
        }
        match update.status {
            MemberStatus::Alive => {}
            MemberStatus::Suspect => {
                self.local.refutation = self.local.refutation.max(update.refutation + 1);
                self.local_sends_left = self.limits.sends_per_update;
            }
            MemberStatus::Dead | MemberStatus::Left => self.action = SelfAction::Rejoin,
        }
    }

    /// The updates to piggyback on a message to `target`, those with the fewest sends first.
    ///
    /// The update on the local instance is always included. So is the update on `target` if it is
    /// not alive, so that `target` can refute it.
    pub fn outgoing(&mut self, target: &InstanceId) -> Vec<MemberUpdate> {
        let mut updates = vec![self.local.clone()];
        self.local_sends_left = self.local_sends_left.saturating_sub(1);
        if let Some(record) = self.members.get(target)
            && record.update.status != MemberStatus::Alive
        {
            updates.push(record.update.clone());
        }
        let mut pending: Vec<&mut MemberRecord> = self
            .members
            .values_mut()
            .filter(|record| record.sends_left > 0 && record.update.owner.instance != *target)
            .collect();
        pending.sort_by_key(|record| std::cmp::Reverse(record.sends_left));
        for record in pending.into_iter().take(self.limits.updates_per_message) {
            record.sends_left -= 1;
            updates.push(record.update.clone());
        }
        updates
    }

    /// Completes a probe that was answered, directly or through a relay.
    pub fn probe_answered(&mut self, sequence: u64) {
        self.probes.remove(&sequence);
    }

    /// Advances the protocol to `now` and returns the messages to send.
    pub fn tick(&mut self, now: Millis) -> Vec<MemberAction> {
        let mut actions = Vec::new();
        self.expire_probes(now, &mut actions);
        self.expire_suspects(now);
        actions.extend(self.probe_suspects(now));
        if now >= self.next_probe {
            self.next_probe = now + self.limits.probe_period;
            actions.extend(self.probe_next(now));
        }
        if now >= self.next_heal {
            self.next_heal = now + self.limits.heal_period;
            actions.extend(self.probe_dead(now));
        }
        actions
    }

    fn expire_probes(&mut self, now: Millis, actions: &mut Vec<MemberAction>) {
        let overdue: Vec<u64> = self
            .probes
            .iter()
            .filter(|(_, probe)| now >= probe.started + self.timeout(probe.phase))
            .map(|(sequence, _)| *sequence)
            .collect();
        for sequence in overdue {
            let Some(mut probe) = self.probes.remove(&sequence) else {
                continue;
            };
            if probe.phase == ProbePhase::Indirect {
                self.suspect(&probe.target, now);
                continue;
            }
            actions.extend(self.relays(sequence, &probe.target));
            probe.phase = ProbePhase::Indirect;
            probe.started = now;
            self.probes.insert(sequence, probe);
        }
    }

    fn timeout(&self, phase: ProbePhase) -> Millis {
        match phase {
            ProbePhase::Direct => self.limits.direct_timeout,
            ProbePhase::Indirect => self.limits.indirect_timeout,
        }
    }

    fn relays(&mut self, sequence: u64, target: &InstanceId) -> Vec<MemberAction> {
        let Some(record) = self.members.get(target) else {
            return Vec::new();
        };
        let target_address = record.update.address.clone();
        let mut candidates: Vec<(InstanceId, String)> = self
            .members
            .values()
            .filter(|record| record.update.status == MemberStatus::Alive)
            .filter(|record| record.update.owner.instance != *target)
            .map(|record| {
                let update = &record.update;
                (update.owner.instance.clone(), update.address.clone())
            })
            .collect();
        candidates.shuffle(&mut self.rng);
        candidates
            .into_iter()
            .take(self.limits.relays)
            .map(|(relay, relay_address)| MemberAction::Relay {
                sequence,
                relay,
                relay_address,
                target: target.clone(),
                target_address: target_address.clone(),
            })
            .collect()
    }

    fn suspect(&mut self, target: &InstanceId, now: Millis) {
        let Some(record) = self.members.get(target) else {
            return;
        };
        if record.update.status != MemberStatus::Alive {
            return;
        }
        let mut update = record.update.clone();
        update.status = MemberStatus::Suspect;
        self.merge_update(&update, now);
    }

    fn expire_suspects(&mut self, now: Millis) {
        let overdue: Vec<MemberUpdate> = self
            .members
            .values()
            .filter(|record| record.update.status == MemberStatus::Suspect)
            .filter(|record| now >= record.since + self.limits.suspicion)
            .map(|record| record.update.clone())
            .collect();
        for mut update in overdue {
            update.status = MemberStatus::Dead;
            self.merge_update(&update, now);
        }
    }

    fn probe_next(&mut self, now: Millis) -> Option<MemberAction> {
        if self.probe_order.is_empty() {
            self.probe_order = self
                .members
                .values()
                .filter(|record| record.update.status <= MemberStatus::Suspect)
                .map(|record| record.update.owner.instance.clone())
                .collect();
            self.probe_order.shuffle(&mut self.rng);
        }
        let target = self.probe_order.pop()?;
        self.probe(&target, now)
    }

    /// Probes suspected members directly. Every member does so, because with many members a
    /// refutation that is relayed through others arrives too late.
    fn probe_suspects(&mut self, now: Millis) -> Vec<MemberAction> {
        let period = self.limits.suspect_period;
        let due: Vec<InstanceId> = self
            .members
            .values_mut()
            .filter(|record| record.update.status == MemberStatus::Suspect)
            .filter(|record| now >= record.next_probe_at)
            .map(|record| {
                record.next_probe_at = now + period;
                record.update.owner.instance.clone()
            })
            .collect();
        let probes = due.iter().map(|target| self.probe(target, now));
        probes.collect::<Vec<_>>().into_iter().flatten().collect()
    }

    fn probe_dead(&mut self, now: Millis) -> Option<MemberAction> {
        let mut dead: Vec<InstanceId> = self
            .members
            .values()
            .filter(|record| record.update.status == MemberStatus::Dead)
            .map(|record| record.update.owner.instance.clone())
            .collect();
        dead.shuffle(&mut self.rng);
        let target = dead.pop()?;
        self.probe(&target, now)
    }

    fn probe(&mut self, target: &InstanceId, now: Millis) -> Option<MemberAction> {
        let address = self.members.get(target)?.update.address.clone();
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.probes.insert(
            sequence,
            ProbeRecord {
                target: target.clone(),
                phase: ProbePhase::Direct,
                started: now,
            },
        );
        Some(MemberAction::Probe {
            sequence,
            target: target.clone(),
            address,
        })
    }
}
