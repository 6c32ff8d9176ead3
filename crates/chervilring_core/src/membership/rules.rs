//! Switches by which tests show that each rule is needed.

/// The rules of at most once; all are kept outside of tests.
#[doc(hidden)]
#[derive(Debug, Clone, Copy)]
#[allow(clippy::struct_excessive_bools)]
pub struct Rules {
    /// A new home waits until older authorities have run out.
    pub wait: bool,
    /// A new home waits until so many adopted the ring that the rest have no majority.
    pub block: bool,
    /// Authority runs out.
    pub expire: bool,
    /// Confirmations are counted from before the request was sent.
    pub sent: bool,
    /// A home starts work on an agent only after its peers know of it.
    pub agents: bool,
    /// Ids unknown to the new home count as started until the agents have reported.
    pub reports: bool,
    /// Reports under a ring newer than the entry's own are not counted yet.
    pub bound: bool,
    /// Stamps are compared with the end of the wait, not with the change of the ring.
    pub stamp: bool,
    /// What a lost home told another lost entry counts as unknown.
    pub partial: bool,
    /// Doubts about ids pass from home to home.
    pub doubts: bool,
    /// Only a peer that told all it knew is replaced without doubt.
    pub whole: bool,
    /// A new home waits for the living home's hand-over.
    pub handover: bool,
    /// Only an entry that had the store throughout evicts.
    pub contact: bool,
    /// An entry that was paused confirms nothing until it has caught up.
    pub awake: bool,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            wait: true,
            block: true,
            expire: true,
            sent: true,
            agents: true,
            reports: true,
            bound: true,
            stamp: true,
            partial: true,
            doubts: true,
            whole: true,
            handover: true,
            contact: true,
            awake: true,
        }
    }
}

impl Rules {
    /// The names of the rules.
    pub const NAMES: [&'static str; 14] = [
        "wait", "block", "expire", "sent", "agents", "reports", "bound", "stamp", "partial",
        "doubts", "whole", "handover", "contact", "awake",
    ];

    /// Returns the rules with the named one left out; `None` for a name that is none.
    pub fn without(name: &str) -> Option<Self> {
        let mut rules = Self::default();
        let rule = match name {
            "wait" => &mut rules.wait,
            "block" => &mut rules.block,
            "expire" => &mut rules.expire,
            "sent" => &mut rules.sent,
            "agents" => &mut rules.agents,
            "reports" => &mut rules.reports,
            "bound" => &mut rules.bound,
            "stamp" => &mut rules.stamp,
            "partial" => &mut rules.partial,
            "doubts" => &mut rules.doubts,
            "whole" => &mut rules.whole,
            "handover" => &mut rules.handover,
            "contact" => &mut rules.contact,
            "awake" => &mut rules.awake,
            _ => return None,
        };
        *rule = false;
        Some(rules)
    }
}
