//! Queue of items for a peer that it has not acknowledged yet.

use std::collections::VecDeque;

/// A queue whose items are sent again until the receiver has acknowledged them.
#[derive(Debug)]
pub(crate) struct Outbox<T> {
    items: VecDeque<T>,
    acked: u64,
}

impl<T> Default for Outbox<T> {
    fn default() -> Self {
        Self {
            items: VecDeque::new(),
            acked: 0,
        }
    }
}

impl<T: Clone> Outbox<T> {
    /// Adds an item.
    pub(crate) fn push(&mut self, item: T) {
        self.items.push_back(item);
    }

    /// Returns the oldest items, at most `count`, and the position after them, which acknowledges
    /// them.
    pub(crate) fn head(&self, count: usize) -> (Vec<T>, u64) {
        let head: Vec<T> = self.items.iter().take(count).cloned().collect();
        let end = self.acked + head.len() as u64;
        (head, end)
    }

    /// Removes and returns the items before the position `end`.
    pub(crate) fn acknowledge(&mut self, end: u64) -> Vec<T> {
        let count = end.saturating_sub(self.acked) as usize;
        let count = count.min(self.items.len());
        self.acked += count as u64;
        self.items.drain(..count).collect()
    }

    /// Removes and returns all items.
    pub(crate) fn clear(&mut self) -> Vec<T> {
        self.acknowledge(u64::MAX)
    }

    /// Returns the position after the last item.
    pub(crate) fn end(&self) -> u64 {
        self.acked + self.items.len() as u64
    }

    /// Returns the number of unacknowledged items.
    pub(crate) fn len(&self) -> usize {
        self.items.len()
    }
}
