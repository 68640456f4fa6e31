//! The leader's duty that scales the fleet out (requests for new machines) and in (returning machines to
//! the cloud).

use super::Controller;
use crate::capacity::{MachineOffer, ScaleOutItem};
use crate::cloud::{CloudError, MAX_MACHINES_PER_SCALE_OUT};
use crate::fleet::Fleet;
use crate::leadership::LeadershipTerm;
use crate::time::{wall, Micros, Steady};
use crate::wire::ScaleOutRequest;

/// Pause between rounds.
const SCALING_INTERVAL: Micros = Micros::from_millis(500);
/// Most machines in one scale-in request.
const MAX_MACHINES_PER_SCALE_IN: usize = 100;
/// How many times a scale-out request is repeated while its outcome is unknown.
const SCALE_OUT_RETRIES: usize = 2;
/// How long an offer is not requested again after the cloud granted fewer machines than requested.
const NO_CAPACITY_BACKOFF: Micros = Micros::from_millis(10_000);
/// How long an offer is not requested again after the cloud answered with another error, or not at all.
const CLOUD_ERROR_BACKOFF: Micros = Micros::from_millis(2_000);
/// A new leader scales out only after the lag of the cloud's machine list, multiplied by this factor, has
/// passed. The first leader of all scales out at once.
const FIRST_SCALE_OUT_DELAY_IN_LAGS: f64 = 1.2;

/// A scale-out request, with the offer of which it requests machines.
struct OfferRequest {
    offer: MachineOffer,
    request: ScaleOutRequest,
}

/// State that the scaling duty keeps between its rounds.
#[derive(Default)]
pub struct ScalingState {
    /// Number of the last scale-out request of this process. It is part of the request's name, and names must
    /// never repeat.
    last_request_number: u64,
    /// The fencing token of the leader in the last round.
    fencing_token: u64,
    /// When the first round with this fencing token began.
    leader_since: Steady,
}

impl Controller {
    /// Scales out and in at regular intervals until the controller stops.
    pub(super) fn scale_out_and_in(&self) {
        let mut scaling = ScalingState::default();
        while !self.stopping() {
            self.sleep(SCALING_INTERVAL);
            self.scale_once(&mut scaling);
        }
    }

    /// Scales in and out once, if this controller leads and its lease is known to be valid. A leader whose
    /// lease may have ended may have been replaced. Machines that it considers idle may then run tasks of the
    /// next leader, and a scale-in request that is delayed in the network may end those machines.
    pub fn scale_once(&self, scaling: &mut ScalingState) {
        let Some(LeadershipTerm { fencing_token, is_first, .. }) = self.confirmed_term() else { return };
        if scaling.fencing_token != fencing_token {
            scaling.fencing_token = fencing_token;
            scaling.leader_since = self.now();
        }
        self.scale_in(fencing_token);
        // Machines that the previous leader requested appear in the cloud's list only after its lag.
        let lag = Micros::from_secs(self.config.platform.settings.cloud.list_lag_s);
        let first_scale_out_delay = lag.scale(FIRST_SCALE_OUT_DELAY_IN_LAGS);
        if is_first || self.now() - scaling.leader_since > first_scale_out_delay {
            self.scale_out(fencing_token, &mut scaling.last_request_number);
        }
    }

    /// The term in which this controller leads, if its lease is known to be valid.
    fn confirmed_term(&self) -> Option<LeadershipTerm> {
        let ttl = Micros::from_secs(self.config.operator.leader_ttl_s);
        let shared = self.lock();
        let leadership = shared.leadership.as_ref()?;
        leadership.store_contact.holds_lease(self.now(), ttl).then_some(leadership.term)
    }

    /// Whether this controller still leads with a fencing token, and its lease is known to be valid.
    fn has_valid_lease(&self, fencing_token: u64) -> bool {
        self.confirmed_term().is_some_and(|term| term.fencing_token == fencing_token)
    }

    /// Scales in: returns the machines that the leader no longer needs.
    fn scale_in(&self, fencing_token: u64) {
        let ids = match self.lock().leadership_with(fencing_token) {
            Some(leadership) => leadership.fleet.machines_to_scale_in(),
            None => return,
        };
        if ids.is_empty() {
            return;
        }
        // Each answer is recorded at once: a slow next request must not delay tasks of the returned machines
        // that can start on others.
        for batch in ids.chunks(MAX_MACHINES_PER_SCALE_IN) {
            if !self.has_valid_lease(fencing_token) {
                return;
            }
            match self.cloud.scale_in(batch) {
                Ok(()) => {
                    if let Some(leadership) = self.lock().leadership_with(fencing_token) {
                        leadership.fleet.remove_scaled_in_machines(batch, self.now());
                    }
                    self.wake.notify_all();
                }
                Err(error) => {
                    tracing::info!(%error, machines = ids.len(), "scale in failed");
                    return;
                }
            }
        }
    }

    /// Requests the machines that the leader lacks. `last_request_number` counts the requests, whose names
    /// must never repeat.
    fn scale_out(&self, fencing_token: u64, last_request_number: &mut u64) {
        let Some(wanted) = self.scale_out_requests(fencing_token) else { return };
        let mut refused = Vec::new();
        for OfferRequest { offer, request } in wanted {
            if refused.contains(&offer) {
                continue;
            }
            if !self.has_valid_lease(fencing_token) {
                return;
            }
            *last_request_number += 1;
            let request = ScaleOutRequest {
                request: format!("r-{fencing_token}-{}-{last_request_number}", self.incarnation),
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

    /// The requests for the machines that the leader lacks, without names yet. None if this controller no
    /// longer leads in the term with this fencing token.
    fn scale_out_requests(&self, fencing_token: u64) -> Option<Vec<OfferRequest>> {
        let mut shared = self.lock();
        let leadership = shared.leadership_with(fencing_token)?;
        let mut requests = Vec::new();
        for ScaleOutItem { offer, count } in leadership.fleet.decide_scaling(self.now(), wall()) {
            let Some(type_name) =
                leadership.fleet.types().get(offer.type_index).map(|machine_type| machine_type.name.clone())
            else {
                continue;
            };
            let zone = leadership.fleet.zone_name(offer.zone).to_string();
            let mut remaining = count;
            while remaining > 0 {
                let count = remaining.min(MAX_MACHINES_PER_SCALE_OUT);
                remaining -= count;
                let request = ScaleOutRequest {
                    request: String::new(),
                    machine_type: type_name.clone(),
                    zone: zone.clone(),
                    spot: offer.spot,
                    count,
                };
                requests.push(OfferRequest { offer, request });
            }
        }
        Some(requests)
    }

    /// Sends a scale-out request, and repeats it if the outcome is unknown. Requests are idempotent: the
    /// cloud recognizes a repeated request by its name.
    fn send_scale_out_request(&self, request: &ScaleOutRequest) -> Result<Vec<String>, CloudError> {
        let mut outcome = self.cloud.scale_out(request);
        for _ in 0..SCALE_OUT_RETRIES {
            if !matches!(outcome, Err(CloudError::Unknown(_))) {
                break;
            }
            outcome = self.cloud.scale_out(request);
        }
        outcome
    }
}

/// Outcome of one scale-out request.
enum ScaleOutOutcome {
    /// The cloud granted all requested machines.
    Filled,
    /// The cloud granted fewer machines, or none: no more of this offer are requested in this round.
    Partial,
    /// The request failed for another reason: no more requests are sent in this round.
    Failed,
}

/// Records the cloud's answer to a scale-out request in the fleet.
fn record_scale_out(
    fleet: &mut Fleet,
    offer: MachineOffer,
    request: &ScaleOutRequest,
    outcome: Result<Vec<String>, CloudError>,
    now: Steady,
) -> ScaleOutOutcome {
    match outcome {
        Ok(ids) => {
            tracing::info!(
                machine_type = %request.machine_type,
                zone = %request.zone,
                spot = request.spot,
                requested = request.count,
                granted = ids.len(),
                "scaled out"
            );
            let is_partial = (ids.len() as u32) < request.count;
            if is_partial {
                fleet.record_refused_offer(offer, now + NO_CAPACITY_BACKOFF);
            }
            fleet.add_scaled_out_machines(&ids, offer, now);
            if is_partial {
                ScaleOutOutcome::Partial
            } else {
                ScaleOutOutcome::Filled
            }
        }
        Err(CloudError::NoCapacity) => {
            tracing::debug!(
                machine_type = %request.machine_type,
                zone = %request.zone,
                spot = request.spot,
                "scale out: no capacity"
            );
            fleet.record_refused_offer(offer, now + NO_CAPACITY_BACKOFF);
            ScaleOutOutcome::Partial
        }
        Err(error) => {
            tracing::info!(%error, "scale out failed");
            fleet.record_refused_offer(offer, now + CLOUD_ERROR_BACKOFF);
            ScaleOutOutcome::Failed
        }
    }
}
