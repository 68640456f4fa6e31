//! The cloud duties of the owner: one reads the list of machines and the prices, the other rents and
//! returns machines.

use super::Controller;
use crate::capacity::Offer;
use crate::cloud::{CloudError, MACHINES_PER_LIST_PAGE, MAX_MACHINES_PER_RENTAL};
use crate::fleet::Fleet;
use crate::time::{wall, Micros, Steady};
use crate::wire::RentRequest;

/// Most machines in one request to return some.
const MAX_MACHINES_PER_RETURN: usize = 100;
/// How often a request for machines is repeated when its outcome is not known.
const RENT_RETRIES: usize = 2;
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
            let Some(token) = self.lock().ownership.as_ref().map(|o| o.claim.token) else { continue };
            let now = self.now();
            if last != token {
                last = token;
                listed = Steady(0);
            }
            if now - priced > PRICES_INTERVAL && self.refresh_prices() {
                priced = now;
            }
            if now - listed > every {
                if let Some(machines) = self.refresh_list(token) {
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
        if let Some(ownership) = shared.ownership.as_mut() {
            ownership.fleet.set_types(types);
        }
        true
    }

    /// Reads the cloud's list and returns its length; none if the cloud did not answer.
    fn refresh_list(&self, token: u64) -> Option<usize> {
        let list = self.cloud.list().ok()?;
        if let Some(ownership) = self.lock().owned_with(token) {
            ownership.fleet.listed(&list, self.now());
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

    /// Rents and returns machines until the controller ends.
    pub(super) fn rent_and_return(&self) {
        let lag = Micros::from_secs(self.cfg.platform.settings.cloud.list_lag_s);
        let mut counter = 0u64;
        let (mut last_token, mut owner_since) = (0u64, Steady(0));
        while !self.stopping() {
            self.sleep(CLOUD_INTERVAL);
            let Some((token, first)) = self.lock().ownership.as_ref().map(|o| (o.claim.token, o.claim.first))
            else {
                continue;
            };
            if last_token != token {
                last_token = token;
                owner_since = self.now();
            }
            self.return_machines(token);
            // What the last owner rented shows in the list only after a while.
            if first || self.now() - owner_since > lag.scale(1.2) {
                self.rent(token, &mut counter);
            }
        }
    }

    /// Returns the machines that the owner no longer needs.
    fn return_machines(&self, token: u64) {
        let ids = match self.lock().owned_with(token) {
            Some(ownership) => ownership.fleet.leaving(),
            None => return,
        };
        if ids.is_empty() {
            return;
        }
        // Each answer counts at once: what the next request has to wait for must not hold up what
        // can start elsewhere.
        for part in ids.chunks(MAX_MACHINES_PER_RETURN) {
            match self.cloud.give_back(part) {
                Ok(()) => {
                    if let Some(ownership) = self.lock().owned_with(token) {
                        ownership.fleet.returned(part, self.now());
                    }
                    self.wake.notify_all();
                }
                Err(e) => {
                    tracing::info!(error = %e, machines = ids.len(), "could not be returned yet");
                    return;
                }
            }
        }
    }

    /// Rents what the owner lacks; `counter` numbers the requests.
    fn rent(&self, token: u64, counter: &mut u64) {
        let Some(wanted) = self.wanted_rentals(token) else { return };
        let mut refused = Vec::new();
        for (offer, request) in wanted {
            if refused.contains(&offer) {
                continue;
            }
            *counter += 1;
            let request =
                RentRequest { request: format!("r-{token}-{}-{counter}", self.incarnation), ..request };
            let outcome = self.request_rental(&request);
            let mut shared = self.lock();
            let Some(ownership) = shared.owned_with(token) else {
                return;
            };
            let now = self.now();
            match rental_answered(&mut ownership.fleet, offer, &request, outcome, now) {
                Rental::Whole => {}
                Rental::Short => refused.push(offer),
                Rental::Failed => return,
            }
        }
    }

    /// Requests for the machines that the owner lacks, still without names; none if this node is no
    /// longer the owner.
    fn wanted_rentals(&self, token: u64) -> Option<Vec<(Offer, RentRequest)>> {
        let mut shared = self.lock();
        let ownership = shared.owned_with(token)?;
        let mut requests = Vec::new();
        for (offer, count) in ownership.fleet.capacity(self.now(), wall()) {
            let Some(ty) = ownership.fleet.types().get(offer.ty).map(|t| t.name.clone()) else { continue };
            let zone = ownership.fleet.zone_name(offer.zone).to_string();
            let mut left = count;
            while left > 0 {
                let count = left.min(MAX_MACHINES_PER_RENTAL);
                left -= count;
                let request = RentRequest {
                    request: String::new(),
                    ty: ty.clone(),
                    zone: zone.clone(),
                    spot: offer.spot,
                    count,
                };
                requests.push((offer, request));
            }
        }
        Some(requests)
    }

    /// Sends a request, again if its outcome is not known: the same request rents nothing twice.
    fn request_rental(&self, request: &RentRequest) -> Result<Vec<String>, CloudError> {
        let mut outcome = self.cloud.rent(request);
        for _ in 0..RENT_RETRIES {
            if !matches!(outcome, Err(CloudError::Unknown(_))) {
                break;
            }
            outcome = self.cloud.rent(request);
        }
        outcome
    }
}

/// What came of a request for machines.
enum Rental {
    /// All that was asked for.
    Whole,
    /// Less, or nothing: no more of this offer is asked for in this round.
    Short,
    /// The cloud rents nothing now.
    Failed,
}

/// Records the cloud's answer to a rental request in the fleet.
fn rental_answered(
    fleet: &mut Fleet,
    offer: Offer,
    request: &RentRequest,
    outcome: Result<Vec<String>, CloudError>,
    now: Steady,
) -> Rental {
    let r = request;
    match outcome {
        Ok(ids) => {
            tracing::info!(ty = %r.ty, zone = %r.zone, spot = r.spot, asked = r.count, got = ids.len(), "rented");
            let short = (ids.len() as u32) < r.count;
            if short {
                fleet.offer_refused(offer, now + NO_CAPACITY_BACKOFF);
            }
            fleet.rented(&ids, offer, now);
            if short {
                Rental::Short
            } else {
                Rental::Whole
            }
        }
        Err(CloudError::NoCapacity) => {
            tracing::debug!(ty = %r.ty, zone = %r.zone, spot = r.spot, "no capacity");
            fleet.offer_refused(offer, now + NO_CAPACITY_BACKOFF);
            Rental::Short
        }
        Err(e) => {
            tracing::info!(error = %e, "the cloud rents nothing now");
            fleet.offer_refused(offer, now + CLOUD_ERROR_BACKOFF);
            Rental::Failed
        }
    }
}
