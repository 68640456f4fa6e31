//! A gate in a simulated service. A test holds requests at the gate, and lets them pass when other events have
//! happened.

use std::sync::{Condvar, Mutex};

/// Holds requests whose name begins with a prefix.
#[derive(Default)]
pub struct Gate {
    state: Mutex<GateState>,
    changed: Condvar,
}

#[derive(Default)]
struct GateState {
    /// The prefix of the names of the requests that are held; `None` if the gate is open.
    prefix: Option<String>,
    /// How many requests are held now.
    held: usize,
}

impl Gate {
    /// Closes the gate for requests whose name begins with `prefix`.
    pub fn close(&self, prefix: &str) {
        self.state.lock().expect("the gate").prefix = Some(prefix.to_string());
    }

    /// Opens the gate: all held requests pass.
    pub fn open(&self) {
        self.state.lock().expect("the gate").prefix = None;
        self.changed.notify_all();
    }

    /// Waits until a request is held.
    pub fn wait_until_held(&self) {
        let state = self.state.lock().expect("the gate");
        drop(self.changed.wait_while(state, |state| state.held == 0).expect("the gate"));
    }

    /// Holds a request with this name while the gate is closed for it.
    pub fn pass(&self, name: &str) {
        let mut state = self.state.lock().expect("the gate");
        let is_closed =
            |state: &GateState| state.prefix.as_ref().is_some_and(|prefix| name.starts_with(prefix.as_str()));
        if !is_closed(&state) {
            return;
        }
        state.held += 1;
        self.changed.notify_all();
        state = self.changed.wait_while(state, |state| is_closed(state)).expect("the gate");
        state.held -= 1;
    }
}
