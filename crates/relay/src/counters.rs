//! Prometheus metrics of the relay.

use policy::first_event_wait::WaitDecision;
use policy::outcome::{RefusalReason, RetryReason, UnfinishedReason};
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

/// Upper bounds of the latency histograms, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 3.0, 5.0, 10.0, 20.0,
];

/// Metrics of one relay.
///
/// Every refusal, failure and retry reason has a time series from the start, so that a reason that
/// has not occurred reads as zero instead of missing.
#[derive(Debug)]
pub struct RelayCounters {
    registry: Registry,
    answered: IntCounterVec,
    refused: IntCounterVec,
    unfinished: IntCounterVec,
    retried: IntCounterVec,
    engine_reports: IntCounterVec,
    first_event: HistogramVec,
    whole: HistogramVec,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// Version of the configuration in force.
    pub config_version: IntGauge,
    /// Known endpoints.
    pub endpoints: IntGauge,
    /// Endpoints that are cold and have a limit.
    pub cold_endpoints: IntGauge,
    /// Watches of the platform's store, directly or through a reader.
    pub store_watches: IntCounter,
    /// Failed watches of the platform's store.
    pub failed_store_watches: IntCounter,
    /// Era of the platform's store; zero if it states none.
    pub store_era: IntGauge,
    /// How many times a steward was lost.
    pub steward_losses: IntGauge,
    /// Tunnels to endpoints opened through other instances.
    pub opened_tunnels: IntGauge,
    /// Tunnels to endpoints opened for other instances.
    pub hosted_tunnels: IntCounter,
    /// 1 while this instance is cut off from the endpoints.
    pub is_cut_off: IntGauge,
    /// Placement requests that wait at the dispatcher of this instance.
    pub queued_placements: IntGauge,
    /// Searches for a placement by the dispatcher of this instance.
    pub placement_searches: IntGauge,
    /// Evacuated failure domains.
    pub evacuated_domains: IntGauge,
    /// Requests held back because of an evacuation.
    pub evacuation_refusals: IntGauge,
    reduced_endpoints: IntGaugeVec,
    /// Log records dropped by the logger.
    pub dropped_records: IntGauge,
}

impl Default for RelayCounters {
    fn default() -> Self {
        Self::new()
    }
}

impl RelayCounters {
    /// Creates metrics that all read zero.
    ///
    /// # Panics
    ///
    /// If two metrics have the same name, which the tests rule out.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let counters = Self {
            answered: counter_vec(&registry, "answered_total", "Endpoints' answers.", "status"),
            refused: counter_vec(&registry, "refused_total", "Requests not run.", "reason"),
            unfinished: counter_vec(
                &registry,
                "unfinished_total",
                "Requests that may have run and have no whole answer.",
                "reason",
            ),
            retried: counter_vec(&registry, "retried_total", "Repeated attempts.", "reason"),
            engine_reports: counter_vec(
                &registry,
                "engine_reports_total",
                "Reports of engines asked for before a run was abandoned, by what followed.",
                "decision",
            ),
            first_event: histogram_vec(
                &registry,
                "first_event_seconds",
                "Time until the first event was passed on.",
            ),
            whole: histogram_vec(
                &registry,
                "whole_seconds",
                "Time until the answer was whole.",
            ),
            in_flight: gauge(&registry, "in_hand", "Requests in hand."),
            config_version: gauge(&registry, "config_version", "Configuration in force."),
            endpoints: gauge(&registry, "endpoints", "Endpoints believed in."),
            cold_endpoints: gauge(&registry, "cold_endpoints", "Cold endpoints with a limit."),
            store_watches: counter(&registry, "store_watches_total", "Watches of the store."),
            failed_store_watches: counter(&registry, "store_faults_total", "Watches that failed."),
            store_era: gauge(&registry, "store_era", "Era of the store."),
            steward_losses: gauge(&registry, "steward_losses_total", "Stewards lost."),
            opened_tunnels: gauge(&registry, "opened_tunnels_total", "Tunnels opened."),
            hosted_tunnels: counter(
                &registry,
                "hosted_tunnels_total",
                "Tunnels opened for others.",
            ),
            is_cut_off: gauge(&registry, "cut_off", "Whether the endpoints are cut off."),
            queued_placements: gauge(
                &registry,
                "queued_placements",
                "Placement requests that wait at this instance's dispatcher.",
            ),
            placement_searches: gauge(
                &registry,
                "placement_searches_total",
                "Searches for a placement by this instance's dispatcher.",
            ),
            evacuated_domains: gauge(&registry, "evacuated_domains", "Evacuated failure domains."),
            evacuation_refusals: gauge(
                &registry,
                "evacuation_held_total",
                "Requests held back because of an evacuation.",
            ),
            reduced_endpoints: gauge_vec(
                &registry,
                "reduced_endpoints",
                "Endpoints whose learned capacity is below full.",
                "pool",
            ),
            dropped_records: gauge(&registry, "dropped_log_records", "Log records dropped."),
            registry,
        };
        for reason in RefusalReason::ALL {
            counters.refused.with_label_values(&[reason.code()]);
        }
        for reason in UnfinishedReason::ALL {
            counters.unfinished.with_label_values(&[reason.code()]);
        }
        for reason in RetryReason::ALL {
            counters.retried.with_label_values(&[reason.code()]);
        }
        for decision in WaitDecision::ALL {
            counters
                .engine_reports
                .with_label_values(&[decision.code()]);
        }
        counters
    }

    /// Counts a completed answer of an endpoint and the time it took.
    pub fn answered(&self, kind: &str, status: u16, seconds: f64) {
        let status = status.to_string();
        self.answered.with_label_values(&[&status]).inc();
        self.whole.with_label_values(&[kind]).observe(seconds);
    }

    /// Counts a request that was refused and has not run.
    pub fn refused(&self, reason: &str) {
        self.refused.with_label_values(&[reason]).inc();
    }

    /// Counts a request that may have run but has no complete answer.
    pub fn unfinished(&self, reason: UnfinishedReason) {
        self.unfinished.with_label_values(&[reason.code()]).inc();
    }

    /// Counts a retry.
    pub fn retried(&self, reason: RetryReason) {
        self.retried.with_label_values(&[reason.code()]).inc();
    }

    /// Counts a decision on a run whose first event is overdue.
    pub fn engine_report(&self, decision: WaitDecision) {
        self.engine_reports
            .with_label_values(&[decision.code()])
            .inc();
    }

    /// Sets the number of endpoints of a pool whose learned capacity is below full.
    pub fn set_reduced_endpoints(&self, pool: &str, count: usize) {
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.reduced_endpoints.with_label_values(&[pool]).set(count);
    }

    /// Records the time to the first event.
    pub fn first_event(&self, kind: &str, seconds: f64) {
        self.first_event.with_label_values(&[kind]).observe(seconds);
    }

    /// Metrics in the Prometheus text format.
    ///
    /// # Panics
    ///
    /// If a metric cannot be encoded as text, which does not happen with the metrics of this type.
    #[must_use]
    pub fn render(&self) -> String {
        let dropped = i64::try_from(logging::dropped_records()).unwrap_or(i64::MAX);
        self.dropped_records.set(dropped);
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .expect("metrics have a text form");
        String::from_utf8(text).expect("the text format is UTF-8")
    }
}

fn name(metric: &str) -> String {
    format!("jackdawpoint_relay_{metric}")
}

fn counter_vec(registry: &Registry, metric: &str, help: &str, label: &str) -> IntCounterVec {
    let vector =
        IntCounterVec::new(Opts::new(name(metric), help), &[label]).expect("the name is valid");
    registry
        .register(Box::new(vector.clone()))
        .expect("names are unique");
    vector
}

fn gauge_vec(registry: &Registry, metric: &str, help: &str, label: &str) -> IntGaugeVec {
    let vector =
        IntGaugeVec::new(Opts::new(name(metric), help), &[label]).expect("the name is valid");
    registry
        .register(Box::new(vector.clone()))
        .expect("names are unique");
    vector
}

fn histogram_vec(registry: &Registry, metric: &str, help: &str) -> HistogramVec {
    let opts = HistogramOpts::new(name(metric), help).buckets(LATENCY_BUCKETS.to_vec());
    let vector = HistogramVec::new(opts, &["kind"]).expect("the name is valid");
    registry
        .register(Box::new(vector.clone()))
        .expect("names are unique");
    vector
}

fn gauge(registry: &Registry, metric: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(name(metric), help).expect("the name is valid");
    registry
        .register(Box::new(gauge.clone()))
        .expect("names are unique");
    gauge
}

fn counter(registry: &Registry, metric: &str, help: &str) -> IntCounter {
    let counter = IntCounter::new(name(metric), help).expect("the name is valid");
    registry
        .register(Box::new(counter.clone()))
        .expect("names are unique");
    counter
}
