//! Detection of failure domains that cannot be reached.
//!
//! When a failure domain is cut off, each of its endpoints would fail one request before it is
//! ejected, and another one whenever it is tried again. Hence the whole domain is ejected when
//! several of its endpoints fail at nearly the same time.

use std::collections::BTreeMap;

use crate::cast::usize_to_f64;
use crate::ids::{DomainId, EndpointId, Millis};

/// Time within which failures count as one outage, in milliseconds: twice the longest connect
/// timeout.
const FAILURE_WINDOW: Millis = 800;

/// Minimum share of a domain's ready endpoints that must fail; independent crashes affect fewer.
const MIN_FAILED_SHARE: f64 = 0.25;

/// Minimum number of endpoints that must fail.
const MIN_FAILED_ENDPOINTS: usize = 3;

/// First and longest ejection of a domain, in milliseconds.
const EJECTION_RANGE: (Millis, Millis) = (1_500, 6_000);

/// Time without a failure after which the ejection time of a domain starts over, in milliseconds.
const QUIET_PERIOD: Millis = 10_000;

#[derive(Debug, Default)]
struct DomainOutage {
    failed: BTreeMap<EndpointId, Millis>,
    ejection_time: Millis,
    last_failure: Millis,
}

/// Recent connection failures by failure domain.
#[derive(Debug, Default)]
pub(super) struct OutageTable {
    domains: BTreeMap<DomainId, DomainOutage>,
}

impl OutageTable {
    /// Records that an endpoint of a domain with `ready` endpoints could not be reached.
    ///
    /// Returns the time for which the whole domain is to be ejected, if it seems to be cut off.
    pub(super) fn failed(
        &mut self,
        domain: &DomainId,
        endpoint: &EndpointId,
        ready: usize,
        now: Millis,
    ) -> Option<Millis> {
        let outage = self.domains.entry(domain.clone()).or_default();
        if now.saturating_sub(outage.last_failure) > QUIET_PERIOD {
            outage.ejection_time = 0;
        }
        outage.last_failure = now;
        outage.failed.insert(endpoint.clone(), now);
        outage
            .failed
            .retain(|_, at| now.saturating_sub(*at) <= FAILURE_WINDOW);
        let failed = outage.failed.len();
        if failed < MIN_FAILED_ENDPOINTS
            || usize_to_f64(failed) < usize_to_f64(ready) * MIN_FAILED_SHARE
        {
            return None;
        }
        outage.failed.clear();
        outage.ejection_time = (outage.ejection_time * 2).clamp(EJECTION_RANGE.0, EJECTION_RANGE.1);
        Some(outage.ejection_time)
    }
}
