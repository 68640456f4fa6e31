//! A reference model of the planner. It places single tasks and computes every answer from all tasks placed
//! so far.

use milletlock::sched::{
    plan, queue_order, JobClass, MachineSnapshot, Reservation, ReservedHeadroom, Snapshot, Start,
};
use milletlock::time::Micros;
use milletlock::wire::Priority;

use crate::common::planner::{queue_positions, CPU_TOLERANCE, IMAGE};
use crate::generators::LARGE_TYPE;
use crate::sorted_starts;

/// When the quota is available if no end of a task releases enough of it.
const PLANNING_HORIZON: Micros = Micros(86_400_000_000);

/// A task that the model has placed; the fields are indices into the snapshot.
#[derive(Clone, Copy)]
struct ModelTask {
    class: usize,
    machine: usize,
}

/// A part of a team's quota, reserved for a gang that starts at the time `from`.
#[derive(Clone)]
struct QuotaReservation {
    team: usize,
    cpus: f64,
    from: Micros,
}

/// The end of a task, and the processors of its team's quota that it releases.
struct QuotaRelease {
    at: Micros,
    cpus: f64,
}

#[derive(Clone)]
struct Model<'a> {
    snapshot: &'a Snapshot,
    placed: Vec<ModelTask>,
    reservation: Option<Reservation>,
    quota_reservations: Vec<QuotaReservation>,
    /// Teams that have a gang blocked by the quota.
    teams_with_blocked_gang: Vec<usize>,
    contended_types: [bool; 2],
}

/// The tasks that the model starts from a snapshot, sorted by class and machine.
pub fn model_starts(snapshot: &Snapshot) -> Vec<Start> {
    let mut model = Model {
        snapshot,
        placed: Vec::new(),
        reservation: None,
        quota_reservations: Vec::new(),
        teams_with_blocked_gang: Vec::new(),
        contended_types: [false; 2],
    };
    model.run();
    let mut starts: Vec<Start> = Vec::new();
    for ModelTask { class, machine } in model.placed {
        match starts.iter_mut().find(|start| start.class == class && start.machine == machine) {
            Some(start) => start.count += 1,
            None => starts.push(Start { class, machine, count: 1 }),
        }
    }
    sorted_starts(&starts)
}

/// The time until a task of the class would run on the machine, without the machine's failure penalty.
pub fn start_delay(class: &JobClass, machine: &MachineSnapshot) -> Micros {
    let has_image = machine.images.contains(&IMAGE);
    let fetch_s = if has_image { 0.0 } else { class.image_gb / machine.fetch_gb_per_s };
    machine.accepts_starts_in + Micros::from_secs(fetch_s)
}

// Places the classes in the order of the queue.
impl Model<'_> {
    fn run(&mut self) {
        for class in queue_order(&self.snapshot.classes) {
            self.place_class(class);
        }
    }

    fn place_class(&mut self, index: usize) {
        let class = &self.snapshot.classes[index];
        let quota_left = self.quota_left(index);
        let gang_lacks_quota = class.gang && quota_left < class.startable_tasks;
        if gang_lacks_quota {
            if self.teams_with_blocked_gang.contains(&class.team) {
                return;
            }
            self.teams_with_blocked_gang.push(class.team);
            if self.would_find_capacity(index) {
                self.reserve_quota(index);
                self.reserve_for_first_blocked();
                return;
            }
        }
        let unplaced = if gang_lacks_quota {
            class.startable_tasks
        } else {
            self.place(index, class.startable_tasks.min(quota_left))
        };
        if unplaced > 0 {
            self.mark_contended_types(class);
            self.reserve_for_first_blocked();
        }
    }

    /// Reserves quota for a gang that only its team's quota blocks. Jobs of the team that are later in the
    /// queue do not take this part, unless they end before the quota lets the gang start.
    fn reserve_quota(&mut self, index: usize) {
        let class = &self.snapshot.classes[index];
        self.quota_reservations.push(QuotaReservation {
            team: class.team,
            cpus: f64::from(class.startable_tasks) * class.need.cpus,
            from: self.quota_available_at(index),
        });
    }

    /// Takes the reservation from the planner's plan; the test in `reservations` checks it independently.
    fn reserve_for_first_blocked(&mut self) {
        if self.reservation.is_none() && self.snapshot.reserve {
            self.reservation = plan(self.snapshot).reservation;
        }
    }

    /// Marks the large type as contended if the class, which found no capacity, may use its reserved
    /// headroom.
    fn mark_contended_types(&mut self, class: &JobClass) {
        let headroom = self.snapshot.reserved_headroom[LARGE_TYPE];
        if headroom.is_some_and(|headroom| class.priority >= headroom.priority)
            && class.machine_types.contains(&LARGE_TYPE)
        {
            self.contended_types[LARGE_TYPE] = true;
        }
    }

    /// Places tasks of a class, for a gang all or none; returns how many found no capacity.
    fn place(&mut self, index: usize, count: u32) -> u32 {
        let class = &self.snapshot.classes[index];
        let gang_in_one_zone = class.gang && class.one_zone;
        let zones: &[Option<usize>] = if gang_in_one_zone { &[Some(0), Some(1)] } else { &[None] };
        let machines = self.best_machines_first(index);
        for zone in zones {
            let placed_before = self.placed.len();
            let unplaced = self.place_in_zone(index, count, &machines, *zone);
            if !class.gang || unplaced == 0 {
                return unplaced;
            }
            self.placed.truncate(placed_before);
        }
        count
    }

    fn place_in_zone(&mut self, class: usize, count: u32, machines: &[usize], zone: Option<usize>) -> u32 {
        let mut unplaced = count;
        for &machine in machines {
            if zone.is_some_and(|zone| zone != self.snapshot.machines[machine].zone) {
                continue;
            }
            while unplaced > 0 && self.takes_another(class, machine) {
                self.placed.push(ModelTask { class, machine });
                unplaced -= 1;
            }
        }
        unplaced
    }

    /// The machines that have capacity for a task of the class, best first. Zone limits are checked task by
    /// task later.
    fn best_machines_first(&self, index: usize) -> Vec<usize> {
        let class = &self.snapshot.classes[index];
        let delay_step = match class.priority {
            Priority::Idle => self.snapshot.low_priority_delay_step,
            _ => self.snapshot.delay_step,
        };
        let mut machines: Vec<usize> = (0..self.snapshot.machines.len())
            .filter(|&machine| self.has_capacity_for_another(index, machine))
            .collect();
        machines.sort_by_key(|&machine| {
            let snapshot = &self.snapshot.machines[machine];
            (
                self.yields_to_headroom(index, machine),
                self.delay(class, snapshot).0 / delay_step.0,
                snapshot.cpu_price,
                (snapshot.total.cpus * 10.0) as i64,
                (self.free_cpus(machine) * 10.0) as i64,
                machine,
            )
        });
        machines
    }
}

// Decides whether a machine takes a task.
impl Model<'_> {
    fn takes_another(&self, class: usize, machine: usize) -> bool {
        self.has_capacity_for_another(class, machine) && self.zone_rules_allow(class, machine)
    }

    fn has_capacity_for_another(&self, class: usize, machine: usize) -> bool {
        self.is_eligible(class, machine)
            && self.free_cpus(machine) + CPU_TOLERANCE >= self.snapshot.classes[class].need.cpus
            && self.respects_headroom(class, machine)
            && self.respects_reservation(class, machine)
    }

    /// Whether the class may use the machine, regardless of the tasks on it, and ends before the machine is
    /// reclaimed.
    fn is_eligible(&self, class: usize, machine: usize) -> bool {
        let (class, machine) = (&self.snapshot.classes[class], &self.snapshot.machines[machine]);
        machine.accepts_starts
            && class.machine_types.contains(&machine.machine_type)
            && class.zone.is_none_or(|zone| zone == machine.zone)
            && (class.spot || !machine.spot)
            && machine.reclaimed_in.is_none_or(|reclaimed_in| self.end(class, machine) <= reclaimed_in)
    }

    fn delay(&self, class: &JobClass, machine: &MachineSnapshot) -> Micros {
        start_delay(class, machine) + machine.failure_penalty
    }

    /// Time until a task that is started now ends.
    fn end(&self, class: &JobClass, machine: &MachineSnapshot) -> Micros {
        self.delay(class, machine) + class.adjusted_runtime
    }

    fn placed_cpus(&self, counts: impl Fn(&ModelTask) -> bool) -> f64 {
        let counted = self.placed.iter().filter(|task| counts(task));
        counted.map(|task| self.snapshot.classes[task.class].need.cpus).sum()
    }

    fn free_cpus(&self, machine: usize) -> f64 {
        self.snapshot.machines[machine].free.cpus - self.placed_cpus(|task| task.machine == machine)
    }

    fn zone_rules_allow(&self, index: usize, machine: usize) -> bool {
        let class = &self.snapshot.classes[index];
        let zone = self.snapshot.machines[machine].zone;
        let tied_to_other_zone = class.one_zone && self.tasks_in_zone(index, 1 - zone) > 0;
        let zone_is_full = class.spread && self.tasks_in_zone(index, zone) >= class.tasks.div_ceil(2);
        !tied_to_other_zone && !zone_is_full
    }

    fn tasks_in_zone(&self, class: usize, zone: usize) -> u32 {
        let placed = self
            .placed
            .iter()
            .filter(|task| task.class == class && self.snapshot.machines[task.machine].zone == zone);
        self.snapshot.classes[class].tasks_by_zone[zone] + placed.count() as u32
    }
}

// Applies reserved headroom and the reservation of the first blocked class.
impl Model<'_> {
    fn headroom_on(&self, machine: &MachineSnapshot) -> Option<ReservedHeadroom> {
        let headroom = self.snapshot.reserved_headroom[machine.machine_type]?;
        (headroom.spot || !machine.spot).then_some(headroom)
    }

    /// Whether the class has a lower priority than the tasks that headroom on the machine is reserved for.
    fn yields_to_headroom(&self, class: usize, machine: usize) -> bool {
        self.headroom_on(&self.snapshot.machines[machine])
            .is_some_and(|headroom| self.snapshot.classes[class].priority < headroom.priority)
    }

    fn respects_headroom(&self, class: usize, machine: usize) -> bool {
        if !self.yields_to_headroom(class, machine) {
            return true;
        }
        let contended = self.contended_types[self.snapshot.machines[machine].machine_type];
        !contended && (!self.keeps_headroom_free(machine) || self.fits_beside_headroom(class, machine))
    }

    /// Whether the machine is among the first of its type that have free capacity for the headroom, as many
    /// as the snapshot asks for.
    fn keeps_headroom_free(&self, index: usize) -> bool {
        let machine_type = self.snapshot.machines[index].machine_type;
        let is_candidate = |machine: &MachineSnapshot| {
            machine.machine_type == machine_type
                && machine.reclaimed_in.is_none()
                && self.headroom_on(machine).is_some_and(|headroom| machine.free.fits(&headroom.need) > 0)
        };
        let machines = &self.snapshot.machines;
        let candidates_before = machines[..index].iter().filter(|machine| is_candidate(machine)).count();
        is_candidate(&machines[index]) && candidates_before < self.snapshot.headroom_machines
    }

    fn fits_beside_headroom(&self, class: usize, index: usize) -> bool {
        let machine = &self.snapshot.machines[index];
        let headroom = self.headroom_on(machine).expect("a machine with headroom").need.cpus;
        let running = machine.placed.iter().filter(|task| task.priority < Priority::Urgent);
        let running: f64 = running.map(|task| task.need.cpus).sum();
        let placed =
            self.placed_cpus(|task| task.machine == index && self.yields_to_headroom(task.class, index));
        let left = machine.total.cpus - headroom - running - placed;
        left + CPU_TOLERANCE >= self.snapshot.classes[class].need.cpus
    }

    fn respects_reservation(&self, index: usize, machine: usize) -> bool {
        let Some(reservation) = &self.reservation else { return true };
        let Some(left) = self.cpus_left_by_reservation(reservation, machine) else { return true };
        let class = &self.snapshot.classes[index];
        let ends_before = self.end(class, &self.snapshot.machines[machine]) <= reservation.at;
        ends_before || left + CPU_TOLERANCE >= class.need.cpus
    }

    /// Processors that the reservation leaves free on a machine when it begins; `None` if the machine is not
    /// reserved.
    fn cpus_left_by_reservation(&self, reservation: &Reservation, index: usize) -> Option<f64> {
        let reserved_tasks = reservation.machines.iter().find(|reserved| reserved.0 == index)?.1;
        let machine = &self.snapshot.machines[index];
        let ended = machine.placed.iter().filter(|task| task.remaining <= reservation.at);
        let ended: f64 = ended.map(|task| task.need.cpus).sum();
        // Tasks of classes up to the reserved one in the queue are counted in full; tasks of later classes
        // only if they still run when the reservation begins.
        let positions = queue_positions(&self.snapshot.classes);
        let is_earlier = |task: &ModelTask| positions[task.class] <= positions[reservation.class];
        let earlier = self.placed_cpus(|task| task.machine == index && is_earlier(task));
        let later = self.placed_cpus(|task| {
            let end = self.end(&self.snapshot.classes[task.class], machine);
            task.machine == index && !is_earlier(task) && end > reservation.at
        });
        let reserved = f64::from(reserved_tasks) * self.snapshot.classes[reservation.class].need.cpus;
        Some(machine.free.cpus + ended - earlier - later - reserved)
    }
}

// Applies the quotas of the teams.
impl Model<'_> {
    /// Number of tasks of the class that its team's quota lets start.
    fn quota_left(&self, index: usize) -> u32 {
        let class = &self.snapshot.classes[index];
        let team = &self.snapshot.teams[class.team];
        if team.cpu_quota <= 0.0 {
            return u32::MAX;
        }
        let placed = self.placed_cpus(|task| self.snapshot.classes[task.class].team == class.team);
        let end = class.adjusted_runtime + self.snapshot.low_priority_delay_step;
        let reservations = self.quota_reservations.iter();
        let reserved = reservations.filter(|reserved| reserved.team == class.team && end > reserved.from);
        let used = placed + team.used.cpus + reserved.map(|reserved| reserved.cpus).sum::<f64>();
        ((team.cpu_quota - used + CPU_TOLERANCE) / class.need.cpus).floor().max(0.0) as u32
    }

    /// Whether the gang would start if its team had no quota.
    fn would_find_capacity(&self, class: usize) -> bool {
        self.clone().place(class, self.snapshot.classes[class].startable_tasks) == 0
    }

    /// The first end of a task after which the quota lets the whole gang start.
    fn quota_available_at(&self, index: usize) -> Micros {
        let class = &self.snapshot.classes[index];
        let releases = self.quota_releases(class.team);
        let used: f64 = releases.iter().map(|release| release.cpus).sum::<f64>();
        let total = used + self.cpus_used_elsewhere(class.team);
        let quota = self.snapshot.teams[class.team].cpu_quota;
        let needed = f64::from(class.startable_tasks) * class.need.cpus;
        let allows_at = |at: Micros| {
            let released = releases.iter().filter(|release| release.at <= at);
            let released: f64 = released.map(|release| release.cpus).sum();
            quota - total + released + CPU_TOLERANCE >= needed
        };
        let ends = releases.iter().map(|release| release.at);
        ends.filter(|at| allows_at(*at)).min().unwrap_or(PLANNING_HORIZON)
    }

    /// The ends of all tasks of a team, both running ones and those that the model has placed.
    fn quota_releases(&self, team: usize) -> Vec<QuotaRelease> {
        let running = self.snapshot.machines.iter().flat_map(|machine| &machine.placed);
        let running = running.filter(|task| task.team == team);
        let placed = self.placed.iter().filter(|task| self.snapshot.classes[task.class].team == team);
        let placed = placed.map(|task| {
            let class = &self.snapshot.classes[task.class];
            let machine = &self.snapshot.machines[task.machine];
            QuotaRelease { at: self.end(class, machine), cpus: class.need.cpus }
        });
        let running = running.map(|task| QuotaRelease { at: task.remaining, cpus: task.need.cpus });
        running.chain(placed).collect()
    }

    /// Processors that the team uses beyond the tasks on the snapshot's machines.
    fn cpus_used_elsewhere(&self, team: usize) -> f64 {
        let running = self.snapshot.machines.iter().flat_map(|machine| &machine.placed);
        let running = running.filter(|task| task.team == team);
        self.snapshot.teams[team].used.cpus - running.map(|task| task.need.cpus).sum::<f64>()
    }
}
