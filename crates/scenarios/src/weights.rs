//! Fake of the weight store, as one node reaches it.

use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use tokio::time::{Instant, sleep};
use weights::{LoadDecision, WeightStore, WeightStoreError};

use crate::network::Passage;
use crate::platform::PLATFORM;
use crate::world::{PlantedFault, WorldState};

/// Between two loads that the store allows.
const LOAD_PERIOD: Duration = Duration::from_secs(2);

/// Longest wait of a client for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(700);

/// What the weight store has allowed.
#[derive(Debug, Default)]
pub(crate) struct WeightState {
    next: Option<Instant>,
    /// Loads allowed so far.
    pub(crate) allowed: u64,
}

/// The weight store as one node reaches it, beside the platform.
pub(crate) struct FakeWeights {
    world: Rc<WorldState>,
    node: String,
}

impl FakeWeights {
    pub(crate) fn new(world: Rc<WorldState>, node: &str) -> Self {
        Self {
            world,
            node: node.to_owned(),
        }
    }

    async fn ask(&self) -> Result<LoadDecision, WeightStoreError> {
        if self.world.network.carry(&self.node, PLATFORM).await == Passage::Cut {
            sleep(ANSWER_TIME).await;
            return Err(WeightStoreError::Unavailable);
        }
        if self.world.planted == PlantedFault::UncountedLoads {
            return Ok(LoadDecision::Allowed);
        }
        let now = Instant::now();
        let mut state = self.world.weights.borrow_mut();
        if let Some(next) = state.next.filter(|next| *next > now) {
            let wait = u64::try_from((next - now).as_millis()).unwrap_or(u64::MAX);
            return Ok(LoadDecision::RetryAfter(wait.max(1)));
        }
        state.next = Some(now + LOAD_PERIOD);
        state.allowed += 1;
        Ok(LoadDecision::Allowed)
    }
}

impl WeightStore for FakeWeights {
    fn reserve<'a>(
        &'a self,
        _model: &'a str,
    ) -> LocalBoxFuture<'a, Result<LoadDecision, WeightStoreError>> {
        self.ask().boxed_local()
    }
}
