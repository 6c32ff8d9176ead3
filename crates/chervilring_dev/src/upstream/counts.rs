//! Counts of what the stand-in started.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

/// What the stand-in started, by task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Tasks started.
    pub total: u64,
    /// Tasks running now.
    pub running: u64,
    /// The most tasks that ever ran at once.
    pub most: u64,
    /// Tasks that began at or after their deadline.
    pub late: u64,
    /// Starts by `submission/index`.
    pub tasks: BTreeMap<String, u64>,
}

impl Counts {
    /// Returns the tasks that were started more than once.
    pub fn repeated(&self) -> impl Iterator<Item = (&str, u64)> {
        let tasks = self.tasks.iter().filter(|(_, n)| **n > 1);
        tasks.map(|(task, n)| (task.as_str(), *n))
    }
}

/// Counts that many threads add to.
#[derive(Debug, Default)]
pub(super) struct Counter(Mutex<Counts>);

impl Counter {
    /// Counts the start of a task.
    pub(super) fn start(&self, task: &str, late: bool) {
        let mut counts = self.lock();
        counts.total += 1;
        counts.late += u64::from(late);
        counts.running += 1;
        counts.most = counts.most.max(counts.running);
        *counts.tasks.entry(task.to_owned()).or_default() += 1;
    }

    /// Counts the end of a task.
    pub(super) fn end(&self) {
        self.lock().running -= 1;
    }

    /// Returns a copy of the counts.
    pub(super) fn get(&self) -> Counts {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
