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
    /// The prefix of the names of the requests that are held; `None` if no further requests are held.
    prefix: Option<String>,
    /// Whether only the next such request is held.
    is_for_one: bool,
    /// How many requests are held now.
    held: usize,
    /// How often the gate has been opened.
    openings: usize,
}

impl Gate {
    /// Closes the gate for requests whose name begins with `prefix`.
    pub fn close(&self, prefix: &str) {
        self.set(prefix, false);
    }

    /// Closes the gate for the next request whose name begins with `prefix`. Later ones pass.
    pub fn close_for_one(&self, prefix: &str) {
        self.set(prefix, true);
    }

    fn set(&self, prefix: &str, is_for_one: bool) {
        let mut state = self.state.lock().expect("the gate");
        (state.prefix, state.is_for_one) = (Some(prefix.to_string()), is_for_one);
    }

    /// Opens the gate: all held requests pass.
    pub fn open(&self) {
        let mut state = self.state.lock().expect("the gate");
        state.prefix = None;
        state.openings += 1;
        self.changed.notify_all();
    }

    /// Waits until a request is held.
    pub fn wait_until_held(&self) {
        let state = self.state.lock().expect("the gate");
        drop(self.changed.wait_while(state, |state| state.held == 0).expect("the gate"));
    }

    /// Whether a request is held.
    pub fn is_holding(&self) -> bool {
        self.state.lock().expect("the gate").held > 0
    }

    /// Holds a request with this name while the gate is closed for it.
    pub fn pass(&self, name: &str) {
        let mut state = self.state.lock().expect("the gate");
        if !state.prefix.as_ref().is_some_and(|prefix| name.starts_with(prefix.as_str())) {
            return;
        }
        if state.is_for_one {
            state.prefix = None;
        }
        state.held += 1;
        self.changed.notify_all();
        let openings = state.openings;
        state = self.changed.wait_while(state, |state| state.openings == openings).expect("the gate");
        state.held -= 1;
    }
}
