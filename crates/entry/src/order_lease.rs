//! The platform lease that entitles one instance per failure domain to send orders to engines.

use platform::{CasOutcome, KeyValueError, LeaseId, LeaseState};
use policy::order::{HeldLease, OrderLimits};

use crate::control::Control;

/// Key prefix under which each failure domain's lease holder is stored.
const ORDER_PREFIX: &str = "orders/";

/// A held lease with the id that renews it.
#[derives::value]
pub(crate) struct OrderLease {
    pub(crate) held: HeldLease,
    id: LeaseId,
}

impl Control {
    /// Renews the lease, or acquires it if nobody holds it. Returns `None` if another instance
    /// holds it or the platform did not confirm it.
    pub(crate) async fn ensure_order_lease(
        &self,
        lease: Option<OrderLease>,
        limits: &OrderLimits,
    ) -> Option<OrderLease> {
        match lease {
            Some(lease) => self.renew_order_lease(lease, limits).await,
            None => self.acquire_order_lease(limits).await,
        }
    }

    async fn renew_order_lease(
        &self,
        mut lease: OrderLease,
        limits: &OrderLimits,
    ) -> Option<OrderLease> {
        let requested_at = self.tables.now();
        if requested_at < lease.held.renewed + limits.lease / 3 {
            return Some(lease);
        }
        self.tables.metrics.platform_calls.inc();
        match self.ports.platform.renew_lease(lease.id).await {
            Ok(LeaseState::Renewed) => {
                lease.held.renewed = requested_at;
                Some(lease)
            }
            Ok(LeaseState::Expired) => None,
            Err(_) => {
                self.tables.metrics.platform_faults.inc();
                let end = lease.held.renewed + limits.lease;
                (self.tables.now() < end).then_some(lease)
            }
        }
    }

    async fn acquire_order_lease(&self, limits: &OrderLimits) -> Option<OrderLease> {
        let key = self.order_key();
        let token = format!(
            "{} {:032x}",
            self.tables.settings.instance,
            self.tables.clock_and_ids.unique_id()
        );
        let requested_at = self.tables.now();
        self.tables.metrics.platform_calls.inc();
        if let Ok(None) = self.ports.platform.get(&key).await {
            self.tables.metrics.platform_calls.inc();
            let id = self.ports.platform.grant_lease(limits.lease).await.ok()?;
            let fencing = self.write_holder(&key, &token, id).await?;
            let held = HeldLease {
                fencing,
                renewed: requested_at,
                since: self.tables.now(),
            };
            return Some(OrderLease { held, id });
        }
        None
    }

    /// Writes this instance's token to the holder key and returns its revision, the fencing
    /// token. If the answer is lost, reads the key back to find out whether the write took effect.
    async fn write_holder(&self, key: &str, token: &str, lease: LeaseId) -> Option<u64> {
        let platform = &self.ports.platform;
        self.tables.metrics.platform_calls.inc();
        let written = platform.compare_and_swap(key, token, 0, Some(lease)).await;
        match written {
            Ok(CasOutcome::Written(revision)) => Some(revision),
            Ok(CasOutcome::Conflict(_))
            | Err(
                KeyValueError::Unreachable
                | KeyValueError::Refused
                | KeyValueError::HistoryLost
                | KeyValueError::BacklogTooLong
                | KeyValueError::EarlierEra,
            ) => None,
            Err(KeyValueError::AnswerLost | KeyValueError::Unreadable) => {
                self.tables.metrics.platform_faults.inc();
                self.tables.metrics.platform_calls.inc();
                let stored = platform.get(key).await.ok()??;
                (stored.value == token).then_some(stored.revision)
            }
        }
    }

    /// Deletes the holder key, so that the next holder need not wait for the lease to expire.
    pub(crate) async fn release_order_lease(&self, lease: &OrderLease) {
        self.tables.metrics.platform_calls.inc();
        // If the deletion is lost, the next holder waits for the rest of the lease.
        let _ = self
            .ports
            .platform
            .delete(&self.order_key(), lease.held.fencing)
            .await;
    }

    fn order_key(&self) -> String {
        format!("{ORDER_PREFIX}{}", self.tables.domain())
    }
}
