//! Fake weight store.

use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use tokio::time::{Instant, sleep};
use weights::{LoadDecision, WeightStore, WeightStoreError};

use crate::network::Delivery;
use crate::platform::PLATFORM;
use crate::world::{PlantedFault, WorldState};

/// Shortest time between two loads that the store allows.
const LOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Time after which a client gives up waiting for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);

/// Rate limiter and load counter of the weight store.
#[derive(Debug, Default)]
pub(crate) struct WeightState {
    next_load_at: Option<Instant>,
    /// Number of loads allowed so far.
    pub(crate) allowed: u64,
}

/// Weight store client of one instance; the store shares the platform's network site.
pub(crate) struct FakeWeights {
    world: Rc<WorldState>,
    instance: String,
}

impl FakeWeights {
    pub(crate) fn new(world: Rc<WorldState>, instance: &str) -> Self {
        Self {
            world,
            instance: instance.to_owned(),
        }
    }

    async fn reserve_load(&self) -> Result<LoadDecision, WeightStoreError> {
        if self.world.network.transmit(&self.instance, PLATFORM).await == Delivery::Dropped {
            sleep(ANSWER_TIMEOUT).await;
            return Err(WeightStoreError::Unavailable);
        }
        if self.world.planted == PlantedFault::UncountedLoads {
            return Ok(LoadDecision::Allowed);
        }
        let now = Instant::now();
        let mut state = self.world.weights.borrow_mut();
        if let Some(next) = state.next_load_at.filter(|next| *next > now) {
            let wait = u64::try_from((next - now).as_millis()).unwrap_or(u64::MAX);
            return Ok(LoadDecision::RetryAfter(wait.max(1)));
        }
        state.next_load_at = Some(now + LOAD_INTERVAL);
        state.allowed += 1;
        Ok(LoadDecision::Allowed)
    }
}

impl WeightStore for FakeWeights {
    fn reserve<'a>(
        &'a self,
        _model: &'a str,
    ) -> LocalBoxFuture<'a, Result<LoadDecision, WeightStoreError>> {
        self.reserve_load().boxed_local()
    }
}
