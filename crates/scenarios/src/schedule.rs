//! Random schedules of requests, faults and operators' doings.

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::clients::PromptPlan;
use crate::engines::CRASH_MARK;
use crate::invariants::Violation;
use crate::ledger::RequestEnd;
use crate::platform::PLATFORM;
use crate::world::{MODEL, PlantedFault, SECOND_MODEL, World, WorldLoading, WorldPlan};

/// Actions of one schedule.
const ACTIONS: u32 = 120;

/// Longest pause between two actions, in milliseconds.
const LONGEST_PAUSE: u64 = 600;

/// Time to settle after everything has been healed, in milliseconds.
const SETTLE_TIME: u64 = 60_000;

/// What came of one schedule.
#[derives::value]
pub struct ScheduleReport {
    /// The seed.
    pub seed: u64,
    /// Requests sent.
    pub requests: usize,
    /// Requests answered whole or replayed.
    pub whole: usize,
    /// Requests told not run.
    pub not_run: usize,
    /// Requests told unfinished.
    pub unfinished: usize,
    /// Requests whose instance was killed under them.
    pub cut: usize,
    /// Broken promises; none if all is well.
    pub violations: Vec<Violation>,
    /// The faults and changes in the order in which they were made, for the reader.
    pub actions: Vec<String>,
}

/// Something that ends an earlier fault.
struct Remedy {
    due: u64,
    kind: RemedyKind,
}

enum RemedyKind {
    Start(String),
    Wake(String),
    WakeEngine(String),
    PlatformUp,
    Heal,
}

struct Scheduler {
    world: World,
    loading: WorldLoading,
    rng: SmallRng,
    now: u64,
    remedies: Vec<Remedy>,
    keys: Vec<String>,
    actions: Vec<String>,
    poison: u32,
    leaving: bool,
}

/// Runs the schedule of a seed and checks the invariants at every step.
#[must_use]
pub fn run_schedule(seed: u64) -> ScheduleReport {
    run_planted_schedule(seed, PlantedFault::None)
}

/// Runs the schedule of a seed in a world with a planted fault.
#[must_use]
pub fn run_planted_schedule(seed: u64, planted: PlantedFault) -> ScheduleReport {
    let loading = match planted {
        PlantedFault::UncountedLoads => WorldLoading::Checked,
        _ => WorldLoading::Fixed,
    };
    run_plan(&WorldPlan {
        seed,
        loading,
        planted,
        ..WorldPlan::default()
    })
}

/// Runs the schedule of a seed in a world whose engines are ordered which model to load.
#[must_use]
pub fn run_order_schedule(seed: u64, loading: WorldLoading) -> ScheduleReport {
    run_plan(&WorldPlan {
        seed,
        loading,
        ..WorldPlan::default()
    })
}

fn run_plan(plan: &WorldPlan) -> ScheduleReport {
    let seed = plan.seed;
    let mut scheduler = Scheduler {
        world: World::new(plan),
        loading: plan.loading,
        rng: SmallRng::seed_from_u64(seed),
        now: 0,
        remedies: Vec::new(),
        keys: Vec::new(),
        actions: Vec::new(),
        poison: 0,
        leaving: false,
    };
    scheduler.run(2_000);
    for _ in 0..ACTIONS {
        scheduler.act();
        let pause = scheduler.rng.random_range(1..LONGEST_PAUSE);
        scheduler.run(pause);
    }
    scheduler.settle();
    scheduler.report(seed)
}

impl Scheduler {
    fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            let step = (end - self.now).min(50);
            self.world.run(step);
            self.now += step;
            self.apply_remedies();
        }
    }

    fn apply_remedies(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.remedies)
            .into_iter()
            .partition(|remedy| remedy.due <= now);
        self.remedies = later;
        let due: Vec<Remedy> = due;
        for remedy in due {
            self.remedy(&remedy.kind);
        }
    }

    fn remedy(&mut self, kind: &RemedyKind) {
        match kind {
            RemedyKind::Start(node) => {
                self.world.start_node(node);
                self.note(&format!("start {node}"));
            }
            RemedyKind::Wake(node) => {
                self.world.wake(node);
                self.note(&format!("wake {node}"));
            }
            RemedyKind::WakeEngine(engine) => {
                let state = &self.world.state;
                state.with_named_engine(engine, |one| one.is_frozen = false);
                self.note(&format!("wake {engine}"));
            }
            RemedyKind::PlatformUp => {
                self.world.set_platform_down(false);
                self.note("platform up");
            }
            RemedyKind::Heal => {
                self.world.heal();
                self.note("heal");
            }
        }
    }

    fn note(&mut self, text: &str) {
        self.actions.push(format!("{} ms: {text}", self.now));
    }

    fn later(&mut self, range: std::ops::Range<u64>, kind: RemedyKind) {
        let due = self.now + self.rng.random_range(range);
        self.remedies.push(Remedy { due, kind });
    }

    fn pick_node(&mut self) -> String {
        let names = self.world.node_names();
        let picked = names.choose(&mut self.rng);
        picked.expect("a world has instances").clone()
    }

    fn pick_engine(&mut self) -> String {
        let names = self.world.state.engine_names();
        let picked = names.choose(&mut self.rng);
        picked.expect("a world has engines").clone()
    }

    fn act(&mut self) {
        match self.rng.random_range(0..100) {
            0..34 => self.send_prompt(),
            34..54 => self.send_call(),
            54..58 => self.end_node(),
            58..62 => self.freeze_node(),
            62..65 => self.stop_node(),
            65..72 => self.cut_something(),
            72..76 => self.platform_fault(),
            76..88 => self.engine_fault(),
            88..91 => self.service_fault(),
            91..96 => self.change_template(),
            96..98 => self.announce_something(),
            _ => self.send_poison(),
        }
    }

    fn send_prompt(&mut self) {
        let node = self.pick_node();
        let (prompt_tokens, prefill_ms) = match self.rng.random_range(0..10) {
            0 => (150_000, 1_500),
            1 => (40_000, 400),
            _ => (1_000, 10),
        };
        let plan = PromptPlan {
            model: self.pick_model().to_owned(),
            prompt_tokens,
            prefill_ms,
            answer_tokens: self.rng.random_range(1..60),
            token_ms: 30,
            timeout_ms: self.rng.random_range(500..20_000),
            prefix: String::new(),
        };
        self.world.complete(&node, &plan);
    }

    /// Both models where engines load one of two.
    fn pick_model(&mut self) -> &'static str {
        if self.loading == WorldLoading::Fixed {
            return MODEL;
        }
        let models = [MODEL, SECOND_MODEL];
        models.choose(&mut self.rng).expect("there are models")
    }

    fn send_poison(&mut self) {
        if self.poison >= 4 {
            return;
        }
        self.poison += 1;
        let node = self.pick_node();
        let plan = PromptPlan {
            model: MODEL.to_owned(),
            prompt_tokens: 1_000,
            prefill_ms: 10,
            answer_tokens: 5,
            token_ms: 30,
            timeout_ms: 8_000,
            prefix: CRASH_MARK.to_owned(),
        };
        self.world.complete(&node, &plan);
        self.note(&format!("poison at {node}"));
    }

    fn send_call(&mut self) {
        let node = self.pick_node();
        let is_repeat = !self.keys.is_empty() && self.rng.random_range(0..3) == 0;
        let key = if is_repeat {
            let picked = self.keys.choose(&mut self.rng);
            picked.expect("there are keys").clone()
        } else {
            let key = self.world.fresh_key();
            self.keys.push(key.clone());
            key
        };
        let timeout = self.rng.random_range(200..6_000);
        self.world.call(&node, &key, timeout);
        // The same call at another instance in the same moment.
        if self.rng.random_range(0..4) == 0 {
            let other = self.pick_node();
            self.world.call(&other, &key, timeout);
        }
    }

    fn end_node(&mut self) {
        let node = self.pick_node();
        if self.rng.random_range(0..2) == 0 {
            self.world.kill(&node);
            self.note(&format!("kill {node}"));
        } else {
            self.world.vanish(&node);
            self.note(&format!("vanish {node}"));
        }
        self.later(500..9_000, RemedyKind::Start(node));
    }

    fn freeze_node(&mut self) {
        let node = self.pick_node();
        self.world.freeze(&node);
        self.note(&format!("freeze {node}"));
        self.later(200..8_000, RemedyKind::Wake(node));
    }

    fn stop_node(&mut self) {
        let node = self.pick_node();
        self.world.stop_node(&node);
        self.note(&format!("stop {node}"));
        self.later(9_000..15_000, RemedyKind::Start(node));
    }

    fn cut_something(&mut self) {
        let node = self.pick_node();
        let domain = node.split('-').next().unwrap_or("").to_owned();
        let names = self.world.node_names();
        match self.rng.random_range(0..5) {
            0 => self.cut_all(&[node], &[PLATFORM.to_owned()]),
            1 => {
                let inside = names.iter().filter(|name| name.starts_with(&domain));
                self.cut_all(&inside.cloned().collect::<Vec<_>>(), &[PLATFORM.to_owned()]);
            }
            2 => {
                let (inside, outside): (Vec<String>, Vec<String>) = names
                    .into_iter()
                    .partition(|name| name.starts_with(&domain));
                self.cut_all(&inside, &outside);
            }
            3 => {
                let others: Vec<String> = names.into_iter().filter(|name| *name != node).collect();
                self.cut_all(&[node], &others);
            }
            _ => {
                let engine = self.pick_engine();
                self.cut_all(&[node], &[engine]);
            }
        }
        self.later(500..10_000, RemedyKind::Heal);
    }

    fn cut_all(&mut self, ones: &[String], others: &[String]) {
        for one in ones {
            for other in others {
                self.world.cut(one, other);
            }
        }
        self.note(&format!("cut {ones:?} from {others:?}"));
    }

    fn platform_fault(&mut self) {
        if self.rng.random_range(0..2) == 0 {
            self.world.set_platform_down(true);
            self.note("platform down");
            self.later(500..12_000, RemedyKind::PlatformUp);
        } else {
            let count = self.rng.random_range(1..4);
            self.world.lose_platform_answers(count);
            self.note(&format!("lose {count} answers"));
        }
    }

    fn engine_fault(&mut self) {
        let engine = self.pick_engine();
        let faults = if self.loading == WorldLoading::Fixed {
            0..5
        } else {
            0..7
        };
        let fault = self.rng.random_range(faults);
        self.world
            .state
            .with_named_engine(&engine, |one| match fault {
                0 => one.silence_open_connections(),
                1 => one.cross_frames = 1,
                2 => one.truncate_streams = 2,
                3 => one.is_frozen = true,
                5 | 6 => one.late_orders = 3,
                _ => {}
            });
        match fault {
            3 => self.later(300..5_000, RemedyKind::WakeEngine(engine.clone())),
            4 => self.world.kill_engine(&engine, 2_000),
            _ => {}
        }
        self.note(&format!("fault {fault} of {engine}"));
    }

    fn service_fault(&mut self) {
        let names = self.world.state.service_names();
        let name = names.choose(&mut self.rng).expect("a world has services");
        let is_outage = self.rng.random_range(0..2) == 0;
        let name = name.clone();
        if is_outage {
            self.world.stop_service(&name, 3_000);
        } else {
            let state = &self.world.state;
            state.with_named_service(&name, |service| service.lose_answers = 1);
        }
        self.note(&format!("fault of {name}, outage {is_outage}"));
    }

    fn change_template(&mut self) {
        let node = self.pick_node();
        let tokens = self.rng.random_range(1..1_000);
        self.world.set_template(&node, tokens);
        self.note(&format!("template at {node}"));
        if self.rng.random_range(0..3) == 0 {
            let other = self.pick_node();
            self.world.set_template(&other, tokens + 1);
            self.note(&format!("template at {other} in the same moment"));
        }
    }

    fn announce_something(&mut self) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        let subject = match self.rng.random_range(0..2) {
            0 => self.pick_engine(),
            _ => self.pick_node(),
        };
        let domain = subject.split('-').next().unwrap_or("").to_owned();
        self.world.announce(&format!("{domain}-0"), &subject);
        self.note(&format!("announce {subject}"));
    }

    /// Ends every fault and gives the fleet time to settle.
    fn settle(&mut self) {
        self.world.heal();
        self.world.set_platform_down(false);
        self.world.lose_platform_answers(0);
        for engine in self.world.state.engine_names() {
            let state = &self.world.state;
            state.with_named_engine(&engine, |one| one.is_frozen = false);
        }
        // A planned stop may still be under way; its instance is started again afterwards.
        for _ in 0..2 {
            for node in self.world.node_names() {
                self.world.wake(&node);
                self.world.start_node(&node);
            }
            self.run(SETTLE_TIME / 2);
        }
        for node in self.world.node_names() {
            self.world.start_node(&node);
        }
        self.run(SETTLE_TIME);
        self.world.check_settled();
    }

    fn report(self, seed: u64) -> ScheduleReport {
        use policy::outcome::RequestOutcome;
        let ledger = self.world.state.ledger.borrow();
        let count = |is_one: fn(&RequestEnd) -> bool| {
            let ends = ledger.requests.iter().map(|record| &record.end);
            ends.filter(|end| is_one(end)).count()
        };
        ScheduleReport {
            seed,
            requests: ledger.requests.len(),
            whole: count(|end| {
                matches!(
                    end,
                    RequestEnd::Replayed | RequestEnd::Told(RequestOutcome::Whole)
                )
            }),
            not_run: count(|end| matches!(end, RequestEnd::Told(RequestOutcome::NotRun(_)))),
            unfinished: count(|end| matches!(end, RequestEnd::Told(RequestOutcome::Unfinished(_)))),
            cut: count(|end| *end == RequestEnd::Cut),
            violations: self.world.violations().to_vec(),
            actions: self.actions,
        }
    }
}
