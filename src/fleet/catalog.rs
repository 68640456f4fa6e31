//! Machine types, zones and images, and the indices by which the model refers to them.

use std::collections::BTreeMap;

use super::admission::allowed_types;
use super::tasks::type_resources;
use super::Fleet;
use crate::jobs::MachineId;
use crate::sched::Resources;
use crate::time::Steady;
use crate::wire::{JobSpec, MachineType};

/// Boot time that is assumed for a machine whose type is not known, in seconds.
const UNKNOWN_TYPE_BOOT_S: f64 = 60.0;

/// The machine types, zones and images that this leader knows.
pub(super) struct Catalog {
    /// Machine types, as the cloud's catalog lists them; empty until it has been read.
    pub(super) types: Vec<MachineType>,
    /// Names of the zones: first the zones in the settings, then zones that records, heartbeats or the
    /// cloud's list of machines have named.
    pub(super) zones: Vec<String>,
    /// Indices of images by name.
    pub(super) images: BTreeMap<String, u32>,
}

impl Catalog {
    pub(super) fn new(types: Vec<MachineType>, zones: Vec<String>) -> Catalog {
        Catalog { types, zones, images: BTreeMap::new() }
    }

    /// Index of a zone; a zone that is not known yet is added.
    pub(super) fn zone_index(&mut self, name: &str) -> usize {
        self.zones.iter().position(|zone| zone == name).unwrap_or_else(|| {
            self.zones.push(name.to_string());
            self.zones.len() - 1
        })
    }

    /// Nominal boot time of a machine type, in seconds.
    pub(super) fn boot_s(&self, type_index: Option<usize>) -> f64 {
        let machine_type = type_index.and_then(|index| self.types.get(index));
        machine_type.map_or(UNKNOWN_TYPE_BOOT_S, |known| known.boot_s)
    }
}

impl Fleet {
    /// Replaces the machine types after the cloud's catalog was read, for example because prices have
    /// changed.
    pub fn set_types(&mut self, types: Vec<MachineType>) {
        self.catalog.types = types;
        let types = self.catalog.types.iter().enumerate();
        let index_by_name: BTreeMap<&str, usize> =
            types.map(|(index, machine_type)| (machine_type.name.as_str(), index)).collect();
        for machine in self.machines.values_mut() {
            machine.type_index = index_by_name.get(machine.type_name.as_str()).copied();
        }
        if self.recent_jobs.is_empty() {
            // Jobs that were submitted before the types were known are added to the recent jobs now.
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

    /// Indices of the types that a job allows and on which its tasks fit.
    pub fn allowed_types(&self, spec: &JobSpec) -> Vec<usize> {
        allowed_types(&self.catalog.types, spec)
    }

    /// Name of a zone; empty if there is no zone with this index.
    pub fn zone_name(&self, zone: usize) -> &str {
        self.catalog.zones.get(zone).map_or("", String::as_str)
    }

    /// Index of an image; an image that is not known yet is added.
    pub(super) fn image_index(&mut self, name: &str) -> u32 {
        let images = &mut self.catalog.images;
        let next = images.len() as u32;
        *images.entry(name.to_string()).or_insert(next)
    }

    /// Resources of an empty machine of a type; none if the type is not known.
    pub(super) fn type_capacity(&self, type_index: usize) -> Resources {
        self.catalog.types.get(type_index).map(type_resources).unwrap_or_default()
    }

    /// Fills in the description of a machine from a record, a heartbeat or the cloud's list; an empty
    /// string means that the value is not known. The address may change later. Type, zone and kind (spot or
    /// on-demand) are set only once, when the type is first known.
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
