//! Who is present among the entry instances of one failure domain.
//!
//! After SWIM (Das, Gupta and Motivala, 2002): each instance probes one other a period, asks
//! others to probe for it when no answer comes, and suspects before it declares dead. Changes
//! ride on probes and answers, so that the load of a node does not grow with the membership.

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

use crate::ids::{Incarnation, InstanceId, Millis, OwnerId};

/// How present a member is; later variants outweigh earlier ones of the same life.
#[derives::tag]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberStatus {
    /// It answers.
    Alive,
    /// It did not answer; it has time to refute.
    Suspect,
    /// It did not refute in time.
    Dead,
    /// It said that it stops.
    Left,
}

/// What members tell each other of one member.
#[derive(Eq)]
#[derives::wire]
pub struct MemberUpdate {
    /// The member and which of its lives.
    pub owner: OwnerId,
    /// Counts the member's refutations of suspicions in this life.
    pub refutation: u32,
    /// Its status.
    pub status: MemberStatus,
    /// Address of its peer listener, `IP:PORT`.
    pub address: String,
}

impl MemberUpdate {
    fn rank(&self) -> (Incarnation, u32, MemberStatus) {
        (self.owner.incarnation, self.refutation, self.status)
    }
}

/// Periods and bounds, in milliseconds where they are times.
#[derives::value]
pub struct MemberLimits {
    /// Between two probes that this member starts.
    pub probe_period: Millis,
    /// Until a direct probe without an answer is tried through others.
    pub direct_timeout: Millis,
    /// Until an indirect probe without an answer raises a suspicion.
    pub indirect_timeout: Millis,
    /// Until a suspected member is declared dead.
    pub suspicion: Millis,
    /// Between two direct probes of a suspected member, each of which lets it refute.
    pub suspect_period: Millis,
    /// Between two probes of a dead member, by which partitions heal.
    pub heal_period: Millis,
    /// Members asked to probe on this member's behalf.
    pub relays: usize,
    /// Updates carried by one message.
    pub updates_per_message: usize,
    /// Messages that carry one update.
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

/// A probe that the adapter is to send.
#[derives::value]
pub enum MemberAction {
    /// Probe `target` directly; `sequence` names the probe in answers.
    Probe {
        /// The probe's number.
        sequence: u64,
        /// Who is probed.
        target: InstanceId,
        /// Where.
        address: String,
    },
    /// Ask `relay` to probe `target`.
    Relay {
        /// The number of the probe that the answer settles.
        sequence: u64,
        /// Who is asked.
        relay: InstanceId,
        /// Where.
        relay_address: String,
        /// Who is to be probed.
        target: InstanceId,
        /// Where.
        target_address: String,
    },
}

/// A change of presence that other parts act on.
#[derives::value]
pub struct MemberEvent {
    /// The member and which of its lives.
    pub owner: OwnerId,
    /// Its status now.
    pub status: MemberStatus,
}

/// What the table asks of its own instance.
#[derives::tag]
pub enum SelfVerdict {
    /// Nothing.
    Keep,
    /// Others have declared this life dead: take a new incarnation and confirm the
    /// configuration before granting again.
    Rejoin,
}

#[derive(Debug)]
struct MemberRecord {
    update: MemberUpdate,
    since: Millis,
    /// When a suspected member is to be probed again.
    reprobe: Millis,
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

/// The members of one failure domain, as one of them sees it.
///
/// Invariant: of one member's updates the highest (incarnation, refutation, status) is kept, so
/// that all tables converge whatever the order in which updates arrive.
#[derive(Debug)]
pub struct MemberTable {
    me: MemberUpdate,
    my_sends_left: u32,
    limits: MemberLimits,
    members: BTreeMap<InstanceId, MemberRecord>,
    probes: BTreeMap<u64, ProbeRecord>,
    order: Vec<InstanceId>,
    next_sequence: u64,
    next_probe: Millis,
    next_heal: Millis,
    rng: SmallRng,
    events: Vec<MemberEvent>,
    verdict: SelfVerdict,
}

impl MemberTable {
    /// A table that knows only its own instance; `seed` shuffles the order of probes.
    #[must_use]
    pub fn new(me: OwnerId, address: &str, limits: MemberLimits, seed: u64) -> Self {
        let sends = limits.sends_per_update;
        Self {
            me: MemberUpdate {
                owner: me,
                refutation: 0,
                status: MemberStatus::Alive,
                address: address.to_owned(),
            },
            my_sends_left: sends,
            limits,
            members: BTreeMap::new(),
            probes: BTreeMap::new(),
            order: Vec::new(),
            next_sequence: 1,
            next_probe: 0,
            next_heal: 0,
            rng: SmallRng::seed_from_u64(seed),
            events: Vec::new(),
            verdict: SelfVerdict::Keep,
        }
    }

    /// This instance's present life.
    #[must_use]
    pub fn me(&self) -> &OwnerId {
        &self.me.owner
    }

    /// Takes a new incarnation, after a pause or a false death.
    pub fn rejoin(&mut self, incarnation: Incarnation) {
        self.me.owner.incarnation = incarnation.max(self.me.owner.incarnation);
        self.me.refutation = 0;
        self.my_sends_left = self.limits.sends_per_update;
        self.verdict = SelfVerdict::Keep;
    }

    /// Marks this instance as stopped, so that others hear it before the process ends.
    pub fn leave(&mut self) {
        self.me.status = MemberStatus::Left;
        self.my_sends_left = self.limits.sends_per_update;
    }

    /// Whether this instance must re-join.
    #[must_use]
    pub fn self_verdict(&self) -> SelfVerdict {
        self.verdict
    }

    /// Members that are alive or suspected, this instance among them.
    pub fn present(&self) -> impl Iterator<Item = &MemberUpdate> {
        let others = self.members.values().map(|record| &record.update);
        std::iter::once(&self.me)
            .chain(others)
            .filter(|update| update.status <= MemberStatus::Suspect)
    }

    /// Members that are alive, this instance among them: candidates for stewardship.
    pub fn alive(&self) -> impl Iterator<Item = &InstanceId> {
        self.present()
            .filter(|update| update.status == MemberStatus::Alive)
            .map(|update| &update.owner.instance)
    }

    /// What is known of one member.
    #[must_use]
    pub fn member(&self, instance: &InstanceId) -> Option<&MemberUpdate> {
        if *instance == self.me.owner.instance {
            return Some(&self.me);
        }
        self.members.get(instance).map(|record| &record.update)
    }

    /// Everything known, for a peer that joins.
    #[must_use]
    pub fn snapshot(&self) -> Vec<MemberUpdate> {
        let others = self.members.values().map(|record| record.update.clone());
        std::iter::once(self.me.clone()).chain(others).collect()
    }

    /// The changes of presence since the last call.
    pub fn take_events(&mut self) -> Vec<MemberEvent> {
        std::mem::take(&mut self.events)
    }

    /// Takes updates that arrived with a message.
    pub fn merge(&mut self, updates: &[MemberUpdate], now: Millis) {
        for update in updates {
            self.merge_one(update, now);
        }
    }

    fn merge_one(&mut self, update: &MemberUpdate, now: Millis) {
        if update.owner.instance == self.me.owner.instance {
            self.hear_of_self(update);
            return;
        }
        let known = self.members.get(&update.owner.instance);
        if known.is_some_and(|record| record.update.rank() >= update.rank()) {
            return;
        }
        let record = MemberRecord {
            update: update.clone(),
            since: now,
            reprobe: now,
            sends_left: self.limits.sends_per_update,
        };
        self.members.insert(update.owner.instance.clone(), record);
        self.events.push(MemberEvent {
            owner: update.owner.clone(),
            status: update.status,
        });
    }

    fn hear_of_self(&mut self, update: &MemberUpdate) {
        if update.owner.incarnation < self.me.owner.incarnation
            || self.me.status == MemberStatus::Left
        {
            return;
        }
        match update.status {
            MemberStatus::Alive => {}
            MemberStatus::Suspect => {
                self.me.refutation = self.me.refutation.max(update.refutation + 1);
                self.my_sends_left = self.limits.sends_per_update;
            }
            MemberStatus::Dead | MemberStatus::Left => self.verdict = SelfVerdict::Rejoin,
        }
    }

    /// The updates to put on a message to `target`, the least-sent first.
    ///
    /// This instance's own update is always among them; so is what is held against `target`, so
    /// that it can refute.
    pub fn outgoing(&mut self, target: &InstanceId) -> Vec<MemberUpdate> {
        let mut list = vec![self.me.clone()];
        self.my_sends_left = self.my_sends_left.saturating_sub(1);
        if let Some(record) = self.members.get(target)
            && record.update.status != MemberStatus::Alive
        {
            list.push(record.update.clone());
        }
        let mut fresh: Vec<&mut MemberRecord> = self
            .members
            .values_mut()
            .filter(|record| record.sends_left > 0 && record.update.owner.instance != *target)
            .collect();
        fresh.sort_by_key(|record| std::cmp::Reverse(record.sends_left));
        for record in fresh.into_iter().take(self.limits.updates_per_message) {
            record.sends_left -= 1;
            list.push(record.update.clone());
        }
        list
    }

    /// Settles a probe that was answered, directly or through a relay.
    pub fn probe_answered(&mut self, sequence: u64) {
        self.probes.remove(&sequence);
    }

    /// Moves time on and says which probes to send.
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
        let mut helpers: Vec<(InstanceId, String)> = self
            .members
            .values()
            .filter(|record| record.update.status == MemberStatus::Alive)
            .filter(|record| record.update.owner.instance != *target)
            .map(|record| {
                let update = &record.update;
                (update.owner.instance.clone(), update.address.clone())
            })
            .collect();
        helpers.shuffle(&mut self.rng);
        helpers
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
        self.merge_one(&update, now);
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
            self.merge_one(&update, now);
        }
    }

    fn probe_next(&mut self, now: Millis) -> Option<MemberAction> {
        if self.order.is_empty() {
            self.order = self
                .members
                .values()
                .filter(|record| record.update.status <= MemberStatus::Suspect)
                .map(|record| record.update.owner.instance.clone())
                .collect();
            self.order.shuffle(&mut self.rng);
        }
        let target = self.order.pop()?;
        self.probe(&target, now)
    }

    /// Each member probes a suspected one itself: a refutation that has to travel by way of
    /// others comes too late in a large membership.
    fn probe_suspects(&mut self, now: Millis) -> Vec<MemberAction> {
        let period = self.limits.suspect_period;
        let due: Vec<InstanceId> = self
            .members
            .values_mut()
            .filter(|record| record.update.status == MemberStatus::Suspect)
            .filter(|record| now >= record.reprobe)
            .map(|record| {
                record.reprobe = now + period;
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
