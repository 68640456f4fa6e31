//! A whole controller on loopback, between stand-ins for the state store, the cloud and a worker: bad input
//! of each kind, and a job from its submission to its end.

#[path = "../common/mod.rs"]
mod common;
mod controller;
mod fields;
mod jobs;
mod outages;
mod submissions;
