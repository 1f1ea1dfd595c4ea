//! Structured logging: JSON lines on standard output, through a bounded queue that never blocks.
//!
//! A dedicated thread writes the records. When the queue is full, a new record is dropped and
//! counted; the thread that logs it never waits.

use std::num::NonZeroUsize;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use spdlog::formatter::JsonFormatter;
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, StdStreamSink};
use spdlog::{Error, ErrorHandler, LevelFilter, Logger, ThreadPool};

/// Capacity of the queue, in records: a few seconds of output of the busiest instance.
const QUEUE_RECORDS: NonZeroUsize = NonZeroUsize::new(4_096).expect("not zero");

/// Interval at which written records are flushed.
const FLUSH_PERIOD: Duration = Duration::from_millis(500);

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Sets the default logger to one named `instance` that writes JSON lines to standard output.
///
/// # Errors
///
/// If `spdlog` cannot start its thread or rejects the name.
pub fn start_logging(instance: &str) -> Result<(), Error> {
    let stream = StdStreamSink::builder()
        .stdout()
        .formatter(JsonFormatter::new())
        .build_arc()?;
    let pool = ThreadPool::builder().capacity(QUEUE_RECORDS).build_arc()?;
    let sink = AsyncPoolSink::builder()
        .sink(stream)
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .error_handler(ErrorHandler::new(count_dropped))
        .build_arc()?;
    let logger = Logger::builder()
        .name(instance)
        .sink(sink)
        .level_filter(LevelFilter::All)
        .error_handler(ErrorHandler::new(count_dropped))
        .build_arc()?;
    logger.set_flush_period(Some(FLUSH_PERIOD));
    spdlog::set_default_logger(Arc::clone(&logger));
    Ok(())
}

/// Number of records dropped because the queue was full or writing failed.
#[must_use]
pub fn dropped_records() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

fn count_dropped(_error: Error) {
    DROPPED.fetch_add(1, Ordering::Relaxed);
}
