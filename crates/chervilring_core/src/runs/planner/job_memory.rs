//! The memory that the jobs of a planner take, and what may be added to it.
//!
//! A few large jobs could take all there is for as long as their callers wait. So small jobs have a part
//! for themselves.

/// The part of the memory that is kept for small jobs, as a divisor.
const SMALL_PART: usize = 8;

/// A job is small if it takes at most this part of the memory, as a divisor.
const SMALL_JOB: usize = 64;

/// The memory that jobs take, in bytes.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct JobMemory {
    /// That of small jobs.
    small: usize,
    /// That of all others.
    large: usize,
}

impl JobMemory {
    /// Adds a job, where jobs may take `limit` bytes.
    pub(super) fn add(&mut self, footprint: usize, limit: usize) {
        *self.part(footprint, limit) += footprint;
    }

    /// Removes a job that was added.
    pub(super) fn remove(&mut self, footprint: usize, limit: usize) {
        *self.part(footprint, limit) -= footprint;
    }

    /// Returns whether a job that was added last may stay. One that is alone always may.
    pub(super) fn fits(self, footprint: usize, limit: usize) -> bool {
        let all = self.small + self.large;
        if all <= footprint {
            return true;
        }
        if is_small(footprint, limit) {
            self.small <= limit / SMALL_PART || all <= limit
        } else {
            all <= limit - limit / SMALL_PART
        }
    }

    fn part(&mut self, footprint: usize, limit: usize) -> &mut usize {
        if is_small(footprint, limit) {
            &mut self.small
        } else {
            &mut self.large
        }
    }
}

fn is_small(footprint: usize, limit: usize) -> bool {
    footprint <= limit / SMALL_JOB
}
