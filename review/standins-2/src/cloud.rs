//! The cloud: rents machines, returns and lists them (PROTOCOL, "Controller nodes -> cloud").

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::cell::Platform;
use crate::http::{serve, Reply, Request};
use crate::worker::Worker;

/// A type of machine in one zone.
#[derive(Clone)]
pub struct Offer {
    pub sku: &'static str,
    pub cpus: f64,
    pub ram_gb: f64,
    pub field: &'static str,
    /// How many ordinary machines there are.
    pub count: usize,
    /// How many spot machines there are.
    pub spot: usize,
    pub boot: Duration,
}

struct Rented {
    offer: usize,
    spot: bool,
    rented: Instant,
    worker: Option<Arc<Worker>>,
}

struct Inner {
    machines: BTreeMap<String, Rented>,
    /// Machines that are gone, and since when; they are listed until the list has caught up.
    gone: BTreeMap<String, (Value, Instant)>,
    pleas: BTreeMap<String, Value>,
    last: u64,
    outage: bool,
}

pub struct Cloud {
    pub offers: Vec<Offer>,
    lag: Duration,
    inner: Mutex<Inner>,
    platform: Arc<Platform>,
}

impl Cloud {
    pub fn new(offers: Vec<Offer>, lag_s: f64, platform: Arc<Platform>) -> Arc<Cloud> {
        let inner = Inner {
            machines: BTreeMap::new(),
            gone: BTreeMap::new(),
            pleas: BTreeMap::new(),
            last: 0,
            outage: false,
        };
        Arc::new(Cloud { offers, lag: Duration::from_secs_f64(lag_s), inner: Mutex::new(inner), platform })
    }

    /// Machines that are up before the controllers start.
    pub fn begin_with(self: &Arc<Cloud>, offer: usize, count: usize) {
        for _ in 0..count {
            let mut inner = self.inner.lock().unwrap();
            inner.last += 1;
            let id = format!("i-{:06}", inner.last);
            let worker = Some(Worker::start(&id, &self.offers[offer], false, self.platform.clone()));
            let rented = Instant::now() - self.lag;
            inner.machines.insert(id, Rented { offer, spot: false, rented, worker });
        }
    }

    pub fn listen(self: &Arc<Cloud>) -> std::net::SocketAddr {
        let cloud = self.clone();
        serve(Arc::new(move |request| cloud.answer(&request)))
    }

    pub fn set_outage(&self, outage: bool) {
        self.inner.lock().unwrap().outage = outage;
        self.platform.record.line(&format!("fault {}: cloud outage: {outage}", self.platform.name));
    }

    /// The workers of the machines that are up.
    pub fn workers(&self) -> Vec<Arc<Worker>> {
        self.inner.lock().unwrap().machines.values().filter_map(|machine| machine.worker.clone()).collect()
    }

    fn answer(self: &Arc<Cloud>, request: &Request) -> Reply {
        std::thread::sleep(Duration::from_millis(50));
        if self.inner.lock().unwrap().outage {
            return Reply::Answer(503, json!({"error": "trouble"}));
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/catalog") => self.catalog(),
            ("GET", "/rentals") => self.list(request),
            ("POST", "/rentals") => self.rent(&request.body),
            ("POST", "/rentals/return") => self.take_back(&request.body),
            _ => Reply::Answer(400, json!({"error": "no such path"})),
        }
    }

    fn catalog(&self) -> Reply {
        let mut breeds: BTreeMap<&str, Value> = BTreeMap::new();
        for offer in &self.offers {
            let breed = breeds.entry(offer.sku).or_insert_with(|| {
                json!({"sku": offer.sku, "cpus": offer.cpus, "cards": 0.0, "ramGb": offer.ram_gb,
                    "localGb": 35.0, "pullGbPerS": 2.0, "rate": 0.05 * offer.cpus,
                    "marketPrice": 0.015 * offer.cpus, "readyS": offer.boot.as_secs_f64(), "fields": []})
            });
            breed["fields"].as_array_mut().unwrap().push(json!(offer.field));
        }
        Reply::Answer(200, json!({"breeds": breeds.into_values().collect::<Vec<_>>()}))
    }

    fn rent(self: &Arc<Cloud>, body: &Value) -> Reply {
        let (Some(plea), Some(count)) = (body["plea"].as_str(), body["count"].as_u64()) else {
            return Reply::Answer(400, json!({"error": "plea and count are needed"}));
        };
        let mut inner = self.inner.lock().unwrap();
        if let Some(answer) = inner.pleas.get(plea) {
            return Reply::Answer(200, answer.clone());
        }
        let wanted = |offer: &Offer| {
            Some(offer.sku) == body["breed"].as_str() && Some(offer.field) == body["field"].as_str()
        };
        let Some(index) = self.offers.iter().position(wanted) else {
            return Reply::Answer(400, json!({"error": "no such offer"}));
        };
        let spot = body["gleanings"].as_bool().unwrap_or(false);
        let used =
            inner.machines.values().filter(|machine| machine.offer == index && machine.spot == spot).count();
        let all = if spot { self.offers[index].spot } else { self.offers[index].count };
        let free = all.saturating_sub(used);
        let granted = free.min(count.min(50) as usize);
        if granted == 0 {
            return Reply::Answer(503, json!({"error": "no capacity"}));
        }
        let mut names = Vec::new();
        for _ in 0..granted {
            inner.last += 1;
            let id = format!("i-{:06}", inner.last);
            let machine = Rented { offer: index, spot, rented: Instant::now(), worker: None };
            inner.machines.insert(id.clone(), machine);
            let (cloud, boot) = (self.clone(), self.offers[index].boot);
            let name = id.clone();
            std::thread::spawn(move || {
                std::thread::sleep(boot);
                cloud.boot(&name);
            });
            names.push(id);
        }
        let answer = json!({"husks": names});
        inner.pleas.insert(plea.to_string(), answer.clone());
        self.platform.record.line(&format!("cloud {}: rented {answer} for {body}", self.platform.name));
        Reply::Answer(200, answer)
    }

    fn boot(self: &Arc<Cloud>, id: &str) {
        let mut inner = self.inner.lock().unwrap();
        if let Some(machine) = inner.machines.get_mut(id) {
            let offer = &self.offers[machine.offer];
            machine.worker = Some(Worker::start(id, offer, machine.spot, self.platform.clone()));
        }
    }

    fn take_back(&self, body: &Value) -> Reply {
        let Some(husks) = body["husks"].as_array().filter(|husks| husks.len() <= 100) else {
            return Reply::Answer(400, json!({"error": "husks"}));
        };
        for id in husks.iter().filter_map(Value::as_str) {
            self.end(id, "returned");
        }
        Reply::Answer(200, json!({}))
    }

    /// Ends a machine at once, with all that is on it.
    pub fn end(&self, id: &str, why: &str) {
        let mut inner = self.inner.lock().unwrap();
        if let Some(machine) = inner.machines.remove(id) {
            let entry = self.entry(id, &machine);
            inner.gone.insert(id.to_string(), (entry, Instant::now()));
            drop(inner);
            self.platform.record.line(&format!("cloud {}: {id} is gone: {why}", self.platform.name));
            if let Some(worker) = machine.worker {
                worker.end(why);
            }
        }
    }

    fn entry(&self, id: &str, machine: &Rented) -> Value {
        let offer = &self.offers[machine.offer];
        let stage = if machine.worker.is_some() { "running" } else { "booting" };
        let address = machine.worker.as_ref().map(|worker| worker.address.to_string());
        json!({"nameId": id, "addr": address, "breed": offer.sku, "field": offer.field,
            "gleanings": machine.spot, "stage": stage,
            "ageS": machine.rented.elapsed().as_secs_f64()})
    }

    fn list(&self, request: &Request) -> Reply {
        let from = request.param("from").unwrap_or("");
        let inner = self.inner.lock().unwrap();
        let mut rows: BTreeMap<&String, Value> = BTreeMap::new();
        for (id, machine) in &inner.machines {
            if machine.rented.elapsed() > self.lag {
                rows.insert(id, self.entry(id, machine));
            }
        }
        for (id, (entry, since)) in &inner.gone {
            if since.elapsed() < self.lag {
                rows.insert(id, entry.clone());
            }
        }
        let husks: Vec<Value> =
            rows.into_iter().filter(|(id, _)| id.as_str() > from).map(|(_, row)| row).take(500).collect();
        Reply::Answer(200, json!({"husks": husks, "more": false}))
    }
}
