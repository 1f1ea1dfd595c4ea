//! A simulated entry instance.

use std::rc::Rc;
use std::sync::Arc;

use caller::CallerGateway;
use entry::{ControlPorts, EntryCore, SharedClockAndIds, WorkerPorts};
use operator::OperatorGateway;
use peer::PeerHandler;
use platform::InstanceKind;
use settings::EntrySettings;
use tokio::time::Instant;

use crate::engines::FakeEngines;
use crate::peers::FakePeers;
use crate::platform::{FakePlatform, listed_instance};
use crate::process_gate::{GatedSpawner, ProcessGate, ProcessPhase};
use crate::services::FakeServices;
use crate::weights::FakeWeights;
use crate::world::WorldState;

/// A running instance's core and the interfaces that its callers, operators and peers use.
pub(crate) struct RunningInstance {
    pub(crate) core: Rc<EntryCore>,
    pub(crate) callers: Rc<dyn CallerGateway>,
    pub(crate) operators: Rc<dyn OperatorGateway>,
    pub(crate) handler: Rc<dyn PeerHandler>,
}

/// How an instance's last process ended.
#[derives::tag]
pub(crate) enum ExitReason {
    /// The process has not ended, or none was started.
    None,
    /// The process was killed; its connections are closed.
    Killed,
    /// The machine disappeared; the other ends of its connections get no signal.
    MachineLost,
    /// The process was drained and stopped as planned.
    Planned,
}

/// An instance by name and settings, with the process that runs it at present, if any.
pub(crate) struct InstanceSlot {
    pub(crate) name: String,
    pub(crate) domain: String,
    pub(crate) address: String,
    pub(crate) settings: EntrySettings,
    pub(crate) gate: Rc<ProcessGate>,
    pub(crate) running: Option<RunningInstance>,
    pub(crate) exit_reason: ExitReason,
    /// Time at which the instance was last frozen, resumed, partitioned, healed or ended.
    pub(crate) last_disruption: Instant,
}

impl InstanceSlot {
    pub(crate) fn new(name: &str, domain: &str, settings: EntrySettings) -> Self {
        Self {
            name: name.to_owned(),
            domain: domain.to_owned(),
            address: settings.listen.peers.to_string(),
            settings,
            gate: ProcessGate::new(),
            running: None,
            exit_reason: ExitReason::None,
            last_disruption: Instant::now(),
        }
    }

    /// Whether the process is running and not frozen.
    pub(crate) fn is_responsive(&self) -> bool {
        self.running.is_some() && self.gate.phase() == ProcessPhase::Running
    }

    /// Starts a new process and adds it to the platform's instance list.
    pub(crate) fn start(&mut self, world: &Rc<WorldState>) {
        self.gate = ProcessGate::new();
        self.exit_reason = ExitReason::None;
        let engines = Rc::new(FakeEngines::new(world.clone(), &self.name));
        let ports = ControlPorts {
            platform: Rc::new(FakePlatform::new(world.clone(), &self.name)),
            engines: engines.clone(),
            weights: Rc::new(FakeWeights::new(world.clone(), &self.name)),
            peers: Rc::new(FakePeers::new(world.clone(), &self.name)),
            spawner: Rc::new(GatedSpawner::new(self.gate.clone())),
        };
        let clock_and_ids: SharedClockAndIds =
            Arc::clone(&world.clock_and_ids) as SharedClockAndIds;
        let incarnation = clock_and_ids.unix_millis();
        let core = EntryCore::new(self.settings.clone(), ports, clock_and_ids);
        let gateways = core.gateways();
        let worker = WorkerPorts {
            engines,
            services: Rc::new(FakeServices::new(world.clone(), &self.name)),
        };
        let instance = RunningInstance {
            callers: gateways.callers(worker),
            operators: gateways.operators(),
            handler: core.peer_handler(),
            core: Rc::new(core),
        };
        instance.core.start();
        self.running = Some(instance);
        let kind = InstanceKind::Entry;
        let entry = listed_instance(&self.name, &self.domain, &self.address, kind, incarnation);
        world.platform.borrow_mut().list_instance(entry);
    }

    /// Kills the process and returns the running instance for the caller to drop; `None` if the
    /// instance was not running.
    pub(crate) fn terminate(&mut self, exit_reason: ExitReason) -> Option<RunningInstance> {
        self.gate.kill();
        self.exit_reason = exit_reason;
        self.running.take()
    }
}
