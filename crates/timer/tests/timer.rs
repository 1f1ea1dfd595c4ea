//! The timer service on virtual time.

use jackdawpoint_timer::TimerService;

#[test]
fn subscribers_are_woken_in_order_when_their_moment_has_come() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime needs nothing from outside");
    runtime.block_on(async {
        let service = TimerService::with_virtual_time();
        let late = tokio::spawn(service.after(30).wait());
        let soon = tokio::spawn(service.after(10).wait());
        service.advance(10);
        soon.await.expect("it was woken");
        assert!(!late.is_finished());
        service.advance(19);
        tokio::task::yield_now().await;
        assert!(!late.is_finished(), "29 ms are not 30");
        service.advance(1);
        late.await.expect("it was woken");
        assert_eq!(service.now(), 30);
    });
}

#[test]
fn ticks_that_were_missed_are_skipped() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime needs nothing from outside");
    runtime.block_on(async {
        let service = TimerService::with_virtual_time();
        let mut ticks = service.every(10);
        service.advance(55);
        ticks.tick().await;
        let mut next = std::pin::pin!(ticks.tick());
        assert!(futures_poll(next.as_mut()).is_none(), "the next is at 65");
        service.advance(10);
        next.await;
    });
}

/// Polls a future once.
fn futures_poll<F: Future>(future: std::pin::Pin<&mut F>) -> Option<F::Output> {
    let mut context = std::task::Context::from_waker(std::task::Waker::noop());
    match future.poll(&mut context) {
        std::task::Poll::Ready(value) => Some(value),
        std::task::Poll::Pending => None,
    }
}
