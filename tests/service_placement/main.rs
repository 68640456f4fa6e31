//! Where the planner puts replicas of services, and what is rented for them.

#[path = "../common/mod.rs"]
mod common;

mod builders;
mod generators;
mod machine_choice;
mod model;
mod model_rules;
mod preemption;
mod reserved_headroom;
mod scale_out;
