//! Simulation of a state store with successive leaders of the version in production and of this version.

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

/// The limits of the state store.
#[derive(Clone, Copy)]
pub struct StoreLimits {
    /// Maximum size of a value in bytes.
    pub value_bytes: usize,
    /// Maximum number of changes of a transaction.
    pub txn_ops: usize,
}

/// The limits at the start of a simulation.
pub const LARGE: StoreLimits = StoreLimits { value_bytes: 4096, txn_ops: 8 };

/// The reduced limits.
pub const SMALL: StoreLimits = StoreLimits { value_bytes: 1024, txn_ops: 4 };

/// The wall-clock time of the simulation's time zero.
const WALL: Wall = Wall(1_790_000_000_000_000);

/// A version of the program.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Version {
    Production,
    Current,
}

/// The current leader: a model of the version in production, or the fleet of this version.
pub enum SimulatedLeader {
    Production(Box<production::Owner>),
    Current(Box<Fleet>),
}

/// The state store's reply to a transaction.
#[derive(Debug)]
enum TxnOutcome {
    /// The transaction was executed at this revision.
    Applied(u64),
    /// The guards of these keys failed.
    Refused(Vec<String>),
    /// A value or the transaction exceeds the limits.
    TooLarge,
}

/// A state store, its current leader, and the model that checks the stored records.
pub struct Simulation {
    pub rng: StdRng,
    pub store: Store,
    pub limits: StoreLimits,
    pub cfg: Arc<Config>,
    /// The announced limits. All transactions of this version's leaders must stay within them.
    pub announced: StoreLimits,
    pub leader: SimulatedLeader,
    /// The revision of the shard's record that the current leader wrote.
    pub shard_revision: u64,
    pub fencing_token: u64,
    pub now: Steady,
    pub model: Model,
    /// Delayed transactions of the current and of former leaders.
    pub late: Vec<Txn>,
    /// Cancelled jobs of which the leader is not informed yet, with the revisions of the cancellations.
    pub cancellations: Vec<(String, u64)>,
    /// Number of machines so far.
    pub machines: u32,
    /// Number of submitted jobs so far.
    pub jobs: u32,
    /// Fraction of this version's transactions that get no reply.
    pub lost_replies: f64,
    /// Number of this version's transactions that exceeded the limits.
    pub rejected: u32,
    pub coverage: Coverage,
}

impl Simulation {
    /// An empty state store with the `LARGE` limits and a leader of the version in production.
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

    /// Returns `true` with probability `p`.
    pub fn chance(&mut self, p: f64) -> bool {
        self.rng.random_bool(p)
    }

    /// The current wall-clock time.
    fn wall(&self) -> Wall {
        Wall(WALL.0 + self.now.0)
    }

    /// Submits a transaction to the state store, and checks the stored records if it was executed.
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

    /// Executes a transaction that must not be refused: a user's request or an election. Returns its
    /// revision.
    fn must_apply(&mut self, guards: Vec<Guard>, then: Vec<Change>) -> u64 {
        match self.submit(&Txn { guards, then }) {
            TxnOutcome::Applied(revision) => revision,
            other => panic!("not applied: {other:?}"),
        }
    }

    /// Replaces the leader by a new one of the given version.
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

    /// Ends the leader while its transactions are in transit. The first one may still be executed before the
    /// next leader is elected; the others arrive late.
    pub fn crash(&mut self) {
        let mut in_transit: Vec<Txn> = match &mut self.leader {
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
        if !in_transit.is_empty() && self.chance(0.4) {
            let first = in_transit.remove(0);
            self.submit(&first);
        }
        self.late.extend(in_transit);
    }

    /// Lets a leader of this version write all it has to. Asserts that no value exceeds the `SMALL` limit and
    /// that no progress of ended jobs remains.
    pub fn finish(&mut self) {
        self.lost_replies = 0.0;
        self.fail_over(Version::Current);
        self.write_all();
        while !self.late.is_empty() {
            self.deliver_late_transaction();
        }
        for prefix in ["machines/", "marks/"] {
            for row in self.store.rows(prefix) {
                let bytes = row.value.to_string().len();
                assert!(bytes <= SMALL.value_bytes, "{} still has {bytes} bytes", row.key);
            }
        }
        let live = |id: &str| self.store.keys.contains_key(&format!("job/{id}"));
        for row in self.store.rows("done/") {
            let id = row.key.split('/').nth(1).expect("a job's id");
            assert!(live(id), "{} remains after its job has ended", row.key);
        }
        assert!(
            production::marks_in(&self.store).keys().all(|id| live(id)),
            "start marks of ended jobs remain"
        );
    }
}

/// Parses a record.
fn parse<T: serde::de::DeserializeOwned>(value: Value) -> T {
    serde_json::from_value(value).expect("a record")
}
