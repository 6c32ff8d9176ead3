//! Which upstreams are sick, by comparison with their peers.

use chervilring_wire::{Micros, Time};

/// How much of the past is kept with each answer of a lane.
const KEEP: f64 = 0.8;

/// How much of the past is kept with each answer of a service.
const KEEP_PEERS: f64 = 0.99;

/// The share of failures from which a lane is sick.
const SICK_SHARE: f64 = 0.4;

/// How many times its peers' share of failures a sick lane has.
const SICK_FACTOR: f64 = 2.0;

/// Failures, fading with each answer, below which a lane is not sick.
const SICK_COUNT: f64 = 1.9;

/// Answers that should have come in a silence, from which a lane is taken for stuck.
const MISSED: f64 = 30.0;

/// The shortest silence from which a lane is taken for stuck.
const SILENCE: Micros = Micros::from_secs(1);

/// How long a lane is out at first.
const FIRST_SPAN: Micros = Micros::from_secs(2);

/// How long a lane is out at most.
const LAST_SPAN: Micros = Micros::from_secs(60);

/// How long after its span a lane comes back when no trial came about.
const NO_TRIAL_SPAN: Micros = Micros::from_secs(20);

/// Attempts that a lane may have before its first answer.
const FIRST_WINDOW: u32 = 2;

/// Attempts that a lane may have at most.
const LAST_WINDOW: u32 = 1 << 12;

/// A share of failures that forgets.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct FailureShare {
    good: f64,
    bad: f64,
}

impl FailureShare {
    fn add(&mut self, good: bool, keep: f64) {
        self.good *= keep;
        self.bad *= keep;
        if good {
            self.good += 1.0;
        } else {
            self.bad += 1.0;
        }
    }

    fn value(&self) -> f64 {
        self.bad / (self.good + self.bad).max(1.0)
    }
}

/// A lane that is out.
#[derive(Debug, Clone, Copy)]
struct Out {
    until: Time,
    span: Micros,
    /// Whether an attempt is on trial.
    trial: bool,
}

/// The health of a lane.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Health {
    share: FailureShare,
    /// Attempts that it may have; doubles with each answer, halves with each failure.
    window: u32,
    /// Since when it owes an answer.
    owes: Time,
    out: Option<Out>,
    /// How long it was out the last time.
    last: Micros,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            share: FailureShare::default(),
            window: FIRST_WINDOW,
            owes: Time::default(),
            out: None,
            last: Micros(0),
        }
    }
}

impl Health {
    /// Returns whether the lane is out.
    pub(crate) fn is_out(&self) -> bool {
        self.out.is_some()
    }

    /// Returns how many attempts the lane may have.
    pub(crate) fn window(&self) -> u32 {
        self.window
    }

    /// Notes an attempt; `own` are those there before it.
    pub(crate) fn sent(&mut self, now: Time, own: u32) {
        if own == 0 {
            self.owes = now;
        }
    }

    /// Notes an answer. Returns whether the lane is back in by it.
    pub(crate) fn answered(&mut self, now: Time, peers: &mut FailureShare) -> bool {
        peers.add(true, KEEP_PEERS);
        self.share.add(true, KEEP);
        self.owes = now;
        self.window = (self.window * 2).min(LAST_WINDOW);
        let tried = self.out.is_some_and(|out| out.trial);
        if tried {
            self.share = FailureShare::default();
            self.window = FIRST_WINDOW;
            self.out = None;
        }
        tried
    }

    /// Notes a failure. Returns whether the lane is sick by it, compared with its peers.
    pub(crate) fn failed(&mut self, now: Time, slots: u32, peers: &mut FailureShare) -> bool {
        let before = peers.value();
        peers.add(false, KEEP_PEERS);
        self.share.add(false, KEEP);
        self.owes = now;
        self.window = (self.window.min(slots.max(1) * 2) / 2).max(1);
        if let Some(out) = &mut self.out {
            if out.trial {
                out.trial = false;
                self.put_out(now);
            }
            return false;
        }
        let share = self.share.value();
        self.share.bad >= SICK_COUNT && share >= SICK_SHARE && share >= before * SICK_FACTOR
    }

    /// Returns whether the lane has been silent for so long that it must be stuck.
    pub(crate) fn is_stuck(&self, now: Time, own: u32, span: f64) -> bool {
        let silence = now.duration_since(self.owes);
        let missed = silence.0 as f64 * f64::from(own) / span.max(1.0);
        own >= 2 && silence >= SILENCE && missed >= MISSED
    }

    /// Takes the lane out, each time for longer.
    pub(crate) fn put_out(&mut self, now: Time) {
        let span = Micros((self.last.0 * 2).clamp(FIRST_SPAN.0, LAST_SPAN.0));
        self.last = span;
        self.window = 1;
        self.out = Some(Out {
            until: now + span,
            span,
            trial: false,
        });
    }

    /// Returns whether a trial is due.
    pub(crate) fn wants_trial(&self, now: Time) -> bool {
        self.out.is_some_and(|out| !out.trial && now >= out.until)
    }

    /// Begins a trial.
    pub(crate) fn begin_trial(&mut self) {
        if let Some(out) = &mut self.out {
            out.trial = true;
        }
    }

    /// Ends a trial that came to nothing.
    pub(crate) fn end_trial(&mut self) {
        if let Some(out) = &mut self.out {
            out.trial = false;
        }
    }

    /// Takes the lane back in when no trial came about for long; returns whether it did.
    pub(crate) fn come_back(&mut self, now: Time) -> bool {
        let long = |out: &Out| !out.trial && now >= out.until + out.span + NO_TRIAL_SPAN;
        let back = self.out.as_ref().is_some_and(long);
        if back {
            self.out = None;
            self.share = FailureShare::default();
        }
        back
    }

    /// Forgets past failures step by step while all is well.
    pub(crate) fn forgive(&mut self) {
        if self.out.is_none() {
            self.last = Micros(self.last.0 / 2);
        }
    }
}
