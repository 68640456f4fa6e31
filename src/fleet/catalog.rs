//! Machine types, zones and images, each under the number that the model uses for it.

use std::collections::BTreeMap;

use super::admission::allowed_types;
use super::tasks::type_resources;
use super::Fleet;
use crate::jobs::MachineId;
use crate::sched::Resources;
use crate::time::Steady;
use crate::wire::{JobSpec, MachineType};

/// Boot time in seconds of a machine whose type is not known.
const UNKNOWN_TYPE_BOOT_S: f64 = 60.0;

/// Machine types, zones and images.
pub(super) struct Catalog {
    /// Machine types, as the cloud's catalog lists them; empty until it has been read.
    pub(super) types: Vec<MachineType>,
    /// Names of the zones: those of the settings, then others as machines show them.
    pub(super) zones: Vec<String>,
    /// Numbers of images by name.
    pub(super) images: BTreeMap<String, u32>,
}

impl Catalog {
    pub(super) fn new(types: Vec<MachineType>, zones: Vec<String>) -> Catalog {
        Catalog { types, zones, images: BTreeMap::new() }
    }

    /// Index of a zone, which is added if it is not known.
    pub(super) fn zone_index(&mut self, name: &str) -> usize {
        self.zones.iter().position(|zone| zone == name).unwrap_or_else(|| {
            self.zones.push(name.to_string());
            self.zones.len() - 1
        })
    }

    /// Nominal boot time in seconds of a machine type.
    pub(super) fn boot_s(&self, type_index: Option<usize>) -> f64 {
        let machine_type = type_index.and_then(|index| self.types.get(index));
        machine_type.map_or(UNKNOWN_TYPE_BOOT_S, |known| known.boot_s)
    }
}

impl Fleet {
    /// Replaces the machine types, for new prices or when they are first read.
    pub fn set_types(&mut self, types: Vec<MachineType>) {
        self.catalog.types = types;
        let types = self.catalog.types.iter().enumerate();
        let index_by_name: BTreeMap<&str, usize> =
            types.map(|(index, machine_type)| (machine_type.name.as_str(), index)).collect();
        for machine in self.machines.values_mut() {
            machine.type_index = index_by_name.get(machine.type_name.as_str()).copied();
        }
        if self.recent_jobs.is_empty() {
            // Jobs that were submitted before the types were known.
            let specs: Vec<(Steady, JobSpec)> =
                self.jobs.values().map(|job| (job.known_since, job.spec.clone())).collect();
            specs.iter().for_each(|(known_since, spec)| self.record_recent_job(spec, *known_since));
        }
        self.dirty = true;
    }

    /// The machine types.
    pub fn types(&self) -> &[MachineType] {
        &self.catalog.types
    }

    /// Types, by index, that a job allows and its tasks fit.
    pub fn allowed_types(&self, spec: &JobSpec) -> Vec<usize> {
        allowed_types(&self.catalog.types, spec)
    }

    /// Name of a zone; empty if there is none of this index.
    pub fn zone_name(&self, zone: usize) -> &str {
        self.catalog.zones.get(zone).map_or("", String::as_str)
    }

    /// The number of an image.
    pub(super) fn image_index(&mut self, name: &str) -> u32 {
        let images = &mut self.catalog.images;
        let next = images.len() as u32;
        *images.entry(name.to_string()).or_insert(next)
    }

    /// Resources of an empty machine of a type.
    pub(super) fn type_capacity(&self, type_index: usize) -> Resources {
        self.catalog.types.get(type_index).map(type_resources).unwrap_or_default()
    }

    /// Fills in a machine's description from a record, a heartbeat or the cloud's list; empty strings are
    /// unknown. The address may change; type, zone and kind are set once, when the type is first known.
    pub(super) fn describe_machine(
        &mut self,
        id: &MachineId,
        address: &str,
        type_name: &str,
        zone: &str,
        spot: bool,
    ) {
        let zone = self.catalog.zone_index(zone);
        let type_index = self.catalog.types.iter().position(|known| known.name == type_name);
        let Some(machine) = self.machines.get_mut(id) else { return };
        if !address.is_empty() {
            machine.address = address.to_string();
        }
        if machine.type_name.is_empty() && !type_name.is_empty() {
            machine.type_name = type_name.to_string();
            machine.type_index = type_index;
            machine.zone = zone;
            machine.spot = spot;
        }
    }
}
