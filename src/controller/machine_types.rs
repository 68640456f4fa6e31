//! Loads the machine types when the controller starts, from the state store or from the cloud.

use serde_json::json;

use super::Controller;
use crate::leadership::{self, MACHINE_TYPES_KEY};
use crate::state::RequestPriority;
use crate::time::Micros;
use crate::wire::{Change, Guard, MachineType, Txn};

/// Pause before the machine types are requested again.
const RETRY_DELAY: Micros = Micros::from_millis(500);

impl Controller {
    /// Requests the machine types until they are known or the controller stops.
    pub(super) fn load_machine_types(&self) {
        while !self.stopping() && !self.load_machine_types_once() {
            self.sleep(RETRY_DELAY);
        }
    }

    /// Requests the machine types from the state store, and from the cloud if the state store has none.
    /// Returns false if neither has answered with them.
    pub fn load_machine_types_once(&self) -> bool {
        let found = match leadership::read_machine_types(&self.state) {
            Ok(Some(types)) => Some(types),
            _ => self.cloud.catalog().ok().inspect(|types| self.write_machine_types(types)),
        };
        let Some(types) = found else { return false };
        self.lock().machine_types = Some(types);
        true
    }

    /// Writes the machine types to the state store, for controllers that start while the cloud cannot be
    /// reached. Does nothing if they do not fit a value.
    fn write_machine_types(&self, types: &[MachineType]) {
        let value = json!(types);
        if value.to_string().len() > self.config.max_value_bytes() {
            return;
        }
        let txn = Txn {
            guards: vec![Guard::must_not_exist(MACHINE_TYPES_KEY.into())],
            then: vec![Change::put(MACHINE_TYPES_KEY, value)],
        };
        // If the write fails, a controller that starts later reads the machine types from the cloud.
        let _ = self.state.txn(&txn, RequestPriority::Background);
    }
}
