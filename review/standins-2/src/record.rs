//! The record of a run: what was sent, answered and run, and the check of `ran_twice` as it happens.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    began: Instant,
    inner: Mutex<Inner>,
}

struct Inner {
    file: File,
    /// The machines on which each task is.
    on: BTreeMap<String, Vec<String>>,
    started: u64,
    broken: Vec<String>,
    /// The rules about each job, for the tasks that are on machines.
    places: BTreeMap<(String, String), Place>,
    /// When a user was first told that a job is cancelled.
    cancelled: BTreeMap<String, f64>,
    limits: Limits,
}

/// Where a task is and what it takes.
#[derive(Clone)]
pub struct Place {
    pub zone: String,
    pub breed: String,
    pub spot: bool,
    pub spec: serde_json::Value,
}

/// The limits that the settings state.
#[derive(Clone, Default)]
pub struct Limits {
    pub cancel_s: f64,
    /// The most processors of each team that has a limit.
    pub cpus_max: BTreeMap<String, f64>,
}

impl Record {
    pub fn new(path: &str) -> Record {
        let file = File::create(path).expect("record.txt can be written");
        let inner = Inner {
            file,
            on: BTreeMap::new(),
            started: 0,
            broken: Vec::new(),
            places: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            limits: Limits::default(),
        };
        Record { began: Instant::now(), inner: Mutex::new(inner) }
    }

    /// Seconds since the run began.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let now = self.now();
        let mut inner = self.inner.lock().unwrap();
        let _ = writeln!(inner.file, "{now:8.3} {text}");
    }

    /// A rule was broken.
    pub fn broken(&self, text: &str) {
        self.line(&format!("RULE BROKEN {text}"));
        self.inner.lock().unwrap().broken.push(text.to_string());
    }

    /// A task has its image on a machine: from now on it is on the machine.
    pub fn task_on(&self, machine: &str, task: &str, attempt: u64, place: Place) {
        self.line(&format!("run   {machine} task {task} attempt {attempt} starts"));
        for text in self.check_start(machine, task, place) {
            self.broken(&text);
        }
        let others = {
            let mut inner = self.inner.lock().unwrap();
            inner.started += 1;
            let on = inner.on.entry(task.to_string()).or_default();
            let others: Vec<String> = on.iter().filter(|other| *other != machine).cloned().collect();
            on.push(machine.to_string());
            others
        };
        if !others.is_empty() {
            self.broken(&format!(
                "ran_twice: {task} starts on {machine} while it is on {}",
                others.join(", ")
            ));
        }
    }

    /// A task is no longer on a machine.
    pub fn task_off(&self, machine: &str, task: &str, attempt: u64, why: &str) {
        self.line(&format!("run   {machine} task {task} attempt {attempt} ends: {why}"));
        let mut inner = self.inner.lock().unwrap();
        inner.places.remove(&(task.to_string(), machine.to_string()));
        if let Some(on) = inner.on.get_mut(task) {
            if let Some(index) = on.iter().position(|other| other == machine) {
                on.remove(index);
            }
        }
    }

    pub fn set_limits(&self, limits: Limits) {
        self.inner.lock().unwrap().limits = limits;
    }

    /// A user was told that a job is cancelled.
    pub fn cancelled(&self, job: &str) {
        let now = self.now();
        self.inner.lock().unwrap().cancelled.entry(job.to_string()).or_insert(now);
    }

    /// Checks `ran_cancelled` for the tasks that are on machines now.
    pub fn check_cancelled(&self) {
        let now = self.now();
        let late: Vec<String> = {
            let mut inner = self.inner.lock().unwrap();
            let cancel_s = inner.limits.cancel_s;
            let over: Vec<String> = inner
                .cancelled
                .iter()
                .filter(|(_, since)| now - **since > cancel_s)
                .map(|(job, _)| job.clone())
                .collect();
            let late =
                inner.places.keys().filter(|(task, _)| over.iter().any(|job| job_of(task) == job.as_str()));
            let late: Vec<String> = late.map(|(task, machine)| format!("{task} on {machine}")).collect();
            if !late.is_empty() {
                inner.cancelled.retain(|job, _| !over.contains(job));
            }
            late
        };
        for text in late {
            self.broken(&format!("ran_cancelled: {text} more than cancel_s after its user was told"));
        }
    }

    fn check_start(&self, machine: &str, task: &str, place: Place) -> Vec<String> {
        let now = self.now();
        let mut broken = Vec::new();
        let mut inner = self.inner.lock().unwrap();
        let job = job_of(task);
        if inner.cancelled.get(job).is_some_and(|since| now - since > inner.limits.cancel_s) {
            broken.push(format!("ran_cancelled: {task} starts on {machine}"));
        }
        let spec = &place.spec;
        let zone_ok = spec["field"].as_str().is_none_or(|zone| zone == place.zone);
        let spot_ok = !place.spot || spec["gleanings"] == true;
        let breed_ok = spec["breeds"]
            .as_array()
            .is_none_or(|breeds| breeds.iter().any(|breed| *breed == place.breed.as_str()));
        if !zone_ok || !spot_ok || !breed_ok {
            broken.push(format!("wrong_place: {task} starts on {machine}"));
        }
        let of_job = |(other, _): &(&(String, String), &Place)| job_of(&other.0) == job;
        let elsewhere =
            inner.places.iter().filter(of_job).filter(|(_, other)| other.zone != place.zone).count();
        let here = inner.places.iter().filter(of_job).filter(|(_, other)| other.zone == place.zone).count();
        if spec["oneZone"] == true && elsewhere > 0 {
            broken.push(format!(
                "wrong_place: {task} starts on {machine} while tasks of its job are in another zone"
            ));
        }
        let half = spec["kernels"].as_u64().unwrap_or(1).div_ceil(2) as usize;
        if spec["spread"] == true && here + 1 > half {
            broken.push(format!("wrong_place: {task} starts on {machine}, more than half in one zone"));
        }
        let owner = spec["owner"].as_str().unwrap_or("").to_string();
        inner.places.insert((task.to_string(), machine.to_string()), place);
        if let Some(limit) = inner.limits.cpus_max.get(&owner).copied() {
            let of_team = inner.places.values().filter(|other| other.spec["owner"] == owner.as_str());
            let used: f64 = of_team.filter_map(|other| other.spec["cpus"].as_f64()).sum();
            if used > limit + 1e-6 {
                broken.push(format!("quota: {owner} uses {used} of {limit} as {task} starts on {machine}"));
            }
        }
        broken
    }

    pub fn tasks_started(&self) -> u64 {
        self.inner.lock().unwrap().started
    }

    pub fn is_on(&self, task: &str) -> bool {
        self.inner.lock().unwrap().on.get(task).is_some_and(|on| !on.is_empty())
    }

    pub fn broken_rules(&self) -> Vec<String> {
        self.inner.lock().unwrap().broken.clone()
    }
}

/// The job of a task.
pub fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or("")
}
