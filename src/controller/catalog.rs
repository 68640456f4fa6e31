//! Learns the machine types at the start, from the state store or the cloud.

use serde_json::json;

use super::Controller;
use crate::leadership;
use crate::state::RequestPriority;
use crate::time::Micros;
use crate::wire::{Change, Guard, MachineType, Txn};

/// How long to wait before the machine types are asked for again.
const RETRY_DELAY: Micros = Micros::from_millis(500);

impl Controller {
    /// Asks for the machine types until they are known.
    pub(super) fn learn_types(&self) {
        while !self.stopping() && !self.learn_types_once() {
            self.sleep(RETRY_DELAY);
        }
    }

    /// Asks for the machine types; false if nobody can say.
    pub fn learn_types_once(&self) -> bool {
        let found = match leadership::read_machine_types(&self.state) {
            Ok(Some(t)) => Some(t),
            _ => self.cloud.catalog().ok().inspect(|t| self.write_types(t)),
        };
        let known = found.is_some();
        if let Some(t) = found {
            self.lock().machine_types = Some(t);
        }
        known
    }

    /// Writes the machine types for controllers that start while the cloud cannot be reached.
    fn write_types(&self, types: &[MachineType]) {
        let value = json!(types);
        if value.to_string().len() <= self.cfg.value_bytes() {
            let guards = vec![Guard { key: leadership::MACHINE_TYPES_KEY.into(), mod_revision: 0 }];
            let _ = self.state.txn(
                &Txn { guards, then: vec![Change::put(leadership::MACHINE_TYPES_KEY, value)] },
                RequestPriority::Background,
            );
        }
    }
}
