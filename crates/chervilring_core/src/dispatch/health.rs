//! Which upstreams are sick, by comparison with their peers.

use chervilring_wire::{Micros, Time};

/// How much of the past is kept with each answer of a lane.
const LANE_DECAY: f64 = 0.8;

/// How much of the past is kept with each answer of a service.
const SERVICE_DECAY: f64 = 0.99;

/// The share of failures from which a lane is sick.
const EJECT_RATE: f64 = 0.4;

/// How many times its peers' share of failures a sick lane has.
const EJECT_PEER_RATIO: f64 = 2.0;

/// Failures, fading with each answer, below which a lane is not sick.
const EJECT_FAILURES: f64 = 1.9;

/// Answers that should have come in a silence, from which a lane is taken for stuck.
const STUCK_ANSWERS: f64 = 30.0;

/// The shortest silence from which a lane is taken for stuck.
const STUCK_SILENCE: Micros = Micros::from_secs(1);

/// How long a lane is out at first.
const MIN_EJECTION: Micros = Micros::from_secs(2);

/// How long a lane is out at most.
const MAX_EJECTION: Micros = Micros::from_secs(60);

/// How long after its span a lane comes back when no trial came about.
const TRIAL_TIMEOUT: Micros = Micros::from_secs(20);

/// Attempts that a lane may have before its first answer.
const INITIAL_WINDOW: u32 = 2;

/// Attempts that a lane may have at most.
const MAX_WINDOW: u32 = 1 << 12;

/// A share of failures that forgets.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct FailureRate {
    successes: f64,
    failures: f64,
}

impl FailureRate {
    fn add(&mut self, success: bool, decay: f64) {
        self.successes *= decay;
        self.failures *= decay;
        if success {
            self.successes += 1.0;
        } else {
            self.failures += 1.0;
        }
    }

    fn value(&self) -> f64 {
        self.failures / (self.successes + self.failures).max(1.0)
    }
}

/// A lane that is out.
#[derive(Debug, Clone, Copy)]
struct Ejection {
    trial_at: Time,
    duration: Micros,
    /// Whether an attempt is on trial.
    in_trial: bool,
}

/// The health of a lane.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Health {
    failure_rate: FailureRate,
    /// Attempts that it may have; doubles with each answer, halves with each failure.
    window: u32,
    /// Since when it owes an answer.
    last_progress: Time,
    ejection: Option<Ejection>,
    /// How long it was out the last time.
    last_duration: Micros,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failure_rate: FailureRate::default(),
            window: INITIAL_WINDOW,
            last_progress: Time::default(),
            ejection: None,
            last_duration: Micros(0),
        }
    }
}

impl Health {
    /// Returns whether the lane is out.
    pub(crate) fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Returns how many attempts the lane may have.
    pub(crate) fn window(&self) -> u32 {
        self.window
    }

    /// Notes an attempt; `own` are those there before it.
    pub(crate) fn record_start(&mut self, now: Time, own_attempts: u32) {
        if own_attempts == 0 {
            self.last_progress = now;
        }
    }

    /// Notes an answer. Returns whether the lane is back in by it.
    pub(crate) fn record_success(&mut self, now: Time, peers: &mut FailureRate) -> bool {
        peers.add(true, SERVICE_DECAY);
        self.failure_rate.add(true, LANE_DECAY);
        self.last_progress = now;
        self.window = (self.window * 2).min(MAX_WINDOW);
        let trial_passed = self.ejection.is_some_and(|ejection| ejection.in_trial);
        if trial_passed {
            self.failure_rate = FailureRate::default();
            self.window = INITIAL_WINDOW;
            self.ejection = None;
        }
        trial_passed
    }

    /// Notes a failure. Returns whether the lane is sick by it, compared with its peers.
    pub(crate) fn record_failure(
        &mut self,
        now: Time,
        slots: u32,
        peers: &mut FailureRate,
    ) -> bool {
        let peer_rate = peers.value();
        peers.add(false, SERVICE_DECAY);
        self.failure_rate.add(false, LANE_DECAY);
        self.last_progress = now;
        self.window = (self.window.min(slots.max(1) * 2) / 2).max(1);
        if let Some(ejection) = &mut self.ejection {
            if ejection.in_trial {
                ejection.in_trial = false;
                self.eject(now);
            }
            return false;
        }
        let rate = self.failure_rate.value();
        self.failure_rate.failures >= EJECT_FAILURES
            && rate >= EJECT_RATE
            && rate >= peer_rate * EJECT_PEER_RATIO
    }

    /// Returns whether the lane has been silent for so long that it must be stuck.
    pub(crate) fn is_stuck(&self, now: Time, own_attempts: u32, latency: f64) -> bool {
        let silence = now.duration_since(self.last_progress);
        let missed = silence.0 as f64 * f64::from(own_attempts) / latency.max(1.0);
        own_attempts >= 2 && silence >= STUCK_SILENCE && missed >= STUCK_ANSWERS
    }

    /// Takes the lane out, each time for longer.
    pub(crate) fn eject(&mut self, now: Time) {
        let duration = Micros((self.last_duration.0 * 2).clamp(MIN_EJECTION.0, MAX_EJECTION.0));
        self.last_duration = duration;
        self.window = 1;
        self.ejection = Some(Ejection {
            trial_at: now + duration,
            duration,
            in_trial: false,
        });
    }

    /// Returns whether a trial is due.
    pub(crate) fn is_trial_due(&self, now: Time) -> bool {
        self.ejection
            .is_some_and(|ejection| !ejection.in_trial && now >= ejection.trial_at)
    }

    /// Begins a trial.
    pub(crate) fn begin_trial(&mut self) {
        if let Some(ejection) = &mut self.ejection {
            ejection.in_trial = true;
        }
    }

    /// Ends a trial that came to nothing.
    pub(crate) fn end_trial(&mut self) {
        if let Some(ejection) = &mut self.ejection {
            ejection.in_trial = false;
        }
    }

    /// Takes the lane back in when no trial came about for long; returns whether it did.
    pub(crate) fn restore_untried(&mut self, now: Time) -> bool {
        let untried = |ejection: &Ejection| {
            !ejection.in_trial && now >= ejection.trial_at + ejection.duration + TRIAL_TIMEOUT
        };
        let restored = self.ejection.as_ref().is_some_and(untried);
        if restored {
            self.ejection = None;
            self.failure_rate = FailureRate::default();
        }
        restored
    }

    /// Forgets past failures step by step while all is well.
    pub(crate) fn decay_backoff(&mut self) {
        if self.ejection.is_none() {
            self.last_duration = Micros(self.last_duration.0 / 2);
        }
    }
}
