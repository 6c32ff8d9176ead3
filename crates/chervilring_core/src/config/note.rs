//! Release notes.

use std::collections::{BTreeMap, BTreeSet};

use chervilring_wire::{Name, Revision, ServiceName, TeamName};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use super::check::{self, NAME_ALLOWED};
use super::document;
use super::error::NoteError;
use super::fields::{Faults, Fields, join};
use super::service::{Limits, Quota, Rules, Selector, Service};

/// The longest release note, in bytes.
const MAX_NOTE: usize = 1 << 20;

/// The longest text that says why, in bytes.
const MAX_REASON: usize = 1_024;

const COUNT_ALLOWED: &str = "a whole number of at most 4294967295";

/// What an operator wants changed, on a base revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// The id, by which the note may safely be submitted again.
    pub id: Name,
    /// The revision that the note was written against.
    pub base: Revision,
    /// Why, in the operator's words.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<Name>,
    /// Services that come into force.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub added: Vec<Service>,
    /// Services that are replaced, each as a whole.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changed: Vec<Service>,
    /// Services that go out of force.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub withdrawn: Vec<ServiceName>,
}

impl Note {
    /// Reads and checks a release note.
    ///
    /// # Errors
    ///
    /// Returns every unknown field, wrong type or unit, missing field and impossible limit, each
    /// with its path in the document and what is allowed there.
    pub fn parse(text: &str) -> Result<Self, NoteError> {
        let mut faults = Faults::default();
        let note = read(text, &mut faults);
        match note {
            Some(note) if faults.0.is_empty() => Ok(note),
            _ => Err(NoteError { faults: faults.0 }),
        }
    }
}

fn read(text: &str, faults: &mut Faults) -> Option<Note> {
    if text.len() > MAX_NOTE {
        let what = format!("{} bytes", text.len());
        faults.add("document", what, &format!("at most {MAX_NOTE} bytes"));
        return None;
    }
    let value = match document::read(text) {
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
    let reason: Option<Name> = fields.optional("reason", "text");
    let lists = ["added", "changed", "withdrawn"].map(|name| fields.list(name));
    fields.close();

    if let Some(id) = &id {
        check::name("id", id, faults);
    }
    if reason.as_ref().is_some_and(|r| r.len() > MAX_REASON) {
        faults.add("reason", "too long", &format!("at most {MAX_REASON} bytes"));
    }
    let [added, changed, withdrawn] = lists;
    if added.is_empty() && changed.is_empty() && withdrawn.is_empty() && faults.0.is_empty() {
        let allowed = "a service in `added`, `changed` or `withdrawn`";
        faults.add("document", "changes nothing", allowed);
    }
    let mut seen = BTreeSet::new();
    let added = services(added, &mut seen, faults);
    let changed = services(changed, &mut seen, faults);
    let withdrawn = names(withdrawn, &mut seen, faults);
    Some(Note {
        id: id?,
        base: base?,
        reason,
        added,
        changed,
        withdrawn,
    })
}

fn services(
    items: Vec<(String, Value)>,
    seen: &mut BTreeSet<ServiceName>,
    faults: &mut Faults,
) -> Vec<Service> {
    let mut read = Vec::with_capacity(items.len());
    for (path, value) in items {
        let Some(service) = service(&path, value, faults) else {
            continue;
        };
        check::service(&path, &service, faults);
        once(&join(&path, "name"), &service.name, seen, faults);
        read.push(service);
    }
    read
}

fn names(
    items: Vec<(String, Value)>,
    seen: &mut BTreeSet<ServiceName>,
    faults: &mut Faults,
) -> Vec<ServiceName> {
    let mut read = Vec::with_capacity(items.len());
    for (path, value) in items {
        let Some(name) = value.as_str().map(ServiceName::from) else {
            faults.add(&path, format!("{value} is no name"), NAME_ALLOWED);
            continue;
        };
        check::name(&path, name.as_str(), faults);
        once(&path, &name, seen, faults);
        read.push(name);
    }
    read
}

/// Notes a service that the note lists twice.
fn once(path: &str, name: &ServiceName, seen: &mut BTreeSet<ServiceName>, faults: &mut Faults) {
    if !seen.insert(name.clone()) {
        let what = format!("service \"{name}\" is listed twice");
        faults.add(path, what, "each service once in the whole note");
    }
}

fn service(path: &str, value: Value, faults: &mut Faults) -> Option<Service> {
    let mut fields = Fields::open(path, value, faults)?;
    let name: Option<Name> = fields.required("name", NAME_ALLOWED);
    let selector = fields.take("selector").unwrap_or_else(empty);
    let limits = fields.take("limits").unwrap_or_else(empty);
    let rules = fields.required("rules", "an object");
    let quotas = fields.take("quotas").unwrap_or_else(empty);
    fields.close();
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

fn empty() -> Value {
    Value::Object(Map::new())
}

fn read_selector(path: &str, value: Value, faults: &mut Faults) -> Option<Selector> {
    let mut fields = Fields::open(path, value, faults)?;
    let labels = fields.optional("labels", "a list of `key=value` texts");
    fields.close();
    Some(Selector {
        labels: labels.unwrap_or_default(),
    })
}

fn read_limits(path: &str, value: Value, faults: &mut Faults) -> Option<Limits> {
    let usual = Limits::default();
    let mut fields = Fields::open(path, value, faults)?;
    let limits = Limits {
        slots: fields.optional("slots", COUNT_ALLOWED),
        queue: fields
            .optional("queue", COUNT_ALLOWED)
            .unwrap_or(usual.queue),
        tasks: fields
            .optional("tasks", COUNT_ALLOWED)
            .unwrap_or(usual.tasks),
        body_bytes: fields.size("body").unwrap_or(usual.body_bytes),
    };
    fields.close();
    Some(limits)
}

fn read_rules(path: &str, value: Value, faults: &mut Faults) -> Option<Rules> {
    let mut fields = Fields::open(path, value, faults)?;
    let idempotent = fields.required("idempotent", "true or false");
    let deadline = fields.span("deadline");
    let retry = fields.optional("retry_percent", "0 to 100");
    let hedge = fields.optional("hedge_percent", "0 to 100");
    fields.close();
    let usual = Rules::new(idempotent?, deadline?);
    Some(Rules {
        retry_percent: retry.unwrap_or(usual.retry_percent),
        hedge_percent: hedge.unwrap_or(usual.hedge_percent),
        ..usual
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
        fields.close();
        if let (Some(rate), Some(burst)) = (rate, burst) {
            quotas.insert(TeamName::from(team.as_str()), Quota { rate, burst });
        }
    }
    Some(quotas)
}
