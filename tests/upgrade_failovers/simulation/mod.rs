//! Leaders of the version in production and of this one, their state store and what happens to them.

mod events;
mod writes;

use std::sync::Arc;

use milletlock::config::Config;
use milletlock::fleet::Fleet;
use milletlock::leadership::{self, SHARD_KEY};
use milletlock::task_ranges::chunk_tasks;
use milletlock::time::{Micros, Steady, Wall};
use milletlock::wire::{Change, Guard, Txn};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};

use crate::common::store::Store;
use crate::common::{production, types};
use crate::coverage::Coverage;
use crate::model::Model;

/// What the state store takes.
#[derive(Clone, Copy)]
pub struct StoreLimits {
    pub value_bytes: usize,
    pub txn_ops: usize,
}

/// The limits at the beginning.
pub const LARGE: StoreLimits = StoreLimits { value_bytes: 4096, txn_ops: 8 };

/// The limits after they have fallen.
pub const SMALL: StoreLimits = StoreLimits { value_bytes: 1024, txn_ops: 4 };

/// The time of day when a simulation begins.
const WALL: Wall = Wall(1_790_000_000_000_000);

/// A version of the program.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Version {
    Production,
    Current,
}

/// The leader, of one of the versions.
pub enum SimulatedLeader {
    Production(Box<production::Owner>),
    Current(Box<Fleet>),
}

/// The state store's reply to a transaction.
#[derive(Debug)]
enum TxnOutcome {
    Applied(u64),
    /// These keys have changed.
    Refused(Vec<String>),
    TooLarge,
}

/// A state store with one leader after another.
pub struct Simulation {
    pub rng: StdRng,
    pub store: Store,
    pub limits: StoreLimits,
    pub cfg: Arc<Config>,
    /// The limit that this version's leaders were told of, within which all their values must be.
    pub announced: StoreLimits,
    pub leader: SimulatedLeader,
    pub shard_revision: u64,
    pub fencing_token: u64,
    pub now: Steady,
    pub model: Model,
    /// Transactions of leaders that ended, and of this one, that are still on their way.
    pub late: Vec<Txn>,
    /// Ends of jobs that the leader has not heard of, with their revisions.
    pub cancellations: Vec<(String, u64)>,
    pub machines: u32,
    pub jobs: u32,
    /// Share of this version's transactions that it gets no reply to.
    pub lost_replies: f64,
    pub rejected: u32,
    pub coverage: Coverage,
}

impl Simulation {
    /// Large limits and a leader of the production version.
    pub fn new(seed: u64, cfg: Arc<Config>, announced: StoreLimits) -> Simulation {
        let mut simulation = Simulation {
            rng: StdRng::seed_from_u64(seed),
            store: Store::default(),
            limits: LARGE,
            cfg,
            announced,
            leader: SimulatedLeader::Production(Box::new(production::Owner::load(
                0,
                0,
                LARGE.value_bytes,
                &[],
            ))),
            shard_revision: 0,
            fencing_token: 0,
            now: Steady(1_000_000_000),
            model: Model::default(),
            late: Vec::new(),
            cancellations: Vec::new(),
            machines: 0,
            jobs: 0,
            lost_replies: 0.0,
            rejected: 0,
            coverage: Coverage::default(),
        };
        simulation.fail_over(Version::Production);
        simulation
    }

    /// Whether an event of some probability occurs now.
    pub fn chance(&mut self, p: f64) -> bool {
        self.rng.random_bool(p)
    }

    /// The time of day.
    fn wall(&self) -> Wall {
        Wall(WALL.0 + self.now.0)
    }

    /// What the state store does with a transaction. The model checks what it left.
    fn submit(&mut self, txn: &Txn) -> TxnOutcome {
        let too_large = |c: &Change| match c {
            Change::Put { value, .. } => value.to_string().len() > self.limits.value_bytes,
            Change::Drop { .. } => false,
        };
        if txn.then.len() > self.limits.txn_ops || txn.then.iter().any(too_large) {
            return TxnOutcome::TooLarge;
        }
        match self.store.txn(txn) {
            Ok(revision) => {
                self.model.check(&self.store, txn);
                TxnOutcome::Applied(revision)
            }
            Err(failed) => TxnOutcome::Refused(failed),
        }
    }

    /// A transaction of a user or of a claim, which is never refused.
    fn must_apply(&mut self, guards: Vec<Guard>, then: Vec<Change>) -> u64 {
        match self.submit(&Txn { guards, then }) {
            TxnOutcome::Applied(revision) => revision,
            other => panic!("not applied: {other:?}"),
        }
    }

    /// The leader ends at once and another becomes leader.
    pub fn fail_over(&mut self, version: Version) {
        self.fencing_token += 1;
        self.cancellations.clear();
        self.shard_revision =
            self.must_apply(vec![], vec![Change::put(SHARD_KEY, json!({ "token": self.fencing_token }))]);
        let rows: Vec<_> = ["recent", "job/", "machine", "marks/", "done/", "hist/"]
            .iter()
            .flat_map(|prefix| self.store.rows(prefix))
            .collect();
        self.leader = match version {
            Version::Production => {
                let value_bytes = LARGE.value_bytes;
                let leader =
                    production::Owner::load(self.shard_revision, self.fencing_token, value_bytes, &rows);
                SimulatedLeader::Production(Box::new(leader))
            }
            Version::Current => {
                let mut fleet = Fleet::new(self.cfg.clone(), types(), self.fencing_token, self.now);
                leadership::load_records(&mut fleet, rows, self.now, self.wall());
                fleet.advance_jobs_revision(self.store.revision);
                SimulatedLeader::Current(Box::new(fleet))
            }
        };
    }

    /// The leader ends with some of what it had composed on its way: one may still be executed before the
    /// next leader's claim, the others arrive late.
    pub fn crash(&mut self) {
        let mut on_their_way: Vec<Txn> = match &mut self.leader {
            SimulatedLeader::Production(leader) => leader.next_write().into_iter().collect(),
            SimulatedLeader::Current(fleet) => {
                let chunk = chunk_tasks(fleet.max_value_bytes());
                let pending = fleet.pending_writes(self.now, Micros::ZERO, chunk);
                let ops = fleet.max_txn_changes();
                let wall = Wall(WALL.0 + self.now.0);
                let batches =
                    leadership::compose_batches(fleet, self.shard_revision, pending, ops, self.now, wall);
                batches.into_iter().map(|b| b.txn).collect()
            }
        };
        if !on_their_way.is_empty() && self.chance(0.4) {
            let first = on_their_way.remove(0);
            self.submit(&first);
        }
        self.late.extend(on_their_way);
    }

    /// A leader of this version tidies up; nothing may be left above the limit or of jobs that are over.
    pub fn finish(&mut self) {
        self.lost_replies = 0.0;
        self.fail_over(Version::Current);
        self.write_to_rest();
        while !self.late.is_empty() {
            self.deliver_late_transaction();
        }
        for prefix in ["machines/", "marks/"] {
            for row in self.store.rows(prefix) {
                let bytes = row.value.to_string().len();
                assert!(bytes <= SMALL.value_bytes, "{} is left with {bytes} bytes", row.key);
            }
        }
        let live = |id: &str| self.store.keys.contains_key(&format!("job/{id}"));
        for row in self.store.rows("done/") {
            let id = row.key.split('/').nth(1).expect("a job's id");
            assert!(live(id), "{} is left of a job that is over", row.key);
        }
        assert!(production::marks_in(&self.store).keys().all(|id| live(id)), "marks of jobs that are over");
    }
}

/// A record from its JSON form.
fn parse<T: serde::de::DeserializeOwned>(value: Value) -> T {
    serde_json::from_value(value).expect("a record")
}
