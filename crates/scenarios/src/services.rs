//! Fake service endpoints.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use ntex::http::StatusCode;
use ntex::util::Bytes;
use service::{ServiceAnswer, ServiceCall, ServiceCallError, ServiceClient};
use tokio::time::{Instant, sleep, timeout};

use crate::network::Delivery;
use crate::world::WorldState;

/// Time after which a connection attempt to a partitioned endpoint fails.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time that an endpoint takes to execute a call.
const CALL_DURATION: Duration = Duration::from_millis(20);

/// State and injected faults of one service endpoint.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) name: String,
    pub(crate) up_since: Instant,
    /// Number of calls to come that are executed and whose answer is lost.
    pub(crate) lose_answers: u32,
}

impl ServiceState {
    pub(crate) fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            up_since: Instant::now(),
            lose_answers: 0,
        }
    }
}

/// Service client of one instance.
pub(crate) struct FakeServices {
    world: Rc<WorldState>,
    instance: String,
}

impl FakeServices {
    pub(crate) fn new(world: Rc<WorldState>, instance: &str) -> Self {
        Self {
            world,
            instance: instance.to_owned(),
        }
    }

    async fn run(&self, address: SocketAddr, call: &ServiceCall) -> Result<(), ServiceCallError> {
        let (name, is_up) = self.world.with_service(address, |service| {
            (service.name.clone(), Instant::now() >= service.up_since)
        });
        let network = &self.world.network;
        if network.delivery(&self.instance, &name) == Delivery::Dropped {
            sleep(CONNECT_TIMEOUT).await;
            return Err(ServiceCallError::NotSent);
        }
        if !is_up {
            return Err(ServiceCallError::NotSent);
        }
        if network.transmit(&self.instance, &name).await == Delivery::Dropped {
            return no_answer().await;
        }
        sleep(CALL_DURATION).await;
        self.world.record_call(call);
        let is_lost = self.world.with_service(address, |service| {
            let is_lost = service.lose_answers > 0;
            service.lose_answers = service.lose_answers.saturating_sub(1);
            is_lost
        });
        if is_lost {
            return Err(ServiceCallError::Lost);
        }
        if network.transmit(&name, &self.instance).await == Delivery::Dropped {
            return no_answer().await;
        }
        Ok(())
    }
}

/// Never resolves: the message is lost, and the client waits until its timeout.
async fn no_answer() -> Result<(), ServiceCallError> {
    std::future::pending().await
}

impl ServiceClient for FakeServices {
    fn send<'a>(
        &'a self,
        address: SocketAddr,
        call: &'a ServiceCall,
        wait: u64,
    ) -> LocalBoxFuture<'a, Result<ServiceAnswer, ServiceCallError>> {
        async move {
            match timeout(Duration::from_millis(wait), self.run(address, call)).await {
                Ok(Ok(())) => Ok(ServiceAnswer {
                    status: StatusCode::OK,
                    headers: Vec::new(),
                    body: Bytes::from_static(b"{}"),
                }),
                Ok(Err(error)) => Err(error),
                Err(_) => Err(ServiceCallError::Lost),
            }
        }
        .boxed_local()
    }
}
