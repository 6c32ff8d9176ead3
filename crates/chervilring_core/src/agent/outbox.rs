//! Answers, kept until the entry has confirmed them.

use std::collections::BTreeMap;

use chervilring_wire::{EntryId, Load, TaskAnswer, TaskKey, TaskOutcome};
use rustc_hash::FxHashMap;

/// What an answer takes besides its body, in bytes.
const ANSWER_OVERHEAD: usize = 256;

/// The answers for all entries.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    kept: FxHashMap<EntryId, FxHashMap<TaskKey, TaskAnswer>>,
    unsent: BTreeMap<EntryId, Vec<TaskKey>>,
    bytes: usize,
}

impl Outbox {
    /// Returns the bytes of all answers kept.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns how many answers are kept.
    pub(super) fn len(&self) -> usize {
        self.kept.values().map(FxHashMap::len).sum()
    }

    /// Returns whether an answer to this attempt is kept for the entry.
    pub(super) fn holds(&self, to: &EntryId, key: TaskKey) -> bool {
        self.kept.get(to).is_some_and(|k| k.contains_key(&key))
    }

    /// Returns whether any answer is kept for the entry.
    pub(super) fn holds_any(&self, to: &EntryId) -> bool {
        self.kept.contains_key(to)
    }

    /// Adds an answer, to be sent to the entry.
    pub(super) fn add(&mut self, to: &EntryId, answer: TaskAnswer) {
        let key = answer.key;
        self.bytes += size(&answer);
        let kept = self.kept.entry(to.clone()).or_default();
        if let Some(old) = kept.insert(key, answer) {
            self.bytes -= size(&old);
        }
        self.resend(to, key);
    }

    /// Has a kept answer sent once more.
    pub(super) fn resend(&mut self, to: &EntryId, key: TaskKey) {
        let unsent = self.unsent.entry(to.clone()).or_default();
        if !unsent.contains(&key) {
            unsent.push(key);
        }
    }

    /// Has all answers kept for an entry sent once more.
    pub(super) fn resend_all(&mut self, to: &EntryId) {
        let Some(kept) = self.kept.get(to) else {
            return;
        };
        let mut keys: Vec<_> = kept.keys().copied().collect();
        keys.sort_unstable();
        self.unsent.insert(to.clone(), keys);
    }

    /// Drops an answer that the entry has confirmed.
    pub(super) fn confirm(&mut self, from: &EntryId, key: TaskKey) {
        let Some(kept) = self.kept.get_mut(from) else {
            return;
        };
        if let Some(answer) = kept.remove(&key) {
            self.bytes -= size(&answer);
        }
        if kept.is_empty() {
            self.kept.remove(from);
        }
    }

    /// Drops all that is kept for an entry.
    pub(super) fn drop_entry(&mut self, entry: &EntryId) {
        self.unsent.remove(entry);
        let kept = self.kept.remove(entry).unwrap_or_default();
        self.bytes -= kept.values().map(size).sum::<usize>();
    }

    /// Takes the answers to be sent now, by entry; those for entries that are not `up` stay.
    pub(super) fn take_unsent(
        &mut self,
        load: Load,
        up: impl Fn(&EntryId) -> bool,
    ) -> Vec<(EntryId, Vec<TaskAnswer>)> {
        let mut out = Vec::new();
        let due: Vec<_> = self.unsent.keys().filter(|e| up(e)).cloned().collect();
        for entry in due {
            let keys = self.unsent.remove(&entry).unwrap_or_default();
            let Some(kept) = self.kept.get(&entry) else {
                continue;
            };
            let answers = keys.iter().filter_map(|k| kept.get(k));
            let answers: Vec<_> = answers.map(|a| TaskAnswer { load, ..a.clone() }).collect();
            if !answers.is_empty() {
                out.push((entry, answers));
            }
        }
        out
    }
}

/// Returns the bytes that an answer is counted with.
fn size(answer: &TaskAnswer) -> usize {
    let body = match &answer.outcome {
        TaskOutcome::Done(output) => output.body.len() + output.media.len(),
        TaskOutcome::Failed(_) => 0,
    };
    body + ANSWER_OVERHEAD
}
