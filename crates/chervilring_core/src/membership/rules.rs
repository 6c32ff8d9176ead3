//! Switches by which tests disable single rules, to show that each one is needed.

/// The rules that ensure at-most-once starts. All are in force outside of tests.
#[doc(hidden)]
#[derive(Debug, Clone, Copy)]
#[allow(clippy::struct_excessive_bools)]
pub struct Rules {
    /// A new home waits until authority under past rings has expired.
    pub retirement_wait: bool,
    /// A new home waits until so many members have installed the ring that the rest have no
    /// majority.
    pub majority_block: bool,
    /// Authority expires.
    pub authority_expiry: bool,
    /// Authority counts from the time at which the acknowledged request was sent.
    pub send_time: bool,
    /// A home starts work on an agent only after its peers have acknowledged that it uses the
    /// agent.
    pub agents_announced: bool,
    /// Ids unknown to the new home count as started until the agents have reported.
    pub agent_reports: bool,
    /// Agent reports under a ring newer than the entry's own are not counted yet.
    pub report_bound: bool,
    /// Timestamps of ids are compared with the end of the wait, not with the change of the ring.
    pub ready_timestamp: bool,
    /// Ids that a lost home reported to another lost entry count as unknown.
    pub partial_reports: bool,
    /// Ids in doubt are passed from home to home.
    pub pass_in_doubt: bool,
    /// Only a peer whose reports were complete is replaced without leaving ids in doubt.
    pub complete_reports: bool,
    /// A new home waits for the hand-over of a former home that remains a member.
    pub await_handover: bool,
    /// Only an entry that has reached the store without a gap for the duration of a lease evicts
    /// others.
    pub continuous_contact: bool,
    /// An entry whose process was paused acknowledges nothing until the store or a majority has
    /// acknowledged its ring.
    pub pause_check: bool,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            retirement_wait: true,
            majority_block: true,
            authority_expiry: true,
            send_time: true,
            agents_announced: true,
            agent_reports: true,
            report_bound: true,
            ready_timestamp: true,
            partial_reports: true,
            pass_in_doubt: true,
            complete_reports: true,
            await_handover: true,
            continuous_contact: true,
            pause_check: true,
        }
    }
}

impl Rules {
    /// The names of the rules, as tests give them to [`Self::without`].
    pub const NAMES: [&'static str; 14] = [
        "wait", "block", "expire", "sent", "agents", "reports", "bound", "stamp", "partial",
        "doubts", "whole", "handover", "contact", "awake",
    ];

    /// Returns all rules but the named one, or `None` if there is no rule of this name.
    pub fn without(name: &str) -> Option<Self> {
        let mut rules = Self::default();
        let rule = match name {
            "wait" => &mut rules.retirement_wait,
            "block" => &mut rules.majority_block,
            "expire" => &mut rules.authority_expiry,
            "sent" => &mut rules.send_time,
            "agents" => &mut rules.agents_announced,
            "reports" => &mut rules.agent_reports,
            "bound" => &mut rules.report_bound,
            "stamp" => &mut rules.ready_timestamp,
            "partial" => &mut rules.partial_reports,
            "doubts" => &mut rules.pass_in_doubt,
            "whole" => &mut rules.complete_reports,
            "handover" => &mut rules.await_handover,
            "contact" => &mut rules.continuous_contact,
            "awake" => &mut rules.pause_check,
            _ => return None,
        };
        *rule = false;
        Some(rules)
    }
}
