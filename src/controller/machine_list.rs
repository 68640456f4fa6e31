//! The leader's duty that reads the cloud's machine list and prices.

use super::Controller;
use crate::cloud::MACHINES_PER_LIST_PAGE;
use crate::time::{Micros, Steady};

/// Pause between rounds.
const REFRESH_INTERVAL: Micros = Micros::from_millis(500);
/// Shortest interval between two reads of the cloud's machine list.
const MIN_LIST_INTERVAL: Micros = Micros::from_millis(2_000);
/// Interval between two reads of the list, as a share of the time by which the list lags behind.
const LIST_INTERVAL_SHARE_OF_LAG: f64 = 0.75;
/// The share of the cloud's rate limit that reads of the list may take.
const MAX_LIST_SHARE: f64 = 0.25;
/// Interval between two reads of the prices.
const PRICES_INTERVAL: Micros = Micros::from_millis(45_000);

impl Controller {
    /// Reads the cloud's machine list and prices until the controller stops. This duty has a thread of its
    /// own, because a long list takes several requests, which must not delay scaling out.
    pub(super) fn refresh_cloud(&self) {
        let mut list_interval = self.list_interval();
        let mut listed_at = Steady(0);
        let mut priced_at = Steady(0);
        let mut last_fencing_token = 0u64;
        while !self.stopping() {
            self.sleep(REFRESH_INTERVAL);
            let Some(fencing_token) = self.lock().fencing_token() else { continue };
            let now = self.now();
            if last_fencing_token != fencing_token {
                last_fencing_token = fencing_token;
                listed_at = Steady(0);
            }
            if now - priced_at > PRICES_INTERVAL && self.refresh_prices() {
                priced_at = now;
            }
            if now - listed_at > list_interval {
                if let Some(machines) = self.refresh_list(fencing_token) {
                    listed_at = now;
                    list_interval = self.list_interval().max(self.min_list_interval(machines));
                }
            }
        }
    }

    /// Interval between two reads of the list by its lag, whatever its length.
    fn list_interval(&self) -> Micros {
        let lag = Micros::from_secs(self.config.platform.settings.cloud.list_lag_s);
        lag.scale(LIST_INTERVAL_SHARE_OF_LAG).max(MIN_LIST_INTERVAL)
    }

    /// Shortest interval between two reads of a list of this many machines. A long list takes many requests,
    /// for which scaling out and in would have to wait, so reads of it are limited to a share of all
    /// requests.
    fn min_list_interval(&self, machines: usize) -> Micros {
        let requests = machines.div_ceil(MACHINES_PER_LIST_PAGE).max(1) as f64;
        let requests_per_s = self.config.platform.settings.cloud.rps;
        Micros::from_secs(requests / (requests_per_s * MAX_LIST_SHARE))
    }

    /// Reads the machine types with their prices. Returns false if the cloud did not answer.
    fn refresh_prices(&self) -> bool {
        let Ok(types) = self.cloud.catalog() else { return false };
        let mut shared = self.lock();
        shared.machine_types = Some(types.clone());
        if let Some(leadership) = shared.leadership.as_mut() {
            leadership.fleet.set_types(types);
        }
        true
    }

    /// Reads the cloud's machine list and returns its length; none if the cloud did not answer.
    fn refresh_list(&self, fencing_token: u64) -> Option<usize> {
        let list = self.cloud.list().ok()?;
        if let Some(leadership) = self.lock().leadership_with(fencing_token) {
            leadership.fleet.apply_machine_list(&list, self.now());
        }
        Some(list.len())
    }
}
