//! The limits of teams: how much of a class they let start, and when.

use super::preemptible::may_preempt;
use super::state::{PlanState, StatedEnd};
use super::PlacedTask;
use crate::time::Micros;

/// A task that may be stopped. Victims compare by their fields in this order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct PreemptibleTask {
    /// Work that is lost.
    lost_work: Micros,
    /// Its room.
    room: usize,
    /// Its place in the room's list.
    held: usize,
}

/// Later than anything that is planned.
const BEYOND_PLANNING: Micros = Micros::from_millis(86_400_000);

impl PlanState<'_> {
    /// How many tasks of the class its team's limit lets start. What a gang of the team waits for is
    /// left to it, unless the class ends before.
    pub(super) fn startable_count(&self, class_index: usize) -> u32 {
        let class = &self.snapshot.classes[class_index];
        let Some(team_use) = self.teams.get(class.team) else { return class.count };
        let mut team_use = *team_use;
        if let Some(reservation) = self.quota_reservations[class.team]
            .filter(|x| class.adjusted_runtime + self.snapshot.low_priority_delay_step > x.at)
        {
            team_use.used = team_use.used.plus(&reservation.need, reservation.count);
        }
        class.count.min(team_use.allows(&class.need))
    }

    /// When, by stated ends, the team's limit lets the class start whole.
    pub(super) fn limit_allows_at(&self, class_index: usize) -> Micros {
        let class = &self.snapshot.classes[class_index];
        let Some(mut team_use) = self.teams.get(class.team).copied() else { return Micros::ZERO };
        let held =
            self.snapshot.machines.iter().flat_map(|room| &room.placed).filter(|h| h.team == class.team);
        let end = |task: &PlacedTask| {
            let at = if task.stopping { Micros::ZERO } else { task.remaining };
            StatedEnd { at, need: task.need, count: 1 }
        };
        let mut ends: Vec<StatedEnd> = held.map(end).collect();
        ends.extend(&self.planned_ends[class.team]);
        ends.sort_unstable_by_key(|end| end.at);
        for StatedEnd { at, need, count } in ends {
            team_use.used = team_use.used.minus(&need, count);
            if team_use.allows(&class.need) >= class.count {
                return at;
            }
        }
        BEYOND_PLANNING
    }

    /// Tasks of the same team and lower rank to stop so that the limit lets the class start, once
    /// it has waited long enough.
    pub(super) fn preempt_within_limit(&self, class_index: usize) -> Vec<(usize, usize)> {
        let class = &self.snapshot.classes[class_index];
        let Some(mut team_use) = self.teams.get(class.team).copied() else { return Vec::new() };
        if class.preempt_after.0 > 0 {
            return Vec::new();
        }
        let mut victims: Vec<PreemptibleTask> = Vec::new();
        for (room_index, room) in self.snapshot.machines.iter().enumerate() {
            for (held, task) in room.placed.iter().enumerate().filter(|(_, task)| task.team == class.team) {
                if task.stopping {
                    team_use.used = team_use.used.minus(&task.need, 1);
                } else if may_preempt(task, class) {
                    victims.push(PreemptibleTask { lost_work: task.lost_work, room: room_index, held });
                }
            }
        }
        victims.sort_unstable();
        let mut stops = Vec::new();
        for victim in victims {
            if team_use.allows(&class.need) >= class.count {
                return stops;
            }
            let task = &self.snapshot.machines[victim.room].placed[victim.held];
            team_use.used = team_use.used.minus(&task.need, 1);
            stops.push((victim.room, victim.held));
        }
        if team_use.allows(&class.need) >= class.count {
            stops
        } else {
            Vec::new()
        }
    }
}
