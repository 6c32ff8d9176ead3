//! The configuration in force and how a release note changes it.

use std::collections::BTreeMap;
use std::sync::Arc;

use chervilring_wire::{Name, Revision, ServiceName};
use serde::{Deserialize, Serialize};

use super::error::{ConfigError, NoteError};
use super::fields::{Faults, join};
use super::note::Note;
use super::service::Service;

/// All services in force at a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Document", into = "Document")]
pub struct Config {
    /// The revision; each accepted note adds one.
    pub revision: Revision,
    /// The id of the note that created this revision; empty at revision zero.
    pub note: Name,
    /// The services by name.
    pub services: BTreeMap<ServiceName, Arc<Service>>,
}

/// The JSON representation of a [`Config`].
#[derive(Serialize, Deserialize)]
struct Document {
    revision: Revision,
    note: Name,
    services: Vec<Arc<Service>>,
}

impl From<Document> for Config {
    fn from(document: Document) -> Self {
        let services = document.services.into_iter();
        Self {
            revision: document.revision,
            note: document.note,
            services: services.map(|s| (s.name.clone(), s)).collect(),
        }
    }
}

impl From<Config> for Document {
    fn from(config: Config) -> Self {
        Self {
            revision: config.revision,
            note: config.note,
            services: config.services.into_values().collect(),
        }
    }
}

impl Config {
    /// Returns the configuration before the first note: no services, revision zero.
    pub fn empty() -> Self {
        Self {
            revision: Revision(0),
            note: "".into(),
            services: BTreeMap::new(),
        }
    }

    /// Reads a configuration from its JSON document.
    ///
    /// Unknown fields are ignored, so that processes of this version keep working while newer ones
    /// write the document.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError`] when the bytes are not a valid configuration document.
    pub fn from_json(bytes: &[u8]) -> Result<Self, ConfigError> {
        serde_json::from_slice(bytes).map_err(|e| ConfigError(e.to_string()))
    }

    /// Serializes the configuration to its JSON document.
    ///
    /// # Panics
    ///
    /// Never panics: all map keys are strings.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("all map keys of a configuration are strings")
    }

    /// Returns the configuration that results from applying the note to this one.
    ///
    /// # Errors
    ///
    /// Returns [`NoteError`] when the base of the note is not this revision, or when the note adds a
    /// service that is in force, or changes or withdraws one that is not.
    pub fn apply(&self, note: &Note) -> Result<Self, NoteError> {
        let mut faults = Faults::default();
        if note.base != self.revision {
            let problem = format!("{} is not the revision in force", note.base);
            faults.add("base", problem, &self.revision.to_string());
        }
        let mut services = self.services.clone();
        for (i, service) in note.added.iter().enumerate() {
            if services.contains_key(&service.name) {
                let path = join(&format!("added[{i}]"), "name");
                let problem = format!("service \"{}\" is already in force", service.name);
                faults.add(path, problem, "a new name, or `changed`");
            }
        }
        for (i, service) in note.changed.iter().enumerate() {
            if !services.contains_key(&service.name) {
                add_not_in_force(&format!("changed[{i}].name"), &service.name, &mut faults);
            }
        }
        for (i, name) in note.withdrawn.iter().enumerate() {
            if services.remove(name).is_none() {
                add_not_in_force(&format!("withdrawn[{i}]"), name, &mut faults);
            }
        }
        if !faults.0.is_empty() {
            return Err(NoteError { faults: faults.0 });
        }
        let updated = note.added.iter().chain(&note.changed);
        services.extend(updated.map(|s| (s.name.clone(), Arc::new(s.clone()))));
        Ok(Self {
            revision: Revision(self.revision.0 + 1),
            note: note.id.clone(),
            services,
        })
    }
}

/// Adds a fault for a service that the note changes or withdraws but that is not in force.
fn add_not_in_force(path: &str, name: &ServiceName, faults: &mut Faults) {
    let problem = format!("service \"{name}\" is not in force");
    faults.add(path, problem, "the name of a service in force");
}
