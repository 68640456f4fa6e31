//! The planner starts what the plain model starts.

use milletlock::sched::plan;
use proptest::prelude::*;

use crate::generators::any_snapshot;
use crate::model::model_starts;
use crate::{random_cases, sorted_starts};

proptest! {
    #![proptest_config(random_cases(150))]

    #[test]
    fn large_classes_on_many_machines_are_placed_as_the_plain_model_does_task_by_task(
        snapshot in any_snapshot(30, 300)
    ) {
        prop_assert_eq!(sorted_starts(&plan(&snapshot).starts), model_starts(&snapshot));
    }
}

proptest! {
    #![proptest_config(random_cases(1500))]

    #[test]
    fn starts_are_those_of_the_plain_model(snapshot in any_snapshot(7, 9)) {
        prop_assert_eq!(sorted_starts(&plan(&snapshot).starts), model_starts(&snapshot));
    }
}
