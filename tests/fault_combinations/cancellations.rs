//! Combination 9: cancellations that race with the end of a job.

use milletlock::fleet::PendingWrite;
use milletlock::keys::{final_key, job_key};
use milletlock::records::JobRecord;
use milletlock::task_ranges::chunk_tasks;
use milletlock::wire::{Change, Guard, Stage, Txn};

use crate::common::clock::at;
use crate::common::spec;
use crate::scenario::Scenario;

/// Combination 9: a cancellation, a query of the job's stage and a repeated submission when the last task
/// ends. Guards against a job with two final stages, and against a late message that makes it live again.
#[test]
fn a_cancellation_at_the_end_of_the_last_task_leaves_one_final_stage() {
    #[derive(Clone, Copy, Debug, PartialEq)]
    /// Whose transaction is written first, and whether the leader gets the reply of its first transaction.
    enum Race {
        UserFirst,
        LeaderFirst,
        /// The leader's transaction has no reply and was not written. The cancellation is written next.
        NoReplyThenUser,
        /// The leader's transaction was written but has no reply.
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
        assert!(
            scenario.fleet().jobs[a.as_str()].is_complete(),
            "all tasks must be done, and no result written"
        );
        let known = scenario.store.row(&job_key(&a)).expect("a live job record");
        let user_transaction = scenario.store.cancellation(&scenario.specs[&a]).expect("a live job record");
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
                    "the leader must read back that the job is live"
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
                    "the leader must read back that the job has ended"
                );
                assert!(scenario.store.txn(&user_transaction).is_err());
            }
        }
        let stage = if scenario.cancelled.contains_key(&a) { Stage::Cancelled } else { Stage::Done };
        assert_eq!(stage == Stage::Done, matches!(race, Race::LeaderFirst | Race::NoReplyButWritten));
        assert_eq!(scenario.stage(&a), Some(stage), "{race:?}: the stage that was written first must stay");
        assert_eq!(scenario.fleet().progress(&a), None, "{race:?}: the leader must have removed the job");
        // The leader gets the submitted record late, and then the user submits the job again.
        let late: JobRecord = serde_json::from_value(known.value.clone()).expect("a job's record");
        let now = at(scenario.seconds);
        scenario.fleet().apply_job_record(late, known.mod_revision, now);
        assert_eq!(
            scenario.fleet().progress(&a),
            None,
            "{race:?}: a late record must not make the job live again"
        );
        let guards = [job_key(&a), final_key(&a)].map(|key| Guard { key, mod_revision: 0 }).to_vec();
        let again = Txn { guards, then: vec![Change::put(job_key(&a), known.value)] };
        assert!(scenario.store.txn(&again).is_err());
        scenario.run(10.0);
        assert!(
            scenario.fleet().jobs.is_empty() && scenario.worker("i-1").state.tasks.is_empty(),
            "{race:?}: no job and no task must be left"
        );
        assert_eq!((scenario.started(&a), scenario.stage(&a)), (2, Some(stage)), "{race:?}");
        assert!(scenario.store.rows("done/").is_empty());
    }
}
