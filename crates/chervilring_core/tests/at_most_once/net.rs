//! Fakes of the network: ordered links that are cut and mended.

use std::collections::BTreeMap;

use chervilring_wire::{AgentMessage, EntryMessage, PeerMessage};

/// A process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Node {
    Entry(usize),
    Agent(usize),
}

/// A message on a link.
#[derive(Debug, Clone)]
pub(crate) enum Wire {
    Peer(PeerMessage),
    ToAgent(EntryMessage),
    ToEntry(AgentMessage),
}

/// A link between two processes, the lesser one first.
#[derive(Default)]
pub(crate) struct Link {
    /// Counts the connections.
    pub(crate) epoch: u32,
    /// Which lives of the two processes each connection joins.
    pub(crate) lives: BTreeMap<u32, [u64; 2]>,
    /// Whether the connection still carries messages.
    pub(crate) alive: bool,
    /// Which side takes the link for up.
    pub(crate) up: [bool; 2],
    /// Whether nothing gets through.
    pub(crate) cut: bool,
    /// When the last message of each direction arrives.
    pub(crate) last: [u64; 2],
    /// What waits for the cut to be mended.
    pub(crate) waiting: Vec<(Node, Node, Wire)>,
}

/// All links.
#[derive(Default)]
pub(crate) struct Net(pub BTreeMap<(Node, Node), Link>);

impl Net {
    /// Returns the link between two processes and the side of the first one.
    pub(crate) fn link(&mut self, a: Node, b: Node) -> (&mut Link, usize) {
        let side = usize::from(a > b);
        let link = self.0.entry((a.min(b), a.max(b))).or_default();
        (link, side)
    }

    /// Returns whether nothing gets from one process to another.
    pub(crate) fn is_cut(&self, a: Node, b: Node) -> bool {
        self.0.get(&(a.min(b), a.max(b))).is_some_and(|l| l.cut)
    }
}
