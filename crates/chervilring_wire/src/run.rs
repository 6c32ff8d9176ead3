//! Messages between planners and runners, for tasks that take resources and run under leases.
//!
//! A *run* is one attempt at one task on one upstream. It belongs to the link over which its
//! planner requested it: when the link is lost, the runner stops the run.

use std::collections::BTreeSet;
use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::id::{DomainName, Name, ServiceName};
use crate::room::{ClaimRuns, OrderedStart, RouteRunTimes};
use crate::time::Micros;

/// The id of a job, chosen by the caller.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// One attempt at one task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunKey {
    /// The job.
    pub job: JobId,
    /// The occurrence of a repeated job, or zero for other jobs.
    pub occurrence: u32,
    /// The position of the step in the job.
    pub step: u32,
    /// The position of the task in its step.
    pub index: u32,
    /// The number of the attempt, from one.
    pub attempt: u32,
}

impl RunKey {
    /// Returns the key of the task's first attempt: it is the same for all runs of the task.
    pub fn task(&self) -> Self {
        Self {
            attempt: 1,
            ..*self
        }
    }
}

impl fmt::Display for RunKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            step,
            index,
            attempt,
            ..
        } = self;
        write!(f, "{job}/{step}.{index}#{attempt}")
    }
}

/// An amount of each kind of resource of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu: u64,
    /// Memory, in MiB.
    pub memory: u64,
    /// The number of accelerators.
    pub gpu: u64,
}

impl Resources {
    /// Returns whether `other` fits into this amount, for each kind of resource.
    pub fn can_fit(&self, other: &Self) -> bool {
        other.cpu <= self.cpu && other.memory <= self.memory && other.gpu <= self.gpu
    }

    /// Returns the sum of both amounts, saturating at the maximum of each kind.
    pub fn saturating_add(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            gpu: self.gpu.saturating_add(other.gpu),
        }
    }

    /// Returns this amount less `other`, saturating at zero for each kind.
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }

    /// Returns half of each kind.
    pub fn halved(&self) -> Self {
        Self {
            cpu: self.cpu / 2,
            memory: self.memory / 2,
            gpu: self.gpu / 2,
        }
    }

    /// Returns how many times `other` fits into this amount, or `u64::MAX` when `other` is zero.
    pub fn count_fitting(&self, other: &Self) -> u64 {
        let count = |have: u64, want: u64| have.checked_div(want).unwrap_or(u64::MAX);
        let cpu = count(self.cpu, other.cpu);
        let memory = count(self.memory, other.memory);
        cpu.min(memory).min(count(self.gpu, other.gpu))
    }
}

/// A message from a planner to a runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlannerMessage {
    /// The periodic heartbeat, with the number of the newest [`RunnerMessage::HeartbeatAck`] that
    /// the planner has received. The runner answers with the next one.
    #[serde(rename = "Beat")]
    Heartbeat(u64),
    /// A replica of the configuration for the runner to store.
    #[serde(rename = "Keep")]
    StoreReplica(ConfigReplica),
    /// Requests the replica of the configuration that the runner has stored.
    #[serde(rename = "AskCopy")]
    RequestReplica,
    /// Runs to start.
    Start(StartRuns),
    /// Runs to stop. Those that the runner does not have are ignored.
    Stop(Vec<RunKey>),
    /// Runs to cancel if they are still queued. Those whose start was sent to the upstream
    /// continue.
    #[serde(rename = "Withdraw")]
    CancelQueued(Vec<RunKey>),
    /// The evacuated failure domains, sent when the runner may not know them.
    Evacuations(Evacuations),
    /// The planner knows the messages of [`RunnerLevel::ROOM`]. Sent once to runners of that level,
    /// as are the messages below.
    KnowsRoom,
    /// Runs to start, with what decides their order.
    StartOrdered(OrderedStart),
    /// Runs for which room is claimed.
    Claim(ClaimRuns),
    /// Claimed runs to start now.
    Confirm(Vec<RunKey>),
    /// The run times of routes, for the runner to keep for planners that start.
    StoreRunTimes(Vec<RouteRunTimes>),
}

/// The failure domains that operators have evacuated: no run starts on an upstream there.
///
/// Every planner and every runner keeps the newest set that it has read in the store or heard from
/// another process.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Evacuations {
    /// The revision of the store at which the set was read.
    pub revision: u64,
    /// The evacuated domains.
    pub domains: BTreeSet<DomainName>,
}

impl Evacuations {
    /// Returns whether a domain is evacuated.
    pub fn contains(&self, domain: &DomainName) -> bool {
        self.domains.contains(domain)
    }

    /// Replaces the set by one of a later revision. Returns whether other domains are evacuated than
    /// before.
    pub fn update(&mut self, newer: &Self) -> bool {
        if newer.revision <= self.revision {
            return false;
        }
        self.revision = newer.revision;
        let is_changed = self.domains != newer.domains;
        if is_changed {
            self.domains.clone_from(&newer.domains);
        }
        is_changed
    }

    /// Returns whether a process that holds `other` has to be told of this set.
    pub fn is_news_to(&self, other: &Self) -> bool {
        self.revision > other.revision && self.domains != other.domains
    }
}

/// A replica of the operators' configuration, as the store has it.
///
/// Runners keep it for planners that start while the store is unavailable.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigReplica {
    /// The version of the configuration. It only increases.
    pub version: u64,
    /// The document.
    pub document: Bytes,
}

/// Runs of one job to start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRuns {
    /// The sequence number of the message among those of this kind on the link, from one.
    #[serde(rename = "number")]
    pub seq: u64,
    /// The service that the upstream must offer.
    pub service: ServiceName,
    /// The specification passed to the tasks.
    pub spec: Name,
    /// The resources that each run takes.
    pub demand: Resources,
    /// The declared run time of each run.
    #[serde(rename = "size")]
    pub declared_runtime: Micros,
    /// How long the runs may wait for capacity. A duration and not a deadline, because the clocks
    /// of different hosts are not comparable.
    #[serde(rename = "patience")]
    pub queue_timeout: Micros,
    /// The runs.
    pub runs: Vec<RunKey>,
}

/// A message from a runner to a planner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunnerMessage {
    /// The first message on each link. No run of an earlier link to this planner is still running.
    Hello {
        /// The name of the runner.
        name: Name,
        /// The failure domain of its worker.
        domain: DomainName,
        /// The incarnation of the runner.
        #[serde(rename = "life")]
        incarnation: u64,
        /// The sequence number of the link, with the [`RunnerLevel`] of its messages. It increases with
        /// each link of the same incarnation.
        #[serde(rename = "link")]
        link_seq: u64,
        /// The version of the configuration replica that the runner has stored, or zero for none.
        #[serde(rename = "kept")]
        replica_version: u64,
    },
    /// The version of the configuration replica that the runner has stored now.
    #[serde(rename = "Kept")]
    ReplicaVersion(u64),
    /// The configuration replica, as requested.
    #[serde(rename = "Copy")]
    Replica(ConfigReplica),
    /// Acknowledges a heartbeat. Numbered from one.
    #[serde(rename = "Beat")]
    HeartbeatAck(u64),
    /// Asks the planner to close the link, which is not needed and has no runs.
    #[serde(rename = "Part")]
    CloseLink,
    /// The state of the upstream, sent after each change.
    State(UpstreamState),
    /// A run that the upstream has started.
    Started(RunKey),
    /// A run that has not started and will not start.
    Refused {
        /// The run.
        run: RunKey,
        /// The reason.
        reason: RefuseReason,
    },
    /// A run that has ended.
    Ended {
        /// The run.
        run: RunKey,
        /// How it ended.
        end: RunEnd,
    },
    /// The progress of running runs.
    Progress(Vec<RunProgress>),
    /// The evacuated failure domains, sent when the planner may not know them.
    Evacuations(Evacuations),
    /// Runs whose room is claimed until they are confirmed or given back, or the claim ends. Sent only
    /// to planners that have said [`PlannerMessage::KnowsRoom`], as are the messages below.
    Claimed(Vec<RunKey>),
    /// The run times of routes, as the runner has stored them.
    RunTimes(Vec<RouteRunTimes>),
}

/// The level of the messages of a runner. Each level changes what a message means that processes of
/// lower levels read as well.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunnerLevel(u8);

impl RunnerLevel {
    /// From this level on, [`RunEnd::Lapsed`] says that the upstream's process has ended, as far as the
    /// runner knows without having announced it. Before, it also stood for a lease that had expired.
    pub const CRASHES: Self = Self(1);

    /// From this level on, the runner knows the messages on room that is short, which
    /// [`PlannerMessage::KnowsRoom`] begins.
    pub const ROOM: Self = Self(2);

    /// The place of the level in a sequence number, in bits: processes without levels compare the
    /// numbers of one incarnation only and leave the highest byte zero.
    const SHIFT: u32 = 56;

    /// Returns the level that the sequence number of a link tells.
    pub fn of_link(link_seq: u64) -> Self {
        Self((link_seq >> Self::SHIFT) as u8)
    }

    /// Returns a sequence number of a link that tells this level.
    pub fn mark_link(self, link_seq: u64) -> u64 {
        link_seq | u64::from(self.0) << Self::SHIFT
    }
}

/// The state of an upstream as reported to one planner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamState {
    /// The newest [`StartRuns::seq`] of the planner that this state takes into account.
    #[serde(rename = "number")]
    pub start_seq: u64,
    /// Whether the upstream accepts new runs.
    #[serde(rename = "open")]
    pub accepting: bool,
    /// The service that the upstream offers.
    pub service: ServiceName,
    /// All resources of the worker.
    pub capacity: Resources,
    /// The resources that no run takes.
    pub free: Resources,
    /// The queued runs, the most urgent first.
    pub queued: Vec<QueuedRuns>,
    /// The moving average of the run times of completed runs, in whole milliseconds.
    #[serde(rename = "span")]
    pub run_time: Micros,
    /// The speed at which tasks run there, in thousandths of the speed that they declare.
    pub speed: u32,
    /// The labels of the worker. Its rack is one of them.
    pub labels: Vec<Name>,
}

/// Queued runs of an upstream that have about the same time left to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueuedRuns {
    /// The longest time that any of them may still wait for capacity.
    #[serde(rename = "patience")]
    pub queue_timeout: Micros,
    /// The resources that they will take in total.
    pub demand: Resources,
}

/// The progress of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunProgress {
    /// The run.
    pub run: RunKey,
    /// The completed part of the run, in percent.
    pub percent: u8,
    /// The time that it has been running.
    #[serde(rename = "span")]
    pub run_time: Micros,
}

/// Why a run was refused. The variant names are written to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefuseReason {
    /// The upstream has no capacity for the run.
    Room,
    /// The upstream is shutting down, is not available, or offers another service.
    Closed,
    /// The upstream is unhealthy and refuses runs.
    Unhealthy,
    /// The upstream has already received a later attempt at the task.
    Old,
    /// The upstream rejects the specification as invalid.
    Invalid,
    /// The run was stopped or cancelled before it started.
    Stopped,
    /// Another run of the same task is still present at the runner: a duplicate.
    Twin,
    /// The failure domain of the upstream is evacuated.
    Evacuated,
    /// The claim of its room was not confirmed in time. Sent only for claims.
    ClaimExpired,
}

/// How a run ended. The variant names are written to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnd {
    /// The task completed.
    Done,
    /// The task or the upstream failed.
    Failed,
    /// The run was stopped: on request, as its lease expired, or as the upstream exited as announced.
    Stopped,
    /// The upstream crashed while it had the run, or, below [`RunnerLevel::CRASHES`], the lease expired.
    Lapsed,
}
