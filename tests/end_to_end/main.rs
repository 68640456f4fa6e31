//! Tests of whole controllers on loopback, with a simulated state store, cloud and worker: invalid input of
//! each kind, jobs from their submission to their end, and outages.

#[path = "../common/mod.rs"]
mod common;
mod controller;
mod fields;
mod jobs;
mod outages;
mod submissions;
