//! What a peer has to be told and has not confirmed.

use std::collections::VecDeque;

/// A queue whose items are sent again until the receiver has confirmed them.
#[derive(Debug)]
pub(crate) struct Outbox<T> {
    items: VecDeque<T>,
    base: u64,
}

impl<T> Default for Outbox<T> {
    fn default() -> Self {
        Self {
            items: VecDeque::new(),
            base: 0,
        }
    }
}

impl<T: Clone> Outbox<T> {
    /// Adds an item.
    pub(crate) fn push(&mut self, item: T) {
        self.items.push_back(item);
    }

    /// Returns the oldest items, at most `count`, and the mark by which they are confirmed.
    pub(crate) fn head(&self, count: usize) -> (Vec<T>, u64) {
        let head: Vec<T> = self.items.iter().take(count).cloned().collect();
        let mark = self.base + head.len() as u64;
        (head, mark)
    }

    /// Removes and returns the items up to a mark.
    pub(crate) fn confirm(&mut self, mark: u64) -> Vec<T> {
        let count = mark.saturating_sub(self.base) as usize;
        let count = count.min(self.items.len());
        self.base += count as u64;
        self.items.drain(..count).collect()
    }

    /// Removes and returns all items.
    pub(crate) fn clear(&mut self) -> Vec<T> {
        self.confirm(u64::MAX)
    }

    /// Returns the mark after the last item.
    pub(crate) fn end(&self) -> u64 {
        self.base + self.items.len() as u64
    }

    /// Returns the number of items not confirmed.
    pub(crate) fn len(&self) -> usize {
        self.items.len()
    }
}
