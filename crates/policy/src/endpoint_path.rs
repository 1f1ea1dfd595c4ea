//! Paths from an instance to endpoints: directly, or through a tunnel of another instance.
//!
//! A connection that cannot be opened has one of two causes: the endpoint is lost, or the path from
//! this instance is blocked. Another instance tells them apart. If it reaches the endpoint, the path
//! is blocked; once that holds for several endpoints and for none the contrary, the instance is cut
//! off and sends everything through others, until its probes succeed again.

use std::collections::BTreeMap;

use crate::ids::{EndpointId, Millis};

/// Time for which a failure, or a lost endpoint, is remembered, in milliseconds. A blocked path is
/// blocked until a probe succeeds.
const FINDING_TIME: Millis = 2_000;

/// Number of endpoints with blocked paths that show that the instance is cut off; all of them if
/// there are fewer.
const CUT_ENDPOINTS: usize = 3;

/// Interval of the probes of blocked paths, in milliseconds. They are sent beside requests only.
const PROBE_INTERVAL: Millis = 500;

/// Number of probes in a row that must succeed before the instance counts as connected again.
const RETURN_PROBES: usize = 2;

/// How a connection to an endpoint is opened.
#[derives::tag]
pub enum PathPlan {
    /// Directly, and through a tunnel as well if that takes long or fails.
    DirectFirst,
    /// Directly only: other instances do not reach the endpoint either.
    DirectOnly,
    /// Through a tunnel.
    Tunnel(PathProbe),
}

/// Whether the direct path is probed beside a tunnel.
#[derives::tag]
pub enum PathProbe {
    /// A probe is due.
    Due,
    /// The last probe was sent a moment ago.
    Recent,
}

/// Whether a finding changes how the instance sends.
#[derives::tag]
pub enum PathChange {
    /// The instance is cut off from the endpoints from now on.
    CutOff,
    /// The instance reaches the endpoints again.
    Restored,
    /// Neither.
    Same,
}

#[derive(Debug, Default)]
struct EndpointFindings {
    /// When the direct path last failed.
    failed_at: Option<Millis>,
    /// When another instance reached the endpoint that this one did not.
    blocked_at: Option<Millis>,
    /// When another instance did not reach the endpoint either.
    lost_at: Option<Millis>,
    last_probe: Option<Millis>,
}

#[derive(Debug)]
struct CutState {
    probed_at: Millis,
    /// Probes in a row that succeeded.
    successes: usize,
}

/// What one instance has found out about its paths.
#[derive(Debug, Default)]
pub struct PathTable {
    findings: BTreeMap<EndpointId, EndpointFindings>,
    /// When a connection to any endpoint was last opened directly.
    contact_at: Option<Millis>,
    cut: Option<CutState>,
}

fn is_recent(at: Option<Millis>, now: Millis) -> bool {
    at.is_some_and(|at| now.saturating_sub(at) < FINDING_TIME)
}

fn is_probe_due(probed_at: Option<Millis>, now: Millis) -> PathProbe {
    if probed_at.is_some_and(|at| now.saturating_sub(at) < PROBE_INTERVAL) {
        PathProbe::Recent
    } else {
        PathProbe::Due
    }
}

impl PathTable {
    /// Creates a table without findings.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether the instance is cut off from the endpoints.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.cut.is_some()
    }

    /// How a connection to `endpoint` is opened now. A probe that is due counts as sent.
    pub fn plan(&mut self, endpoint: &EndpointId, now: Millis) -> PathPlan {
        if let Some(cut) = &mut self.cut {
            let probe = is_probe_due(Some(cut.probed_at), now);
            if probe == PathProbe::Due {
                cut.probed_at = now;
            }
            return PathPlan::Tunnel(probe);
        }
        let Some(findings) = self.findings.get_mut(endpoint) else {
            return PathPlan::DirectFirst;
        };
        if findings.blocked_at.is_some() {
            let probe = is_probe_due(findings.last_probe, now);
            if probe == PathProbe::Due {
                findings.last_probe = Some(now);
            }
            return PathPlan::Tunnel(probe);
        }
        if is_recent(findings.lost_at, now) {
            return PathPlan::DirectOnly;
        }
        PathPlan::DirectFirst
    }

    /// Records a connection that was opened directly.
    pub fn direct_opened(&mut self, endpoint: &EndpointId, now: Millis) -> PathChange {
        self.contact_at = Some(now);
        self.findings.remove(endpoint);
        let Some(cut) = &mut self.cut else {
            return PathChange::Same;
        };
        cut.successes += 1;
        if cut.successes < RETURN_PROBES {
            // The next request probes again.
            cut.probed_at = now.saturating_sub(PROBE_INTERVAL);
            return PathChange::Same;
        }
        self.cut = None;
        self.findings.clear();
        PathChange::Restored
    }

    /// Records that a direct connection could not be opened.
    pub fn direct_failed(&mut self, endpoint: &EndpointId, now: Millis) {
        self.findings.entry(endpoint.clone()).or_default().failed_at = Some(now);
        if let Some(cut) = &mut self.cut {
            cut.successes = 0;
        }
    }

    /// Records that another instance reached an endpoint that this one has just failed to reach.
    /// `endpoints` is the number of all endpoints.
    pub fn bypassed(&mut self, endpoint: &EndpointId, endpoints: usize, now: Millis) -> PathChange {
        let findings = self.findings.entry(endpoint.clone()).or_default();
        findings.blocked_at = Some(now);
        findings.lost_at = None;
        if self.cut.is_some() {
            return PathChange::Same;
        }
        let contact_at = self.contact_at;
        let is_blocked = |findings: &&EndpointFindings| {
            findings.blocked_at.is_some_and(|at| Some(at) > contact_at)
        };
        let blocked = self.findings.values().filter(is_blocked).count();
        if blocked < CUT_ENDPOINTS.min(endpoints.max(1)) {
            return PathChange::Same;
        }
        self.cut = Some(CutState {
            probed_at: now,
            successes: 0,
        });
        PathChange::CutOff
    }

    /// Records that another instance, which reaches other endpoints, does not reach this one.
    pub fn endpoint_lost(&mut self, endpoint: &EndpointId, now: Millis) {
        let findings = self.findings.entry(endpoint.clone()).or_default();
        findings.lost_at = Some(now);
        findings.blocked_at = None;
    }

    /// Whether failures of direct connections say nothing about endpoints: the instance is cut off,
    /// or several endpoints failed lately and none was reached.
    #[must_use]
    pub fn may_be_cut_off(&self, now: Millis) -> bool {
        let contact_at = self.contact_at;
        let has_failed = |findings: &&EndpointFindings| {
            is_recent(findings.failed_at, now) && findings.failed_at > contact_at
        };
        let failed = self.findings.values().filter(has_failed).count();
        self.cut.is_some() || failed >= CUT_ENDPOINTS
    }

    /// Drops the findings on endpoints for which `is_known` does not hold.
    pub fn retain(&mut self, is_known: impl Fn(&EndpointId) -> bool) {
        self.findings.retain(|endpoint, _| is_known(endpoint));
    }
}
