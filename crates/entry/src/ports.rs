//! Interfaces through which an instance reaches everything outside its own memory.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;

use engine::EngineClient;
use peer::PeerPort;
use platform::KeyValue;
use service::ServiceClient;
use weights::WeightStore;

/// Source of wall clock time and of unique ids.
pub trait ClockAndIds: Send + Sync {
    /// Returns milliseconds since the Unix epoch. Used only for idempotency keys, incarnations and
    /// document histories; timeouts use the monotonic clock.
    fn unix_millis(&self) -> u64;

    /// Returns an id that no instance of the fleet has used before.
    fn unique_id(&self) -> u128;
}

/// A task that runs on the control thread.
pub type ControlFuture = Pin<Box<dyn Future<Output = ()>>>;

/// Spawns tasks that run concurrently on the control thread.
pub trait TaskSpawner {
    /// Spawns a task.
    fn spawn(&self, task: ControlFuture);
}

/// External interfaces of the control thread.
#[derive(Clone)]
pub struct ControlPorts {
    /// The platform's key-value service and instance list.
    pub platform: Rc<dyn KeyValue>,
    /// Client for the model engines.
    pub engines: Rc<dyn EngineClient>,
    /// The weight store, which admits the loading of models.
    pub weights: Rc<dyn WeightStore>,
    /// Client for the other entry instances.
    pub peers: Rc<dyn PeerPort>,
    /// Spawns the control thread's tasks.
    pub spawner: Rc<dyn TaskSpawner>,
}

/// External interfaces of one worker thread.
#[derive(Clone)]
pub struct WorkerPorts {
    /// Client for the model engines.
    pub engines: Rc<dyn EngineClient>,
    /// Client for the plain services.
    pub services: Rc<dyn ServiceClient>,
}

/// The clock and id source, shared by all threads.
pub type SharedClockAndIds = Arc<dyn ClockAndIds>;
