//! Notices that the host of a silent run is lost, so that nobody waits for its answer and memory that
//! is reserved for it is released.

use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;

use futures::future::{Either, select};
use peer::TunnelPurpose;
use policy::dispatch::placement::EndpointTarget;
use tokio::time::{Instant, timeout_at};

use crate::core::RelayCore;
use crate::endpoint_connector::ConnectError;

/// Interval of the checks of a silent host.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Number of checks in a row that must fail. A sound endpoint may be silent for a second.
const FAILED_CHECKS: usize = 2;

/// Why the wait for a host ended without anything from it.
#[derives::tag]
pub(super) enum HostSilence {
    /// The time limit has passed; the host may be sound.
    TimedOut,
    /// The host is lost: its entry was removed, or nobody reaches it.
    HostLost,
}

/// Waits for `answer` of `host` for up to `time_limit`. After `first_check` of silence the host is
/// checked at intervals.
pub(super) async fn wait_for_host<F: Future>(
    core: &RelayCore,
    host: &EndpointTarget,
    time_limit: Duration,
    first_check: Duration,
    answer: F,
) -> Result<F::Output, HostSilence> {
    let mut watch = HostWatch::new(core, host, first_check);
    watch.wait(Instant::now() + time_limit, pin!(answer)).await
}

/// The checks of a host during one silence.
pub(super) struct HostWatch<'a> {
    core: &'a RelayCore,
    host: &'a EndpointTarget,
    next_check: Instant,
    /// Number of checks in a row that have failed.
    failed_checks: usize,
}

impl<'a> HostWatch<'a> {
    /// Begins to watch `host`, which is checked for the first time after `first_check`.
    pub(super) fn new(
        core: &'a RelayCore,
        host: &'a EndpointTarget,
        first_check: Duration,
    ) -> Self {
        Self {
            core,
            host,
            next_check: Instant::now() + first_check,
            failed_checks: 0,
        }
    }

    /// Waits for `answer` of the host until `deadline`.
    pub(super) async fn wait<F: Future>(
        &mut self,
        deadline: Instant,
        mut answer: Pin<&mut F>,
    ) -> Result<F::Output, HostSilence> {
        loop {
            let until = self.next_check.min(deadline);
            if let Ok(answered) = timeout_at(until, answer.as_mut()).await {
                return Ok(answered);
            }
            if deadline <= self.next_check {
                return Err(HostSilence::TimedOut);
            }
            let check = pin!(is_reached(self.core, self.host));
            self.failed_checks = match select(answer.as_mut(), check).await {
                Either::Left((answered, _)) => return Ok(answered),
                Either::Right((true, _)) => 0,
                Either::Right((false, _)) => self.failed_checks + 1,
            };
            if self.failed_checks >= FAILED_CHECKS || self.core.is_lost(self.host) {
                return Err(HostSilence::HostLost);
            }
            self.next_check = Instant::now() + CHECK_INTERVAL;
        }
    }
}

/// Checks the host of a run that was abandoned as silent once more, beside the run's repetition: without
/// that its loss is noticed only if another request happens to go there, or when its entry expires.
pub(super) fn check_abandoned(core: &Rc<RelayCore>, host: &EndpointTarget) {
    let (core, host) = (Rc::clone(core), host.clone());
    tokio::task::spawn_local(async move {
        if !is_reached(&core, &host).await {
            core.endpoint_gone(&host.endpoint);
        }
    });
}

/// Whether the host accepts a connection, or may do so on a path that this instance does not have. An
/// evacuated host is not probed; if it is lost, its entry is removed.
async fn is_reached(core: &RelayCore, host: &EndpointTarget) -> bool {
    if core.is_evacuated(&host.endpoint) {
        return true;
    }
    let connector = core.connections().connector();
    let opened = connector.connect(host, TunnelPurpose::Request).await;
    !matches!(opened, Err(ConnectError::EndpointLost))
}
