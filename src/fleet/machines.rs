//! The machines of the fleet and the tasks that are, or may be, on each of them.

use super::*;

/// A task that is or may be on a machine.
#[derive(Clone, Debug)]
pub struct TaskEntry {
    /// Where it stands; none: its start has left and no newer report has come.
    pub stage: Option<TaskStage>,
    /// What it takes; none if its job is not known.
    pub need: Option<Resources>,
    /// When its start left or it was first seen.
    pub since: Steady,
    /// When it was first seen running, if its start was seen.
    pub running: Option<Steady>,
    /// To be stopped, with this grace.
    pub stop: Option<f64>,
    /// The halt is to leave by direct command, ahead of the next report's answer.
    pub stop_at_once: bool,
    /// Why it ended, if it did.
    pub ended: Option<ExitReason>,
}

impl TaskEntry {
    /// A task whose start leaves now, or that is seen for the first time.
    pub(super) fn new(need: Option<Resources>, now: Steady) -> TaskEntry {
        TaskEntry {
            stage: None,
            need,
            since: now,
            running: None,
            stop: None,
            stop_at_once: false,
            ended: None,
        }
    }

    /// Whether the task has not ended.
    pub(super) fn live(&self) -> bool {
        self.ended.is_none()
    }
}

/// So long a worker is waited for before a new owner's token is brought to it.
pub(super) const RAISE_AFTER: Micros = Micros(1_500_000);

/// A machine.
#[derive(Debug)]
pub struct Machine {
    /// Its name.
    pub id: MachineId,
    /// The worker's address.
    pub addr: String,
    /// Type, by the catalogue's index.
    pub ty: Option<usize>,
    /// Type's name.
    pub ty_name: String,
    /// Zone by index.
    pub zone: usize,
    /// Spot machine.
    pub spot: bool,
    /// Its record is written.
    pub enrolled: bool,
    /// Version of a record of its own, as earlier versions wrote it; 0 if there is none.
    pub mod_revision: u64,
    /// Enrolled by an earlier owner: not known to be free of its commands until it shows our
    /// token.
    pub inherited: bool,
    /// A report has shown our token, or no earlier owner can have used it.
    pub heard: bool,
    /// A report has come.
    pub up: bool,
    /// Newest message.
    pub seen: (u64, u64),
    /// When a report was last answered with 200.
    pub answered: Option<Steady>,
    /// When it was seen to have our token: from then on no earlier owner renews its lease.
    pub ours_since: Option<Steady>,
    /// When a direct command was last made out for it.
    pub commanded: Steady,
    /// When a report last came that this owner might not answer.
    pub alive: Steady,
    /// When it was first known here.
    pub known: Steady,
    /// Its age when it was first known.
    pub age: Micros,
    /// When the cloud takes it.
    pub notice: Option<Steady>,
    /// It is to be returned, or is being returned.
    pub leaving: bool,
    /// Known from the cloud's list.
    pub listed: bool,
    /// Missing from a newer list, or listed as failed.
    pub missing: bool,
    /// Its lease ran out here.
    pub expired: bool,
    /// The tasks.
    pub tasks: BTreeMap<TaskKey, TaskEntry>,
    /// Images, the most recently used last.
    pub images: Vec<(u32, f64)>,
    /// Since when it has had no task.
    pub idle: Steady,
    /// Not placed on before this.
    pub not_before: Steady,
    /// Jobs whose tasks failed here with no success since.
    pub failed: BTreeSet<JobId>,
    /// When a task last failed here.
    pub failed_at: Steady,
    /// Last report that was newer than those before.
    pub report: Steady,
    /// Starts that left in the last answer: the next newer report should show them.
    pub sent: Vec<TaskKey>,
    /// Answers in a row that by the next report did not arrive.
    pub undelivered: u32,
    /// Until when the answer to its latest report waits for a start.
    pub deferred_until: Steady,
}

impl Machine {
    pub(super) fn new(id: &str, now: Steady) -> Machine {
        Machine {
            id: id.into(),
            addr: String::new(),
            ty: None,
            ty_name: String::new(),
            zone: 0,
            spot: false,
            enrolled: false,
            mod_revision: 0,
            inherited: false,
            heard: true,
            up: false,
            seen: (0, 0),
            answered: None,
            ours_since: None,
            commanded: Steady(0),
            alive: Steady(0),
            known: now,
            age: Micros::ZERO,
            notice: None,
            leaving: false,
            listed: false,
            missing: false,
            expired: false,
            tasks: BTreeMap::new(),
            images: Vec::new(),
            idle: now,
            not_before: Steady(0),
            failed: BTreeSet::new(),
            failed_at: Steady(0),
            report: Steady(0),
            sent: Vec::new(),
            undelivered: 0,
            deferred_until: Steady(0),
        }
    }

    /// A task of a job that is not known takes an unknown share.
    pub(super) fn unknown_use(&self) -> bool {
        self.tasks.values().any(|e| e.live() && e.need.is_none())
    }

    pub(super) fn free(&self, total: Resources) -> Resources {
        self.tasks.values().filter(|e| e.live()).filter_map(|e| e.need).fold(total, |t, n| t.less(&n, 1))
    }

    /// The last moment at which its lease may have been renewed, if that is for this owner to know.
    pub(super) fn renewed(&self) -> Option<Steady> {
        self.answered.max(self.ours_since)
    }

    /// Whether this owner's token has to be brought to it: it has not reported of late by itself.
    pub fn to_raise(&self, now: Steady) -> bool {
        !self.heard && !self.leaving && self.answered.unwrap_or(self.known) + RAISE_AFTER < now
    }

    /// A command to be sent straight to its worker.
    pub(super) fn direct_command(&self, orders: Vec<WorkerCommand>) -> DirectCommand {
        DirectCommand {
            machine: self.id.clone(),
            address: self.addr.clone(),
            agent_epoch: self.seen.0.max(1),
            commands: orders,
        }
    }

    pub(super) fn usable(&self, now: Steady) -> bool {
        self.up && self.enrolled && self.heard && !self.leaving && !self.expired && now >= self.not_before
    }
}

impl Fleet {
    /// Machines that may hold commands of an earlier owner.
    pub fn unheard(&self) -> usize {
        self.unheard_machines
    }

    /// Machines that the cloud rented to this owner.
    pub fn rented(&mut self, ids: &[String], offer: Offer, now: Steady) {
        let (ty, zone) =
            (self.types.get(offer.ty).map(|t| t.name.clone()), self.zone_name(offer.zone).to_string());
        for id in ids {
            let id: MachineId = id.as_str().into();
            if !self.machines.contains_key(&id) && !self.gone.contains_key(&id) {
                self.machines.insert(id.clone(), Machine::new(&id, now));
                self.describe(&id, "", ty.as_deref().unwrap_or(""), &zone, offer.spot);
            }
        }
        self.dirty = true;
    }

    /// Takes the cloud's list; it may be late, and older than the one before.
    pub fn listed(&mut self, list: &[ListedMachine], now: Steady) {
        let there: BTreeSet<&str> = list.iter().map(|m| m.id.as_str()).collect();
        for m in self.machines.values_mut() {
            // One that was enrolled by an earlier owner was up then, and so has been listed.
            if (m.listed || (m.inherited && !m.heard)) && !there.contains(&*m.id) {
                m.missing = true;
            }
        }
        for l in list {
            let id: MachineId = l.id.as_str().into();
            if self.gone.contains_key(&id) {
                continue;
            }
            if !self.machines.contains_key(&id) {
                if l.stage == "failed" {
                    continue;
                }
                let mut m = Machine::new(&id, now);
                m.age = Micros::from_secs(l.age_s);
                self.machines.insert(id.clone(), m);
            }
            self.describe(&id, l.address.as_deref().unwrap_or(""), &l.machine_type, &l.zone, l.spot);
            if let Some(m) = self.machines.get_mut(&id) {
                m.listed = true;
                m.missing = l.stage == "failed";
                // An earlier owner rented it: it is older than this one's knowledge of it, and may be
                // returned as soon as it is idle. Without this nothing was for a minute.
                m.age = m.age.max(Micros::from_secs(l.age_s) - (now - m.known));
            }
        }
        self.dirty = true;
    }

    /// Machines to be returned now.
    pub fn leaving(&self) -> Vec<String> {
        self.machines.values().filter(|m| m.leaving).map(|m| m.id.to_string()).collect()
    }

    /// The cloud answered a return: the machines and all on them are gone.
    pub fn returned(&mut self, ids: &[String], now: Steady) {
        for id in ids {
            let id: MachineId = id.as_str().into();
            self.emptied(&id);
            self.machine_given_up(&id, now);
            if let Some(m) = self.machines.remove(&id) {
                self.unheard_machines = self.unheard_machines.saturating_sub(usize::from(!m.heard));
                self.uses.clear();
                self.packs.remove(&id);
                if m.mod_revision > 0 {
                    self.unenrol.insert(id.clone(), m.mod_revision);
                }
                self.gone.insert(id, now);
            }
        }
        self.dirty = true;
    }

    /// All that is on the machine is gone for certain.
    pub(super) fn emptied(&mut self, id: &MachineId) {
        let Some(m) = self.machines.get_mut(id) else { return };
        m.sent.clear();
        let tasks = std::mem::take(&mut m.tasks);
        for (k, e) in tasks {
            if e.live() {
                self.vanished(&k, id);
            }
        }
        self.dirty = true;
    }
}
