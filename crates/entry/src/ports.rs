//! Everything outside an instance's own memory that it works with.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;

use engine::EngineClient;
use peer::PeerPort;
use platform::KeyValue;
use service::ServiceClient;
use weights::WeightStore;

/// The wall clock and unique ids.
pub trait IdentitySource: Send + Sync {
    /// Milliseconds since the Unix epoch; for idempotency keys, incarnations and histories only.
    fn unix_millis(&self) -> u64;

    /// An id that no instance of the fleet has used before.
    fn unique_id(&self) -> u128;
}

/// A task of the control thread.
pub type ControlFuture = Pin<Box<dyn Future<Output = ()>>>;

/// Runs tasks beside each other on the control thread.
pub trait TaskSpawner {
    /// Starts a task.
    fn spawn(&self, task: ControlFuture);
}

/// What the control thread works with.
#[derive(Clone)]
pub struct ControlPorts {
    /// The platform's key-value service and instance list.
    pub platform: Rc<dyn KeyValue>,
    /// Model engines.
    pub engines: Rc<dyn EngineClient>,
    /// The weight store.
    pub weights: Rc<dyn WeightStore>,
    /// Other entry instances.
    pub peers: Rc<dyn PeerPort>,
    /// Runs the control thread's tasks.
    pub spawner: Rc<dyn TaskSpawner>,
}

/// What one worker thread works with.
#[derive(Clone)]
pub struct WorkerPorts {
    /// Model engines.
    pub engines: Rc<dyn EngineClient>,
    /// Plain services.
    pub services: Rc<dyn ServiceClient>,
}

/// What all threads work with.
pub type SharedIdentity = Arc<dyn IdentitySource>;
