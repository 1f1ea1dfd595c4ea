//! Prometheus counters and gauges of an entry instance.
//!
//! Every refusal, unfinished and retry reason has a series from the start, so that a reason that
//! never occurred reads as zero rather than as missing.

use policy::outcome::{RefusalReason, RetryReason, UnfinishedReason};
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Upper bounds of the first-token histogram, in seconds.
const FIRST_TOKEN_BUCKETS: [f64; 12] = [
    0.05, 0.1, 0.2, 0.4, 0.6, 0.96, 1.5, 3.0, 6.0, 12.0, 30.0, 60.0,
];

/// What engines answer to orders, as labels.
pub const ORDER_ANSWERS: [&str; 4] = ["taken", "fenced", "busy", "lost"];

/// The metrics of one entry instance.
#[derive(Debug)]
pub struct EntryMetrics {
    registry: Registry,
    refusals: IntCounterVec,
    unfinished: IntCounterVec,
    retries: IntCounterVec,
    whole: IntCounter,
    first_attempts: IntCounter,
    first_token: Histogram,
    /// Requests admitted and not yet ended.
    pub in_flight: IntGauge,
    /// Version of the configuration in force.
    pub config_version: IntGauge,
    /// Members of the failure domain that are alive, this instance among them.
    pub members_alive: IntGauge,
    /// Grants decided by this instance as steward.
    pub grants: IntCounter,
    /// Streams cancelled because their owner was gone.
    pub orphan_streams: IntCounter,
    /// Memory holds released because their owner was gone.
    pub orphan_memory: IntCounter,
    /// Calls to the key-value service.
    pub platform_calls: IntCounter,
    /// Calls to the key-value service that failed or whose answer was lost.
    pub platform_faults: IntCounter,
    /// Times that this instance took a new incarnation after a pause or a false death.
    pub rejoins: IntCounter,
    /// Messages between entry instances, sent and answered.
    pub peer_messages: IntCounter,
    /// Whether this instance holds its failure domain's lease for orders.
    pub order_holder: IntGauge,
    orders: IntCounterVec,
    /// Endpoints seen to crash while a request ran on them.
    pub endpoint_crashes: IntCounter,
}

impl Default for EntryMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl EntryMetrics {
    /// Metrics that all read zero.
    ///
    /// # Panics
    ///
    /// When two metrics have one name, which the tests rule out.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let by_reason = |name: &str, help: &str| {
            let opts = Opts::new(format!("jackdawpoint_{name}"), help);
            let vector = IntCounterVec::new(opts, &["reason"]).expect("the name is valid");
            registry
                .register(Box::new(vector.clone()))
                .expect("names are unique");
            vector
        };
        let counter = |name: &str, help: &str| {
            let counter =
                IntCounter::new(format!("jackdawpoint_{name}"), help).expect("the name is valid");
            registry
                .register(Box::new(counter.clone()))
                .expect("names are unique");
            counter
        };
        let gauge = |name: &str, help: &str| {
            let gauge =
                IntGauge::new(format!("jackdawpoint_{name}"), help).expect("the name is valid");
            registry
                .register(Box::new(gauge.clone()))
                .expect("names are unique");
            gauge
        };
        let first_token = first_token_histogram(&registry);
        let refusals = by_reason("refusals_total", "Requests refused that did not run.");
        let unfinished = by_reason(
            "unfinished_total",
            "Requests that may have run and have no whole answer.",
        );
        let retries = by_reason("retries_total", "Attempts that followed another.");
        touch_reasons(&refusals, &unfinished, &retries);
        let orders = by_reason("orders_total", "Orders to engines, by their answer.");
        for answer in ORDER_ANSWERS {
            orders.with_label_values(&[answer]).reset();
        }
        Self {
            refusals,
            unfinished,
            retries,
            whole: counter("whole_total", "Requests answered whole."),
            first_attempts: counter("first_attempts_total", "First attempts sent."),
            first_token,
            in_flight: gauge("in_flight", "Requests admitted and not yet ended."),
            config_version: gauge("config_version", "Configuration version in force."),
            members_alive: gauge("members_alive", "Alive members of the failure domain."),
            grants: counter("grants_total", "Grants decided as steward."),
            orphan_streams: counter("orphan_streams_total", "Orphaned streams cancelled."),
            orphan_memory: counter("orphan_memory_total", "Orphaned memory holds released."),
            platform_calls: counter("platform_calls_total", "Key-value service calls."),
            platform_faults: counter("platform_faults_total", "Key-value service calls failed."),
            rejoins: counter("rejoins_total", "New incarnations after a pause."),
            order_holder: gauge("order_holder", "Holds the lease for orders."),
            orders,
            peer_messages: counter("peer_messages_total", "Messages between instances."),
            endpoint_crashes: counter("endpoint_crashes_total", "Endpoint crashes seen."),
            registry,
        }
    }

    /// Counts a refusal.
    pub fn refused(&self, reason: RefusalReason) {
        self.refusals.with_label_values(&[reason.code()]).inc();
    }

    /// Counts a request that may have run and has no whole answer.
    pub fn unfinished(&self, reason: UnfinishedReason) {
        self.unfinished.with_label_values(&[reason.code()]).inc();
    }

    /// Counts an order to an engine by its answer, one of `ORDER_ANSWERS`.
    pub fn ordered(&self, answer: &str) {
        self.orders.with_label_values(&[answer]).inc();
    }

    /// Counts a retry.
    pub fn retried(&self, reason: RetryReason) {
        self.retries.with_label_values(&[reason.code()]).inc();
    }

    /// Counts a whole answer.
    pub fn whole(&self) {
        self.whole.inc();
    }

    /// Counts a first attempt.
    pub fn first_attempt(&self) {
        self.first_attempts.inc();
    }

    /// Records a time to first token, in seconds.
    pub fn first_token(&self, seconds: f64) {
        self.first_token.observe(seconds);
    }

    /// The metrics in the Prometheus text format.
    ///
    /// # Panics
    ///
    /// When a metric cannot be written as text, which none of ours can.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .expect("metrics have a text form");
        String::from_utf8(text).expect("the text format is UTF-8")
    }
}

fn first_token_histogram(registry: &Registry) -> Histogram {
    let opts = HistogramOpts::new(
        "jackdawpoint_first_token_seconds",
        "Time from admission to first token.",
    )
    .buckets(FIRST_TOKEN_BUCKETS.to_vec());
    let histogram = Histogram::with_opts(opts).expect("the buckets rise");
    registry
        .register(Box::new(histogram.clone()))
        .expect("names are unique");
    histogram
}

fn touch_reasons(refusals: &IntCounterVec, unfinished: &IntCounterVec, retries: &IntCounterVec) {
    for reason in RefusalReason::ALL {
        refusals.with_label_values(&[reason.code()]).inc_by(0);
    }
    for reason in UnfinishedReason::ALL {
        unfinished.with_label_values(&[reason.code()]).inc_by(0);
    }
    for reason in RetryReason::ALL {
        retries.with_label_values(&[reason.code()]).inc_by(0);
    }
}
