//! Faults and planned work of a storm.

use std::rc::Rc;
use std::time::{Duration, Instant};

use adapter_standin::{ProxyMode, StoreFault};
use futures::future::{join, join_all};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::disruption::{DisruptionPlan, DisruptionScope};
use super::paths::PathKind;
use super::{POLL_INTERVAL, Storm, StormMood};
use crate::daemon::DaemonSignal;

/// Time between the begins of two disruptions, in milliseconds.
const GAP_MS: (u64, u64) = (300, 2_500);

/// Time for which a disruption lasts, in milliseconds.
const LENGTH_MS: (u64, u64) = (300, 4_000);

/// One of so many instances is struck at once, at least one.
const GROUP_SHARE: usize = 12;

/// Age of the copy from which the store comes back, and time for which it is away, in milliseconds.
const COPY_AGE_MS: (u64, u64) = (500, 7_000);
const AWAY_MS: (u64, u64) = (50, 600);

/// Time after the store's return until its operator and its workers have written again.
const REWRITE_TIME: Duration = Duration::from_millis(100);

/// Time for which an endpoint drains.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Bound in the settings that changes before a reload.
const CHANGED_BOUND: &str = "retry_slack";

/// Paths whose open connections fall silent at once.
const SILENCED_KINDS: [&[PathKind]; 5] = [
    &[PathKind::Store],
    &[PathKind::Peer],
    &[PathKind::Endpoint],
    &[PathKind::Peer, PathKind::Endpoint],
    &[PathKind::Store, PathKind::Peer, PathKind::Endpoint],
];

/// How often all of these connections fall silent, and the share of them that does otherwise.
const WHOLE_SILENCE_SHARE: f64 = 0.5;
const SILENCE_SHARE: (f64, f64) = (0.3, 0.9);

/// Most silences in a series, and the time between two of them in milliseconds.
const MAX_SILENCES: usize = 3;
const SILENCE_GAP_MS: (u64, u64) = (100, 2_500);

/// Time for which versions follow each other closely while instances are paused, in milliseconds.
const BURST_MS: (u64, u64) = (1_000, 5_000);

/// How often no other event begins until the fleet must be in touch again after a silence or a
/// burst, and the time beyond that.
const LULL_SHARE: f64 = 0.5;
const LULL_SLACK: Duration = Duration::from_secs(3);

/// Something that happens to a fleet.
#[derives::tag]
enum StormEvent {
    Restart,
    Reload,
    Release,
    Kill,
    Pause,
    Burst,
    StorePath,
    DomainCut,
    Store,
    Silence,
    Compact,
    Drill,
}

impl StormEvent {
    /// Whether a lull may follow, in which versions are judged.
    fn ends_in_lull(self) -> bool {
        matches!(self, Self::Silence | Self::Burst)
    }
}

impl StormMood {
    fn events(self) -> &'static [StormEvent] {
        const ALL: [StormEvent; 12] = [
            StormEvent::Drill,
            StormEvent::Silence,
            StormEvent::Burst,
            StormEvent::Restart,
            StormEvent::Reload,
            StormEvent::Release,
            StormEvent::Kill,
            StormEvent::Pause,
            StormEvent::StorePath,
            StormEvent::DomainCut,
            StormEvent::Store,
            StormEvent::Compact,
        ];
        match self {
            Self::Drills => &ALL[..7],
            Self::Planned => &ALL[3..6],
            Self::Faults => &ALL[1..],
        }
    }
}

impl Storm {
    /// Lets events happen, which overlap, until the storm ends.
    pub(super) async fn disrupt(self: &Rc<Self>, seed: u64) {
        let mut random = SmallRng::seed_from_u64(seed.rotate_left(41));
        let mut tasks = Vec::new();
        while Instant::now() < self.ends_at.get() {
            let gap = random.random_range(GAP_MS.0..GAP_MS.1);
            tokio::time::sleep(Duration::from_millis(gap)).await;
            let event = self.mood.events().choose(&mut random);
            let event = event.copied().unwrap_or(StormEvent::Reload);
            let storm = Rc::clone(self);
            let own_random = SmallRng::seed_from_u64(random.random());
            let happens = async move { storm.happen(event, own_random).await };
            let task = tokio::task::spawn_local(happens);
            let has_lull = event.ends_in_lull() && random.random_bool(LULL_SHARE);
            if !has_lull {
                tasks.push(task);
                continue;
            }
            if let Err(error) = task.await {
                eprintln!("an event failed: {error}");
            }
            let left = self.ends_at.get().saturating_duration_since(Instant::now());
            let lull = self.site.stable_time + LULL_SLACK;
            tokio::time::sleep(lull.min(left)).await;
        }
        join_all(tasks).await;
    }

    async fn happen(&self, event: StormEvent, mut random: SmallRng) {
        let length = Duration::from_millis(random.random_range(LENGTH_MS.0..LENGTH_MS.1));
        match event {
            StormEvent::Restart => {
                let group = self.draw_group(&mut random);
                join_all(group.into_iter().map(|daemon| self.restart(daemon))).await;
            }
            StormEvent::Reload => self.reload(&mut random),
            StormEvent::Release => self.release(&mut random).await,
            StormEvent::Kill => {
                let group = self.draw_group(&mut random);
                join_all(group.into_iter().map(|daemon| self.kill(daemon, length))).await;
            }
            StormEvent::Pause => {
                let group = self.draw_group(&mut random);
                join_all(group.into_iter().map(|daemon| self.pause(daemon, length))).await;
            }
            StormEvent::Burst => {
                let length = random.random_range(BURST_MS.0..BURST_MS.1);
                let length = Duration::from_millis(length);
                let group = self.draw_group(&mut random);
                let pauses = join_all(group.into_iter().map(|daemon| self.pause(daemon, length)));
                join(pauses, self.publish_burst(length, &mut random)).await;
            }
            StormEvent::StorePath => {
                let group = self.draw_group(&mut random);
                self.cut_store(&group, &mut random, length).await;
            }
            StormEvent::DomainCut => {
                let cut = random.random_range(0..self.site.domain_sizes.len());
                let daemons = (0..self.domains.len()).filter(|index| self.domains[*index] == cut);
                let group = self.unstruck(&daemons.collect::<Vec<_>>());
                self.cut_store(&group, &mut random, length).await;
            }
            StormEvent::Store => {
                let faults = [
                    StoreFault::Refusing,
                    StoreFault::Silent,
                    StoreFault::LosingWrites,
                ];
                let fault = faults.choose(&mut random).copied();
                self.disrupt_store(fault.unwrap_or(StoreFault::Silent), length)
                    .await;
            }
            StormEvent::Silence => {
                let kinds = SILENCED_KINDS.choose(&mut random);
                let kinds = kinds.copied().unwrap_or_default();
                self.silence(kinds, &mut random).await;
            }
            StormEvent::Compact => {
                let gap = self.begin_store();
                self.store.compact();
                self.disruptions.end(gap, Instant::now());
            }
            StormEvent::Drill => self.drill(&mut random).await,
        }
    }

    /// Draws instances that nothing else affects, and marks them.
    fn draw_group(&self, random: &mut SmallRng) -> Vec<usize> {
        let most = (self.domains.len() / GROUP_SHARE).max(1);
        let count = random.random_range(1..=most);
        let drawn = (0..count).map(|_| random.random_range(0..self.domains.len()));
        self.unstruck(&drawn.collect::<Vec<_>>())
    }

    /// Those of `daemons` that nothing else affects, which are marked.
    fn unstruck(&self, daemons: &[usize]) -> Vec<usize> {
        let mut is_struck = self.is_struck.borrow_mut();
        let take = |daemon: &usize| !std::mem::replace(&mut is_struck[*daemon], true);
        daemons.iter().copied().filter(take).collect()
    }

    fn begin(&self, daemon: usize, plan: DisruptionPlan) -> usize {
        let scope = DisruptionScope::Daemon(daemon);
        self.disruptions.begin(scope, plan, Instant::now())
    }

    fn begin_store(&self) -> usize {
        let plan = DisruptionPlan::Fault;
        self.disruptions
            .begin(DisruptionScope::Store, plan, Instant::now())
    }

    /// Silences open connections of these `kinds` for good, once or in a series.
    async fn silence(&self, kinds: &[PathKind], random: &mut SmallRng) {
        for round in 0..random.random_range(1..=MAX_SILENCES) {
            if round > 0 {
                let gap = random.random_range(SILENCE_GAP_MS.0..SILENCE_GAP_MS.1);
                tokio::time::sleep(Duration::from_millis(gap)).await;
            }
            let share = if random.random_bool(WHOLE_SILENCE_SHARE) {
                1.0
            } else {
                random.random_range(SILENCE_SHARE.0..SILENCE_SHARE.1)
            };
            let silence = self.disruptions.begin(
                DisruptionScope::Connections,
                DisruptionPlan::Fault,
                Instant::now(),
            );
            for kind in kinds {
                self.paths.silence(*kind, share, random);
            }
            self.disruptions.end(silence, Instant::now());
        }
    }

    fn end(&self, daemon: usize, disruption: usize) {
        self.disruptions.end(disruption, Instant::now());
        self.is_struck.borrow_mut()[daemon] = false;
    }

    fn signal(&self, daemon: usize, signal: DaemonSignal) {
        self.daemons.borrow_mut()[daemon].signal(signal);
    }

    fn start(&self, daemon: usize) {
        if let Err(error) = self.daemons.borrow_mut()[daemon].start() {
            eprintln!("cannot start daemon {daemon}: {error}");
        }
    }

    async fn restart(&self, daemon: usize) {
        let disruption = self.begin(daemon, DisruptionPlan::Restart);
        self.signal(daemon, DaemonSignal::Terminate);
        let killed_at = Instant::now() + self.site.grace_period;
        while self.daemons.borrow_mut()[daemon].is_running() {
            if Instant::now() >= killed_at {
                self.signal(daemon, DaemonSignal::Kill);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.start(daemon);
        self.end(daemon, disruption);
    }

    async fn kill(&self, daemon: usize, length: Duration) {
        let disruption = self.begin(daemon, DisruptionPlan::Crash);
        self.signal(daemon, DaemonSignal::Kill);
        tokio::time::sleep(length).await;
        self.start(daemon);
        self.end(daemon, disruption);
    }

    async fn pause(&self, daemon: usize, length: Duration) {
        let disruption = self.begin(daemon, DisruptionPlan::Fault);
        self.signal(daemon, DaemonSignal::Pause);
        tokio::time::sleep(length).await;
        self.signal(daemon, DaemonSignal::Resume);
        self.end(daemon, disruption);
    }

    /// Changes the settings of all instances and tells some of them.
    fn reload(&self, random: &mut SmallRng) {
        let value = random.random_range(0..200);
        let daemons = self.daemons.borrow_mut().len();
        for daemon in 0..daemons {
            if let Err(error) = self.daemons.borrow()[daemon].set_bound(CHANGED_BOUND, value) {
                eprintln!("cannot change the settings of daemon {daemon}: {error}");
            }
            if random.random_bool(0.3) && !self.is_struck.borrow()[daemon] {
                self.disruptions.reload(daemon, Instant::now());
                self.signal(daemon, DaemonSignal::Reload);
            }
        }
    }

    /// Replaces an endpoint: it drains and starts again.
    async fn release(&self, random: &mut SmallRng) {
        let endpoint = random.random_range(0..self.endpoints.len());
        self.register(endpoint, "draining");
        tokio::time::sleep(DRAIN_TIME).await;
        self.endpoints[endpoint].0.restart();
        self.register(endpoint, "ready");
    }

    /// Harms the paths of the `group` to the store.
    async fn cut_store(&self, group: &[usize], random: &mut SmallRng, length: Duration) {
        let modes = [
            ProxyMode::Silent,
            ProxyMode::SilentForward,
            ProxyMode::SilentBack,
            ProxyMode::Disconnect,
            ProxyMode::Blackhole,
        ];
        let mode = modes.choose(random).copied().unwrap_or(ProxyMode::Silent);
        let begun = group
            .iter()
            .map(|daemon| self.begin(*daemon, DisruptionPlan::Fault));
        let begun: Vec<usize> = begun.collect();
        for daemon in group {
            self.paths.store(*daemon).set_mode(mode);
        }
        tokio::time::sleep(length).await;
        for (daemon, disruption) in group.iter().zip(begun) {
            self.paths.store(*daemon).set_mode(ProxyMode::Pass);
            self.end(*daemon, disruption);
        }
    }

    async fn disrupt_store(&self, fault: StoreFault, length: Duration) {
        if self.is_store_away.replace(true) {
            return;
        }
        let disruption = self.begin_store();
        self.store.set_fault(fault);
        tokio::time::sleep(length).await;
        self.store.set_fault(StoreFault::None);
        self.disruptions.end(disruption, Instant::now());
        self.is_store_away.set(false);
    }

    /// Lets the store come back from a copy that lacks what instances wrote during restarts.
    async fn drill(&self, random: &mut SmallRng) {
        let copy = self.store.copy();
        let age = Duration::from_millis(random.random_range(COPY_AGE_MS.0..COPY_AGE_MS.1));
        let group = self.draw_group(random);
        let group_restarts = join_all(group.into_iter().map(|daemon| self.restart(daemon)));
        let ways = [StoreFault::None, StoreFault::Refusing, StoreFault::Silent];
        let way = ways.choose(random).copied().unwrap_or(StoreFault::None);
        let away = Duration::from_millis(random.random_range(AWAY_MS.0..AWAY_MS.1));
        let comes_back = async {
            tokio::time::sleep(age).await;
            if self.is_store_away.replace(true) {
                return;
            }
            let disruption = self.begin_store();
            self.store.set_fault(way);
            let lost = self.store.restore(&copy);
            tokio::time::sleep(away).await;
            self.store.set_fault(StoreFault::None);
            tokio::time::sleep(REWRITE_TIME).await;
            self.store.write_again(lost);
            self.acknowledge_again();
            self.disruptions.end(disruption, Instant::now());
            self.is_store_away.set(false);
        };
        join(group_restarts, comes_back).await;
    }

    /// Records that the store has acknowledged the newest version once more.
    fn acknowledge_again(&self) {
        if let Some(newest) = self.versions.borrow_mut().last_mut() {
            newest.acknowledged_at = Instant::now();
        }
    }
}
