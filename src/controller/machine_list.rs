//! The leader's duty that reads the cloud's machine list and prices.

use super::Controller;
use crate::cloud::MACHINES_PER_LIST_PAGE;
use crate::time::{Micros, Steady};

/// Pause between rounds.
const REFRESH_INTERVAL: Micros = Micros::from_millis(500);
/// How often the cloud's list is read at the most.
const MIN_LIST_INTERVAL: Micros = Micros::from_millis(2_000);
/// The list is read after this part of the time by which the cloud's list lags behind.
const LIST_INTERVAL_SHARE_OF_LAG: f64 = 0.75;
/// The share of the cloud's allowed requests that may be spent on its list.
const MAX_LIST_SHARE: f64 = 0.25;
/// How often the prices are read.
const PRICES_INTERVAL: Micros = Micros::from_millis(45_000);

impl Controller {
    /// Reads the cloud's list and prices until the controller ends. A long list takes several
    /// requests, which must not delay scaling out.
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

    /// How far apart the list is read, whatever its length.
    fn list_interval(&self) -> Micros {
        let lag = Micros::from_secs(self.config.platform.settings.cloud.list_lag_s);
        lag.scale(LIST_INTERVAL_SHARE_OF_LAG).max(MIN_LIST_INTERVAL)
    }

    /// How far apart lists of so many machines are read at least, so that they take no more than
    /// their share of the requests: a long list takes many, which scaling out and in would wait for.
    fn min_list_interval(&self, machines: usize) -> Micros {
        let requests = machines.div_ceil(MACHINES_PER_LIST_PAGE).max(1) as f64;
        let requests_per_s = self.config.platform.settings.cloud.rps;
        Micros::from_secs(requests / (requests_per_s * MAX_LIST_SHARE))
    }

    /// Reads the machine types with their prices; false if the cloud did not answer.
    fn refresh_prices(&self) -> bool {
        let Ok(types) = self.cloud.catalog() else { return false };
        let mut shared = self.lock();
        shared.machine_types = Some(types.clone());
        if let Some(leadership) = shared.leadership.as_mut() {
            leadership.fleet.set_types(types);
        }
        true
    }

    /// Reads the cloud's list and returns its length; none if the cloud did not answer.
    fn refresh_list(&self, fencing_token: u64) -> Option<usize> {
        let list = self.cloud.list().ok()?;
        if let Some(leadership) = self.lock().leadership_with(fencing_token) {
            leadership.fleet.apply_machine_list(&list, self.now());
        }
        Some(list.len())
    }
}
