//! The planner starts the same tasks as the reference model.

use milletlock::sched::plan;
use proptest::prelude::*;

use crate::generators::any_snapshot;
use crate::model::model_starts;
use crate::{random_cases, sorted_starts};

proptest! {
    #![proptest_config(random_cases(150))]

    #[test]
    fn large_classes_on_many_machines_start_as_in_the_reference_model(
        snapshot in any_snapshot(30, 300)
    ) {
        prop_assert_eq!(sorted_starts(&plan(&snapshot).starts), model_starts(&snapshot));
    }
}

proptest! {
    #![proptest_config(random_cases(1500))]

    #[test]
    fn starts_equal_those_of_the_reference_model(snapshot in any_snapshot(7, 9)) {
        prop_assert_eq!(sorted_starts(&plan(&snapshot).starts), model_starts(&snapshot));
    }
}
