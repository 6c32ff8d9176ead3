//! Messages between planners and runners: tasks that take resources and run under leases.
//!
//! A *run* is one attempt at one task on one upstream. It belongs to the link over which its
//! planner asked for it: when the link is lost, the runner stops it.

use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::id::{DomainName, Name, ServiceName};
use crate::time::Micros;

/// The id that a caller has chosen for a job.
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
    /// The occurrence of a repeated job; zero for others.
    pub occurrence: u32,
    /// The place of the step in the job.
    pub step: u32,
    /// The place of the task in its step.
    pub index: u32,
    /// The number of the attempt, from one.
    pub attempt: u32,
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
    /// Processor, in thousandths of a core.
    pub cpu: u64,
    /// Memory, in MiB.
    pub memory: u64,
    /// Accelerators.
    pub gpu: u64,
}

impl Resources {
    /// Returns whether `other` fits into this.
    pub fn can_fit(&self, other: &Self) -> bool {
        other.cpu <= self.cpu && other.memory <= self.memory && other.gpu <= self.gpu
    }

    /// Returns the sum of both.
    pub fn saturating_add(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            gpu: self.gpu.saturating_add(other.gpu),
        }
    }

    /// Returns what is left after `other` is taken, nothing where more is taken than there is.
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }

    /// Returns how many times `other` fits into this.
    pub fn count_fitting(&self, other: &Self) -> u64 {
        let part = |have: u64, want: u64| have.checked_div(want).unwrap_or(u64::MAX);
        let cpu = part(self.cpu, other.cpu);
        let memory = part(self.memory, other.memory);
        cpu.min(memory).min(part(self.gpu, other.gpu))
    }
}

/// What a planner tells a runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlannerMessage {
    /// The periodic heartbeat: the number of the newest one that came from the runner, which answers
    /// with its next.
    #[serde(rename = "Beat")]
    Heartbeat(u64),
    /// A copy of the configuration that the runner is to keep.
    #[serde(rename = "Keep")]
    StoreReplica(ConfigReplica),
    /// Asks for the copy of the configuration that the runner keeps.
    #[serde(rename = "AskCopy")]
    RequestReplica,
    /// Runs to start.
    Start(StartRuns),
    /// Runs to stop, if they are there.
    Stop(Vec<RunKey>),
    /// Runs that are no more wanted if they still wait for room; those that the upstream was asked
    /// to begin go on.
    #[serde(rename = "Withdraw")]
    CancelQueued(Vec<RunKey>),
}

/// A copy of the operators' configuration as it lies in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigReplica {
    /// Its version, which only grows.
    pub version: u64,
    /// The document.
    pub document: Bytes,
}

/// Runs of one job that are to start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRuns {
    /// Counts the messages of this kind on the link, from one.
    #[serde(rename = "number")]
    pub seq: u64,
    /// The service that the upstream must do.
    pub service: ServiceName,
    /// What the tasks are told.
    pub spec: Name,
    /// What each of the runs takes.
    pub demand: Resources,
    /// How long each is declared to run.
    #[serde(rename = "size")]
    pub declared_runtime: Micros,
    /// How long it is of use to wait for room; a span, as clocks are not compared between hosts.
    #[serde(rename = "patience")]
    pub queue_timeout: Micros,
    /// The runs.
    pub runs: Vec<RunKey>,
}

/// What a runner tells a planner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunnerMessage {
    /// The first message on each link. No run of an earlier link of this planner is going on.
    Hello {
        /// The name of the runner.
        name: Name,
        /// The failure domain that its worker stands in.
        domain: DomainName,
        /// Names the life of the runner.
        #[serde(rename = "life")]
        incarnation: u64,
        /// The number of the link; later ones of the same life have higher numbers.
        #[serde(rename = "link")]
        link_seq: u64,
        /// The version of the configuration of which it keeps a copy; zero for none.
        #[serde(rename = "kept")]
        replica_version: u64,
    },
    /// The version of the configuration of which it keeps a copy now.
    #[serde(rename = "Kept")]
    ReplicaVersion(u64),
    /// The copy of the configuration that it was asked for.
    #[serde(rename = "Copy")]
    Replica(ConfigReplica),
    /// The answer to a heartbeat, numbered from one.
    #[serde(rename = "Beat")]
    HeartbeatAck(u64),
    /// The link is not needed any more and nothing runs over it: the planner may close it.
    #[serde(rename = "Part")]
    CloseLink,
    /// The state of the upstream, after each change.
    State(UpstreamState),
    /// A run that the upstream has begun.
    Started(RunKey),
    /// A run that has not started and will not.
    Refused {
        /// The run.
        run: RunKey,
        /// Why.
        reason: RefuseReason,
    },
    /// A run that has ended.
    Ended {
        /// The run.
        run: RunKey,
        /// How.
        end: RunEnd,
    },
    /// How far runs have got.
    Progress(Vec<RunProgress>),
}

/// The state of an upstream towards one planner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamState {
    /// The newest [`StartRuns::number`] of the planner that it takes into account.
    #[serde(rename = "number")]
    pub start_seq: u64,
    /// Whether it takes new runs.
    #[serde(rename = "open")]
    pub accepting: bool,
    /// The service that it does.
    pub service: ServiceName,
    /// All that the worker has.
    pub capacity: Resources,
    /// What is not taken by runs.
    pub free: Resources,
    /// What runs that wait for room will take, the most urgent first.
    pub queued: Vec<QueuedRuns>,
    /// How long runs have taken of late, in whole milliseconds.
    #[serde(rename = "span")]
    pub run_time: Micros,
    /// How fast tasks run there, in thousandths of what they declare.
    pub speed: u32,
    /// The labels of the worker; its rack is one of them.
    pub labels: Vec<Name>,
}

/// Runs that wait for room on an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueuedRuns {
    /// For how much longer it is of use to start them, at most.
    #[serde(rename = "patience")]
    pub queue_timeout: Micros,
    /// What they will take together.
    pub demand: Resources,
}

/// How far a run has got.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunProgress {
    /// The run.
    pub run: RunKey,
    /// How much of it is done, in percent.
    pub percent: u8,
    /// How long it has run.
    #[serde(rename = "span")]
    pub run_time: Micros,
}

/// Why a run was not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefuseReason {
    /// The upstream has no room for it.
    Room,
    /// The upstream is leaving, not there, or does another service.
    Closed,
    /// The upstream refuses work while it is unhealthy.
    Unhealthy,
    /// The upstream has had a later attempt at the task.
    Old,
    /// The upstream does not accept what it was told to run.
    Invalid,
    /// It was to be stopped before it had started.
    Stopped,
    /// Another run of the same task is still there.
    Twin,
}

/// How a run has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnd {
    /// The task is done.
    Done,
    /// The task or the upstream has failed.
    Failed,
    /// It was stopped as asked.
    Stopped,
    /// Its lease lapsed, or its upstream is gone.
    Lapsed,
}
