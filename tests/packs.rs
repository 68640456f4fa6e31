//! Records packed into few values: within the limit of a value, and none forgotten.

use std::sync::Arc;

use milletlock::packs::Packs;

fn slots(p: &Packs<u32>) -> u32 {
    (0..).find(|&s| p.slot(s).is_none()).expect("an end")
}

#[test]
fn values_stay_within_the_limit_and_are_written_until_they_are_as_they_should_be() {
    let mut p: Packs<u32> = Packs::new(512);
    let id = |n: u32| -> Arc<str> { format!("wk-{n:06}").into() };
    (0..100).for_each(|n| p.put(&id(n), n));
    let dirty: Vec<u32> = p.pending(true).collect();
    assert!(dirty.len() > 5, "one value would be too long");
    for &s in &dirty {
        let (stamp, version, items) = p.slot(s).expect("a value");
        assert_eq!(stamp, 0);
        assert!(serde_json::to_string(items).expect("a value").len() <= 512);
        // A change while the write is under way keeps the slot to be written.
        if s == 0 {
            p.put(&id(0), 7);
        }
        p.written(s, version, 10);
    }
    assert_eq!(p.pending(true).collect::<Vec<_>>(), [0]);
    let (stamp, version, items) = p.slot(0).expect("a value");
    assert_eq!((stamp, items[&id(0)]), (10, 7));
    p.written(0, version, 11);
    assert_eq!(p.pending(true).count(), 0);
    // What goes is written when there is time, and its place is used again.
    let before = slots(&p);
    (0..50).for_each(|n| p.remove(&id(n)));
    assert!(p.pending(false).count() > 0 && p.pending(true).count() == 0);
    (200..240).for_each(|n| p.put(&id(n), n));
    assert_eq!(slots(&p), before);
    // Another owner reads the same back.
    let mut q: Packs<u32> = Packs::new(512);
    for s in 0..before {
        q.load(s, 9, p.slot(s).expect("a value").2.clone(), u32::max);
    }
    assert_eq!(q.get("wk-000230"), Some(&230));
    assert_eq!(q.get("wk-000003"), None);
}
