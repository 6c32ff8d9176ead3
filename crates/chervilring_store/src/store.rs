//! What is asked of a store, whichever its kind.

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pair {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The revision of the store at which the key was last written.
    pub revision: u64,
    /// The lease that the key is under; zero for none.
    pub lease: u64,
}

/// The answer to a range.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Page {
    /// The revision of the store at which it was read.
    pub revision: u64,
    /// The pairs, in the order of their keys.
    pub pairs: Vec<Pair>,
}

/// One step of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Op {
    /// Reads one key.
    Get(String),
    /// Reads all keys with a prefix.
    Prefix(String),
    /// Writes a key.
    Put {
        /// The key.
        key: String,
        /// The value.
        value: Vec<u8>,
        /// The lease to put it under; zero for none.
        lease: u64,
    },
    /// Deletes a key.
    Delete(String),
}

/// A transaction: its steps take effect all together or not at all.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Txn {
    /// Keys with the revision they must have been last written at; zero where they must be absent.
    pub compare: Vec<(String, u64)>,
    /// What is done when all of them are so.
    pub then: Vec<Op>,
    /// What is done when not.
    pub otherwise: Vec<Op>,
}

/// The answer to a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TxnAnswer {
    /// Whether the keys were as compared.
    pub done: bool,
    /// The revision of the store after it.
    pub revision: u64,
    /// What the steps that read found, in their order.
    pub pages: Vec<Page>,
}

/// One change that a watch tells of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The key.
    pub key: String,
    /// The value; absent when the key was deleted.
    pub value: Option<Vec<u8>>,
    /// The revision of the store that the change made.
    pub revision: u64,
}

/// What a watch brings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Changes {
    /// Changes in the order they took effect.
    Some(Vec<Change>),
    /// The store no longer has all changes since the revision asked for.
    Compacted,
    /// The store closed the watch, or was silent for the longest span allowed.
    Ended,
}
