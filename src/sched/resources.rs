//! Amounts of processors, GPUs and memory, and how many tasks fit into them.

/// Amounts below this count as zero. Rounding errors in sums of floating-point amounts are smaller.
pub(super) const NEGLIGIBLE: f64 = 1e-6;

/// Upper bound of a number of tasks computed from amounts.
const MAX_TASKS: f64 = 1e9;

/// Resources that a task takes or a machine has.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// Processors; fractions are allowed.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory in GB.
    pub memory: f64,
}

impl Resources {
    /// How many tasks that each take the resources `task` fit into these resources.
    pub fn fits(&self, task: &Resources) -> u32 {
        count_within(self.cpus, task.cpus)
            .min(count_within(self.gpus, task.gpus))
            .min(count_within(self.memory, task.memory))
    }

    /// These resources without those of `count` tasks that each take `task`.
    pub fn minus(&self, task: &Resources, count: u32) -> Resources {
        let count = f64::from(count);
        Resources {
            cpus: self.cpus - task.cpus * count,
            gpus: self.gpus - task.gpus * count,
            memory: self.memory - task.memory * count,
        }
    }

    /// These resources and those of `count` tasks that each take `task`.
    pub fn plus(&self, task: &Resources, count: u32) -> Resources {
        let count = f64::from(count);
        Resources {
            cpus: self.cpus + task.cpus * count,
            gpus: self.gpus + task.gpus * count,
            memory: self.memory + task.memory * count,
        }
    }
}

/// How many tasks that each take `per_task` fit into the amount `available`; `u32::MAX` if a task takes
/// nothing.
pub(super) fn count_within(available: f64, per_task: f64) -> u32 {
    if per_task <= NEGLIGIBLE {
        return u32::MAX;
    }
    ((available + NEGLIGIBLE) / per_task).floor().clamp(0.0, MAX_TASKS) as u32
}

/// Processors in whole tenths, truncated. Machines are compared by these, so that tiny differences in free
/// capacity do not decide.
pub(super) fn cpu_tenths(cpus: f64) -> i64 {
    (cpus * 10.0) as i64
}
