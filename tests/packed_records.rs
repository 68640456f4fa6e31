//! Packed records: values stay within their size limit, and no record is lost.

use std::sync::Arc;

use milletlock::packed_records::{PackedRecords, SlotContents, SlotRecords};

/// Number of slots.
fn slots(p: &PackedRecords<u32>) -> u32 {
    (0..).find(|&s| p.slot(s).is_none()).expect("a last slot")
}

#[test]
fn values_stay_within_the_limit_and_pending_until_their_latest_contents_are_written() {
    let mut p: PackedRecords<u32> = PackedRecords::new(512);
    let id = |n: u32| -> Arc<str> { format!("wk-{n:06}").into() };
    (0..100).for_each(|n| p.put(&id(n), n));
    let dirty: Vec<u32> = p.pending(true).collect();
    assert!(dirty.len() > 5, "the records fit into five slots or fewer");
    for &s in &dirty {
        let SlotContents { mod_revision, version, records } = p.slot(s).expect("a value");
        assert_eq!(mod_revision, 0);
        assert!(serde_json::to_string(records).expect("a value").len() <= 512);
        // A slot that changes during its write stays pending.
        if s == 0 {
            p.put(&id(0), 7);
        }
        p.mark_written(s, version, 10);
    }
    assert_eq!(p.pending(true).collect::<Vec<_>>(), [0]);
    let SlotContents { mod_revision, version, records } = p.slot(0).expect("a value");
    assert_eq!((mod_revision, records[&id(0)]), (10, 7));
    p.mark_written(0, version, 11);
    assert_eq!(p.pending(true).count(), 0);
    // The removal of records makes their slots pending but not urgent, and the space is used again.
    let before = slots(&p);
    (0..50).for_each(|n| p.remove(&id(n)));
    assert!(p.pending(false).count() > 0 && p.pending(true).count() == 0);
    (200..240).for_each(|n| p.put(&id(n), n));
    assert_eq!(slots(&p), before);
    // Another leader loads the same records.
    let mut q: PackedRecords<u32> = PackedRecords::new(512);
    for s in 0..before {
        q.load(s, 9, p.slot(s).expect("a value").records.clone(), u32::max);
    }
    assert_eq!(q.get("wk-000230"), Some(&230));
    assert_eq!(q.get("wk-000003"), None);
}

/// Start marks of `count` jobs.
fn many(count: u32) -> SlotRecords<u32> {
    (0..count).map(|n| (Arc::from(format!("wk-{n:06}")), n)).collect()
}

/// Writes all slots that may be written now at `revision`, and returns their numbers.
fn write_all(p: &mut PackedRecords<u32>, revision: u64) -> Vec<u32> {
    let pending: Vec<u32> = p.pending(true).chain(p.pending(false)).collect();
    for &s in &pending {
        let version = p.slot(s).expect("a value").version;
        p.mark_written(s, version, revision);
    }
    pending
}

/// Guards against new records in a slot whose stored value still contains records that are moved to other
/// slots. The new records would have to wait for those moves, or overwrite the only stored copies.
#[test]
fn a_slot_with_unwritten_prerequisites_receives_no_new_records() {
    let mut p: PackedRecords<u32> = PackedRecords::new(1024);
    p.load(0, 5, many(100), u32::max);
    p.empty_oversized();
    assert!(p.slot(0).expect("a value").records.is_empty());
    assert!(p.pending(false).all(|s| s != 0) && p.pending(false).count() > 1);
    (200..300).for_each(|n| p.put(&format!("wk-{n:06}").into(), n));
    assert!(p.slot(0).expect("a value").records.is_empty());
    assert!(p.pending(true).all(|s| s != 0));
    // The slot stays blocked when only one of its prerequisites has been written.
    let first = p.pending(true).next().expect("a slot");
    let version = p.slot(first).expect("a value").version;
    p.mark_written(first, version, 6);
    assert!(p.pending(true).chain(p.pending(false)).all(|s| s != 0));
    assert!(!write_all(&mut p, 7).contains(&0));
    assert_eq!(write_all(&mut p, 8), [0]);
    assert!((0..100).chain(200..300).all(|n| p.get(&format!("wk-{n:06}")) == Some(&n)));
    // Once it has been rewritten, the slot receives new records again.
    let before = slots(&p);
    (300..310).for_each(|n| p.put(&format!("wk-{n:06}").into(), n));
    assert!(!p.slot(0).expect("a value").records.is_empty() && slots(&p) == before);
}

/// Guards against deleting the only stored copy of the higher value before the merged record is written.
#[test]
fn a_merged_copy_is_deleted_only_after_the_other_copy_is_written() {
    let mut p: PackedRecords<u32> = PackedRecords::new(1024);
    let job: Arc<str> = "wk-000001".into();
    p.load(0, 5, SlotRecords::from([(job.clone(), 90)]), u32::max);
    p.load(1, 6, SlotRecords::from([(job.clone(), 40)]), u32::max);
    assert_eq!(p.get(&job), Some(&90));
    assert_eq!(
        p.pending(false).collect::<Vec<_>>(),
        [1],
        "the slot with the lower copy has to be written first"
    );
    let SlotContents { version, records, .. } = p.slot(1).expect("a value");
    assert_eq!(records.get(&job), Some(&90));
    p.mark_written(1, version, 7);
    assert_eq!(p.pending(false).collect::<Vec<_>>(), [0]);
}

/// Guards against overwriting a value of a later version that this version cannot read.
#[test]
fn unreadable_slots_are_never_written() {
    let mut p: PackedRecords<u32> = PackedRecords::new(1024);
    p.mark_unreadable(0);
    p.mark_unreadable(3);
    p.load(1, 5, many(60), u32::max);
    p.empty_oversized();
    for round in 0..20_u32 {
        (0..20).for_each(|n| p.put(&format!("wk-9{round:02}{n:03}").into(), n));
        let written = write_all(&mut p, 10 + u64::from(round));
        assert!(!written.is_empty() && !written.contains(&0) && !written.contains(&3), "{written:?}");
    }
    p.reduce_limit(512);
    (0..20).for_each(|_| assert!(write_all(&mut p, 50).iter().all(|s| ![0, 3].contains(s))));
    assert!(p.slot(0).expect("a value").records.is_empty() && p.slot(3).expect("a value").records.is_empty());
    // A slot that already has unwritten changes is not written either.
    let mut q: PackedRecords<u32> = PackedRecords::new(1024);
    q.load(0, 5, many(3), u32::max);
    q.remove("wk-000001");
    assert_eq!(q.pending(false).collect::<Vec<_>>(), [0]);
    q.mark_unreadable(0);
    assert_eq!(q.pending(false).count(), 0);
    // A slot number that no leader can have written creates no slots.
    p.mark_unreadable(u32::MAX);
    assert!(slots(&p) < 1000);
}

/// Guards against values that exceed the limit, because start marks gain digits while records are added and
/// removed.
#[test]
fn values_stay_within_the_limit_while_numbers_grow_and_records_are_removed() {
    const LIMIT: usize = 1024;
    let mut p: PackedRecords<u32> = PackedRecords::new(LIMIT);
    let id = |n: u32| -> Arc<str> { format!("wk-{n:06}").into() };
    for n in 0..2000 {
        p.put(&id(n), 1);
        p.put(&id(n), 90_000);
        // At most 200 jobs are live at a time.
        if n >= 200 {
            p.remove(&id(n - 200));
        }
        for s in 0..slots(&p) {
            let value = serde_json::to_string(p.slot(s).expect("a value").records).expect("a value");
            assert!(value.len() <= LIMIT, "after {n} jobs slot {s} has {} bytes", value.len());
        }
    }
}
