//! Names of links.

/// Names a link of this process; never used again after the link is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkNo(pub u64);
