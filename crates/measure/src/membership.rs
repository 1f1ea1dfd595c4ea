//! Membership on virtual time: detection, false suspicions and traffic by number of members.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use peer::{PeerDigest, ProbeMessage, probe_bytes};
use policy::ids::{Incarnation, InstanceId, OwnerId};
use policy::member::{MemberAction, MemberLimits, MemberStatus, MemberTable, MemberUpdate};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use crate::workload::as_float;

/// What was seen among this many members.
#[derive(Debug, Serialize)]
pub(crate) struct MembershipRow {
    members: usize,
    loss_percent: u32,
    /// Milliseconds until every other member held the killed one for dead; median and largest.
    detection_ms: [u64; 2],
    /// Members held for dead that were alive, over all tables and the whole run.
    false_deaths: usize,
    /// Suspicions of members that were alive, over all tables and the whole run.
    false_suspicions: usize,
    /// Bytes sent by one member a second, messages and answers.
    bytes_a_second: f64,
    /// Nanoseconds of processor time of one member's decisions a second.
    nanos_a_second: f64,
}

/// Length of a run, in milliseconds.
const RUN_TIME: u64 = 120_000;

/// When a member is killed, in milliseconds.
const KILL_TIME: u64 = 60_000;

const TICK: u64 = 100;
const ONE_WAY: u64 = 1;

/// Bytes of the codec's own frame around a call or answer, and of the packets' headers.
const FRAME_BYTES: usize = 200;

/// Runs of each size.
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
    loss: u32,
    dead: BTreeSet<usize>,
    bytes: usize,
    nanos: u128,
    mail: Vec<Vec<MemberUpdate>>,
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
        let seen = fleet.run();
        detections.extend(seen.detections);
        deaths += seen.false_deaths;
        suspicions += seen.false_suspicions;
        bytes += fleet.bytes;
        nanos += fleet.nanos;
    }
    detections.sort_unstable();
    let seconds = as_float(RUNS * RUN_TIME / 1_000 * members as u64);
    MembershipRow {
        members,
        loss_percent: loss,
        detection_ms: [
            detections.get(detections.len() / 2).copied().unwrap_or(0),
            detections.last().copied().unwrap_or(0),
        ],
        false_deaths: deaths,
        false_suspicions: suspicions,
        bytes_a_second: as_float(bytes as u64) / seconds,
        nanos_a_second: as_float(u64::try_from(nanos).unwrap_or(u64::MAX)) / seconds,
    }
}

struct Seen {
    detections: Vec<u64>,
    false_deaths: usize,
    false_suspicions: usize,
}

fn name(number: usize) -> InstanceId {
    InstanceId::new(format!("domain-{number}"))
}

impl Fleet {
    fn new(members: usize, loss: u32, seed: u64) -> Self {
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
            loss,
            dead: BTreeSet::new(),
            bytes: 0,
            nanos: 0,
            mail: Vec::new(),
            events: BinaryHeap::new(),
            next: 0,
        };
        for number in 0..members {
            let offset = fleet.rng.random_range(0..TICK);
            fleet.schedule(offset, Event::Tick(number));
        }
        fleet
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.events.push(Reverse((at, self.next, event)));
        self.next += 1;
    }

    fn run(&mut self) -> Seen {
        let mut seen = Seen {
            detections: Vec::new(),
            false_deaths: 0,
            false_suspicions: 0,
        };
        let mut known: BTreeMap<usize, u64> = BTreeMap::new();
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now > RUN_TIME {
                break;
            }
            if now >= KILL_TIME {
                self.dead.insert(0);
            }
            match event {
                Event::Tick(number) if self.dead.contains(&number) => {}
                Event::Tick(number) => {
                    self.tick(number, now);
                    self.look(number, now, &mut seen, &mut known);
                    self.schedule(now + TICK, Event::Tick(number));
                }
                Event::Answer {
                    to,
                    sequence,
                    from: _,
                    updates,
                } => {
                    let updates = std::mem::take(&mut self.mail[updates]);
                    self.tables[to].probe_answered(sequence);
                    self.tables[to].merge(&updates, now);
                }
            }
        }
        seen.detections.extend(known.into_values());
        seen
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
        self.rng.random_range(0..100) < self.loss
    }

    fn number(target: &InstanceId) -> usize {
        let text = target.as_str().rsplit('-').next().unwrap_or("0");
        text.parse().unwrap_or(0)
    }

    /// A probe of `target`, direct or by a relay, with its answer.
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
        self.tables[number].merge(&out, now + ONE_WAY);
        let back = self.tables[number].outgoing(&name(from));
        self.nanos += start.elapsed().as_nanos();
        self.count(&back);
        self.mail.push(back);
        let answer = Event::Answer {
            to: from,
            sequence,
            from: number,
            updates: self.mail.len() - 1,
        };
        self.schedule(now + hops * ONE_WAY, answer);
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

    fn look(&mut self, number: usize, now: u64, seen: &mut Seen, known: &mut BTreeMap<usize, u64>) {
        for event in self.tables[number].take_events() {
            let subject = Self::number(&event.owner.instance);
            let is_dead = self.dead.contains(&subject);
            match event.status {
                MemberStatus::Dead if is_dead => {
                    known.entry(number).or_insert(now - KILL_TIME);
                }
                MemberStatus::Dead => seen.false_deaths += 1,
                MemberStatus::Suspect if !is_dead => seen.false_suspicions += 1,
                _ => {}
            }
        }
    }
}
