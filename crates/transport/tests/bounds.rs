//! Timeouts of exchanges on a busy thread.

use std::time::{Duration, Instant};

use futures::FutureExt;
use futures::future::select;
use jackdawpoint_transport::{ExchangeError, ExchangeLimits, HttpClient};
use ntex::http::Method;
use ntex::time::Millis;
use ntex::util::Bytes;
use tokio::net::TcpListener;

/// Time for which the thread is blocked between two runs of its timers, as on an overloaded core.
const STALL_TIME: Duration = Duration::from_millis(30);

/// Keeps a timer due at every tick of the `ntex` timer wheel, as other exchanges would.
async fn run_other_timers() {
    loop {
        ntex::time::sleep(Millis(16)).await;
    }
}

async fn stall_repeatedly() {
    loop {
        std::thread::sleep(STALL_TIME);
        tokio::task::yield_now().await;
    }
}

/// Guards against timeouts on the `ntex` timer wheel, which measures each tick from the time at
/// which the previous tick was processed: on a busy thread the delays accumulate and a timeout
/// fires far too late.
#[ntex::test]
async fn a_request_to_a_silent_server_times_out_on_a_busy_thread() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a free port is available");
    let address = listener.local_addr().expect("the listener is bound");
    let limits = ExchangeLimits {
        connect: Duration::from_millis(500),
        head: Duration::from_secs(1),
        ..ExchangeLimits::default()
    };
    let time_limit = limits.connect + limits.head;
    let client = HttpClient::new(limits).await;
    let request = client.request(Method::GET, &format!("http://{address}/"));
    let sent_at = Instant::now();
    let sending = client.send(request, Bytes::new()).boxed_local();
    let other_work = futures::future::join(run_other_timers(), stall_repeatedly()).boxed_local();
    let futures::future::Either::Left((answer, _)) = select(sending, other_work).await else {
        unreachable!("the other work never ends");
    };
    assert!(
        matches!(answer, Err(ExchangeError::Silent)),
        "{:?}",
        answer.err()
    );
    let lateness = sent_at.elapsed().saturating_sub(time_limit);
    assert!(lateness < STALL_TIME * 10, "late by {lateness:?}");
}
