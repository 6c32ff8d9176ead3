//! The table of accepted submissions that have not ended, and their tasks.

use chervilring_wire::{SubmissionId, TaskOutput, Verdict};
use rustc_hash::FxHashMap;

use super::queue::Rank;
use super::work::Work;

/// Row of a submission in the table; reused after the submission has ended.
pub(crate) type SubmissionIndex = usize;

/// A task of a submission.
#[derive(Debug, Default)]
pub(crate) struct Task {
    /// Attempts sent so far; also the number of the next one.
    pub(crate) attempts: u32,
    /// Attempts in flight.
    pub(crate) active: u32,
    /// Attempts that agents refused.
    pub(crate) refusals: u32,
    /// Row of the agent that the last attempt was sent to.
    pub(crate) last_agent: Option<usize>,
    /// Output, once there is one.
    pub(crate) output: Option<TaskOutput>,
}

/// An accepted submission that has not ended.
#[derive(Debug)]
pub(crate) struct Submission {
    pub(crate) work: Work,
    /// Row of its service.
    pub(crate) service: usize,
    /// Row of its team in the queue of the service.
    pub(crate) team: usize,
    pub(crate) rank: Rank,
    pub(crate) tasks: Vec<Task>,
    /// Queued tasks, the next one last.
    pub(crate) queued: Vec<u32>,
    pub(crate) completed: u32,
    /// Attempts in flight.
    pub(crate) active: u32,
    /// Verdict on all attempts that have ended.
    pub(crate) verdict: Verdict,
}

impl Submission {
    /// Returns the verdict on the submission if it failed now.
    pub(crate) fn failure_verdict(&self) -> Verdict {
        let running = if self.active > 0 {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        };
        self.verdict.max(running)
    }
}

/// All accepted submissions that have not ended.
#[derive(Debug, Default)]
pub(crate) struct Submissions {
    rows: Vec<Option<Submission>>,
    vacant: Vec<SubmissionIndex>,
    index: FxHashMap<SubmissionId, SubmissionIndex>,
}

impl Submissions {
    pub(crate) fn len(&self) -> usize {
        self.index.len()
    }

    pub(crate) fn find(&self, id: SubmissionId) -> Option<SubmissionIndex> {
        self.index.get(&id).copied()
    }

    pub(crate) fn get(&self, index: SubmissionIndex) -> Option<&Submission> {
        self.rows.get(index)?.as_ref()
    }

    pub(crate) fn get_mut(&mut self, index: SubmissionIndex) -> Option<&mut Submission> {
        self.rows.get_mut(index)?.as_mut()
    }

    pub(crate) fn insert(&mut self, submission: Submission) -> SubmissionIndex {
        let id = submission.work.id;
        let row = self.vacant.pop().unwrap_or_else(|| {
            self.rows.push(None);
            self.rows.len() - 1
        });
        self.rows[row] = Some(submission);
        self.index.insert(id, row);
        row
    }

    pub(crate) fn remove(&mut self, index: SubmissionIndex) -> Option<Submission> {
        let submission = self.rows.get_mut(index)?.take()?;
        self.index.remove(&submission.work.id);
        self.vacant.push(index);
        Some(submission)
    }
}
