//! Cancellations that race with the end of a job: combination 9.

use milletlock::fleet::PendingWrite;
use milletlock::keys::{final_key, job_key};
use milletlock::records::JobRecord;
use milletlock::task_ranges::chunk_tasks;
use milletlock::wire::{Change, Guard, Stage, Txn};

use crate::common::clock::at;
use crate::common::spec;
use crate::scenario::Scenario;

/// Combination 9: a cancellation, a question and a repeated submission at the end of the last task.
/// Against two ends of one job, and against a late message that revives it.
#[test]
fn a_cancellation_at_the_end_of_the_last_task_leaves_one_final_stage() {
    #[derive(Clone, Copy, Debug, PartialEq)]
    enum Race {
        UserFirst,
        LeaderFirst,
        NoReplyThenUser,
        NoReplyButWritten,
    }
    for race in [Race::UserFirst, Race::LeaderFirst, Race::NoReplyThenUser, Race::NoReplyButWritten] {
        let mut scenario = Scenario::new();
        scenario.begin_with(&["north"]);
        let a = scenario.submit(spec(1, 2, "batch"), 3.0);
        scenario.run(2.0);
        scenario.store_up = false;
        scenario.run(8.0);
        scenario.store_up = true;
        assert!(scenario.fleet().jobs[a.as_str()].is_complete(), "all is done, nothing of it written");
        let known = scenario.store.row(&job_key(&a)).expect("live");
        let user_transaction = scenario.store.cancellation(&scenario.specs[&a]).expect("live");
        let leader_batch = scenario.batches(0, chunk_tasks(4096)).remove(0);
        assert!(leader_batch.writes.iter().any(|w| matches!(w.write, PendingWrite::Final(_))));
        match race {
            Race::UserFirst => {
                assert!(scenario.cancel(&a));
                let r = scenario.store.txn(&leader_batch.txn);
                assert!(r.as_ref().is_err_and(|k| k.contains(&job_key(&a))), "{r:?}");
                assert!(!scenario.apply_transaction_result(0, &leader_batch, Some(r)));
            }
            Race::LeaderFirst => {
                let r = scenario.store.txn(&leader_batch.txn);
                assert!(scenario.apply_transaction_result(0, &leader_batch, Some(r)));
                assert!(scenario.store.txn(&user_transaction).is_err());
            }
            Race::NoReplyThenUser => {
                assert!(
                    !scenario.apply_transaction_result(0, &leader_batch, None),
                    "it is read back, and is live"
                );
                assert!(scenario.fleet().jobs.contains_key(a.as_str()));
                assert!(scenario.cancel(&a));
                assert!(scenario.store.txn(&leader_batch.txn).is_err());
                let again = scenario.batches(0, chunk_tasks(4096)).remove(0);
                let r = scenario.store.txn(&again.txn);
                assert!(r.is_err() && !scenario.apply_transaction_result(0, &again, Some(r)));
            }
            Race::NoReplyButWritten => {
                assert!(scenario.store.txn(&leader_batch.txn).is_ok());
                assert!(
                    !scenario.apply_transaction_result(0, &leader_batch, None),
                    "it is read back, and is gone"
                );
                assert!(scenario.store.txn(&user_transaction).is_err());
            }
        }
        let stage = if scenario.cancelled.contains_key(&a) { Stage::Cancelled } else { Stage::Done };
        assert_eq!(stage == Stage::Done, matches!(race, Race::LeaderFirst | Race::NoReplyButWritten));
        assert_eq!(scenario.stage(&a), Some(stage), "{race:?}: the first that was written stays");
        assert_eq!(scenario.fleet().progress(&a), None, "{race:?}: it is over for the leader");
        // A late message of its submission, and the submission itself again.
        let late: JobRecord = serde_json::from_value(known.value.clone()).expect("a job's record");
        let now = at(scenario.seconds);
        scenario.fleet().apply_job_record(late, known.mod_revision, now);
        assert_eq!(scenario.fleet().progress(&a), None, "{race:?}: a late message revived it");
        let guards = [job_key(&a), final_key(&a)].map(|key| Guard { key, mod_revision: 0 }).to_vec();
        let again = Txn { guards, then: vec![Change::put(job_key(&a), known.value)] };
        assert!(scenario.store.txn(&again).is_err());
        scenario.run(10.0);
        assert!(
            scenario.fleet().jobs.is_empty() && scenario.worker("i-1").state.tasks.is_empty(),
            "{race:?}: something is left"
        );
        assert_eq!((scenario.started(&a), scenario.stage(&a)), (2, Some(stage)), "{race:?}");
        assert!(scenario.store.rows("done/").is_empty());
    }
}
