//! Notices that the host of a silent run is lost, so that nobody waits for its answer and memory that
//! is reserved for it is released.

use std::pin::pin;
use std::time::Duration;

use futures::future::{Either, select};
use peer::TunnelPurpose;
use policy::dispatch::placement::EndpointTarget;
use tokio::time::{Instant, timeout};

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
    let deadline = Instant::now() + time_limit;
    let mut answer = pin!(answer);
    let mut pause = first_check;
    let mut failed_checks = 0;
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if let Ok(answered) = timeout(pause.min(left), &mut answer).await {
            return Ok(answered);
        }
        if left <= pause {
            return Err(HostSilence::TimedOut);
        }
        let check = pin!(is_reached(core, host));
        failed_checks = match select(&mut answer, check).await {
            Either::Left((answered, _)) => return Ok(answered),
            Either::Right((true, _)) => 0,
            Either::Right((false, _)) => failed_checks + 1,
        };
        if failed_checks >= FAILED_CHECKS || core.is_lost(host) {
            return Err(HostSilence::HostLost);
        }
        pause = CHECK_INTERVAL;
    }
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
