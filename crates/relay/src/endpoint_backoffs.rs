//! Endpoints that want no requests from this instance for a time, shared by all that sends to them.

use std::cell::RefCell;

use policy::backoff::BackoffTable;
use policy::ids::{EndpointId, Millis};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::clock::BootClock;

/// The retry-afters that endpoints have stated to this instance.
pub(crate) struct EndpointBackoffs {
    clock: BootClock,
    table: RefCell<BackoffTable>,
    random: RefCell<SmallRng>,
}

impl EndpointBackoffs {
    /// Creates an empty set; `clock` is that of the relay.
    #[must_use]
    pub(crate) fn new(clock: BootClock) -> Self {
        Self {
            clock,
            table: RefCell::new(BackoffTable::new()),
            random: RefCell::new(SmallRng::from_os_rng()),
        }
    }

    /// Endpoints to which this instance sends nothing now.
    pub(crate) fn held(&self) -> Vec<EndpointId> {
        self.table.borrow().held(self.clock.now())
    }

    /// Whether this instance sends nothing to the endpoint now.
    pub(crate) fn holds(&self, endpoint: &EndpointId) -> bool {
        self.table.borrow().holds(endpoint, self.clock.now())
    }

    /// Time until the first endpoint for which `is_usable` holds takes requests again; `None` if none
    /// is held.
    pub(crate) fn shortest_wait(&self, is_usable: impl Fn(&EndpointId) -> bool) -> Option<Millis> {
        let table = self.table.borrow();
        table.shortest_wait(is_usable, self.clock.now())
    }

    /// Records that an endpoint wants no requests from this instance for a time, in milliseconds.
    pub(crate) fn record(&self, endpoint: &EndpointId, retry_after: Millis, heard_from: &str) {
        let now = self.clock.now();
        let draw = self.random.borrow_mut().random();
        let held = self
            .table
            .borrow_mut()
            .record(endpoint, retry_after, draw, now);
        spdlog::info!("endpoint wants no requests for a time", kv: {
            endpoint = endpoint.as_str(),
            heard_from = heard_from,
            retry_after = retry_after,
            held = held,
        });
    }
}
