//! Combination 14: more work than capacity.

use milletlock::wire::{JobSpec, Priority};

use crate::common::spec;
use crate::scenario::Scenario;

/// Submits a stream of jobs that need more than the capacity, a quarter of them with each of the four
/// priorities. The gang and the array with the most tasks are submitted before the stream, with
/// `widest_priority`. Both, and the jobs of the stream whose number has `quick_remainder` as remainder modulo
/// four, are of the class `quick`, which has an objective for the waiting time.
fn more_work_than_capacity(priorities: [Priority; 4], widest_priority: Priority, quick_remainder: u32) {
    let mut scenario = Scenario::new();
    scenario.begin_with(&["north", "south", "north", "south"]);
    let (mut ids, mut work) = (Vec::new(), 0.0);
    let quick = |job: JobSpec| JobSpec { class: Some("quick".into()), ..job };
    let wide = scenario.submit(quick(JobSpec { priority: widest_priority, ..spec(200, 14, "gang") }), 15.0);
    let widest =
        scenario.submit(quick(JobSpec { priority: widest_priority, ..spec(201, 40, "batch") }), 10.0);
    work += 14.0 * 15.0 + 40.0 * 10.0;
    for n in 0..90u32 {
        let shape = if n % 5 == 4 { "gang" } else { "batch" };
        let mut job = JobSpec { priority: priorities[n as usize % 4], ..spec(1 + n, 1 + n % 6, shape) };
        if n % 7 == 3 {
            job.team = "tight".into();
        }
        if n % 4 == quick_remainder {
            job = quick(job);
        }
        let run_time = f64::from(8 + (n * 7) % 20);
        work += f64::from(job.tasks) * run_time;
        ids.push((scenario.submit(job, run_time), scenario.seconds));
        scenario.run(3.0);
        if n == 40 {
            scenario.replace_leader(3.0);
        }
    }
    assert!(
        work > 1.2 * 16.0 * scenario.seconds,
        "the work must exceed the capacity: {work} processor seconds in {} s",
        scenario.seconds
    );
    scenario.finish(1.5 * work / 16.0);
    for id in [&wide, &widest] {
        assert!(scenario.started_at[id] < 240.0, "{id} began after {} s", scenario.started_at[id]);
    }
    let waited = |x: &(String, f64)| scenario.started_at[&x.0] - x.1;
    // Jobs of the highest priority wait less than those of the lowest.
    let mean = |r: Priority| {
        let waits: Vec<f64> = ids.iter().filter(|x| scenario.specs[&x.0].priority == r).map(waited).collect();
        waits.iter().sum::<f64>() / waits.len() as f64
    };
    assert!(mean(priorities[3]) < mean(Priority::Idle));
}

/// Combination 14: more work than capacity, with urgent and other jobs. Guards against a job that is lost or
/// never starts, also if it has the most tasks.
#[test]
fn more_work_than_capacity_starves_neither_urgent_nor_other_jobs() {
    more_work_than_capacity(
        [Priority::Idle, Priority::Normal, Priority::Urgent, Priority::Urgent],
        Priority::Urgent,
        3,
    );
}

/// Combination 14: the gang and the array with the most tasks have a lower priority than half of the stream.
#[test]
fn the_widest_gang_of_a_middle_priority_starts_beneath_a_stream_of_higher_priorities() {
    more_work_than_capacity(
        [Priority::Idle, Priority::Normal, Priority::Urgent, Priority::Critical],
        Priority::Normal,
        1,
    );
}
