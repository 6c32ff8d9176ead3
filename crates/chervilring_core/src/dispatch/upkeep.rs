//! The system that looks the tables over for what has timed out.

use chervilring_wire::{Failure, Micros, Reason, TaskKey, Time, Verdict};

use super::agents::Life;
use super::attempts::Attempt;
use super::dispatcher::Dispatcher;

/// How often the tables are looked over.
const SWEEP_SPAN: Micros = Micros::from_millis(100);

/// How often lanes without work forget what was learnt.
const SLOW_SPAN: Micros = Micros::from_secs(10);

/// How long a lost agent is remembered.
const FORGOTTEN: Micros = Micros::from_secs(60);

impl Dispatcher {
    /// Ends the submissions whose deadline has come.
    pub(crate) fn expire(&mut self, now: Time) {
        while let Some(&(deadline, index)) = self.deadlines.first()
            && deadline <= now
        {
            self.counters.expired += 1;
            self.give_up(now, index, Reason::Deadline, None);
        }
    }

    /// Looks over agents and forgotten attempts.
    pub(crate) fn sweep(&mut self, now: Time) {
        self.sweep_at = now + SWEEP_SPAN;
        self.forget_orphans(now);
        for service in &mut self.services {
            service.queue.count_active(now);
        }
        self.demand.forget(now);
        self.look_after_lanes(now);
        for agent in 0..self.agents.rows.len() {
            self.look_after_agent(now, agent);
        }
    }

    /// Notes whether an agent is thought to be alive, and opens it again after a refusal.
    fn look_after_agent(&mut self, now: Time, agent: usize) {
        let row = &mut self.agents.rows[agent];
        let known = row.life;
        if known == Life::Removed {
            return;
        }
        let silence = now.duration_since(row.heard);
        let opens = row.closed > Time::default() && now >= row.closed;
        if opens {
            row.closed = Time::default();
        }
        let lost = silence >= self.settings.lost || now >= row.back_by;
        let newest = self.agents.is_last(agent);
        let life = match known {
            _ if lost || !newest => Life::Lost,
            _ if silence >= self.settings.suspect => Life::Suspect,
            _ => Life::Alive,
        };
        let row = &mut self.agents.rows[agent];
        row.life = life;
        if life == Life::Lost && silence >= FORGOTTEN && row.own == 0 && !row.linked {
            self.remove_agent(agent);
            return;
        }
        if life != Life::Alive && known == Life::Alive {
            self.hedge_all(now, agent);
        }
        if life == Life::Lost && known != Life::Lost {
            self.lose(now, agent);
        }
        if life != known || opens {
            self.refresh(now, agent);
        }
    }

    /// Takes out lanes that are stuck, and in those that were out for long.
    fn look_after_lanes(&mut self, now: Time) {
        let slow = now >= self.slow_at;
        if slow {
            self.slow_at = now + SLOW_SPAN;
        }
        for service in 0..self.services.len() {
            for lane in 0..self.services[service].pool.lanes.len() {
                let state = &mut self.services[service].pool.lanes[lane];
                if state.health.come_back(now) {
                    self.restore(now, service, lane);
                    continue;
                }
                if slow && state.own == 0 {
                    state.speed.fade();
                    state.health.forgive();
                }
                let (own, span) = (state.own, state.span);
                if !state.health.is_out() && state.health.is_stuck(now, own, span) {
                    self.eject(now, service, lane);
                }
            }
        }
    }

    fn forget_orphans(&mut self, now: Time) {
        let expired = self.attempts.iter().filter(|(_, a)| a.expiry <= now);
        let expired: Vec<(TaskKey, Attempt)> = expired.map(|(k, a)| (*k, *a)).collect();
        for (key, attempt) in expired {
            self.forget(key, &attempt);
        }
    }

    /// Fails all attempts at an agent that was given up.
    pub(crate) fn lose(&mut self, now: Time, agent: usize) {
        self.agents.rows[agent].life = Life::Lost;
        self.counters.lost += 1;
        let there = self.attempts.iter().filter(|(_, a)| a.agent == agent);
        let mut there: Vec<(TaskKey, Attempt)> = there.map(|(k, a)| (*k, *a)).collect();
        there.sort_unstable_by_key(|(key, _)| *key);
        let failure = Failure {
            verdict: Verdict::MayHaveRun,
            reason: Reason::UpstreamLost,
            retry_after: None,
        };
        for (key, attempt) in there {
            if !self.attempts.contains_key(&key) {
                continue;
            }
            self.forget(key, &attempt);
            if let Some(index) = attempt.submission {
                self.fail_attempt(now, index, key, &attempt, &failure);
            }
        }
    }
}
