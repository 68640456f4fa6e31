//! The leader's cloud duties: one reads the cloud's machine list and prices, the other scales the fleet
//! out (rental requests) and in (returning machines).

use super::Controller;
use crate::capacity::Offer;
use crate::cloud::{CloudError, MACHINES_PER_LIST_PAGE, MAX_MACHINES_PER_RENTAL};
use crate::fleet::Fleet;
use crate::time::{wall, Micros, Steady};
use crate::wire::ScaleOutRequest;

/// Most machines in one request to return some.
const MAX_MACHINES_PER_SCALE_IN: usize = 100;
/// How often a request for machines is repeated when its outcome is not known.
const SCALE_OUT_RETRIES: usize = 2;
/// How long an offer that the cloud could not meet in full is not asked for.
const NO_CAPACITY_BACKOFF: Micros = Micros::from_millis(10_000);
/// The same after the cloud answered with an error, or not at all.
const CLOUD_ERROR_BACKOFF: Micros = Micros::from_millis(2_000);
/// Pause between rounds of looking at the cloud, and of renting and returning.
const CLOUD_INTERVAL: Micros = Micros::from_millis(500);
/// How often the cloud's list is read at the most.
const MIN_LIST_INTERVAL: Micros = Micros::from_millis(2_000);
/// The part of the cloud's requests that may be spent on its list.
const MAX_LIST_SHARE: f64 = 0.25;
/// How often the prices are read.
const PRICES_INTERVAL: Micros = Micros::from_millis(45_000);

impl Controller {
    /// Reads the cloud's list and prices until the controller ends. A long list takes several
    /// requests, which must not delay renting.
    pub(super) fn refresh_cloud(&self) {
        let lag = Micros::from_secs(self.cfg.platform.settings.cloud.list_lag_s);
        let mut every = lag.scale(0.75).max(MIN_LIST_INTERVAL);
        let (mut listed, mut priced, mut last) = (Steady(0), Steady(0), 0u64);
        while !self.stopping() {
            self.sleep(CLOUD_INTERVAL);
            let Some(fencing_token) = self.lock().leadership.as_ref().map(|o| o.claim.fencing_token) else {
                continue;
            };
            let now = self.now();
            if last != fencing_token {
                last = fencing_token;
                listed = Steady(0);
            }
            if now - priced > PRICES_INTERVAL && self.refresh_prices() {
                priced = now;
            }
            if now - listed > every {
                if let Some(machines) = self.refresh_list(fencing_token) {
                    listed = now;
                    every = lag.scale(0.75).max(MIN_LIST_INTERVAL).max(self.least_list_interval(machines));
                }
            }
        }
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
            leadership.fleet.listed(&list, self.now());
        }
        Some(list.len())
    }

    /// How far apart lists of so many machines are read at least, so that they take no more than
    /// their part of the requests: a long list takes many, which renting and returning would wait for.
    fn least_list_interval(&self, machines: usize) -> Micros {
        let requests = machines.div_ceil(MACHINES_PER_LIST_PAGE).max(1) as f64;
        let rps = self.cfg.platform.settings.cloud.rps;
        Micros::from_secs(requests / (rps * MAX_LIST_SHARE))
    }

    /// Scales out and in until the controller ends.
    pub(super) fn scale_out_and_in(&self) {
        let lag = Micros::from_secs(self.cfg.platform.settings.cloud.list_lag_s);
        let mut counter = 0u64;
        let (mut last_fencing_token, mut owner_since) = (0u64, Steady(0));
        while !self.stopping() {
            self.sleep(CLOUD_INTERVAL);
            let Some((fencing_token, first)) =
                self.lock().leadership.as_ref().map(|o| (o.claim.fencing_token, o.claim.first))
            else {
                continue;
            };
            if last_fencing_token != fencing_token {
                last_fencing_token = fencing_token;
                owner_since = self.now();
            }
            self.scale_in(fencing_token);
            // What the last leader rented shows in the list only after a while.
            if first || self.now() - owner_since > lag.scale(1.2) {
                self.scale_out(fencing_token, &mut counter);
            }
        }
    }

    /// Scales in: returns the machines that the leader no longer needs.
    fn scale_in(&self, fencing_token: u64) {
        let ids = match self.lock().leadership_with(fencing_token) {
            Some(leadership) => leadership.fleet.leaving(),
            None => return,
        };
        if ids.is_empty() {
            return;
        }
        // Each answer counts at once: what the next request has to wait for must not hold up what
        // can start elsewhere.
        for part in ids.chunks(MAX_MACHINES_PER_SCALE_IN) {
            match self.cloud.return_machines(part) {
                Ok(()) => {
                    if let Some(leadership) = self.lock().leadership_with(fencing_token) {
                        leadership.fleet.returned(part, self.now());
                    }
                    self.wake.notify_all();
                }
                Err(e) => {
                    tracing::info!(error = %e, machines = ids.len(), "scale in failed");
                    return;
                }
            }
        }
    }

    /// Scales out by what the leader lacks; `counter` numbers the rental requests, whose names must
    /// never repeat.
    fn scale_out(&self, fencing_token: u64, counter: &mut u64) {
        let Some(wanted) = self.scale_out_requests(fencing_token) else { return };
        let mut refused = Vec::new();
        for (offer, request) in wanted {
            if refused.contains(&offer) {
                continue;
            }
            *counter += 1;
            let request = ScaleOutRequest {
                request: format!("r-{fencing_token}-{}-{counter}", self.incarnation),
                ..request
            };
            let outcome = self.send_scale_out_request(&request);
            let mut shared = self.lock();
            let Some(leadership) = shared.leadership_with(fencing_token) else {
                return;
            };
            let now = self.now();
            match record_scale_out(&mut leadership.fleet, offer, &request, outcome, now) {
                ScaleOutOutcome::Filled => {}
                ScaleOutOutcome::Partial => refused.push(offer),
                ScaleOutOutcome::Failed => return,
            }
        }
    }

    /// Requests for the machines that the leader lacks, still without names; none if this controller is no
    /// longer the leader.
    fn scale_out_requests(&self, fencing_token: u64) -> Option<Vec<(Offer, ScaleOutRequest)>> {
        let mut shared = self.lock();
        let leadership = shared.leadership_with(fencing_token)?;
        let mut requests = Vec::new();
        for (offer, count) in leadership.fleet.capacity(self.now(), wall()) {
            let Some(ty) = leadership.fleet.types().get(offer.ty).map(|t| t.name.clone()) else { continue };
            let zone = leadership.fleet.zone_name(offer.zone).to_string();
            let mut left = count;
            while left > 0 {
                let count = left.min(MAX_MACHINES_PER_RENTAL);
                left -= count;
                let request = ScaleOutRequest {
                    request: String::new(),
                    machine_type: ty.clone(),
                    zone: zone.clone(),
                    spot: offer.spot,
                    count,
                };
                requests.push((offer, request));
            }
        }
        Some(requests)
    }

    /// Sends a rental request, again if its outcome is not known: the cloud rents nothing twice for
    /// one request name.
    fn send_scale_out_request(&self, request: &ScaleOutRequest) -> Result<Vec<String>, CloudError> {
        let mut outcome = self.cloud.rent(request);
        for _ in 0..SCALE_OUT_RETRIES {
            if !matches!(outcome, Err(CloudError::Unknown(_))) {
                break;
            }
            outcome = self.cloud.rent(request);
        }
        outcome
    }
}

/// What came of one scale-out (rental) request.
enum ScaleOutOutcome {
    /// All that was asked for.
    Filled,
    /// Less, or nothing: no more of this offer is asked for in this round.
    Partial,
    /// The cloud rents nothing now.
    Failed,
}

/// Records the cloud's answer to a scale-out request in the fleet.
fn record_scale_out(
    fleet: &mut Fleet,
    offer: Offer,
    request: &ScaleOutRequest,
    outcome: Result<Vec<String>, CloudError>,
    now: Steady,
) -> ScaleOutOutcome {
    let r = request;
    match outcome {
        Ok(ids) => {
            tracing::info!(ty = %r.machine_type, zone = %r.zone, spot = r.spot, asked = r.count, got = ids.len(), "scaled out");
            let short = (ids.len() as u32) < r.count;
            if short {
                fleet.offer_refused(offer, now + NO_CAPACITY_BACKOFF);
            }
            fleet.rented(&ids, offer, now);
            if short {
                ScaleOutOutcome::Partial
            } else {
                ScaleOutOutcome::Filled
            }
        }
        Err(CloudError::NoCapacity) => {
            tracing::debug!(ty = %r.machine_type, zone = %r.zone, spot = r.spot, "scale out: no capacity");
            fleet.offer_refused(offer, now + NO_CAPACITY_BACKOFF);
            ScaleOutOutcome::Partial
        }
        Err(e) => {
            tracing::info!(error = %e, "scale out failed");
            fleet.offer_refused(offer, now + CLOUD_ERROR_BACKOFF);
            ScaleOutOutcome::Failed
        }
    }
}
