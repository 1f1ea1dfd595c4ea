//! One entry instance of the world.

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
use crate::gate::{GateSpawner, NodeGate, NodePhase};
use crate::peers::FakePeers;
use crate::platform::{FakePlatform, listed};
use crate::services::FakeServices;
use crate::weights::FakeWeights;
use crate::world::WorldState;

/// A running instance.
pub(crate) struct RunningNode {
    pub(crate) core: Rc<EntryCore>,
    pub(crate) callers: Rc<dyn CallerGateway>,
    pub(crate) operators: Rc<dyn OperatorGateway>,
    pub(crate) handler: Rc<dyn PeerHandler>,
}

/// Why a node that does not run has ended.
#[derives::tag]
pub(crate) enum NodeEnd {
    /// It has not, or not yet.
    None,
    /// Its process was killed.
    Killed,
    /// Its host went away: nothing that it was connected to notices.
    Vanished,
    /// It was stopped as planned.
    Planned,
}

/// An instance's place in the world; the process in it comes and goes.
pub(crate) struct NodeSlot {
    pub(crate) name: String,
    pub(crate) domain: String,
    pub(crate) address: String,
    pub(crate) settings: EntrySettings,
    pub(crate) gate: Rc<NodeGate>,
    pub(crate) running: Option<RunningNode>,
    pub(crate) end: NodeEnd,
    /// When it was last frozen, woken, cut off or healed.
    pub(crate) disturbed: Instant,
}

impl NodeSlot {
    pub(crate) fn new(name: &str, domain: &str, settings: EntrySettings) -> Self {
        Self {
            name: name.to_owned(),
            domain: domain.to_owned(),
            address: settings.listen.peers.to_string(),
            settings,
            gate: NodeGate::new(),
            running: None,
            end: NodeEnd::None,
            disturbed: Instant::now(),
        }
    }

    /// Whether its process runs and moves.
    pub(crate) fn is_moving(&self) -> bool {
        self.running.is_some() && self.gate.phase() == NodePhase::Running
    }

    /// Starts a process in this place.
    pub(crate) fn start(&mut self, world: &Rc<WorldState>) {
        self.gate = NodeGate::new();
        self.end = NodeEnd::None;
        let engines = Rc::new(FakeEngines::new(world.clone(), &self.name));
        let ports = ControlPorts {
            platform: Rc::new(FakePlatform::new(world.clone(), &self.name)),
            engines: engines.clone(),
            weights: Rc::new(FakeWeights::new(world.clone(), &self.name)),
            peers: Rc::new(FakePeers::new(world.clone(), &self.name)),
            spawner: Rc::new(GateSpawner::new(self.gate.clone())),
        };
        let identity: SharedClockAndIds = Arc::clone(&world.identity) as SharedClockAndIds;
        let incarnation = identity.unix_millis();
        let core = EntryCore::new(self.settings.clone(), ports, identity);
        let gateways = core.gateways();
        let worker = WorkerPorts {
            engines,
            services: Rc::new(FakeServices::new(world.clone(), &self.name)),
        };
        let node = RunningNode {
            callers: gateways.callers(worker),
            operators: gateways.operators(),
            handler: core.peer_handler(),
            core: Rc::new(core),
        };
        node.core.start();
        self.running = Some(node);
        let kind = InstanceKind::Entry;
        let row = listed(&self.name, &self.domain, &self.address, kind, incarnation);
        world.platform.borrow_mut().list_instance(row);
    }

    /// Ends the process at once.
    pub(crate) fn end(&mut self, end: NodeEnd) -> Option<RunningNode> {
        self.gate.kill();
        self.end = end;
        self.running.take()
    }
}
