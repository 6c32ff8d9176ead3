//! The limits within which the settings of a service must lie.

use std::ops::RangeInclusive;

use chervilring_wire::{Micros, Name};

use super::fields::{Faults, join};
use super::service::{Limits, Quota, Rules, Selector, Service};
use super::unit::Quantity;

/// The longest name of a note, service, team or label, in bytes.
const MAX_NAME: usize = 64;

/// The most labels in a selector.
const MAX_LABELS: usize = 16;

/// The most teams with quotas on one service.
const MAX_TEAMS: usize = 10_000;

/// The most tasks of one service at once on one upstream.
const MAX_SLOTS: u32 = 1_024;

/// The most tasks queued at one entry.
const MAX_QUEUE: u32 = 1_000_000;

/// The most tasks per job.
const MAX_TASKS: u32 = 10_000;

/// The largest body of a task, in bytes.
const MAX_BODY: u64 = 16 << 20;

/// The longest deadline.
const MAX_DEADLINE: Micros = Micros::from_secs(600);

/// The shortest deadline.
const MIN_DEADLINE: Micros = Micros::from_millis(1);

/// The most task starts a second of one team.
const MAX_RATE: u32 = 10_000_000;

/// What a name looks like.
pub(super) const NAME_ALLOWED: &str =
    "1 to 64 of a-z, A-Z, 0-9, `.`, `_`, `-`, first a letter or digit";

const LABEL_ALLOWED: &str = "`key=value`, each part 1 to 64 of a-z, A-Z, 0-9, `.`, `_`, `-`";

/// Returns whether this may be the name of a note, service, team or label.
pub(super) fn is_name(name: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-');
    name.len() <= MAX_NAME
        && name.bytes().all(plain)
        && name
            .bytes()
            .next()
            .is_some_and(|b| b.is_ascii_alphanumeric())
}

/// Notes a name that is not allowed.
pub(super) fn name(path: &str, name: &str, faults: &mut Faults) {
    if !is_name(name) {
        faults.add(path, format!("{name:?} is not a name"), NAME_ALLOWED);
    }
}

/// Notes everything about a service that is out of its limits.
pub(super) fn service(path: &str, service: &Service, faults: &mut Faults) {
    name(&join(path, "name"), service.name.as_str(), faults);
    selector(&join(path, "selector.labels"), &service.selector, faults);
    limits(&join(path, "limits"), &service.limits, faults);
    rules(&join(path, "rules"), &service.rules, faults);
    let quotas = join(path, "quotas");
    if service.quotas.len() > MAX_TEAMS {
        let what = format!("{} teams", service.quotas.len());
        faults.add(&quotas, what, &format!("at most {MAX_TEAMS}"));
    }
    for (team, entry) in &service.quotas {
        let path = join(&quotas, team.as_str());
        name(&path, team.as_str(), faults);
        quota(&path, *entry, faults);
    }
}

fn selector(path: &str, selector: &Selector, faults: &mut Faults) {
    if selector.labels.len() > MAX_LABELS {
        let what = format!("{} labels", selector.labels.len());
        faults.add(path, what, &format!("at most {MAX_LABELS}"));
    }
    for (i, text) in selector.labels.iter().enumerate() {
        label(&format!("{path}[{i}]"), text, &selector.labels[..i], faults);
    }
}

fn label(path: &str, text: &Name, before: &[Name], faults: &mut Faults) {
    let parts = text.split_once('=');
    let Some((key, _)) = parts.filter(|(key, value)| is_name(key) && is_name(value)) else {
        return faults.add(path, format!("{text:?} is not a label"), LABEL_ALLOWED);
    };
    let same_key = |other: &&Name| other.split_once('=').is_some_and(|(k, _)| k == key);
    if let Some(other) = before.iter().find(same_key) {
        let what = format!("{text:?} besides {other:?} can select no worker twice over");
        faults.add(path, what, "each key once");
    }
}

fn limits(path: &str, limits: &Limits, faults: &mut Faults) {
    if let Some(slots) = limits.slots {
        number(&join(path, "slots"), slots, 1..=MAX_SLOTS, faults);
    }
    number(&join(path, "queue"), limits.queue, 1..=MAX_QUEUE, faults);
    number(&join(path, "tasks"), limits.tasks, 1..=MAX_TASKS, faults);
    if limits.tasks > limits.queue {
        let what = format!(
            "a job of {} tasks never fits a queue of {}",
            limits.tasks, limits.queue
        );
        faults.add(join(path, "tasks"), what, "at most `queue`");
    }
    if !(1..=MAX_BODY).contains(&limits.body_bytes) {
        let shown = Quantity::size(limits.body_bytes);
        let allowed = format!("1B to {}", Quantity::size(MAX_BODY));
        faults.add(
            join(path, "body"),
            format!("{shown} is out of range"),
            &allowed,
        );
    }
}

fn rules(path: &str, rules: &Rules, faults: &mut Faults) {
    if !(MIN_DEADLINE..=MAX_DEADLINE).contains(&rules.deadline) {
        let shown = Quantity::span(rules.deadline);
        let (low, high) = (Quantity::span(MIN_DEADLINE), Quantity::span(MAX_DEADLINE));
        let what = format!("{shown} is out of range");
        faults.add(join(path, "deadline"), what, &format!("{low} to {high}"));
    }
    number(
        &join(path, "retry_percent"),
        rules.retry_percent,
        0..=100,
        faults,
    );
    number(
        &join(path, "hedge_percent"),
        rules.hedge_percent,
        0..=100,
        faults,
    );
    if rules.hedge_percent > 0 && !rules.idempotent {
        let what = "a hedge would run a non-idempotent request twice";
        faults.add(
            join(path, "hedge_percent"),
            what,
            "0 unless `idempotent` is true",
        );
    }
}

fn quota(path: &str, quota: Quota, faults: &mut Faults) {
    number(&join(path, "rate"), quota.rate, 1..=MAX_RATE, faults);
    number(&join(path, "burst"), quota.burst, 1..=MAX_RATE, faults);
}

fn number(path: &str, value: u32, range: RangeInclusive<u32>, faults: &mut Faults) {
    if !range.contains(&value) {
        let allowed = format!("{} to {}", range.start(), range.end());
        faults.add(path, format!("{value} is out of range"), &allowed);
    }
}
