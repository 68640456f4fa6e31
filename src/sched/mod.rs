//! The planner: a snapshot goes in, decisions come out. No clock, no I/O, no lock.
//!
//! Jobs are classes of like tasks and are decided by count. The queue goes by rank, then by
//! (wait / adjusted time)^3 x size. The first blocked job that can have one gets a reservation at
//! the earliest time its room frees by the running tasks' *stated* times; jobs behind it start now
//! only if, by their *adjusted* times, they do not delay it.

mod arrays;
mod gangs;
mod limits;
mod placement;
mod preemption;
mod queue;
mod reservation;
mod services;
mod top_up;
mod types;
mod work;

pub(crate) use placement::allowed;
pub use queue::{order, score};
pub use services::{runs_in, runs_sooner};
pub use top_up::top_up;
pub use types::{Class, Held, Keep, Need, Plan, Reservation, Room, Snapshot, Start, TeamUse};

use crate::time::Micros;
use limits::Claim;
use work::Work;

/// Decides.
pub fn plan(s: &Snapshot) -> Plan {
    let mut out = Plan::default();
    let mut w = Work::new(s);
    for class in order(&s.classes) {
        let c = &s.classes[class];
        if c.count == 0 {
            continue;
        }
        // A limit holds a job back without giving it a claim to room.
        let limited = w.want(class);
        let left = if c.gang {
            if w.start_gang(class, &mut out.starts) {
                0
            } else if limited < c.count && w.behind.get(c.team) == Some(&true) {
                // Behind another of its team.
                continue;
            } else if let Some(rooms) = w.room_now(class).filter(|_| limited < c.count) {
                // Held back by its team's limit alone: the team's lower jobs must not take what frees,
                // or a gang would starve behind its own team's small tasks. One gang of a team at a time,
                // and only while it has room: with a claim for each, or stops for one that then had no
                // room, a team at its limit stood still, or had the same tasks stopped over and over.
                let stops = w.within_limit(class);
                let at = if stops.is_empty() { w.limit_frees(class) } else { Micros::ZERO };
                out.preempt.extend(stops);
                w.behind[c.team] = true;
                w.held_back[c.team] = Some(Claim { need: c.need, count: c.count, at });
                if out.reservation.is_none() && s.reserve {
                    out.reservation = Some(w.hold(class, at, rooms));
                }
                continue;
            } else {
                if let (true, Some(b)) = (limited < c.count, w.behind.get_mut(c.team)) {
                    *b = true;
                }
                c.count
            }
        } else if c.replicas.is_some() {
            w.start_service(class, &mut out.starts, &mut out.preempt)
        } else {
            w.start_array(class, &mut out.starts)
        };
        if left == 0 {
            continue;
        }
        out.unmet.push((class, left));
        for &ty in &c.types {
            let kept = s.kept(ty, false).is_some_and(|k| c.rank >= k.rank);
            if let (true, Some(w)) = (kept, w.wanted.get_mut(ty)) {
                *w = true;
            }
        }
        if c.replicas.is_some() {
            // All that can be stopped for it is; what it needs beyond that has to be rented.
            continue;
        }
        if out.reservation.is_none() && s.reserve {
            out.reservation = w.reserve(class);
            let far = out.reservation.as_ref().is_none_or(|r| r.at > c.patience);
            if far {
                out.preempt.extend(w.preempt(class));
            }
        } else if c.patience.0 <= 0 {
            // Not the head, but out of patience as well: each finds rooms of its own.
            out.preempt.extend(w.preempt(class));
        }
    }
    out.wanted = w.wanted;
    out
}
