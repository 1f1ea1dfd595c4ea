//! Membership on virtual time: detection time, false suspicions and traffic by number of members.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use peer::{PeerDigest, ProbeMessage, probe_bytes};
use policy::ids::{Incarnation, InstanceId, OwnerId};
use policy::member::{MemberAction, MemberLimits, MemberStatus, MemberTable, MemberUpdate};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use crate::workload::u64_to_f64;

/// Measurements of a fleet with one number of members and one packet loss.
#[derive(Debug, Serialize)]
pub(crate) struct MembershipRow {
    members: usize,
    loss_percent: u32,
    /// Milliseconds until a member declares the killed one dead: median and maximum.
    detection_ms: [u64; 2],
    /// Live members that were declared dead, summed over all member tables and runs.
    false_deaths: usize,
    /// Live members that were suspected, summed over all member tables and runs.
    false_suspicions: usize,
    /// Bytes per second that one member sends in probes and answers.
    bytes_a_second: f64,
    /// Nanoseconds per second that one member spends on membership decisions.
    nanos_a_second: f64,
}

/// Duration of a run, in milliseconds.
const RUN_TIME_MS: u64 = 120_000;

/// Time at which a member is killed, in milliseconds.
const KILL_TIME_MS: u64 = 60_000;

/// Interval between two ticks of a member table, in milliseconds.
const TICK_MS: u64 = 100;

/// Network delay of one message, in milliseconds.
const ONE_WAY_DELAY_MS: u64 = 1;

/// Overhead in bytes of each call or answer: the codec's frame and the packet headers.
const FRAME_BYTES: usize = 200;

/// Number of runs for each size and packet loss.
const RUNS: u64 = 5;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(usize),
    Answer {
        to: usize,
        sequence: u64,
        from: usize,
        updates: usize,
    },
}

struct Fleet {
    tables: Vec<MemberTable>,
    rng: SmallRng,
    loss_percent: u32,
    dead: BTreeSet<usize>,
    bytes: usize,
    nanos: u128,
    /// Updates in the answers sent so far, to which `Event::Answer` refers by index.
    answered_updates: Vec<Vec<MemberUpdate>>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next: u64,
}

pub(crate) fn measure() -> Vec<MembershipRow> {
    let mut rows = Vec::new();
    for members in [3, 9, 49] {
        for loss in [0, 5] {
            rows.push(measure_size(members, loss));
        }
    }
    rows
}

fn measure_size(members: usize, loss: u32) -> MembershipRow {
    let mut detections = Vec::new();
    let (mut deaths, mut suspicions) = (0, 0);
    let (mut bytes, mut nanos) = (0, 0);
    for seed in 1..=RUNS {
        let mut fleet = Fleet::new(members, loss, seed);
        let result = fleet.run();
        detections.extend(result.detections);
        deaths += result.false_deaths;
        suspicions += result.false_suspicions;
        bytes += fleet.bytes;
        nanos += fleet.nanos;
    }
    detections.sort_unstable();
    let seconds = u64_to_f64(RUNS * RUN_TIME_MS / 1_000 * members as u64);
    MembershipRow {
        members,
        loss_percent: loss,
        detection_ms: [
            detections.get(detections.len() / 2).copied().unwrap_or(0),
            detections.last().copied().unwrap_or(0),
        ],
        false_deaths: deaths,
        false_suspicions: suspicions,
        bytes_a_second: u64_to_f64(bytes as u64) / seconds,
        nanos_a_second: u64_to_f64(u64::try_from(nanos).unwrap_or(u64::MAX)) / seconds,
    }
}

struct RunResult {
    detections: Vec<u64>,
    false_deaths: usize,
    false_suspicions: usize,
}

fn name(number: usize) -> InstanceId {
    InstanceId::new(format!("domain-{number}"))
}

impl Fleet {
    fn new(members: usize, loss_percent: u32, seed: u64) -> Self {
        let owner = |number| OwnerId::new(name(number), Incarnation(1));
        let address = |number| format!("10.0.0.{number}:7000");
        let mut tables: Vec<MemberTable> = (0..members)
            .map(|number| {
                let limits = MemberLimits::default();
                let seed = seed * 1_000 + number as u64;
                MemberTable::new(owner(number), &address(number), limits, seed)
            })
            .collect();
        let all: Vec<MemberUpdate> = tables.iter().flat_map(MemberTable::snapshot).collect();
        for table in &mut tables {
            table.merge(&all, 0);
            table.take_events();
        }
        let mut fleet = Self {
            tables,
            rng: SmallRng::seed_from_u64(seed),
            loss_percent,
            dead: BTreeSet::new(),
            bytes: 0,
            nanos: 0,
            answered_updates: Vec::new(),
            events: BinaryHeap::new(),
            next: 0,
        };
        for number in 0..members {
            let offset = fleet.rng.random_range(0..TICK_MS);
            fleet.schedule(offset, Event::Tick(number));
        }
        fleet
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.events.push(Reverse((at, self.next, event)));
        self.next += 1;
    }

    fn run(&mut self) -> RunResult {
        let mut result = RunResult {
            detections: Vec::new(),
            false_deaths: 0,
            false_suspicions: 0,
        };
        let mut detected_after: BTreeMap<usize, u64> = BTreeMap::new();
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now > RUN_TIME_MS {
                break;
            }
            if now >= KILL_TIME_MS {
                self.dead.insert(0);
            }
            match event {
                Event::Tick(number) if self.dead.contains(&number) => {}
                Event::Tick(number) => {
                    self.tick(number, now);
                    self.record_events(number, now, &mut result, &mut detected_after);
                    self.schedule(now + TICK_MS, Event::Tick(number));
                }
                Event::Answer {
                    to,
                    sequence,
                    from: _,
                    updates,
                } => {
                    let updates = std::mem::take(&mut self.answered_updates[updates]);
                    self.tables[to].probe_answered(sequence);
                    self.tables[to].merge(&updates, now);
                }
            }
        }
        result.detections.extend(detected_after.into_values());
        result
    }

    fn tick(&mut self, number: usize, now: u64) {
        let start = std::time::Instant::now();
        let actions = self.tables[number].tick(now);
        self.nanos += start.elapsed().as_nanos();
        for action in actions {
            match action {
                MemberAction::Probe {
                    sequence, target, ..
                } => self.exchange(number, None, &target, sequence, now),
                MemberAction::Relay {
                    sequence,
                    relay,
                    target,
                    ..
                } => self.exchange(number, Some(&relay), &target, sequence, now),
            }
        }
    }

    fn is_lost(&mut self) -> bool {
        self.rng.random_range(0..100) < self.loss_percent
    }

    fn number(target: &InstanceId) -> usize {
        let text = target.as_str().rsplit('-').next().unwrap_or("0");
        text.parse().unwrap_or(0)
    }

    /// Sends a probe to `target`, directly or through a relay, and schedules its answer.
    fn exchange(
        &mut self,
        from: usize,
        relay: Option<&InstanceId>,
        target: &InstanceId,
        sequence: u64,
        now: u64,
    ) {
        let start = std::time::Instant::now();
        let out = self.tables[from].outgoing(target);
        self.nanos += start.elapsed().as_nanos();
        self.count(&out);
        let mut hops = 2;
        if let Some(relay) = relay {
            self.bytes += FRAME_BYTES;
            hops = 4;
            if self.dead.contains(&Self::number(relay)) {
                return;
            }
        }
        let number = Self::number(target);
        let is_lost = (0..hops).any(|_| self.is_lost());
        if is_lost || self.dead.contains(&number) {
            return;
        }
        let start = std::time::Instant::now();
        self.tables[number].merge(&out, now + ONE_WAY_DELAY_MS);
        let reply = self.tables[number].outgoing(&name(from));
        self.nanos += start.elapsed().as_nanos();
        self.count(&reply);
        self.answered_updates.push(reply);
        let answer = Event::Answer {
            to: from,
            sequence,
            from: number,
            updates: self.answered_updates.len() - 1,
        };
        self.schedule(now + hops * ONE_WAY_DELAY_MS, answer);
    }

    fn count(&mut self, updates: &[MemberUpdate]) {
        let message = ProbeMessage {
            from: "10.0.0.1:7000".to_owned(),
            updates: updates.to_vec(),
            digest: PeerDigest {
                config_version: 0,
                leaving: 0,
                quarantine: 0,
            },
        };
        self.bytes += FRAME_BYTES + probe_bytes(&message).unwrap_or(0);
    }

    fn record_events(
        &mut self,
        number: usize,
        now: u64,
        result: &mut RunResult,
        detected_after: &mut BTreeMap<usize, u64>,
    ) {
        for event in self.tables[number].take_events() {
            let subject = Self::number(&event.owner.instance);
            let is_dead = self.dead.contains(&subject);
            match event.status {
                MemberStatus::Dead if is_dead => {
                    detected_after.entry(number).or_insert(now - KILL_TIME_MS);
                }
                MemberStatus::Dead => result.false_deaths += 1,
                MemberStatus::Suspect if !is_dead => result.false_suspicions += 1,
                _ => {}
            }
        }
    }
}
