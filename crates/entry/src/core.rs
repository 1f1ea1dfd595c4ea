//! An entry instance without its network listeners: shared tables, control tasks and gateways.

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
use crate::operators::OperatorHandler;
use crate::peer_handler::EntryPeerHandler;
use crate::ports::{ControlPorts, SharedClockAndIds, WorkerPorts};
use crate::tables::EntryTables;

/// An entry instance without listeners. The daemon adds network listeners to it; tests drive it
/// directly.
pub struct EntryCore {
    control: Rc<Control>,
    handle: ControlHandle,
}

/// Creates the gateways that serve requests; can be cloned and sent to other threads.
#[derive(Clone)]
pub struct GatewayFactory {
    tables: Arc<EntryTables>,
    handle: ControlHandle,
}

impl EntryCore {
    /// Builds an instance and spawns the task that runs work sent from other threads. The control
    /// tasks run only after [`start`](Self::start).
    #[must_use]
    pub fn new(
        settings: EntrySettings,
        ports: ControlPorts,
        clock_and_ids: SharedClockAndIds,
    ) -> Self {
        let timer = TimerService::new();
        let tables = Arc::new(EntryTables::new(settings, timer, clock_and_ids));
        let (handle, inbox) = control_channel();
        let control = Rc::new(Control::new(tables, ports));
        control.spawn(inbox.run(control.clone()));
        Self { control, handle }
    }

    /// Spawns the control tasks. The instance joins its failure domain and admits requests once it
    /// has confirmed its configuration.
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

    /// Returns the handler for messages from other entry instances. It must stay on the control
    /// thread.
    #[must_use]
    pub fn peer_handler(&self) -> Rc<dyn PeerHandler> {
        Rc::new(EntryPeerHandler::new(self.control.clone()))
    }

    /// Returns a factory that creates gateways on other threads.
    #[must_use]
    pub fn gateways(&self) -> GatewayFactory {
        GatewayFactory {
            tables: self.control.tables.clone(),
            handle: self.handle.clone(),
        }
    }

    /// Takes the instance out of service; resolves when no request is in flight.
    pub async fn drain(&self) {
        drain_instance(self.control.tables.clone()).await;
    }

    /// Marks this instance as left in the membership and tells the other members.
    pub async fn leave_membership(&self) {
        self.control.leave_membership().await;
    }

    /// Resolves when an operator has announced that this instance will be stopped.
    pub async fn stop_announced(&self) {
        self.control.wait_until_stopped().await;
    }

    /// Whether load balancers should send requests to this instance.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.control.tables.is_ready()
    }
}

impl GatewayFactory {
    /// Creates the gateway through which one worker thread serves callers.
    #[must_use]
    pub fn callers(&self, ports: WorkerPorts) -> Rc<dyn CallerGateway> {
        let gateway = WorkerGateway::new(self.tables.clone(), self.handle.clone(), ports);
        Rc::new(gateway)
    }

    /// Creates the gateway through which the operators' server handles requests.
    #[must_use]
    pub fn operators(&self) -> Rc<dyn OperatorGateway> {
        Rc::new(OperatorHandler::new(
            self.tables.clone(),
            self.handle.clone(),
        ))
    }
}
