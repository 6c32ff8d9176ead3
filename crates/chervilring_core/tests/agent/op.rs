//! Random schedules.

use chervilring_core::agent::CallEnd;
use chervilring_wire::Micros;
use quickcheck::{Arbitrary, Gen};

/// Entries in a world.
pub(crate) const ENTRIES: usize = 3;

/// One event of a schedule.
#[derive(Debug, Clone)]
pub(crate) enum Op {
    /// An entry asks for a start.
    Start(Ask),
    /// A call of the upstream ends, the oldest first.
    End(CallEnd),
    /// An entry cancels what it asked for last.
    Cancel(usize),
    /// An entry's link comes up, or goes down.
    Link(usize, bool),
    /// An entry is restarted.
    Restart(usize),
    /// A new ring of the entries whose bit is set, told by one of them.
    Ring(u8),
    /// The upstream announces itself with so many slots.
    Announce(u32),
    /// The upstream leaves.
    Leave,
    /// Time passes, and the agent runs as it asks to.
    Pass(Micros),
    /// The agent is frozen, while entries go on sending.
    Freeze(Micros, Vec<Ask>),
    /// An entry confirms all answers that it has.
    Confirm(usize),
}

/// A start that an entry asks for.
#[derive(Debug, Clone)]
pub(crate) struct Ask {
    /// The entry.
    pub(crate) entry: usize,
    /// Which of a few ids.
    pub(crate) id: usize,
    /// The task of it.
    pub(crate) index: u32,
    /// Whether the task may run again.
    pub(crate) idempotent: bool,
    /// What the entry believes the ring to be, against the newest one.
    pub(crate) ring: i64,
    /// The span until the deadline.
    pub(crate) remaining: Micros,
}

/// Returns whether callers chose this one of the ids; the others are known to entry 0 alone.
pub(crate) fn is_keyed(id: usize) -> bool {
    id < 6
}

fn below(g: &mut Gen, end: u64) -> u64 {
    u64::arbitrary(g) % end
}

impl Arbitrary for Ask {
    fn arbitrary(g: &mut Gen) -> Self {
        let id = below(g, 8) as usize;
        let entry = below(g, ENTRIES as u64) as usize;
        Self {
            entry: if is_keyed(id) { entry } else { 0 },
            id,
            index: below(g, 2) as u32,
            idempotent: below(g, 4) == 0,
            ring: [0, 0, 0, 0, -1, 1][below(g, 6) as usize],
            remaining: Micros::from_millis([0, 50, 400, 2_000, 9_000][below(g, 5) as usize]),
        }
    }
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let entry = below(g, ENTRIES as u64) as usize;
        match below(g, 24) {
            0..=8 => Self::Start(Ask::arbitrary(g)),
            9..=12 => Self::End(arbitrary_end(g)),
            13 => Self::Cancel(entry),
            14 => Self::Link(entry, bool::arbitrary(g)),
            15 => Self::Restart(entry),
            16 => Self::Ring(below(g, 8) as u8),
            17 => Self::Announce([1, 2, 4][below(g, 3) as usize]),
            18 if below(g, 3) == 0 => Self::Leave,
            18..=20 => Self::Pass(Micros::from_millis(
                [1, 40, 300, 4_000][below(g, 4) as usize],
            )),
            21 => {
                let span = Micros::from_millis([800, 2_000, 5_000][below(g, 3) as usize]);
                let asks = (0..below(g, 4)).map(|_| Ask::arbitrary(g));
                Self::Freeze(span, asks.collect())
            }
            _ => Self::Confirm(entry),
        }
    }
}

fn arbitrary_end(g: &mut Gen) -> CallEnd {
    let answer = |status| CallEnd::Answer {
        status,
        media: "text/plain".into(),
        body: vec![7; 10].into(),
    };
    match below(g, 9) {
        0 => CallEnd::NotSent,
        1 => CallEnd::Incomplete,
        2 => CallEnd::Refused { retry_after: None },
        3 => answer(500),
        4 => CallEnd::TimedOut,
        _ => answer(200),
    }
}
