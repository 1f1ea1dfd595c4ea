//! Prometheus metrics of an entry instance.
//!
//! Every refusal, unfinished and retry reason has a series from the start, so that a reason that
//! has not occurred yet reads as zero and not as missing.

use policy::outcome::{RefusalReason, RetryReason, UnfinishedReason};
use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Upper bounds of the buckets of the time-to-first-token histogram, in seconds.
const FIRST_TOKEN_BUCKETS: [f64; 12] = [
    0.05, 0.1, 0.2, 0.4, 0.6, 0.96, 1.5, 3.0, 6.0, 12.0, 30.0, 60.0,
];

/// Labels of the outcomes of orders to engines; `lost` stands for an order without an answer.
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
    /// Number of admitted requests in flight.
    pub in_flight: IntGauge,
    /// Version of the configuration that this instance applies.
    pub config_version: IntGauge,
    /// Number of live members of the failure domain, including this instance.
    pub members_alive: IntGauge,
    /// Number of grants that this instance decided as steward.
    pub grants: IntCounter,
    /// Number of streams cancelled because their owner was gone.
    pub orphan_streams: IntCounter,
    /// Number of memory reservations released because their owner was gone.
    pub orphan_memory: IntCounter,
    /// Number of calls to the key-value service.
    pub platform_calls: IntCounter,
    /// Number of calls to the key-value service that failed or whose answer was lost.
    pub platform_faults: IntCounter,
    /// Number of times that this instance rejoined with a new incarnation, after a pause or after
    /// the members wrongly took it for dead.
    pub rejoins: IntCounter,
    /// Number of messages to and from other entry instances.
    pub peer_messages: IntCounter,
    /// One if this instance holds its failure domain's lease for orders, otherwise zero.
    pub order_holder: IntGauge,
    orders: IntCounterVec,
    /// Number of endpoint crashes that hit a running request.
    pub endpoint_crashes: IntCounter,
}

impl Default for EntryMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl EntryMetrics {
    /// Creates the metrics, all at zero.
    ///
    /// # Panics
    ///
    /// If two metrics have the same name, which the tests rule out.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let reason_counter = |name: &str, help: &str| {
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
        let refusals = reason_counter("refusals_total", "Requests refused that did not run.");
        let unfinished = reason_counter(
            "unfinished_total",
            "Requests that may have run and have no whole answer.",
        );
        let retries = reason_counter("retries_total", "Attempts that followed another.");
        create_reason_series(&refusals, &unfinished, &retries);
        let orders = reason_counter("orders_total", "Orders to engines, by their answer.");
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

    /// Counts a request that may have run and has no complete answer.
    pub fn unfinished(&self, reason: UnfinishedReason) {
        self.unfinished.with_label_values(&[reason.code()]).inc();
    }

    /// Counts an order to an engine by its outcome, one of [`ORDER_ANSWERS`].
    pub fn order_answered(&self, answer: &str) {
        self.orders.with_label_values(&[answer]).inc();
    }

    /// Counts a retry.
    pub fn retried(&self, reason: RetryReason) {
        self.retries.with_label_values(&[reason.code()]).inc();
    }

    /// Counts a complete answer.
    pub fn completed(&self) {
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

    /// Renders the metrics in the Prometheus text format.
    ///
    /// # Panics
    ///
    /// If a metric cannot be encoded as text, which cannot happen with counters, gauges and
    /// histograms.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .expect("every metric can be encoded as text");
        String::from_utf8(text).expect("the text format is UTF-8")
    }
}

fn first_token_histogram(registry: &Registry) -> Histogram {
    let opts = HistogramOpts::new(
        "jackdawpoint_first_token_seconds",
        "Time from admission to first token.",
    )
    .buckets(FIRST_TOKEN_BUCKETS.to_vec());
    let histogram = Histogram::with_opts(opts).expect("the bucket bounds are ascending");
    registry
        .register(Box::new(histogram.clone()))
        .expect("names are unique");
    histogram
}

fn create_reason_series(
    refusals: &IntCounterVec,
    unfinished: &IntCounterVec,
    retries: &IntCounterVec,
) {
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
