//! An entry instance without its listeners: the tables, the control tasks and the gateways.

use std::rc::Rc;
use std::sync::Arc;

use caller::CallerGateway;
use operator::OperatorGateway;
use peer::PeerHandler;
use settings::EntrySettings;
use timer::TimerService;

use crate::control::{Control, ControlHandle, control_channel};
use crate::gateway::WorkerGateway;
use crate::lifecycle::drain_instance;
use crate::operators::OperatorDesk;
use crate::peer_answers::PeerAnswers;
use crate::ports::{ControlPorts, SharedIdentity, WorkerPorts};
use crate::tables::EntryTables;

/// An entry instance behind any listeners, or none: what the daemon and tests run alike.
pub struct EntryCore {
    control: Rc<Control>,
    handle: ControlHandle,
}

/// Makes the gateways of worker threads.
#[derive(Clone)]
pub struct GatewayFactory {
    tables: Arc<EntryTables>,
    handle: ControlHandle,
}

impl EntryCore {
    /// Builds an instance; [`start`](Self::start) sets it going.
    #[must_use]
    pub fn new(settings: EntrySettings, ports: ControlPorts, identity: SharedIdentity) -> Self {
        let timer = TimerService::new();
        let tables = Arc::new(EntryTables::new(settings, timer, identity));
        let (handle, inbox) = control_channel();
        let control = Rc::new(Control::new(tables, ports));
        control.spawn(inbox.run(control.clone()));
        Self { control, handle }
    }

    /// Starts the control tasks: the instance joins its failure domain and confirms its
    /// configuration.
    pub fn start(&self) {
        let control = &self.control;
        let timer = control.tables.timer.clone();
        control.spawn(async move { timer.run().await });
        control.update_stewardship();
        control.spawn(control.clone().run_membership());
        control.spawn(control.clone().run_queues());
        control.spawn(control.clone().run_listings());
        control.spawn(control.clone().run_configuration());
        control.spawn(control.clone().run_orders());
    }

    /// Answers the messages of other entry instances.
    #[must_use]
    pub fn peer_handler(&self) -> Rc<dyn PeerHandler> {
        Rc::new(PeerAnswers::new(self.control.clone()))
    }

    /// Makes gateways on other threads.
    #[must_use]
    pub fn gateways(&self) -> GatewayFactory {
        GatewayFactory {
            tables: self.control.tables.clone(),
            handle: self.handle.clone(),
        }
    }

    /// Takes the instance out of service and resolves when nothing runs any more.
    pub async fn drain(&self) {
        drain_instance(self.control.tables.clone()).await;
    }

    /// Tells the other instances that this one ends.
    pub async fn say_goodbye(&self) {
        self.control.say_goodbye().await;
    }

    /// Resolves when an operator has announced that this instance stops.
    pub async fn stop_announced(&self) {
        self.control.wait_until_stopped().await;
    }

    /// Whether the balancer should send requests here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.control.tables.is_ready()
    }
}

impl GatewayFactory {
    /// A gateway for callers, for one worker thread.
    #[must_use]
    pub fn callers(&self, ports: WorkerPorts) -> Rc<dyn CallerGateway> {
        let gateway = WorkerGateway::new(self.tables.clone(), self.handle.clone(), ports);
        Rc::new(gateway)
    }

    /// A gateway for operators.
    #[must_use]
    pub fn operators(&self) -> Rc<dyn OperatorGateway> {
        Rc::new(OperatorDesk::new(self.tables.clone(), self.handle.clone()))
    }
}
