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
/// How often a scale-out request is repeated when its outcome is not known.
const SCALE_OUT_RETRIES: usize = 2;
/// How long an offer that the cloud could not meet in full is not requested.
const NO_CAPACITY_BACKOFF: Micros = Micros::from_millis(10_000);
/// The same after the cloud answered with an error, or not at all.
const CLOUD_ERROR_BACKOFF: Micros = Micros::from_millis(2_000);
/// A new leader scales out once this many times the lag of the cloud's list have passed.
const FIRST_SCALE_OUT_DELAY_IN_LAGS: f64 = 1.2;

/// A scale-out request with the offer that it makes use of.
struct OfferRequest {
    offer: MachineOffer,
    request: ScaleOutRequest,
}

/// What the duty keeps from round to round.
#[derive(Default)]
pub struct ScalingState {
    /// Number of the last scale-out request of this process: its requests' names must never repeat.
    last_request_number: u64,
    /// The fencing token of the last round.
    fencing_token: u64,
    /// When this controller was first seen to lead with that token.
    leader_since: Steady,
}

impl Controller {
    /// Scales out and in until the controller ends.
    pub(super) fn scale_out_and_in(&self) {
        let mut rounds = ScalingState::default();
        while !self.stopping() {
            self.sleep(SCALING_INTERVAL);
            self.scale_once(&mut rounds);
        }
    }

    /// Scales in and out once, if this controller leads for certain. One whose lease may have ended may have
    /// been replaced: what it takes for idle may run another leader's tasks, and its requests may be held up
    /// in the network until they meet them.
    pub fn scale_once(&self, rounds: &mut ScalingState) {
        let Some(LeadershipTerm { fencing_token, is_first, .. }) = self.confirmed_term() else { return };
        if rounds.fencing_token != fencing_token {
            rounds.fencing_token = fencing_token;
            rounds.leader_since = self.now();
        }
        self.scale_in(fencing_token);
        // What the last leader requested shows in the list only after a while.
        let lag = Micros::from_secs(self.config.platform.settings.cloud.list_lag_s);
        let first_scale_out_delay = lag.scale(FIRST_SCALE_OUT_DELAY_IN_LAGS);
        if is_first || self.now() - rounds.leader_since > first_scale_out_delay {
            self.scale_out(fencing_token, &mut rounds.last_request_number);
        }
    }

    /// The term of this leader, if its lease is known to be valid.
    fn confirmed_term(&self) -> Option<LeadershipTerm> {
        let ttl = Micros::from_secs(self.config.operator.leader_ttl_s);
        let shared = self.lock();
        let leadership = shared.leadership.as_ref()?;
        leadership.store_contact.holds_lease(self.now(), ttl).then_some(leadership.term)
    }

    /// Whether this controller still leads with a fencing token, and its lease is known to be valid.
    fn leads_for_certain(&self, fencing_token: u64) -> bool {
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
        // Each answer is recorded at once: a delay of the next request must not hold up tasks that can
        // start elsewhere.
        for batch in ids.chunks(MAX_MACHINES_PER_SCALE_IN) {
            if !self.leads_for_certain(fencing_token) {
                return;
            }
            match self.cloud.return_machines(batch) {
                Ok(()) => {
                    if let Some(leadership) = self.lock().leadership_with(fencing_token) {
                        leadership.fleet.machines_scaled_in(batch, self.now());
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

    /// Scales out by what the leader lacks; `last_request_number` counts the requests, whose names must
    /// never repeat.
    fn scale_out(&self, fencing_token: u64, last_request_number: &mut u64) {
        let Some(wanted) = self.scale_out_requests(fencing_token) else { return };
        let mut refused = Vec::new();
        for OfferRequest { offer, request } in wanted {
            if refused.contains(&offer) {
                continue;
            }
            if !self.leads_for_certain(fencing_token) {
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

    /// Requests for the machines that the leader lacks, still without names; `None` if this controller is
    /// no longer the leader.
    fn scale_out_requests(&self, fencing_token: u64) -> Option<Vec<OfferRequest>> {
        let mut shared = self.lock();
        let leadership = shared.leadership_with(fencing_token)?;
        let mut requests = Vec::new();
        for ScaleOutItem { offer, count } in leadership.fleet.decide_scaling(self.now(), wall()) {
            let Some(ty) = leadership.fleet.types().get(offer.ty).map(|ty| ty.name.clone()) else { continue };
            let zone = leadership.fleet.zone_name(offer.zone).to_string();
            let mut remaining = count;
            while remaining > 0 {
                let count = remaining.min(MAX_MACHINES_PER_SCALE_OUT);
                remaining -= count;
                let request = ScaleOutRequest {
                    request: String::new(),
                    machine_type: ty.clone(),
                    zone: zone.clone(),
                    spot: offer.spot,
                    count,
                };
                requests.push(OfferRequest { offer, request });
            }
        }
        Some(requests)
    }

    /// Sends a scale-out request, again if its outcome is not known: requests are idempotent by their
    /// name.
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
    /// All machines that were requested.
    Filled,
    /// Fewer, or none: no more of this offer are requested in this round.
    Partial,
    /// The cloud cannot be used now.
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
                fleet.note_offer_refused(offer, now + NO_CAPACITY_BACKOFF);
            }
            fleet.machines_scaled_out(&ids, offer, now);
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
            fleet.note_offer_refused(offer, now + NO_CAPACITY_BACKOFF);
            ScaleOutOutcome::Partial
        }
        Err(error) => {
            tracing::info!(%error, "scale out failed");
            fleet.note_offer_refused(offer, now + CLOUD_ERROR_BACKOFF);
            ScaleOutOutcome::Failed
        }
    }
}
