//! Fake plain services, as one node reaches them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use ntex::http::StatusCode;
use ntex::util::Bytes;
use service::{ServiceAnswer, ServiceCall, ServiceCallError, ServiceClient};
use tokio::time::{Instant, sleep, timeout};

use crate::network::Passage;
use crate::world::WorldState;

/// Time that a connection to an endpoint that is cut off is given.
const CONNECT_TIME: Duration = Duration::from_millis(500);

/// Time that a call takes.
const RUN_TIME: Duration = Duration::from_millis(20);

/// State and faults of one service endpoint.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) name: String,
    pub(crate) up_since: Instant,
    /// The next calls, this many, run and get no answer.
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

/// The services as one node reaches them.
pub(crate) struct FakeServices {
    world: Rc<WorldState>,
    node: String,
}

impl FakeServices {
    pub(crate) fn new(world: Rc<WorldState>, node: &str) -> Self {
        Self {
            world,
            node: node.to_owned(),
        }
    }

    async fn run(&self, address: SocketAddr, call: &ServiceCall) -> Result<(), ServiceCallError> {
        let (name, is_up) = self.world.with_service(address, |service| {
            (service.name.clone(), Instant::now() >= service.up_since)
        });
        let network = &self.world.network;
        if network.passage(&self.node, &name) == Passage::Cut {
            sleep(CONNECT_TIME).await;
            return Err(ServiceCallError::NotSent);
        }
        if !is_up {
            return Err(ServiceCallError::NotSent);
        }
        if network.carry(&self.node, &name).await == Passage::Cut {
            return silence().await;
        }
        sleep(RUN_TIME).await;
        self.world.note_run(call);
        let is_lost = self.world.with_service(address, |service| {
            let is_lost = service.lose_answers > 0;
            service.lose_answers = service.lose_answers.saturating_sub(1);
            is_lost
        });
        if is_lost {
            return Err(ServiceCallError::Lost);
        }
        if network.carry(&name, &self.node).await == Passage::Cut {
            return silence().await;
        }
        Ok(())
    }
}

/// A connection on which nothing arrives any more.
async fn silence() -> Result<(), ServiceCallError> {
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
                Ok(Err(fault)) => Err(fault),
                Err(_) => Err(ServiceCallError::Lost),
            }
        }
        .boxed_local()
    }
}
