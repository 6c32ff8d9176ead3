//! Release notes: their format, and parsing with checks.

use std::collections::{BTreeMap, BTreeSet};

use chervilring_wire::{Name, Revision, ServiceName, TeamName};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use super::check::{self, NAME_ALLOWED};
use super::document;
use super::error::NoteError;
use super::fields::{Faults, Fields, join};
use super::service::{Limits, Quota, Rules, Selector, Service};

/// The maximum size of a release note.
const MAX_NOTE_BYTES: usize = 1 << 20;

/// The maximum length of the reason given in a note.
const MAX_REASON_BYTES: usize = 1_024;

/// Describes valid counts, for error messages.
const COUNT_ALLOWED: &str = "a whole number of at most 4294967295";

/// A change to the configuration that an operator submits against a base revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// The id, which makes it safe to submit the note again.
    pub id: Name,
    /// The revision that the note applies to.
    pub base: Revision,
    /// The operator's reason for the change.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<Name>,
    /// Services to add.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub added: Vec<Service>,
    /// Services to replace; each definition replaces the previous one completely.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changed: Vec<Service>,
    /// Names of the services to remove.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub withdrawn: Vec<ServiceName>,
}

impl Note {
    /// Parses and checks a release note.
    ///
    /// # Errors
    ///
    /// Returns [`NoteError`] with every unknown, missing or duplicate field, wrong type or unit and
    /// value out of range that was found, each with its path in the document and what is allowed
    /// there.
    pub fn parse(text: &str) -> Result<Self, NoteError> {
        let mut faults = Faults::default();
        let note = read_note(text, &mut faults);
        match note {
            Some(note) if faults.0.is_empty() => Ok(note),
            _ => Err(NoteError { faults: faults.0 }),
        }
    }
}

fn read_note(text: &str, faults: &mut Faults) -> Option<Note> {
    if text.len() > MAX_NOTE_BYTES {
        let problem = format!("{} bytes", text.len());
        faults.add(
            "document",
            problem,
            &format!("at most {MAX_NOTE_BYTES} bytes"),
        );
        return None;
    }
    let value = match document::parse(text) {
        Ok(value) => value,
        Err(e) => {
            faults.add(
                "document",
                e.to_string(),
                "one JSON object, each field once",
            );
            return None;
        }
    };
    let mut fields = Fields::open("", value, faults)?;
    let id: Option<Name> = fields.required("id", NAME_ALLOWED);
    let base = fields.required("base", "the revision the note was written against");
    let reason: Option<Name> = fields.optional("reason", "a string");
    let lists = ["added", "changed", "withdrawn"].map(|name| fields.list(name));
    fields.finish();

    if let Some(id) = &id {
        check::name("id", id, faults);
    }
    if reason.as_ref().is_some_and(|r| r.len() > MAX_REASON_BYTES) {
        faults.add(
            "reason",
            "too long",
            &format!("at most {MAX_REASON_BYTES} bytes"),
        );
    }
    let [added, changed, withdrawn] = lists;
    if added.is_empty() && changed.is_empty() && withdrawn.is_empty() && faults.0.is_empty() {
        let allowed = "a service in `added`, `changed` or `withdrawn`";
        faults.add("document", "the note changes nothing", allowed);
    }
    let mut seen = BTreeSet::new();
    let added = read_services(added, &mut seen, faults);
    let changed = read_services(changed, &mut seen, faults);
    let withdrawn = read_withdrawn(withdrawn, &mut seen, faults);
    Some(Note {
        id: id?,
        base: base?,
        reason,
        added,
        changed,
        withdrawn,
    })
}

fn read_services(
    items: Vec<(String, Value)>,
    seen: &mut BTreeSet<ServiceName>,
    faults: &mut Faults,
) -> Vec<Service> {
    let mut services = Vec::with_capacity(items.len());
    for (path, value) in items {
        let Some(service) = read_service(&path, value, faults) else {
            continue;
        };
        check::service(&path, &service, faults);
        check_unique(&join(&path, "name"), &service.name, seen, faults);
        services.push(service);
    }
    services
}

fn read_withdrawn(
    items: Vec<(String, Value)>,
    seen: &mut BTreeSet<ServiceName>,
    faults: &mut Faults,
) -> Vec<ServiceName> {
    let mut names = Vec::with_capacity(items.len());
    for (path, value) in items {
        let Some(name) = value.as_str().map(ServiceName::from) else {
            faults.add(&path, format!("{value} is not a string"), NAME_ALLOWED);
            continue;
        };
        check::name(&path, name.as_str(), faults);
        check_unique(&path, &name, seen, faults);
        names.push(name);
    }
    names
}

/// Adds a fault if the note lists the service more than once.
fn check_unique(
    path: &str,
    name: &ServiceName,
    seen: &mut BTreeSet<ServiceName>,
    faults: &mut Faults,
) {
    if !seen.insert(name.clone()) {
        let problem = format!("service \"{name}\" is listed more than once");
        faults.add(path, problem, "each service once in the note");
    }
}

fn read_service(path: &str, value: Value, faults: &mut Faults) -> Option<Service> {
    let mut fields = Fields::open(path, value, faults)?;
    let name: Option<Name> = fields.required("name", NAME_ALLOWED);
    let selector = fields.take("selector").unwrap_or_else(empty_object);
    let limits = fields.take("limits").unwrap_or_else(empty_object);
    let rules = fields.required("rules", "an object");
    let quotas = fields.take("quotas").unwrap_or_else(empty_object);
    fields.finish();
    let selector = read_selector(&join(path, "selector"), selector, faults);
    let limits = read_limits(&join(path, "limits"), limits, faults);
    let rules = rules.and_then(|value| read_rules(&join(path, "rules"), value, faults));
    let quotas = read_quotas(&join(path, "quotas"), quotas, faults);
    Some(Service {
        name: ServiceName(name?),
        selector: selector?,
        limits: limits?,
        rules: rules?,
        quotas: quotas?,
    })
}

fn empty_object() -> Value {
    Value::Object(Map::new())
}

fn read_selector(path: &str, value: Value, faults: &mut Faults) -> Option<Selector> {
    let mut fields = Fields::open(path, value, faults)?;
    let labels = fields.optional("labels", "a list of `key=value` strings");
    fields.finish();
    Some(Selector {
        labels: labels.unwrap_or_default(),
    })
}

fn read_limits(path: &str, value: Value, faults: &mut Faults) -> Option<Limits> {
    let defaults = Limits::default();
    let mut fields = Fields::open(path, value, faults)?;
    let limits = Limits {
        slots: fields.optional("slots", COUNT_ALLOWED),
        queue: fields
            .optional("queue", COUNT_ALLOWED)
            .unwrap_or(defaults.queue),
        tasks: fields
            .optional("tasks", COUNT_ALLOWED)
            .unwrap_or(defaults.tasks),
        body_bytes: fields.size("body").unwrap_or(defaults.body_bytes),
    };
    fields.finish();
    Some(limits)
}

fn read_rules(path: &str, value: Value, faults: &mut Faults) -> Option<Rules> {
    let mut fields = Fields::open(path, value, faults)?;
    let idempotent = fields.required("idempotent", "true or false");
    let deadline = fields.duration("deadline");
    let retry = fields.optional("retry_percent", "0 to 100");
    let hedge = fields.optional("hedge_percent", "0 to 100");
    fields.finish();
    let defaults = Rules::new(idempotent?, deadline?);
    Some(Rules {
        retry_percent: retry.unwrap_or(defaults.retry_percent),
        hedge_percent: hedge.unwrap_or(defaults.hedge_percent),
        ..defaults
    })
}

fn read_quotas(path: &str, value: Value, faults: &mut Faults) -> Option<BTreeMap<TeamName, Quota>> {
    let Value::Object(teams) = value else {
        faults.add(path, "not an object", "an object of team names to quotas");
        return None;
    };
    let mut quotas = BTreeMap::new();
    for (team, value) in teams {
        let path = join(path, &team);
        let Some(mut fields) = Fields::open(&path, value, faults) else {
            continue;
        };
        let rate = fields.required("rate", COUNT_ALLOWED);
        let burst = fields.required("burst", COUNT_ALLOWED);
        fields.finish();
        if let (Some(rate), Some(burst)) = (rate, burst) {
            quotas.insert(TeamName::from(team.as_str()), Quota { rate, burst });
        }
    }
    Some(quotas)
}
