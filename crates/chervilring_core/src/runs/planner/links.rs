//! Identifiers of links.

/// Identifies a link within this process. Never reused after the link is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkNo(pub u64);
