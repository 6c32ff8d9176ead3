//! Random schedules of submissions and faults.

use std::fmt;

use quickcheck::{Arbitrary, Gen};

use crate::rng::Rng;

/// Something that happens from outside.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Op {
    /// A caller submits an id at an entry; a resubmission when it was submitted before.
    Submit { id: u8, entry: u8 },
    /// A caller cancels an id at an entry.
    Cancel { id: u8, entry: u8 },
    /// An entry dies.
    KillEntry(u8),
    /// An agent dies with its upstream's calls still running.
    KillAgent(u8),
    /// A dead entry starts again under its name.
    BootEntry(u8),
    /// A dead agent starts again under its name.
    BootAgent(u8),
    /// An entry stops as planned.
    Leave(u8),
    /// A process stands still.
    PauseEntry(u8, u16),
    /// A process stands still.
    PauseAgent(u8, u16),
    /// An entry stands still between deciding on its next start and sending it.
    PauseAtStart(u8, u16),
    /// The processes named in the mask lose the others, and the store if told so.
    Split { side: u8, store: bool },
    /// An entry loses the store.
    CutStore(u8),
    /// An entry loses the other entries and those agents as soon as another adopts a ring without
    /// it; callers then submit new ids there, and soon after elsewhere.
    CutAtEviction { entry: u8, agents: u8 },
    /// All cuts are mended.
    Heal,
    /// The store does not answer.
    Outage(u16),
    /// The store takes effect, but its answers are lost.
    LoseAnswers(u16),
    /// The store takes long.
    SlowStore(u16),
    /// A wall clock jumps, forward or back, by milliseconds.
    Jump(u8, i16),
}

/// A schedule: a seed for all small choices, the processes, and what happens when.
#[derive(Clone)]
pub(crate) struct Schedule {
    /// The seed of delays and losses.
    pub(crate) seed: u64,
    /// The number of entries.
    pub(crate) entries: u8,
    /// The number of agents.
    pub(crate) agents: u8,
    /// Whether all wall clocks agree and the allowed skew is zero.
    pub(crate) exact: bool,
    /// Whether the last agent does not start with the others.
    pub(crate) late: bool,
    /// What happens, by milliseconds since the start.
    pub(crate) ops: Vec<(u32, Op)>,
}

/// Ids submitted in one schedule by operations; those of a trap come on top.
pub(crate) const IDS: u8 = 12;

/// When faults begin, in milliseconds.
const FIRST: u64 = 7_000;

/// When the last operation happens, in milliseconds.
const LAST: u64 = 45_000;

impl Schedule {
    /// Creates the schedule of a seed.
    pub(crate) fn from_seed(seed: u64) -> Self {
        let mut rng = Rng(seed);
        let entries = [3, 3, 3, 2, 4, 1, 5][rng.range(0, 6) as usize];
        let mut schedule = Self {
            seed,
            entries,
            agents: rng.range(1, 3) as u8,
            exact: rng.chance(50),
            late: false,
            ops: Vec::new(),
        };
        schedule.add_submissions(&mut rng);
        for _ in 0..rng.range(1, 7) {
            schedule.add_fault(&mut rng);
        }
        if rng.chance(25) {
            schedule.add_trap(&mut rng);
        }
        schedule.ops.sort_by_key(|(at, _)| *at);
        schedule
    }

    fn add_submissions(&mut self, rng: &mut Rng) {
        for id in 0..IDS {
            let first = rng.range(FIRST, LAST - 10_000);
            for _ in 0..rng.range(1, 4) {
                let at = first + rng.range(0, 1) * rng.range(0, 10_000);
                let entry = rng.range(0, u64::from(self.entries) - 1) as u8;
                self.ops.push((at as u32, Op::Submit { id, entry }));
            }
            if rng.chance(10) {
                let entry = rng.range(0, u64::from(self.entries) - 1) as u8;
                let at = (first + rng.range(0, 2_000)) as u32;
                self.ops.push((at, Op::Cancel { id, entry }));
            }
        }
    }

    fn add_fault(&mut self, rng: &mut Rng) {
        let at = rng.range(FIRST, LAST - 5_000) as u32;
        let entry = rng.range(0, u64::from(self.entries) - 1) as u8;
        let agent = rng.range(0, u64::from(self.agents) - 1) as u8;
        let span = rng.range(100, 12_000) as u16;
        let later = at + u32::from(span);
        let op = match rng.range(0, 15) {
            0 | 1 => {
                if rng.chance(70) {
                    self.ops.push((later, Op::BootEntry(entry)));
                }
                Op::KillEntry(entry)
            }
            2 => {
                self.ops.push((later, Op::BootAgent(agent)));
                Op::KillAgent(agent)
            }
            3 => {
                if rng.chance(60) {
                    self.ops.push((later + 3_000, Op::BootEntry(entry)));
                }
                Op::Leave(entry)
            }
            4 => Op::PauseEntry(entry, span),
            5 => Op::PauseAgent(agent, span),
            6 | 7 => Op::PauseAtStart(entry, span),
            8 | 9 => {
                self.ops.push((later, Op::Heal));
                let (side, store) = (rng.range(1, 254) as u8, rng.chance(70));
                Op::Split { side, store }
            }
            10 => {
                self.ops.push((later, Op::Heal));
                Op::CutStore(entry)
            }
            11 | 12 => Op::Outage(span),
            13 => Op::LoseAnswers(span),
            14 => Op::SlowStore(span),
            _ => Op::Jump(entry, rng.range(0, 4_000) as i16 - 2_000),
        };
        self.ops.push((at, op));
    }

    /// Creates a schedule aimed at one of the rules that random ones seldom need.
    pub(crate) fn aimed(seed: u64) -> Self {
        let mut rng = Rng(seed);
        let mut schedule = Self {
            seed,
            entries: 3,
            agents: 3,
            exact: true,
            late: false,
            ops: Vec::new(),
        };
        let at = rng.range(FIRST, FIRST + 1_000) as u32;
        let entry = rng.range(0, 2) as u8;
        if rng.chance(50) {
            schedule.add_new_agent(&mut rng, at, entry);
        } else {
            schedule.add_minority(&mut rng, at, entry);
        }
        schedule.ops.sort_by_key(|(at, _)| *at);
        schedule
    }

    /// Adds an agent that starts beside an entry while both are being cut off, and ids first
    /// submitted there and later elsewhere.
    fn add_new_agent(&mut self, rng: &mut Rng, at: u32, entry: u8) {
        self.late = true;
        let agent = 2;
        let side = 1 << entry | 1 << (3 + agent);
        let boot = at + rng.range(0, 300) as u32;
        self.ops.push((at, Op::Split { side, store: true }));
        self.ops.push((boot, Op::BootAgent(agent)));
        for id in 0..IDS {
            let first = at + rng.range(0, 2_000) as u32;
            let later = at + rng.range(9_000, 14_000) as u32;
            let other = (entry + 1) % 3;
            self.ops.push((first, Op::Submit { id, entry }));
            self.ops.push((later, Op::Submit { id, entry: other }));
        }
        self.ops.push((at + 16_000, Op::Heal));
    }

    /// Adds an entry that alone keeps the store, while the others confirm one another, and ids
    /// submitted on both sides at nearly the same time.
    fn add_minority(&mut self, rng: &mut Rng, at: u32, entry: u8) {
        let side = 1 << entry | 1 << (3 + rng.range(0, 2));
        self.ops.push((at, Op::Split { side, store: false }));
        for other in (0..3).filter(|n| *n != entry) {
            self.ops.push((at, Op::CutStore(other)));
        }
        for id in 0..IDS {
            let first = at + rng.range(4_000, 14_000) as u32;
            let later = first + rng.range(0, 3_000) as u32;
            let other = (entry + rng.range(1, 2) as u8) % 3;
            self.ops.push((first, Op::Submit { id, entry: other }));
            self.ops.push((later, Op::Submit { id, entry }));
        }
        self.ops.push((at + 18_000, Op::Heal));
    }

    /// Adds an entry that loses the store, is evicted while its peers still confirm it, and loses
    /// them at that moment.
    fn add_trap(&mut self, rng: &mut Rng) {
        let at = rng.range(FIRST, LAST - 20_000) as u32;
        let entry = rng.range(0, u64::from(self.entries) - 1) as u8;
        let agents = rng.range(0, 7) as u8;
        self.ops.push((at, Op::CutStore(entry)));
        self.ops.push((at, Op::CutAtEviction { entry, agents }));
        self.ops.push((at + 15_000, Op::Heal));
    }
}

impl fmt::Debug for Schedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (seed, entries, agents, exact) = (self.seed, self.entries, self.agents, self.exact);
        writeln!(
            f,
            "seed {seed}: {entries} entries, {agents} agents, exact clocks: {exact}"
        )?;
        for (at, op) in &self.ops {
            writeln!(f, "{at:>6} ms  {op:?}")?;
        }
        Ok(())
    }
}

impl Arbitrary for Schedule {
    fn arbitrary(g: &mut Gen) -> Self {
        Self::from_seed(u64::arbitrary(g))
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let whole = self.clone();
        let without = (0..self.ops.len()).map(move |n| {
            let mut less = whole.clone();
            less.ops.remove(n);
            less
        });
        Box::new(without)
    }
}
