//! The system that checks the tables for timeouts.

use chervilring_wire::{Failure, Micros, Reason, TaskKey, Time, Verdict};

use super::agents::Liveness;
use super::attempts::Attempt;
use super::dispatcher::Dispatcher;

/// Interval between sweeps.
const SWEEP_INTERVAL: Micros = Micros::from_millis(100);

/// Interval at which the learnt speeds of idle lanes decay.
const DECAY_INTERVAL: Micros = Micros::from_secs(10);

/// Silence after which a lost agent is removed.
const REMOVE_AFTER: Micros = Micros::from_secs(60);

impl Dispatcher {
    /// Ends the submissions whose deadline has passed.
    pub(crate) fn expire_submissions(&mut self, now: Time) {
        while let Some(&(deadline, index)) = self.deadlines.first()
            && deadline <= now
        {
            self.counters.expired += 1;
            self.fail_submission(now, index, Reason::Deadline, None);
        }
    }

    /// Checks all agents and lanes, and removes stale entries.
    pub(crate) fn sweep(&mut self, now: Time) {
        self.sweep_at = now + SWEEP_INTERVAL;
        self.remove_expired_attempts(now);
        for service in &mut self.services {
            service.queue.count_active(now);
        }
        self.demand.remove_stale(now);
        self.check_lanes(now);
        for agent in 0..self.agents.rows.len() {
            self.check_agent(now, agent);
        }
    }

    /// Updates the liveness of an agent, and ends its pause after a refusal.
    fn check_agent(&mut self, now: Time, agent: usize) {
        let row = &mut self.agents.rows[agent];
        let previous = row.liveness;
        if previous == Liveness::Removed {
            return;
        }
        let silence = now.duration_since(row.last_heard);
        let resumes = row.paused_until > Time::default() && now >= row.paused_until;
        if resumes {
            row.paused_until = Time::default();
        }
        let lost = silence >= self.settings.lost_after || now >= row.reconnect_deadline;
        let latest = self.agents.is_latest(agent);
        let liveness = match previous {
            _ if lost || !latest => Liveness::Lost,
            _ if silence >= self.settings.suspect_after => Liveness::Suspect,
            _ => Liveness::Alive,
        };
        let row = &mut self.agents.rows[agent];
        row.liveness = liveness;
        if liveness == Liveness::Lost
            && silence >= REMOVE_AFTER
            && row.own_attempts == 0
            && !row.connected
        {
            self.remove_agent(agent);
            return;
        }
        if liveness != Liveness::Alive && previous == Liveness::Alive {
            self.hedge_agent(now, agent);
        }
        if liveness == Liveness::Lost && previous != Liveness::Lost {
            self.lose_agent(now, agent);
        }
        if liveness != previous || resumes {
            self.refresh_lanes(now, agent);
        }
    }

    /// Ejects lanes that are stuck, and restores those that got no trial for long.
    fn check_lanes(&mut self, now: Time) {
        let decay = now >= self.decay_at;
        if decay {
            self.decay_at = now + DECAY_INTERVAL;
        }
        for service in 0..self.services.len() {
            for lane in 0..self.services[service].pool.lanes.len() {
                let state = &mut self.services[service].pool.lanes[lane];
                if state.health.restore_untried(now) {
                    self.restore_lane(now, service, lane);
                    continue;
                }
                if decay && state.own_attempts == 0 {
                    state.speed.decay();
                    state.health.decay_backoff();
                }
                let (own_attempts, latency) = (state.own_attempts, state.latency);
                if !state.health.is_ejected() && state.health.is_stuck(now, own_attempts, latency) {
                    self.eject_lane(now, service, lane);
                }
            }
        }
    }

    fn remove_expired_attempts(&mut self, now: Time) {
        let expired = self.attempts.iter().filter(|(_, a)| a.expiry <= now);
        let expired: Vec<(TaskKey, Attempt)> = expired.map(|(k, a)| (*k, *a)).collect();
        for (key, attempt) in expired {
            self.remove_attempt(key, &attempt);
        }
    }

    /// Marks an agent as lost and fails all attempts at it.
    pub(crate) fn lose_agent(&mut self, now: Time, agent: usize) {
        self.agents.rows[agent].liveness = Liveness::Lost;
        self.counters.lost_agents += 1;
        let attempts = self.attempts.iter().filter(|(_, a)| a.agent == agent);
        let mut attempts: Vec<(TaskKey, Attempt)> = attempts.map(|(k, a)| (*k, *a)).collect();
        attempts.sort_unstable_by_key(|(key, _)| *key);
        let failure = Failure {
            verdict: Verdict::MayHaveRun,
            reason: Reason::UpstreamLost,
            retry_after: None,
        };
        for (key, attempt) in attempts {
            if !self.attempts.contains_key(&key) {
                continue;
            }
            self.remove_attempt(key, &attempt);
            if let Some(index) = attempt.submission {
                self.handle_failed_attempt(now, index, key, &attempt, &failure);
            }
        }
    }
}
