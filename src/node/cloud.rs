//! The owner's dealings with the cloud: the list of machines, the prices, renting and returning.

use super::Node;
use crate::cloud::CloudError;
use crate::time::{wall, Micros, Steady};
use crate::wire::RentRequest;

/// Most machines in one request for some.
const MOST_RENTED: u32 = 50;
/// Most machines in one request to return some.
const MOST_RETURNED: usize = 100;

impl Node {
    /// Keeps an eye on the cloud's list and its prices. A long list takes several requests, which
    /// must not hold up renting.
    pub(super) fn list(&self) {
        let lag = Micros::from_secs(self.cfg.platform.settings.cloud.list_lag_s);
        let every = lag.scale(0.75).max(Micros::from_secs(2.0));
        let (mut listed, mut priced, mut last) = (Steady(0), Steady(0), 0u64);
        while !self.stopping() {
            self.sleep(Micros::from_millis(500));
            let Some(token) = self.lock().own.as_ref().map(|o| o.claim.token) else { continue };
            let now = self.now();
            if last != token {
                last = token;
                listed = Steady(0);
            }
            if now - priced > Micros::from_secs(45.0) {
                if let Ok(t) = self.cloud.catalog() {
                    priced = now;
                    let mut core = self.lock();
                    core.types = Some(t.clone());
                    if let Some(own) = core.own.as_mut() {
                        own.fleet.set_types(t);
                    }
                }
            }
            if now - listed > every {
                if let Ok(list) = self.cloud.list() {
                    listed = now;
                    if let Some(own) = self.lock().own.as_mut().filter(|o| o.claim.token == token) {
                        own.fleet.listed(&list, self.now());
                    }
                }
            }
        }
    }

    /// Rents and returns.
    pub(super) fn tend(&self) {
        let lag = Micros::from_secs(self.cfg.platform.settings.cloud.list_lag_s);
        let (mut counter, mut began) = (0u64, (0u64, Steady(0)));
        while !self.stopping() {
            self.sleep(Micros::from_millis(500));
            let Some((token, first)) = self.lock().own.as_ref().map(|o| (o.claim.token, o.claim.first))
            else {
                continue;
            };
            if began.0 != token {
                began = (token, self.now());
            }
            self.give_back(token);
            // What the last owner rented shows in the list only after a while.
            if first || self.now() - began.1 > lag.scale(1.2) {
                self.rent(token, &mut counter);
            }
        }
    }

    fn give_back(&self, token: u64) {
        let ids = match self.lock().own.as_ref().filter(|o| o.claim.token == token) {
            Some(own) => own.fleet.leaving(),
            None => return,
        };
        if ids.is_empty() {
            return;
        }
        // Each answer counts at once: what the next request has to wait for must not hold up what
        // can start elsewhere.
        for part in ids.chunks(MOST_RETURNED) {
            match self.cloud.give_back(part) {
                Ok(()) => {
                    if let Some(own) = self.lock().own.as_mut().filter(|o| o.claim.token == token) {
                        own.fleet.returned(part, self.now());
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

    fn rent(&self, token: u64, counter: &mut u64) {
        let wants = match self.lock().own.as_mut().filter(|o| o.claim.token == token) {
            Some(own) => {
                let w = own.fleet.capacity(self.now(), wall());
                w.into_iter()
                    .filter_map(|(o, n)| {
                        let ty = own.fleet.types().get(o.ty)?.name.clone();
                        Some((o, n, ty, own.fleet.zone_name(o.zone).to_string()))
                    })
                    .collect::<Vec<_>>()
            }
            None => return,
        };
        // A request is for fifty at the most.
        let requests = wants.into_iter().flat_map(|(offer, count, ty, zone)| {
            let whole =
                (0..count.div_ceil(MOST_RENTED)).map(move |i| (count - i * MOST_RENTED).min(MOST_RENTED));
            whole.map(move |n| (offer, n, ty.clone(), zone.clone()))
        });
        let mut refused = Vec::new();
        for (offer, count, ty, zone) in requests {
            if refused.contains(&offer) {
                continue;
            }
            *counter += 1;
            let request = format!("r-{token}-{}-{counter}", self.incarnation);
            let r = RentRequest { request, ty, zone, spot: offer.spot, count };
            let mut outcome = self.cloud.rent(&r);
            // The same request may be repeated: it rents nothing twice.
            for _ in 0..2 {
                if !matches!(outcome, Err(CloudError::Unknown(_))) {
                    break;
                }
                outcome = self.cloud.rent(&r);
            }
            let mut core = self.lock();
            let Some(own) = core.own.as_mut().filter(|o| o.claim.token == token) else { return };
            match outcome {
                Ok(ids) => {
                    tracing::info!(ty = %r.ty, zone = %r.zone, spot = r.spot, asked = r.count, got = ids.len(), "rented");
                    if (ids.len() as u32) < r.count {
                        refused.push(offer);
                        own.fleet.offer_refused(offer, self.now() + Micros::from_secs(10.0));
                    }
                    own.fleet.rented(&ids, offer, self.now());
                }
                Err(CloudError::NoCapacity) => {
                    refused.push(offer);
                    tracing::debug!(ty = %r.ty, zone = %r.zone, spot = r.spot, "no capacity");
                    own.fleet.offer_refused(offer, self.now() + Micros::from_secs(10.0));
                }
                Err(e) => {
                    tracing::info!(error = %e, "the cloud rents nothing now");
                    own.fleet.offer_refused(offer, self.now() + Micros::from_secs(2.0));
                    return;
                }
            }
        }
    }
}
