//! Deployments that a storm of configurations is run on.

use std::time::Duration;

/// Instances, bounds and load of a deployment.
#[derives::value]
pub struct StormSite {
    /// Name of the deployment.
    pub name: &'static str,
    /// Number of instances in each failure domain.
    pub domain_sizes: &'static [usize],
    /// Requests a second, at all instances together.
    pub calls_per_second: u32,
    /// Number of routes that nobody calls.
    pub idle_routes: usize,
    /// Time after the acknowledgement of a version within which it takes effect.
    pub apply_time: Duration,
    /// Time without disruption after which an instance is in touch.
    pub stable_time: Duration,
    /// Time after the first effect of a version from which no older one may be seen.
    pub regression_slack: Duration,
    /// Time after the last byte of a request within which its connection may close unanswered.
    pub loss_slack: Duration,
    /// Time between SIGTERM and SIGKILL.
    pub grace_period: Duration,
}

impl StormSite {
    /// The known deployments.
    pub const ALL: [Self; 4] = [
        Self {
            name: "pappalieve-prod",
            domain_sizes: &[2, 2, 2],
            calls_per_second: 58,
            idle_routes: 110,
            ..Self::SMALL
        },
        Self {
            name: "hazszam-router",
            domain_sizes: &[4, 2, 3],
            calls_per_second: 58,
            idle_routes: 8,
            ..Self::SMALL
        },
        Self {
            name: "hazszam-router-grown",
            domain_sizes: &[22, 23, 20, 21],
            calls_per_second: 154,
            idle_routes: 40,
            ..Self::GROWN
        },
        Self {
            name: "pappalieve-prod-grown",
            domain_sizes: &[26, 30, 28],
            calls_per_second: 154,
            idle_routes: 240,
            ..Self::GROWN
        },
    ];

    const SMALL: Self = Self {
        name: "",
        domain_sizes: &[],
        calls_per_second: 0,
        idle_routes: 0,
        apply_time: Duration::from_secs(2),
        stable_time: Duration::from_secs(3),
        regression_slack: Duration::from_millis(250),
        loss_slack: Duration::from_millis(200),
        grace_period: Duration::from_secs(8),
    };

    const GROWN: Self = Self {
        apply_time: Duration::from_secs(3),
        stable_time: Duration::from_secs(4),
        ..Self::SMALL
    };

    /// The deployment with this name.
    #[must_use]
    pub fn find(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|site| site.name == name)
    }

    /// Index of the failure domain of each instance.
    #[must_use]
    pub fn domains(&self) -> Vec<usize> {
        let sizes = self.domain_sizes.iter().enumerate();
        sizes
            .flat_map(|(domain, size)| vec![domain; *size])
            .collect()
    }
}
