//! The state of a runner and its inputs.

use std::collections::BTreeMap;

use chervilring_wire::{
    ClaimRuns, ConfigReplica, DomainName, Evacuations, Micros, Name, OrderedStart, PlannerMessage,
    QueuedRuns, Resources, RunKey, RunnerMessage, Time,
};

use super::call::{CallOutcome, UpstreamCall};
use super::claims::Claim;
use super::event::RunnerEvent;
use super::links::Link;
use super::pace::RunPace;
use super::record::UpstreamRecord;
use super::replacement::Predecessor;
use super::run_times::StoredRunTimes;
use super::upstream::{Report, Upstream};
use crate::runs::bounds::{MAX_ORPHAN_TIME, queue_timeout_bucket};
use crate::runs::evacuation::EvacuationSource;
use crate::runs::order::{WorkOrder, unknown_urgency};
use crate::runs::planner::LinkNo;
use crate::runs::speed::Speed;

/// The run time assumed before the first run has ended, in microseconds.
const INITIAL_RUN_TIME: f64 = 150_000.0;

/// A step for the daemon to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum RunnerStep {
    /// Send a message.
    Send {
        /// The link to the planner.
        link: LinkNo,
        /// The message.
        message: RunnerMessage,
    },
    /// Close a link.
    Close(LinkNo),
    /// Call the upstream and pass the outcome to [`Runner::call_finished`].
    Call(UpstreamCall),
    /// Store the record of the upstream for the runner's next incarnation.
    StoreRecord(UpstreamRecord),
    /// Log an event.
    Log(RunnerEvent),
    /// Exit the process: the runner has nothing left to do.
    Exit,
}

/// The state of a run, as far as the runner knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunState {
    /// It waits for free resources.
    Queued,
    /// Room is held for it until this deadline, unless it is confirmed before.
    Claimed(Time),
    /// A start was sent to an earlier incarnation or to this one. Lists requested after this time
    /// show whether it runs.
    Unconfirmed(Time),
    /// A start was sent and is not answered.
    Starting,
    /// The upstream runs it, since this time or slightly earlier.
    Running(Time),
    /// A stop was sent and is not answered.
    Stopping,
    /// The upstream answered the stop at this time; its lists do not show the end yet.
    Stopped(Time),
    /// Another incarnation has taken the place of its upstream, which may go on with it.
    Detached(Predecessor),
}

/// A run.
#[derive(Debug, Clone)]
pub(super) struct Run {
    /// The link that the run belongs to; `None` once the link is lost or the end was reported over
    /// it.
    pub(super) link: Option<LinkNo>,
    pub(super) demand: Resources,
    /// The declared run time.
    pub(super) declared_runtime: Micros,
    /// The progress that the upstream last reported, in percent.
    pub(super) percent: u8,
    /// How fast it has gone lately.
    pub(super) pace: RunPace,
    pub(super) spec: Name,
    pub(super) state: RunState,
    /// Whether to stop the run as soon as its pending start is answered.
    pub(super) stop_requested: bool,
    /// Whether a start got no answer: the upstream may have started the run, or may still do so.
    pub(super) maybe_started: bool,
    /// When the run was accepted.
    pub(super) accepted: Time,
    /// When the run is refused if it has not started.
    pub(super) start_deadline: Time,
    /// Its place among the queued runs.
    pub(super) order: WorkOrder,
    /// Set while it is a claim: it must not start before it is confirmed.
    pub(super) claim: Option<Claim>,
    /// When to retry a call that got no answer, provided that the upstream answers again.
    pub(super) retry_at: Option<Time>,
    /// By when it must have ended at the upstream, once it has to.
    pub(super) end_by: Time,
}

/// The state and the decisions of a runner.
#[derive(Debug)]
pub struct Runner {
    pub(super) name: Name,
    pub(super) domain: DomainName,
    /// The longest lease that upstreams accept.
    pub(super) max_lease: Micros,
    pub(super) fencing_token: u64,
    /// Identifies this incarnation of the runner.
    pub(super) incarnation: u64,
    pub(super) upstream: Option<Upstream>,
    /// The last report of another incarnation that has not taken the place of the current one.
    pub(super) unconfirmed: Option<Report>,
    pub(super) runs: BTreeMap<RunKey, Run>,
    pub(super) links: BTreeMap<LinkNo, Link>,
    pub(super) steps: Vec<RunnerStep>,
    pub(super) replica: Option<ConfigReplica>,
    /// The run times of routes, kept for planners that start.
    pub(super) run_times: StoredRunTimes,
    /// The evacuated failure domains.
    pub(super) evacuations: Evacuations,
    /// When the next progress messages are due.
    pub(super) next_progress: Time,
    /// Set once the runner shuts down: when it exits even if runs remain.
    pub(super) shutdown_deadline: Option<Time>,
    pub(super) accepting: bool,
    /// The moving average of run times, in microseconds.
    pub(super) mean_run_time: f64,
    /// The speed of the upstream, learned from ended runs.
    pub(super) speed: Speed,
    /// The last stored speed, in thousandths, and the earliest time to store another one.
    pub(super) stored_speed: (u32, Time),
    /// When the leases granted by an earlier incarnation of this runner have certainly expired.
    pub(super) prior_expiry: Time,
}

impl Run {
    /// Returns whether it takes room of the upstream.
    fn takes_room(&self) -> bool {
        !matches!(self.state, RunState::Queued | RunState::Detached(_))
    }
}

impl Runner {
    /// Creates a runner. `fencing_token` must be above that of the runner's earlier incarnations;
    /// if it is not, the upstream refuses calls and the token is raised.
    pub fn new(
        name: Name,
        domain: DomainName,
        lease: Micros,
        fencing_token: u64,
        now: Time,
    ) -> Self {
        Self {
            name,
            domain,
            max_lease: lease,
            fencing_token,
            incarnation: fencing_token,
            upstream: None,
            unconfirmed: None,
            runs: BTreeMap::new(),
            links: BTreeMap::new(),
            steps: Vec::new(),
            replica: None,
            run_times: StoredRunTimes::default(),
            evacuations: Evacuations::default(),
            next_progress: now,
            shutdown_deadline: None,
            accepting: false,
            mean_run_time: INITIAL_RUN_TIME,
            speed: Speed::default(),
            stored_speed: (Speed::default().permille(), now),
            prior_expiry: now + MAX_ORPHAN_TIME,
        }
    }

    /// Adds a new link to a planner.
    pub fn link_up(&mut self, now: Time, link: LinkNo) {
        self.links.insert(link, Link::new());
        self.tick(now);
    }

    /// Handles the end of a link.
    pub fn link_down(&mut self, now: Time, link: LinkNo) {
        self.drop_link(now, link, "closed");
        self.tick(now);
    }

    /// Marks a link as surplus: no more runs are accepted over it, and the planner is asked to
    /// close it once no runs belong to it.
    pub fn close_when_idle(&mut self, now: Time, link: LinkNo) {
        if let Some(row) = self.links.get_mut(&link) {
            row.postpone_close(now);
        }
        self.tick(now);
    }

    /// Processes a message of a planner.
    pub fn message(&mut self, now: Time, link: LinkNo, message: PlannerMessage) {
        if let Some(row) = self.links.get_mut(&link).filter(|l| !l.planner_heard) {
            row.planner_heard = true;
            let event = RunnerEvent::LinkUp { link: link.0 };
            self.steps.push(RunnerStep::Log(event));
        }
        match message {
            PlannerMessage::Heartbeat(seq) => {
                if let Some(row) = self.links.get_mut(&link) {
                    row.acknowledge(seq);
                    let message = RunnerMessage::HeartbeatAck(row.next_heartbeat(now));
                    self.steps.push(RunnerStep::Send { link, message });
                }
            }
            PlannerMessage::StoreReplica(config) => self.store_replica(config),
            PlannerMessage::RequestReplica => {
                if let Some(config) = self.replica.clone() {
                    let message = RunnerMessage::Replica(config);
                    self.steps.push(RunnerStep::Send { link, message });
                }
            }
            PlannerMessage::Evacuations(evacuations) => {
                if let Some(row) = self.links.get_mut(&link) {
                    row.evacuations.update(&evacuations);
                }
                self.update_evacuations(&evacuations, EvacuationSource::Peer);
            }
            PlannerMessage::Start(start) => {
                let urgency = unknown_urgency(start.queue_timeout);
                self.accept_runs(now, link, OrderedStart { start, urgency }, None);
            }
            PlannerMessage::StartOrdered(start) => self.accept_runs(now, link, start, None),
            PlannerMessage::Claim(ClaimRuns { start, hold }) => {
                self.accept_runs(now, link, start, Some(Claim { hold }));
            }
            PlannerMessage::Confirm(runs) => self.confirm_claims(now, link, runs),
            PlannerMessage::KnowsRoom => self.tell_run_times(now, link),
            PlannerMessage::StoreRunTimes(rows) => self.run_times.store(now, rows),
            PlannerMessage::Stop(runs) => {
                for run in runs {
                    self.stop_run(now, run);
                }
            }
            PlannerMessage::CancelQueued(runs) => {
                for run in runs {
                    self.cancel_queued(now, run);
                }
            }
        }
    }

    /// Returns the version of the configuration replica; zero if there is none.
    pub(super) fn replica_version(&self) -> u64 {
        self.replica.as_ref().map_or(0, |c| c.version)
    }

    /// Stores a replica of the configuration if it is newer, and tells all planners its version.
    fn store_replica(&mut self, config: ConfigReplica) {
        if config.version <= self.replica_version() {
            return;
        }
        let version = config.version;
        self.replica = Some(config);
        for (&link, _) in self.links.iter().filter(|(_, l)| l.hello_sent) {
            let message = RunnerMessage::ReplicaVersion(version);
            self.steps.push(RunnerStep::Send { link, message });
        }
    }

    /// Processes the outcome of a call that was sent at `sent`.
    pub fn call_finished(
        &mut self,
        now: Time,
        sent: Time,
        call: &UpstreamCall,
        outcome: CallOutcome,
    ) {
        let current = self.upstream.as_ref().map(|u| &u.report.incarnation);
        if current != Some(call.incarnation()) {
            return;
        }
        self.record_answer(now, &outcome);
        match call {
            UpstreamCall::Start { run, .. } => self.handle_start_outcome(now, sent, *run, &outcome),
            UpstreamCall::Stop { run, .. } => self.handle_stop_outcome(now, sent, *run, &outcome),
            UpstreamCall::Poll { .. } => self.handle_poll_outcome(now, sent, outcome),
        }
    }

    /// Starts a planned shutdown that waits for remaining runs until the deadline.
    pub fn start_shutdown(&mut self, now: Time, deadline: Time) {
        self.shutdown_deadline.get_or_insert(deadline);
        self.tick(now);
    }

    /// Removes and returns the steps to carry out, in order.
    pub fn drain(&mut self) -> Vec<RunnerStep> {
        std::mem::take(&mut self.steps)
    }

    /// Returns the number of runs at this runner, in any state.
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// Returns the number of links to planners.
    pub fn planner_count(&self) -> usize {
        self.links.len()
    }

    /// Returns whether new runs are accepted.
    pub fn is_accepting(&self) -> bool {
        self.shutdown_deadline.is_none()
            && !self.is_evacuated()
            && self.upstream.as_ref().is_some_and(Upstream::is_accepting)
    }

    /// Returns the upstream's free resources; none if the upstream is not known yet.
    pub(super) fn free_capacity(&self) -> Resources {
        let Some(upstream) = &self.upstream else {
            return Resources::default();
        };
        let all = upstream.report.capacity;
        let less = |free: Resources, run: &Run| free.saturating_sub(&run.demand);
        let taking = self.runs.values().filter(|r| r.takes_room());
        taking.fold(all, less)
    }

    /// Returns the total demand of queued runs.
    pub(super) fn queued_demand(&self) -> Resources {
        let waiting = self.runs.values().filter(|r| r.state == RunState::Queued);
        waiting.fold(Resources::default(), |sum, run| {
            sum.saturating_add(&run.demand)
        })
    }

    /// Returns the total demand of queued runs, grouped by the time until they are due.
    pub(super) fn queued_by_timeout(&self, now: Time) -> Vec<QueuedRuns> {
        let mut rows: Vec<QueuedRuns> = Vec::new();
        for run in self.runs.values().filter(|r| r.state == RunState::Queued) {
            let queue_timeout = queue_timeout_bucket(run.order.remaining(now));
            // Of two claims for a task one takes room.
            let demand = if run.claim.is_some() {
                run.demand.halved()
            } else {
                run.demand
            };
            match rows
                .iter_mut()
                .find(|row| row.queue_timeout == queue_timeout)
            {
                Some(row) => row.demand = row.demand.saturating_add(&demand),
                None => rows.push(QueuedRuns {
                    queue_timeout,
                    demand,
                }),
            }
        }
        rows.sort_unstable_by_key(|row| row.queue_timeout);
        rows
    }
}
