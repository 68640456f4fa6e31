//! More work than capacity: combination 14.

use milletlock::wire::{JobSpec, Priority};

use crate::common::spec;
use crate::scenario::Scenario;

/// A stream of more work than capacity, a quarter of it of each priority, with the widest gang and array of
/// all before it; those and every fourth job of the stream should begin soon.
fn more_work_than_capacity(ranks: [Priority; 4], widest_rank: Priority, quick_every_fourth_from: u32) {
    let mut scenario = Scenario::new();
    scenario.begin_with(&["north", "south", "north", "south"]);
    let (mut ids, mut work) = (Vec::new(), 0.0);
    let quick = |job: JobSpec| JobSpec { class: Some("quick".into()), ..job };
    let wide = scenario.submit(quick(JobSpec { priority: widest_rank, ..spec(200, 14, "gang") }), 15.0);
    let widest = scenario.submit(quick(JobSpec { priority: widest_rank, ..spec(201, 40, "batch") }), 10.0);
    work += 14.0 * 15.0 + 40.0 * 10.0;
    for n in 0..90u32 {
        let shape = if n % 5 == 4 { "gang" } else { "batch" };
        let mut job = JobSpec { priority: ranks[n as usize % 4], ..spec(1 + n, 1 + n % 6, shape) };
        if n % 7 == 3 {
            job.team = "tight".into();
        }
        if n % 4 == quick_every_fourth_from {
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
    assert!(work > 1.2 * 16.0 * scenario.seconds, "there is room for all: {work} in {} s", scenario.seconds);
    scenario.finish(1.5 * work / 16.0);
    for id in [&wide, &widest] {
        assert!(scenario.started_at[id] < 240.0, "{id} began after {} s", scenario.started_at[id]);
    }
    let wait = |x: &(String, f64)| scenario.started_at[&x.0] - x.1;
    // The highest pass the others.
    let mean = |r: Priority| {
        let of: Vec<f64> = ids.iter().filter(|x| scenario.specs[&x.0].priority == r).map(wait).collect();
        of.iter().sum::<f64>() / of.len() as f64
    };
    assert!(mean(ranks[3]) < mean(Priority::Idle));
}

/// Combination 14: more work than capacity, urgent and not. Against a job that is forgotten or waits
/// without end, the widest ones too.
#[test]
fn more_work_than_capacity_starves_neither_urgent_nor_other_jobs() {
    more_work_than_capacity(
        [Priority::Idle, Priority::Normal, Priority::Urgent, Priority::Urgent],
        Priority::Urgent,
        3,
    );
}

/// Combination 14, with the widest ones of a priority below half of the stream.
#[test]
fn the_widest_gang_of_a_middle_priority_starts_beneath_a_stream_of_higher_priorities() {
    more_work_than_capacity(
        [Priority::Idle, Priority::Normal, Priority::Urgent, Priority::Critical],
        Priority::Normal,
        1,
    );
}
