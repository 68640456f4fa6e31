//! A lender whose state store answers the write of a loan late. Meanwhile the job is cancelled or ends. The older
//! record must not replace what the leader knows.

mod common;

use common::lending_world::{Leader, Machine, World, JOB, SETTLE_STEPS};
use milletlock::time::Micros;

/// More than the interval between two complete reads of the jobs' changes.
const READ_INTERVAL: Micros = Micros(2_000_000);

/// Makes a loan whose write is executed and whose answer is held. `during_write` is called while the answer is on
/// its way.
fn lend_with_late_answer(leader: &mut Leader<'_>, during_write: impl FnOnce(&mut Leader<'_>)) {
    let world = leader.world();
    world.transactions.close_for_one("job/");
    let lending = leader.lend_in_background();
    world.transactions.wait_until_held();
    during_write(leader);
    world.transactions.open();
    leader.finish_lending(lending);
}

/// Guards against a withdrawal that is answered 503 for good: the late answer to the write of a loan put the record
/// from before the cancellation back, and the borrower was told to run the tasks.
#[test]
fn a_late_answer_to_a_loan_does_not_undo_a_cancellation() {
    let (world, mut machine) = (World::new(), Machine::new("i-000001"));
    let mut leader = world.leader();
    leader.submit();
    leader.steps(&mut machine, SETTLE_STEPS);
    assert!(!machine.running().is_empty());
    lend_with_late_answer(&mut leader, |leader| {
        assert_eq!(world.follower().cancel(), 503, "the loan is open");
        // The message of the cancelling controller comes before the leader has read the record of the loan.
        leader.receive_job_record();
        world.wait(READ_INTERVAL);
        leader.controller.watch_once();
    });
    for _ in 0..2 * SETTLE_STEPS {
        leader.step(&mut machine);
        leader.lend();
    }
    assert_eq!(leader.cancel(), 200, "{}", leader.status()["cells"]);
    assert_eq!(leader.stage(), "cancelled");
    assert!(world.borrower().tasks().is_empty(), "{JOB} is cancelled and the borrower has its tasks");
}
