//! Tests of where the planner places replicas of services, and of scale out for them.

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
