//! Checks that names and the settings of a service are within their limits.

use std::ops::RangeInclusive;

use chervilring_wire::{Micros, Name};

use super::fields::{Faults, join};
use super::service::{Limits, Quota, Rules, Selector, Service};
use super::unit::Quantity;

/// The maximum length of the name of a note, service or team, and of a label's key or value.
const MAX_NAME_BYTES: usize = 64;

/// The maximum number of labels in a selector.
const MAX_LABELS: usize = 16;

/// The maximum number of teams with a quota on one service.
const MAX_TEAMS: usize = 10_000;

/// The maximum number of concurrent tasks of one service on one upstream.
const MAX_SLOTS: u32 = 1_024;

/// The maximum number of tasks queued at one entry.
const MAX_QUEUE: u32 = 1_000_000;

/// The maximum number of tasks per job.
const MAX_TASKS: u32 = 10_000;

/// The maximum size of a task body.
const MAX_BODY_BYTES: u64 = 16 << 20;

/// The maximum duration from submission to the deadline.
const MAX_DEADLINE: Micros = Micros::from_secs(600);

/// The minimum duration from submission to the deadline.
const MIN_DEADLINE: Micros = Micros::from_millis(1);

/// The maximum rate of one team, in task starts per second, and its maximum burst, in task starts.
const MAX_RATE: u32 = 10_000_000;

/// Describes valid names, for error messages.
pub(super) const NAME_ALLOWED: &str =
    "1 to 64 of a-z, A-Z, 0-9, `.`, `_`, `-`, first a letter or digit";

/// Describes valid labels, for error messages.
const LABEL_ALLOWED: &str = "`key=value`, each part 1 to 64 of a-z, A-Z, 0-9, `.`, `_`, `-`";

/// Returns whether `name` is valid as the name of a note, service or team, or as part of a label.
pub(super) fn is_name(name: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-');
    name.len() <= MAX_NAME_BYTES
        && name.bytes().all(is_allowed)
        && name
            .bytes()
            .next()
            .is_some_and(|b| b.is_ascii_alphanumeric())
}

/// Adds a fault if the name is invalid.
pub(super) fn name(path: &str, name: &str, faults: &mut Faults) {
    if !is_name(name) {
        faults.add(path, format!("{name:?} is not a valid name"), NAME_ALLOWED);
    }
}

/// Adds a fault for each setting of the service that is invalid or out of range.
pub(super) fn service(path: &str, service: &Service, faults: &mut Faults) {
    name(&join(path, "name"), service.name.as_str(), faults);
    selector(&join(path, "selector.labels"), &service.selector, faults);
    limits(&join(path, "limits"), &service.limits, faults);
    rules(&join(path, "rules"), &service.rules, faults);
    let quotas = join(path, "quotas");
    if service.quotas.len() > MAX_TEAMS {
        let problem = format!("{} teams", service.quotas.len());
        faults.add(&quotas, problem, &format!("at most {MAX_TEAMS}"));
    }
    for (team, team_quota) in &service.quotas {
        let path = join(&quotas, team.as_str());
        name(&path, team.as_str(), faults);
        quota(&path, *team_quota, faults);
    }
}

fn selector(path: &str, selector: &Selector, faults: &mut Faults) {
    if selector.labels.len() > MAX_LABELS {
        let problem = format!("{} labels", selector.labels.len());
        faults.add(path, problem, &format!("at most {MAX_LABELS}"));
    }
    for (i, text) in selector.labels.iter().enumerate() {
        label(&format!("{path}[{i}]"), text, &selector.labels[..i], faults);
    }
}

/// Adds a fault if the label is malformed or repeats the key of one of the labels before it.
fn label(path: &str, text: &Name, preceding: &[Name], faults: &mut Faults) {
    let parts = text.split_once('=');
    let Some((key, _)) = parts.filter(|(key, value)| is_name(key) && is_name(value)) else {
        return faults.add(
            path,
            format!("{text:?} is not a valid label"),
            LABEL_ALLOWED,
        );
    };
    let same_key = |other: &&Name| other.split_once('=').is_some_and(|(k, _)| k == key);
    if let Some(other) = preceding.iter().find(same_key) {
        let problem = format!("{text:?} has the same key as {other:?}");
        faults.add(path, problem, "each key once");
    }
}

fn limits(path: &str, limits: &Limits, faults: &mut Faults) {
    if let Some(slots) = limits.slots {
        check_range(&join(path, "slots"), slots, 1..=MAX_SLOTS, faults);
    }
    check_range(&join(path, "queue"), limits.queue, 1..=MAX_QUEUE, faults);
    check_range(&join(path, "tasks"), limits.tasks, 1..=MAX_TASKS, faults);
    if limits.tasks > limits.queue {
        let problem = format!(
            "a job of {} tasks cannot fit in a queue of {}",
            limits.tasks, limits.queue
        );
        faults.add(join(path, "tasks"), problem, "at most `queue`");
    }
    if !(1..=MAX_BODY_BYTES).contains(&limits.body_bytes) {
        let shown = Quantity::size(limits.body_bytes);
        let allowed = format!("1B to {}", Quantity::size(MAX_BODY_BYTES));
        faults.add(
            join(path, "body"),
            format!("{shown} is out of range"),
            &allowed,
        );
    }
}

fn rules(path: &str, rules: &Rules, faults: &mut Faults) {
    if !(MIN_DEADLINE..=MAX_DEADLINE).contains(&rules.deadline) {
        let shown = Quantity::duration(rules.deadline);
        let (low, high) = (
            Quantity::duration(MIN_DEADLINE),
            Quantity::duration(MAX_DEADLINE),
        );
        let problem = format!("{shown} is out of range");
        faults.add(join(path, "deadline"), problem, &format!("{low} to {high}"));
    }
    check_range(
        &join(path, "retry_percent"),
        rules.retry_percent,
        0..=100,
        faults,
    );
    check_range(
        &join(path, "hedge_percent"),
        rules.hedge_percent,
        0..=100,
        faults,
    );
    if rules.hedge_percent > 0 && !rules.idempotent {
        let problem = "a hedge could run a non-idempotent request twice";
        faults.add(
            join(path, "hedge_percent"),
            problem,
            "0 unless `idempotent` is true",
        );
    }
}

fn quota(path: &str, quota: Quota, faults: &mut Faults) {
    check_range(&join(path, "rate"), quota.rate, 1..=MAX_RATE, faults);
    check_range(&join(path, "burst"), quota.burst, 1..=MAX_RATE, faults);
}

fn check_range(path: &str, value: u32, range: RangeInclusive<u32>, faults: &mut Faults) {
    if !range.contains(&value) {
        let allowed = format!("{} to {}", range.start(), range.end());
        faults.add(path, format!("{value} is out of range"), &allowed);
    }
}
