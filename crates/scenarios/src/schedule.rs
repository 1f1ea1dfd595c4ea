//! Random schedules of requests, faults and operator actions.

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::clients::PromptPlan;
use crate::engines::CRASH_MARKER;
use crate::history::RequestEnd;
use crate::invariants::Violation;
use crate::platform::PLATFORM;
use crate::world::{MODEL, ModelLoading, PlantedFault, SECOND_MODEL, World, WorldPlan};

/// Number of actions in one schedule.
const ACTIONS_PER_SCHEDULE: u32 = 120;

/// Exclusive upper bound of the time between two actions, in milliseconds.
const MAX_ACTION_GAP_MS: u64 = 600;

/// Time for the fleet to settle after all faults have ended, in milliseconds.
const SETTLE_MS: u64 = 60_000;

/// Result of one schedule.
#[derives::value]
pub struct ScheduleReport {
    /// Seed of the schedule.
    pub seed: u64,
    /// Number of requests sent.
    pub requests: usize,
    /// Number of requests with a complete or a replayed answer.
    pub whole: usize,
    /// Number of requests that were reported as not run.
    pub not_run: usize,
    /// Number of requests that were reported as unfinished.
    pub unfinished: usize,
    /// Number of requests whose connection to the instance was lost.
    pub connection_lost: usize,
    /// Violated invariants.
    pub violations: Vec<Violation>,
    /// Faults and operator actions in order, each with its virtual time, as readable text.
    pub actions: Vec<String>,
}

/// A scheduled action that ends an earlier fault.
struct Recovery {
    /// Virtual time in milliseconds.
    due: u64,
    kind: RecoveryKind,
}

enum RecoveryKind {
    Start(String),
    Resume(String),
    ResumeEngine(String),
    PlatformUp,
    Heal,
}

struct Scheduler {
    world: World,
    loading: ModelLoading,
    rng: SmallRng,
    /// Virtual time in milliseconds.
    now: u64,
    recoveries: Vec<Recovery>,
    /// Idempotency keys of earlier calls.
    keys: Vec<String>,
    actions: Vec<String>,
    poison_prompts_sent: u32,
    has_announced_leave: bool,
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
        PlantedFault::UncountedLoads => ModelLoading::Checked,
        _ => ModelLoading::Fixed,
    };
    run_plan(&WorldPlan {
        seed,
        loading,
        planted,
        ..WorldPlan::default()
    })
}

/// Runs the schedule of a seed in a world whose instances order engines to load models.
#[must_use]
pub fn run_order_schedule(seed: u64, loading: ModelLoading) -> ScheduleReport {
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
        recoveries: Vec::new(),
        keys: Vec::new(),
        actions: Vec::new(),
        poison_prompts_sent: 0,
        has_announced_leave: false,
    };
    scheduler.advance(2_000);
    for _ in 0..ACTIONS_PER_SCHEDULE {
        scheduler.perform_random_action();
        let gap = scheduler.rng.random_range(1..MAX_ACTION_GAP_MS);
        scheduler.advance(gap);
    }
    scheduler.settle();
    scheduler.report(seed)
}

impl Scheduler {
    fn advance(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            let step = (end - self.now).min(50);
            self.world.advance(step);
            self.now += step;
            self.apply_recoveries();
        }
    }

    fn apply_recoveries(&mut self) {
        let now = self.now;
        let (due, pending) = std::mem::take(&mut self.recoveries)
            .into_iter()
            .partition(|recovery| recovery.due <= now);
        self.recoveries = pending;
        let due: Vec<Recovery> = due;
        for recovery in due {
            self.recover(&recovery.kind);
        }
    }

    fn recover(&mut self, kind: &RecoveryKind) {
        match kind {
            RecoveryKind::Start(instance) => {
                self.world.start_instance(instance);
                self.log_action(&format!("start {instance}"));
            }
            RecoveryKind::Resume(instance) => {
                self.world.resume(instance);
                self.log_action(&format!("resume {instance}"));
            }
            RecoveryKind::ResumeEngine(engine) => {
                let state = &self.world.state;
                state.with_named_engine(engine, |one| one.is_frozen = false);
                self.log_action(&format!("resume {engine}"));
            }
            RecoveryKind::PlatformUp => {
                self.world.set_platform_down(false);
                self.log_action("platform up");
            }
            RecoveryKind::Heal => {
                self.world.heal();
                self.log_action("heal the network");
            }
        }
    }

    fn log_action(&mut self, text: &str) {
        self.actions.push(format!("{} ms: {text}", self.now));
    }

    fn schedule_recovery(&mut self, range: std::ops::Range<u64>, kind: RecoveryKind) {
        let due = self.now + self.rng.random_range(range);
        self.recoveries.push(Recovery { due, kind });
    }

    fn pick_instance(&mut self) -> String {
        let names = self.world.instance_names();
        let picked = names.choose(&mut self.rng);
        picked.expect("a world has at least one instance").clone()
    }

    fn pick_engine(&mut self) -> String {
        let names = self.world.state.engine_names();
        let picked = names.choose(&mut self.rng);
        picked.expect("a world has at least one engine").clone()
    }

    fn perform_random_action(&mut self) {
        match self.rng.random_range(0..100) {
            0..34 => self.send_prompt(),
            34..54 => self.send_call(),
            54..58 => self.end_instance(),
            58..62 => self.freeze_instance(),
            62..65 => self.stop_instance(),
            65..72 => self.partition_random_sites(),
            72..76 => self.platform_fault(),
            76..88 => self.engine_fault(),
            88..91 => self.service_fault(),
            91..96 => self.change_template(),
            96..98 => self.announce_random_leave(),
            _ => self.send_poison_prompt(),
        }
    }

    fn send_prompt(&mut self) {
        let instance = self.pick_instance();
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
            content_id: String::new(),
        };
        self.world.complete(&instance, &plan);
    }

    /// Picks one of the models that the world's engines may have loaded.
    fn pick_model(&mut self) -> &'static str {
        if self.loading == ModelLoading::Fixed {
            return MODEL;
        }
        let models = [MODEL, SECOND_MODEL];
        models
            .choose(&mut self.rng)
            .expect("the list of models is not empty")
    }

    fn send_poison_prompt(&mut self) {
        if self.poison_prompts_sent >= 4 {
            return;
        }
        self.poison_prompts_sent += 1;
        let instance = self.pick_instance();
        let plan = PromptPlan {
            model: MODEL.to_owned(),
            prompt_tokens: 1_000,
            prefill_ms: 10,
            answer_tokens: 5,
            token_ms: 30,
            timeout_ms: 8_000,
            content_id: CRASH_MARKER.to_owned(),
        };
        self.world.complete(&instance, &plan);
        self.log_action(&format!("crashing prompt to {instance}"));
    }

    fn send_call(&mut self) {
        let instance = self.pick_instance();
        let is_repeat = !self.keys.is_empty() && self.rng.random_range(0..3) == 0;
        let key = if is_repeat {
            let picked = self.keys.choose(&mut self.rng);
            picked
                .expect("a repeated call needs an earlier key")
                .clone()
        } else {
            let key = self.world.fresh_key();
            self.keys.push(key.clone());
            key
        };
        let timeout = self.rng.random_range(200..6_000);
        self.world.call(&instance, &key, timeout);
        // The same call reaches a second instance at the same time.
        if self.rng.random_range(0..4) == 0 {
            let other = self.pick_instance();
            self.world.call(&other, &key, timeout);
        }
    }

    fn end_instance(&mut self) {
        let instance = self.pick_instance();
        if self.rng.random_range(0..2) == 0 {
            self.world.kill(&instance);
            self.log_action(&format!("kill {instance}"));
        } else {
            self.world.lose_machine(&instance);
            self.log_action(&format!("lose the machine of {instance}"));
        }
        self.schedule_recovery(500..9_000, RecoveryKind::Start(instance));
    }

    fn freeze_instance(&mut self) {
        let instance = self.pick_instance();
        self.world.freeze(&instance);
        self.log_action(&format!("freeze {instance}"));
        self.schedule_recovery(200..8_000, RecoveryKind::Resume(instance));
    }

    fn stop_instance(&mut self) {
        let instance = self.pick_instance();
        self.world.stop_instance(&instance);
        self.log_action(&format!("stop {instance}"));
        self.schedule_recovery(9_000..15_000, RecoveryKind::Start(instance));
    }

    fn partition_random_sites(&mut self) {
        let instance = self.pick_instance();
        let domain = instance.split('-').next().unwrap_or("").to_owned();
        let names = self.world.instance_names();
        match self.rng.random_range(0..5) {
            0 => self.partition_all(&[instance], &[PLATFORM.to_owned()]),
            1 => {
                let in_domain = names.iter().filter(|name| name.starts_with(&domain));
                self.partition_all(
                    &in_domain.cloned().collect::<Vec<_>>(),
                    &[PLATFORM.to_owned()],
                );
            }
            2 => {
                let (in_domain, outside): (Vec<String>, Vec<String>) = names
                    .into_iter()
                    .partition(|name| name.starts_with(&domain));
                self.partition_all(&in_domain, &outside);
            }
            3 => {
                let others: Vec<String> =
                    names.into_iter().filter(|name| *name != instance).collect();
                self.partition_all(&[instance], &others);
            }
            _ => {
                let engine = self.pick_engine();
                self.partition_all(&[instance], &[engine]);
            }
        }
        self.schedule_recovery(500..10_000, RecoveryKind::Heal);
    }

    fn partition_all(&mut self, left: &[String], right: &[String]) {
        for one in left {
            for other in right {
                self.world.partition(one, other);
            }
        }
        self.log_action(&format!("partition {left:?} from {right:?}"));
    }

    fn platform_fault(&mut self) {
        if self.rng.random_range(0..2) == 0 {
            self.world.set_platform_down(true);
            self.log_action("platform down");
            self.schedule_recovery(500..12_000, RecoveryKind::PlatformUp);
        } else {
            let count = self.rng.random_range(1..4);
            self.world.lose_platform_answers(count);
            self.log_action(&format!("lose the answers of {count} platform writes"));
        }
    }

    fn engine_fault(&mut self) {
        let engine = self.pick_engine();
        let faults = if self.loading == ModelLoading::Fixed {
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
            3 => self.schedule_recovery(300..5_000, RecoveryKind::ResumeEngine(engine.clone())),
            4 => self.world.kill_engine(&engine, 2_000),
            _ => {}
        }
        self.log_action(&format!("fault {fault} at {engine}"));
    }

    fn service_fault(&mut self) {
        let names = self.world.state.service_names();
        let name = names
            .choose(&mut self.rng)
            .expect("a world has at least one service");
        let is_outage = self.rng.random_range(0..2) == 0;
        let name = name.clone();
        if is_outage {
            self.world.stop_service(&name, 3_000);
        } else {
            let state = &self.world.state;
            state.with_named_service(&name, |service| service.lose_answers = 1);
        }
        self.log_action(&format!("fault at {name}, outage: {is_outage}"));
    }

    fn change_template(&mut self) {
        let instance = self.pick_instance();
        let tokens = self.rng.random_range(1..1_000);
        self.world.set_template(&instance, tokens);
        self.log_action(&format!("change the template at {instance}"));
        if self.rng.random_range(0..3) == 0 {
            let other = self.pick_instance();
            self.world.set_template(&other, tokens + 1);
            self.log_action(&format!("change the template at {other} at the same time"));
        }
    }

    fn announce_random_leave(&mut self) {
        if self.has_announced_leave {
            return;
        }
        self.has_announced_leave = true;
        let subject = match self.rng.random_range(0..2) {
            0 => self.pick_engine(),
            _ => self.pick_instance(),
        };
        let domain = subject.split('-').next().unwrap_or("").to_owned();
        self.world.announce(&format!("{domain}-0"), &subject);
        self.log_action(&format!("announce {subject}"));
    }

    /// Ends all faults, gives the fleet time to settle and checks the settled state.
    fn settle(&mut self) {
        self.world.heal();
        self.world.set_platform_down(false);
        self.world.lose_platform_answers(0);
        for engine in self.world.state.engine_names() {
            let state = &self.world.state;
            state.with_named_engine(&engine, |one| one.is_frozen = false);
        }
        // A planned stop may still be draining; the second pass restarts its instance.
        for _ in 0..2 {
            for instance in self.world.instance_names() {
                self.world.resume(&instance);
                self.world.start_instance(&instance);
            }
            self.advance(SETTLE_MS / 2);
        }
        for instance in self.world.instance_names() {
            self.world.start_instance(&instance);
        }
        self.advance(SETTLE_MS);
        self.world.check_settled();
    }

    fn report(self, seed: u64) -> ScheduleReport {
        use policy::outcome::RequestOutcome;
        let history = self.world.state.history.borrow();
        let count = |is_one: fn(&RequestEnd) -> bool| {
            let ends = history.requests.iter().map(|record| &record.end);
            ends.filter(|end| is_one(end)).count()
        };
        ScheduleReport {
            seed,
            requests: history.requests.len(),
            whole: count(|end| {
                matches!(
                    end,
                    RequestEnd::Replayed | RequestEnd::Reported(RequestOutcome::Whole)
                )
            }),
            not_run: count(|end| matches!(end, RequestEnd::Reported(RequestOutcome::NotRun(_)))),
            unfinished: count(|end| {
                matches!(end, RequestEnd::Reported(RequestOutcome::Unfinished(_)))
            }),
            connection_lost: count(|end| *end == RequestEnd::ConnectionLost),
            violations: self.world.violations().to_vec(),
            actions: self.actions,
        }
    }
}
