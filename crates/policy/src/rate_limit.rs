//! Limits on the rate of requests that endpoints accept from all instances together.
//!
//! An endpoint in need names a limit in its answers, for as long as the limit holds. The dispatcher
//! that decides for several instances counts what it grants; where several dispatchers decide at
//! once, each uses its share of the limit. The pace is kept by the generic cell rate algorithm
//! (ITU-T I.371) without a burst: grants are at least one interval apart.
//!
//! A cold endpoint has a limit of another kind (see [`crate::cold_limit`]), which ends by time. Both
//! may hold at once; then the smaller one decides.

use std::collections::HashMap;

use crate::cast::{f64_to_u64, u64_to_f64, usize_to_f64};
use crate::cold_limit::{ColdLimit, ColdPace, RecentGrants};
use crate::ids::{EndpointId, Millis};

/// Slowest pace that is kept, in requests a second. An endpoint that gets no requests at all could
/// not say that its limit has ended.
const MIN_RATE: f64 = 0.5;

/// Time for which a limit holds after it was last heard, in milliseconds.
const LIMIT_RETENTION: Millis = 600_000;

/// Endpoints whose recent grants are remembered before outdated ones are dropped.
const MAX_REMEMBERED: usize = 256;

const MILLIS_PER_SECOND: f64 = 1_000.0;

const THOUSANDTHS: f64 = 1_000.0;

/// A rate of requests, in thousandths of a request a second.
#[derives::tag]
pub struct RequestRate(u64);

impl RequestRate {
    /// A rate of `per_second` requests a second; `None` unless it is finite and not negative.
    #[must_use]
    pub fn new(per_second: f64) -> Option<Self> {
        let is_valid = per_second.is_finite() && per_second >= 0.0;
        is_valid.then(|| Self(f64_to_u64((per_second * THOUSANDTHS).round())))
    }

    /// Requests a second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        u64_to_f64(self.0) / THOUSANDTHS
    }
}

/// What an instance heard of an endpoint's limit.
#[derives::value]
pub struct RateNotice {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its limit; `None` if the limit has ended.
    pub rate: Option<RequestRate>,
    /// Time since the endpoint said so, in milliseconds.
    pub age: Millis,
}

/// Whether an endpoint may get a request.
#[derives::tag]
pub enum PermitDecision {
    /// It may, and the request is counted.
    Granted,
    /// It may get one in this many milliseconds.
    Wait(Millis),
}

/// Limit of one endpoint.
#[derive(Debug, Clone)]
struct EndpointLimit {
    rate: Option<RequestRate>,
    heard_at: Millis,
    /// Earliest time of the next grant.
    next_at: f64,
}

/// Limits of the endpoints that this dispatcher or instance has heard of, and the pace of its
/// grants.
///
/// Invariant: grants for a limited endpoint are at least one interval of this dispatcher's share of
/// the limit apart, and the first one comes an interval after the limit was heard of.
#[derive(Debug)]
pub struct RateTable {
    limits: HashMap<EndpointId, EndpointLimit>,
    /// Limits of cold endpoints.
    cold: HashMap<EndpointId, ColdPace>,
    /// Grants of the last second, which count when an endpoint turns cold.
    recent: HashMap<EndpointId, RecentGrants>,
    /// Part of each limit that this dispatcher may use, above zero and at most one.
    share: f64,
    /// Part of an interval by which the first grant to a cold endpoint is delayed.
    phase: f64,
}

impl Default for RateTable {
    fn default() -> Self {
        Self {
            limits: HashMap::new(),
            cold: HashMap::new(),
            recent: HashMap::new(),
            share: 1.0,
            phase: 0.0,
        }
    }
}

impl RateTable {
    /// Creates an empty table whose dispatcher may use whole limits.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the part of an interval, below one, by which the first grant to a cold endpoint is delayed.
    /// It should differ between instances.
    pub fn set_phase(&mut self, phase: f64) {
        self.phase = phase.clamp(0.0, 1.0);
    }

    /// Sets the number of instances that this dispatcher decides for, of all instances.
    pub fn set_share(&mut self, decided_for: usize, instances: usize) {
        let share = usize_to_f64(decided_for.max(1)) / usize_to_f64(instances.max(1));
        self.share = share.min(1.0);
    }

    /// Applies a notice, unless a newer one is known. Returns whether the limit changed.
    pub fn apply(&mut self, notice: &RateNotice, now: Millis) -> bool {
        let heard_at = now.saturating_sub(notice.age);
        self.limits
            .retain(|_, limit| now.saturating_sub(limit.heard_at) < LIMIT_RETENTION);
        let Some(limit) = self.limits.get_mut(&notice.endpoint) else {
            let Some(rate) = notice.rate else {
                return false;
            };
            let limit = EndpointLimit {
                rate: Some(rate),
                heard_at,
                next_at: u64_to_f64(now) + interval_ms(rate, self.share),
            };
            self.limits.insert(notice.endpoint.clone(), limit);
            return true;
        };
        if heard_at < limit.heard_at {
            return false;
        }
        limit.heard_at = heard_at;
        if limit.rate == notice.rate {
            return false;
        }
        if let Some(rate) = notice.rate {
            let interval = interval_ms(rate, self.share);
            // The new pace counts from the last grant, so that changes add up to no extra grants
            // and put none off for longer than one interval.
            limit.next_at = match limit.rate {
                Some(former) => limit.next_at - interval_ms(former, self.share) + interval,
                None => u64_to_f64(now) + interval,
            };
        }
        limit.rate = notice.rate;
        true
    }

    /// Records that an endpoint has answered a request that it was granted at `granted_at`. An
    /// instance reports a limit before it reports the answer that names it, so an answer to a later
    /// grant ends the limit. Returns whether it did.
    pub fn answered(&mut self, endpoint: &EndpointId, granted_at: Millis, now: Millis) -> bool {
        let Some(limit) = self.limits.get_mut(endpoint) else {
            return false;
        };
        if limit.rate.is_none() || granted_at <= limit.heard_at {
            return false;
        }
        limit.rate = None;
        limit.heard_at = now;
        true
    }

    /// Sets or ends the limit of a cold endpoint. A limit that is set again, with another end or
    /// rate, continues at the pace of the grants so far.
    pub fn set_cold(&mut self, endpoint: &EndpointId, limit: Option<ColdLimit>, now: Millis) {
        self.cold.retain(|_, pace| !pace.is_over(now));
        let Some(limit) = limit.filter(|limit| now < limit.until) else {
            self.cold.remove(endpoint);
            return;
        };
        if let Some(pace) = self.cold.get_mut(endpoint) {
            pace.set_limit(limit);
            return;
        }
        let recent = self.recent.remove(endpoint).unwrap_or_default();
        let pace = ColdPace::new(limit, &recent, self.share, self.phase, now);
        self.cold.insert(endpoint.clone(), pace);
    }

    /// The limit of a cold endpoint; `None` if it is warm.
    #[must_use]
    pub fn cold_limit(&self, endpoint: &EndpointId, now: Millis) -> Option<ColdLimit> {
        self.cold_pace(endpoint, now).map(ColdPace::limit)
    }

    fn cold_pace(&self, endpoint: &EndpointId, now: Millis) -> Option<&ColdPace> {
        let pace = self.cold.get(endpoint)?;
        (!pace.is_over(now)).then_some(pace)
    }

    /// The limit of an endpoint, the smaller one if it has named one and is cold; `None` if it has
    /// none.
    #[must_use]
    pub fn rate(&self, endpoint: &EndpointId, now: Millis) -> Option<RequestRate> {
        let cold = self.cold_limit(endpoint, now).map(|limit| limit.rate);
        self.named_rate(endpoint).into_iter().chain(cold).min()
    }

    /// The limit that an endpoint has named; `None` if it has named none.
    #[must_use]
    pub fn named_rate(&self, endpoint: &EndpointId) -> Option<RequestRate> {
        self.limits.get(endpoint)?.rate
    }

    /// When the limit that an endpoint has named was last heard of; `None` if it has named none.
    #[must_use]
    pub fn heard_at(&self, endpoint: &EndpointId) -> Option<Millis> {
        let limit = self.limits.get(endpoint)?;
        limit.rate.map(|_| limit.heard_at)
    }

    /// Time until the endpoint may get a request, in milliseconds; zero if it may get one now.
    #[must_use]
    pub fn wait_ms(&self, endpoint: &EndpointId, now: Millis) -> Millis {
        f64_to_u64(self.exact_wait_ms(endpoint, now).ceil())
    }

    fn exact_wait_ms(&self, endpoint: &EndpointId, now: Millis) -> f64 {
        let limit = self.limits.get(endpoint);
        let limited = limit.filter(|limit| limit.rate.is_some());
        let named_wait_ms = limited.map_or(0.0, |limit| limit.next_at - u64_to_f64(now));
        let cold = self.cold_pace(endpoint, now);
        let cold_wait_ms = cold.map_or(0.0, |pace| pace.wait_ms(self.share, now));
        named_wait_ms.max(cold_wait_ms).max(0.0)
    }

    /// Counts a request that the endpoint gets. Call it only when [`Self::wait_ms`] is zero.
    pub fn take(&mut self, endpoint: &EndpointId, now: Millis) {
        let share = self.share;
        if let Some(limit) = self.limits.get_mut(endpoint)
            && let Some(rate) = limit.rate
        {
            limit.next_at = limit.next_at.max(u64_to_f64(now)) + interval_ms(rate, share);
        }
        self.take_cold(endpoint, now);
        self.remember(endpoint, now);
    }

    /// Counts work for the request of another endpoint, which a cold endpoint gets at the same pace.
    pub fn take_cold(&mut self, endpoint: &EndpointId, now: Millis) {
        if let Some(pace) = self.cold.get_mut(endpoint) {
            pace.take(self.share, now);
        }
    }

    /// Remembers a grant for the case that its endpoint turns cold.
    fn remember(&mut self, endpoint: &EndpointId, now: Millis) {
        if let Some(recent) = self.recent.get_mut(endpoint) {
            recent.record(now);
            return;
        }
        if self.recent.len() >= MAX_REMEMBERED {
            self.recent.retain(|_, recent| !recent.is_outdated(now));
        }
        let recent = self.recent.entry(endpoint.clone()).or_default();
        recent.record(now);
    }

    /// Counts a request if the endpoint may get one now.
    pub fn request_permit(&mut self, endpoint: &EndpointId, now: Millis) -> PermitDecision {
        match self.wait_ms(endpoint, now) {
            0 => {
                self.take(endpoint, now);
                PermitDecision::Granted
            }
            wait => PermitDecision::Wait(wait),
        }
    }

    /// Expected wait of a request behind `ahead` others for which only `endpoints`, all limited,
    /// are left, in milliseconds; zero if one of them has no limit.
    #[must_use]
    pub fn expected_wait_ms<'a>(
        &self,
        endpoints: impl Iterator<Item = &'a EndpointId>,
        ahead: usize,
        now: Millis,
    ) -> f64 {
        let mut first_ms = f64::INFINITY;
        let mut warm_ms = f64::INFINITY;
        let mut per_ms = 0.0;
        for endpoint in endpoints {
            let named = self
                .named_rate(endpoint)
                .map(|rate| 1.0 / interval_ms(rate, self.share));
            let cold = self.cold_pace(endpoint, now);
            let cold_rate = cold.map(|pace| pace.per_ms(self.share));
            let Some(rate) = named.into_iter().chain(cold_rate).reduce(f64::min) else {
                return 0.0;
            };
            if let (None, Some(pace)) = (named, cold) {
                // Nothing limits it any more once it is warm.
                warm_ms = warm_ms.min(pace.left_ms(now));
            }
            first_ms = first_ms.min(self.exact_wait_ms(endpoint, now).ceil());
            per_ms += rate;
        }
        if per_ms > 0.0 {
            (first_ms + usize_to_f64(ahead) / per_ms).min(warm_ms)
        } else {
            0.0
        }
    }

    /// The limits in force, for another dispatcher.
    #[must_use]
    pub fn notices(&self, now: Millis) -> Vec<RateNotice> {
        let known = self.limits.iter();
        known
            .filter(|(_, limit)| limit.rate.is_some())
            .map(|(endpoint, limit)| RateNotice {
                endpoint: endpoint.clone(),
                rate: limit.rate,
                age: now.saturating_sub(limit.heard_at),
            })
            .collect()
    }
}

/// Time between two grants, in milliseconds.
fn interval_ms(rate: RequestRate, share: f64) -> f64 {
    MILLIS_PER_SECOND / (rate.per_second().max(MIN_RATE) * share)
}
