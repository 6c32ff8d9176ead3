//! The dispatcher: its tables, and the events that change them.

use std::collections::BTreeSet;
use std::sync::Arc;

use chervilring_wire::{
    AgentId, Announce, EntryId, Failure, Kind, Load, Progress, Reason, ServiceName, SubmissionId,
    TaskKey, TeamName, Time, Verdict,
};
use rustc_hash::FxHashMap;

use super::agents::{Agents, Liveness};
use super::attempts::Attempts;
use super::budget::Budget;
use super::counters::DispatchCounters;
use super::policy::PolicyState;
use super::pool::Pool;
use super::queue::Queue;
use super::quota::{Demand, Quotas};
use super::settings::DispatchSettings;
use super::status::{AgentStatus, DispatchStatus, ServiceStatus};
use super::submissions::{Submission, Submissions, Task};
use super::work::{Step, Work};
use crate::config::{Config, Service};

/// Round trip assumed within the same failure domain until it is measured, in microseconds.
const NEAR_ROUND_TRIP: f64 = 200.0;

/// Round trip assumed to other failure domains until it is measured, in microseconds.
const FAR_ROUND_TRIP: f64 = 2_000.0;

/// A service with its queue, upstreams and budgets.
#[derive(Debug)]
pub(crate) struct ServiceRow {
    pub(crate) service: Arc<Service>,
    /// Whether the configuration contains the service; a removed one finishes its queued work.
    pub(crate) active: bool,
    pub(crate) queue: Queue,
    pub(crate) pool: Pool,
    pub(crate) quotas: Quotas,
    /// Limits attempts sent after one that may have run.
    pub(crate) retry_budget: Budget,
    /// Limits attempts sent beside a running one.
    pub(crate) hedge_budget: Budget,
}

/// Queues submissions and sends their tasks to agents.
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) settings: DispatchSettings,
    pub(crate) policy_state: PolicyState,
    pub(crate) agents: Agents,
    pub(crate) services: Vec<ServiceRow>,
    pub(crate) service_index: FxHashMap<ServiceName, usize>,
    pub(crate) submissions: Submissions,
    pub(crate) attempts: Attempts,
    /// Submissions by deadline.
    pub(crate) deadlines: BTreeSet<(Time, usize)>,
    /// Times at which attempts become overdue and may be hedged.
    pub(crate) hedge_deadlines: BTreeSet<(Time, TaskKey)>,
    pub(crate) demand: Demand,
    /// Size of all held task bodies, in bytes.
    pub(crate) body_bytes: u64,
    pub(crate) steps: Vec<Step>,
    /// Attempts to be cancelled, by row of the agent.
    pub(crate) cancels: FxHashMap<usize, Vec<TaskKey>>,
    /// Time of the next sweep for timeouts.
    pub(crate) sweep_at: Time,
    /// Whether the last run had authority to start work.
    pub(crate) may_start: bool,
    /// Time at which the learnt speeds of idle lanes next decay.
    pub(crate) decay_at: Time,
    pub(crate) counters: DispatchCounters,
}

impl Dispatcher {
    /// Creates a dispatcher without services and agents.
    pub fn new(settings: DispatchSettings) -> Self {
        Self {
            policy_state: PolicyState::new(settings.seed),
            settings,
            agents: Agents::default(),
            services: Vec::new(),
            service_index: FxHashMap::default(),
            submissions: Submissions::default(),
            attempts: Attempts::default(),
            deadlines: BTreeSet::new(),
            hedge_deadlines: BTreeSet::new(),
            demand: Demand::default(),
            body_bytes: 0,
            steps: Vec::new(),
            cancels: FxHashMap::default(),
            sweep_at: Time::default(),
            may_start: false,
            decay_at: Time::default(),
            counters: DispatchCounters::default(),
        }
    }

    /// Installs a configuration.
    pub fn configure(&mut self, now: Time, config: &Arc<Config>) {
        for row in &mut self.services {
            row.active = config.services.contains_key(&row.service.name);
        }
        for service in config.services.values() {
            if let Some(&row) = self.service_index.get(&service.name) {
                self.services[row].service = Arc::clone(service);
                continue;
            }
            self.service_index
                .insert(service.name.clone(), self.services.len());
            self.services.push(ServiceRow {
                service: Arc::clone(service),
                active: true,
                queue: Queue::default(),
                pool: Pool::default(),
                quotas: Quotas::default(),
                retry_budget: Budget::default(),
                hedge_budget: Budget::default(),
            });
        }
        for agent in 0..self.agents.rows.len() {
            self.update_lanes(now, agent);
        }
    }

    /// Handles an agent's announcement.
    pub fn handle_announce(&mut self, now: Time, announce: &Announce) {
        let agent = self.find_or_add_agent(now, &announce.agent);
        if !self.agents.is_latest(agent) {
            return;
        }
        let row = &mut self.agents.rows[agent];
        row.last_heard = now;
        row.liveness = Liveness::Alive;
        row.state = announce.state;
        row.domain = announce.domain.clone();
        if row.round_trip == 0.0 {
            let near = row.domain == self.settings.domain;
            row.round_trip = if near {
                NEAR_ROUND_TRIP
            } else {
                FAR_ROUND_TRIP
            };
        }
        if row.services != announce.services || row.labels != announce.labels {
            row.services.clone_from(&announce.services);
            row.labels.clone_from(&announce.labels);
            self.update_lanes(now, agent);
        }
        self.set_load(now, agent, announce.load);
    }

    /// Handles the connection of a link to an agent.
    pub fn agent_connected(&mut self, now: Time, agent: &AgentId) {
        let agent = self.find_or_add_agent(now, agent);
        if !self.agents.is_latest(agent) {
            return;
        }
        let row = &mut self.agents.rows[agent];
        row.connected = true;
        row.liveness = Liveness::Alive;
        row.last_heard = now;
        row.reconnect_deadline = Time::NEVER;
        self.refresh_lanes(now, agent);
    }

    /// Allows starts at an agent, once the peers know that this entry may start work there.
    pub fn allow_starts(&mut self, agent: &AgentId) {
        if let Some(agent) = self.agents.find(agent) {
            self.agents.rows[agent].start_allowed = true;
            self.refresh_lanes(Time::default(), agent);
        }
    }

    /// Handles the loss of the link to an agent.
    ///
    /// The same incarnation may reconnect within the grace period and send its answers again.
    pub fn agent_disconnected(&mut self, now: Time, agent: &AgentId) {
        let Some(agent) = self.agents.find(agent) else {
            return;
        };
        let row = &mut self.agents.rows[agent];
        row.connected = false;
        row.reconnect_deadline = now + self.settings.reconnect_grace;
        self.refresh_lanes(now, agent);
    }

    /// Updates the slots, running and waiting tasks of an agent.
    pub fn update_load(&mut self, now: Time, agent: &AgentId, load: Load) {
        if let Some(agent) = self.agents.find(agent) {
            self.agents.rows[agent].last_heard = now;
            self.set_load(now, agent, load);
        }
    }

    /// Accepts a submission.
    ///
    /// # Errors
    ///
    /// Returns a failure with the verdict [`Verdict::NotRun`] when the submission is refused.
    pub fn submit(&mut self, now: Time, work: Work) -> Result<(), Failure> {
        match self.admit(now, &work) {
            Ok(service) => {
                self.enqueue(now, service, work);
                self.counters.accepted += 1;
                Ok(())
            }
            Err((reason, retry_after)) => {
                self.counters.refused += 1;
                match reason {
                    Reason::Overload | Reason::Deadline => self.counters.shed += 1,
                    Reason::Quota => self.counters.over_quota += 1,
                    _ => {}
                }
                Err(Failure {
                    verdict: Verdict::NotRun,
                    reason,
                    retry_after,
                })
            }
        }
    }

    /// Cancels a submission, which ends it at once.
    pub fn cancel(&mut self, now: Time, id: SubmissionId) {
        if let Some(index) = self.submissions.find(id) {
            self.counters.cancelled += 1;
            self.fail_submission(now, index, Reason::Cancelled, None);
        }
    }

    /// Returns the recent demand of each team with a quota, in tasks a second.
    pub fn demand(&self, now: Time) -> Vec<(TeamName, u32)> {
        self.demand.report(now)
    }

    /// Records the recent demand that a peer reports, in tasks a second by team.
    pub fn update_peer_demand(&mut self, now: Time, entry: &EntryId, demand: &[(TeamName, u32)]) {
        self.demand.update_peer(now, entry, demand);
    }

    /// Runs all systems and returns the steps to carry out.
    ///
    /// Starts nothing without `authority`, nor at or after that time.
    pub fn run(&mut self, now: Time, authority: Option<Time>) -> Vec<Step> {
        self.expire_submissions(now);
        if now >= self.sweep_at {
            self.sweep(now);
        }
        self.may_start = authority.is_some_and(|deadline| now < deadline);
        if self.may_start {
            self.start_tasks(now);
        }
        self.flush_cancels();
        std::mem::take(&mut self.steps)
    }

    /// Returns when the systems must run next if no event arrives before.
    pub fn wake_at(&self) -> Time {
        let deadline = self.deadlines.first().map_or(Time::NEVER, |d| d.0);
        if self.steps.is_empty() && self.cancels.is_empty() {
            // A due hedge starts an attempt, so it does not wake a dispatcher without authority.
            let hedge = self.hedge_deadlines.first().filter(|_| self.may_start);
            let hedge = hedge.map_or(Time::NEVER, |h| h.0);
            deadline.min(hedge).min(self.sweep_at)
        } else {
            Time::default()
        }
    }

    /// Returns the progress of a submission, or `None` if it is not held.
    pub fn progress(&self, id: SubmissionId) -> Option<Progress> {
        let submission = self.submissions.get(self.submissions.find(id)?)?;
        Some(Progress {
            done: submission.completed,
            total: submission.tasks.len() as u32,
        })
    }

    /// Returns the counters.
    pub fn counters(&self) -> &DispatchCounters {
        &self.counters
    }

    /// Returns the state shown to operators.
    pub fn status(&self, _now: Time) -> DispatchStatus {
        let services = self.services.iter().map(|row| ServiceStatus {
            service: row.service.name.clone(),
            queued: row.queue.len(),
            teams: row.queue.teams(),
            upstreams: row.pool.usable(),
        });
        let agents = self.agents.iter().map(|row| AgentStatus {
            agent: row.id.clone(),
            domain: row.domain.clone(),
            state: row.state_name(),
            slots: row.load.slots,
            own_attempts: row.own_attempts,
            other_attempts: row.other_attempts,
            run_times: self.run_times(row),
        });
        DispatchStatus {
            submissions: self.submissions.len(),
            running: self.attempts.len(),
            services: services.collect(),
            agents: agents.collect(),
        }
    }

    /// Adds an accepted submission to the queue of its service.
    fn enqueue(&mut self, now: Time, service: usize, work: Work) {
        let tasks = work.bodies.len();
        let row = &mut self.services[service];
        let rate = row.pool.rate();
        let ideal = row.pool.min_latency().unwrap_or_default() + tasks as f64 / rate.max(1e-9);
        let team = row.queue.team_row(&work.team);
        let rank = row.queue.assign_rank(now, team, tasks, ideal, rate);
        let deadline = work.deadline;
        self.body_bytes += work.bytes();
        let index = self.submissions.insert(Submission {
            service,
            team,
            rank,
            tasks: (0..tasks).map(|_| Task::default()).collect(),
            queued: (0..tasks as u32).rev().collect(),
            completed: 0,
            active: 0,
            verdict: Verdict::NotRun,
            work,
        });
        self.deadlines.insert((deadline, index));
        if tasks == 0 {
            self.complete_submission(now, index);
            return;
        }
        self.services[service].queue.add(team, rank, index, tasks);
    }

    /// Returns whether a submission may run more than once: an idempotent request, never a job.
    pub(crate) fn is_retryable(submission: &Submission) -> bool {
        submission.work.idempotent && submission.work.kind == Kind::Request
    }
}
