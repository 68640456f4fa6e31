//! Sets of task numbers: they behave like sets, and their ranges and text form are as short as possible.

use std::collections::BTreeSet;

use milletlock::task_ranges::TaskRanges;
use proptest::prelude::*;

/// The shortest text form of a set: sorted ranges, none of which adjoins the next.
fn shortest(model: &BTreeSet<u32>) -> String {
    let mut runs: Vec<(u32, u32)> = Vec::new();
    for &x in model {
        match runs.last_mut() {
            Some(r) if r.1 + 1 == x => r.1 = x,
            _ => runs.push((x, x)),
        }
    }
    let one = |&(a, b): &(u32, u32)| if a == b { a.to_string() } else { format!("{a}-{b}") };
    runs.iter().map(one).collect::<Vec<_>>().join(",")
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..Default::default() })]
    #[test]
    fn task_ranges_behave_like_a_set(ops in prop::collection::vec((any::<bool>(), 0u32..40), 0..120)) {
        let (mut r, mut model) = (TaskRanges::new(), BTreeSet::new());
        for (add, x) in ops {
            if add {
                prop_assert_eq!(r.insert(x), model.insert(x));
            } else {
                prop_assert_eq!(r.remove(x), model.remove(&x));
            }
            // The text has one part for each range, so that this checks the ranges as well.
            prop_assert_eq!(r.text(), shortest(&model));
        }
        prop_assert_eq!(r.iter().collect::<Vec<_>>(), model.iter().copied().collect::<Vec<_>>());
        prop_assert_eq!(r.len() as usize, model.len());
        prop_assert_eq!(r.count_from(17) as usize, model.range(17..).count());
        let mut back = TaskRanges::new();
        back.add_text(&r.text(), 100_000);
        prop_assert_eq!(back, r);
    }
}
