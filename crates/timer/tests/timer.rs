//! The timer service on virtual time.

use jackdawpoint_timer::TimerService;

#[test]
fn wakes_subscribers_in_order_of_their_deadlines() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime depends on nothing outside the process");
    runtime.block_on(async {
        let service = TimerService::with_virtual_time();
        let late = tokio::spawn(service.after(30).wait());
        let soon = tokio::spawn(service.after(10).wait());
        service.advance(10);
        soon.await.expect("the subscriber was woken");
        assert!(!late.is_finished());
        service.advance(19);
        tokio::task::yield_now().await;
        assert!(
            !late.is_finished(),
            "the deadline is at 30 ms, the time is 29 ms"
        );
        service.advance(1);
        late.await.expect("the subscriber was woken");
        assert_eq!(service.now(), 30);
    });
}

#[test]
fn skips_missed_ticks() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime depends on nothing outside the process");
    runtime.block_on(async {
        let service = TimerService::with_virtual_time();
        let mut ticks = service.every(10);
        service.advance(55);
        ticks.tick().await;
        let mut next = std::pin::pin!(ticks.tick());
        assert!(
            poll_once(next.as_mut()).is_none(),
            "the next tick is at 65 ms"
        );
        service.advance(10);
        next.await;
    });
}

/// Polls a future once; `None` if it is pending.
fn poll_once<F: Future>(future: std::pin::Pin<&mut F>) -> Option<F::Output> {
    let mut context = std::task::Context::from_waker(std::task::Waker::noop());
    match future.poll(&mut context) {
        std::task::Poll::Ready(value) => Some(value),
        std::task::Poll::Pending => None,
    }
}
