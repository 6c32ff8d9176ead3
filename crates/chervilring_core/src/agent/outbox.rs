//! The answers that entries have not acknowledged yet.

use std::collections::BTreeMap;

use chervilring_wire::{EntryId, Load, TaskAnswer, TaskKey, TaskOutcome};
use rustc_hash::FxHashMap;

/// The size of an answer without its body, in bytes.
const ANSWER_OVERHEAD: usize = 256;

/// The unacknowledged answers for all entries.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    answers: FxHashMap<EntryId, FxHashMap<TaskKey, TaskAnswer>>,
    unsent: BTreeMap<EntryId, Vec<TaskKey>>,
    bytes: usize,
}

impl Outbox {
    /// Returns the total size of the unacknowledged answers, in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of unacknowledged answers.
    pub(super) fn len(&self) -> usize {
        self.answers.values().map(FxHashMap::len).sum()
    }

    /// Returns whether there is an unacknowledged answer to this attempt for the entry.
    pub(super) fn contains(&self, to: &EntryId, key: TaskKey) -> bool {
        self.answers.get(to).is_some_and(|a| a.contains_key(&key))
    }

    /// Returns whether there is any unacknowledged answer for the entry.
    pub(super) fn has_answers(&self, to: &EntryId) -> bool {
        self.answers.contains_key(to)
    }

    /// Adds an answer and schedules it to be sent to the entry.
    pub(super) fn add(&mut self, to: &EntryId, answer: TaskAnswer) {
        let key = answer.key;
        self.bytes += answer_size(&answer);
        let answers = self.answers.entry(to.clone()).or_default();
        if let Some(old) = answers.insert(key, answer) {
            self.bytes -= answer_size(&old);
        }
        self.resend(to, key);
    }

    /// Schedules an answer to be sent again.
    pub(super) fn resend(&mut self, to: &EntryId, key: TaskKey) {
        let unsent = self.unsent.entry(to.clone()).or_default();
        if !unsent.contains(&key) {
            unsent.push(key);
        }
    }

    /// Schedules all unacknowledged answers for an entry to be sent again.
    pub(super) fn resend_all(&mut self, to: &EntryId) {
        let Some(answers) = self.answers.get(to) else {
            return;
        };
        let mut keys: Vec<_> = answers.keys().copied().collect();
        keys.sort_unstable();
        self.unsent.insert(to.clone(), keys);
    }

    /// Removes an answer that the entry has acknowledged.
    pub(super) fn acknowledge(&mut self, from: &EntryId, key: TaskKey) {
        let Some(answers) = self.answers.get_mut(from) else {
            return;
        };
        if let Some(answer) = answers.remove(&key) {
            self.bytes -= answer_size(&answer);
        }
        if answers.is_empty() {
            self.answers.remove(from);
        }
    }

    /// Removes all answers for an entry.
    pub(super) fn remove_entry(&mut self, entry: &EntryId) {
        self.unsent.remove(entry);
        let answers = self.answers.remove(entry).unwrap_or_default();
        self.bytes -= answers.values().map(answer_size).sum::<usize>();
    }

    /// Returns the scheduled answers by entry, each with the current `load`, and marks them as
    /// sent. Answers for entries that are not `up` stay scheduled.
    pub(super) fn take_unsent(
        &mut self,
        load: Load,
        up: impl Fn(&EntryId) -> bool,
    ) -> Vec<(EntryId, Vec<TaskAnswer>)> {
        let mut out = Vec::new();
        let reachable: Vec<_> = self.unsent.keys().filter(|e| up(e)).cloned().collect();
        for entry in reachable {
            let keys = self.unsent.remove(&entry).unwrap_or_default();
            let Some(answers) = self.answers.get(&entry) else {
                continue;
            };
            let unsent = keys.iter().filter_map(|k| answers.get(k));
            let unsent: Vec<_> = unsent.map(|a| TaskAnswer { load, ..a.clone() }).collect();
            if !unsent.is_empty() {
                out.push((entry, unsent));
            }
        }
        out
    }
}

/// Returns the size of an answer for the limit on unacknowledged answers, in bytes.
fn answer_size(answer: &TaskAnswer) -> usize {
    let body = match &answer.outcome {
        TaskOutcome::Done(output) => output.body.len() + output.media.len(),
        TaskOutcome::Failed(_) => 0,
    };
    body + ANSWER_OVERHEAD
}
