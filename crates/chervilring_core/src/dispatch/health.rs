//! Outlier detection: finds failing and stuck upstreams by comparison with their peers.
//!
//! An ejected lane gets no work until a trial is due. A trial is a single request; its answer
//! restores the lane, its failure ejects it for longer.

use chervilring_wire::{Micros, Time};

/// Factor by which earlier outcomes of a lane decay with each new one.
const LANE_DECAY: f64 = 0.8;

/// Factor by which earlier outcomes of a service decay with each new one.
const SERVICE_DECAY: f64 = 0.99;

/// Failure rate from which a lane is ejected.
const EJECT_RATE: f64 = 0.4;

/// Multiple of its peers' failure rate from which a lane is ejected.
const EJECT_PEER_RATIO: f64 = 2.0;

/// Decayed count of failures from which a lane is ejected.
const EJECT_FAILURES: f64 = 1.9;

/// Answers missed during a silence from which a lane counts as stuck.
const STUCK_ANSWERS: f64 = 30.0;

/// Shortest silence from which a lane counts as stuck.
const STUCK_SILENCE: Micros = Micros::from_secs(1);

/// Duration of a first ejection.
const MIN_EJECTION: Micros = Micros::from_secs(2);

/// Longest duration of an ejection.
const MAX_EJECTION: Micros = Micros::from_secs(60);

/// Time, on top of its ejection's duration, after which a lane that is due for a trial is restored
/// without one, because no request could be sent that may run again.
const TRIAL_TIMEOUT: Micros = Micros::from_secs(20);

/// Attempts allowed at a lane before its first answer.
const INITIAL_WINDOW: u32 = 2;

/// Most attempts allowed at a lane.
const MAX_WINDOW: u32 = 1 << 12;

/// Failure rate over exponentially decaying counts.
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

/// State of an ejected lane.
#[derive(Debug, Clone, Copy)]
struct Ejection {
    trial_at: Time,
    duration: Micros,
    /// Whether the trial attempt is in flight.
    in_trial: bool,
}

/// Health of a lane.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Health {
    failure_rate: FailureRate,
    /// Attempts allowed at once; doubles with each answer, halves with each failure.
    window: u32,
    /// Time of the last outcome, or of an attempt sent while none was in flight.
    last_progress: Time,
    ejection: Option<Ejection>,
    /// Duration of the last ejection; decays while the lane is idle and not ejected.
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
    /// Returns whether the lane is ejected.
    pub(crate) fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Returns how many attempts the lane may have at once.
    pub(crate) fn window(&self) -> u32 {
        self.window
    }

    /// Records the start of an attempt; `own_attempts` counts those in flight before it.
    pub(crate) fn record_start(&mut self, now: Time, own_attempts: u32) {
        if own_attempts == 0 {
            self.last_progress = now;
        }
    }

    /// Records an answer. Returns whether it passed a trial and so restores the lane.
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

    /// Records a failure. Returns whether the lane is to be ejected, judged against its peers.
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

    /// Returns whether the lane has missed so many answers that it counts as stuck.
    pub(crate) fn is_stuck(&self, now: Time, own_attempts: u32, latency: f64) -> bool {
        let silence = now.duration_since(self.last_progress);
        let missed = silence.0 as f64 * f64::from(own_attempts) / latency.max(1.0);
        own_attempts >= 2 && silence >= STUCK_SILENCE && missed >= STUCK_ANSWERS
    }

    /// Ejects the lane, each time for twice as long.
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

    /// Ends a trial without a result.
    pub(crate) fn end_trial(&mut self) {
        if let Some(ejection) = &mut self.ejection {
            ejection.in_trial = false;
        }
    }

    /// Restores the lane if no trial was sent for long after it was due; returns whether it did.
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

    /// Halves the duration of the next ejection, unless the lane is ejected now.
    pub(crate) fn decay_backoff(&mut self) {
        if self.ejection.is_none() {
            self.last_duration = Micros(self.last_duration.0 / 2);
        }
    }
}
