//! Events that a planner reports for logs and metrics.

use chervilring_wire::{
    DomainName, Evacuations, JobId, Micros, Name, RefuseReason, Resources, RunEnd, RunKey,
};

use super::state::JobAnswer;
use crate::runs::evacuation::EvacuationSource;

/// A decision of a planner or a change of its state, with the values that caused it.
#[derive(Debug, Clone, PartialEq)]
pub enum PlannerEvent {
    /// Tasks of a job were sent to upstreams.
    Placed {
        /// The job.
        job: JobId,
        /// The runners, each with the number of tasks sent to it.
        runners: Vec<(Name, u32)>,
        /// How long the job had waited since its arrival.
        waited: Micros,
        /// The age of the oldest upstream state on which the placement is based.
        state_age: Micros,
        /// The number of tasks of the step that found no upstream.
        unplaced: u32,
        /// Whether their room is claimed, and they start only once they are confirmed.
        claimed: bool,
    },
    /// Tasks of a job claim room at a second upstream.
    SparesClaimed {
        /// The job.
        job: JobId,
        /// The runners, each with the number of tasks.
        runners: Vec<(Name, u32)>,
    },
    /// A job was queued because its tasks found no capacity.
    Queued {
        /// The job.
        job: JobId,
        /// The number of jobs without a started task, including this one.
        queue_len: usize,
        /// The number of upstreams that accept runs of its service.
        upstreams: usize,
    },
    /// A run was refused or lost, or ended without success.
    RunLost {
        /// The run.
        run: RunKey,
        /// The runner, if the link to it is still open.
        runner: Option<Name>,
        /// Why the run was lost.
        cause: LossCause,
    },
    /// A job was answered.
    Answered {
        /// The job.
        job: JobId,
        /// The caller's name for this submission; empty if it gave none.
        request: Name,
        /// The route.
        route: Name,
        /// The version of the configuration that defines the route.
        config_version: u64,
        /// The answer.
        answer: JobAnswer,
        /// How long the caller was willing to wait when the job arrived.
        caller_timeout: Micros,
        /// How long the caller had waited before this submission, if it is a resubmission.
        prior_wait: Option<Micros>,
        /// The time from the arrival of the job to the answer.
        duration: Micros,
        /// The time from the arrival to the first start, or `None` if nothing was started.
        start_wait: Option<Micros>,
        /// The number of runs sent for the job.
        starts: u32,
        /// Whether the objective was met, by the run times of the tasks as they were.
        objective_met: bool,
        /// How long the objective allowed, by the same run times.
        objective: Micros,
        /// The most failed attempts of one of its tasks.
        failures: u32,
        /// How many the route allows.
        max_attempts: u32,
        /// The most upstreams that crashed while they had a run of one of its tasks.
        crashes: u32,
    },
    /// A runner was asked for its replica of the configuration.
    ReplicaRequested {
        /// The runner.
        runner: Name,
        /// The version of its replica.
        version: u64,
        /// The newest version known here.
        known: u64,
    },
    /// All callers of a job have disconnected, and its runs are stopped.
    Abandoned {
        /// The job.
        job: JobId,
        /// The number of runs that are stopped.
        runs: u32,
    },
    /// A runner has opened a link.
    LinkUp {
        /// The runner.
        runner: Name,
        /// Its failure domain.
        domain: DomainName,
    },
    /// The hello of a link arrived after that of a later link, so the link is closed.
    LinkStale {
        /// The runner.
        runner: Name,
    },
    /// A link was closed because its runner no longer needs it.
    LinkClosed {
        /// The runner.
        runner: Name,
    },
    /// A link to a runner was lost.
    LinkDown {
        /// The runner.
        runner: Name,
        /// The time since the last message from the runner.
        silence: Micros,
        /// The number of runs lost with the link.
        runs: u32,
    },
    /// An upstream has started or stopped accepting runs, or its capacity has changed.
    UpstreamChanged {
        /// The runner.
        runner: Name,
        /// Whether it accepts runs.
        accepting: bool,
        /// The total capacity of the upstream.
        capacity: Resources,
    },
    /// An upstream was ejected because too many of its runs failed or stalled.
    UpstreamEjected {
        /// The runner.
        runner: Name,
        /// The speed measured for the upstream, where 1.0 means that tasks take their declared run
        /// time.
        speed: f64,
    },
    /// Other failure domains are evacuated than before.
    EvacuationsChanged {
        /// The domains, with the revision at which they were read.
        evacuations: Evacuations,
        /// Where the change was learned.
        source: EvacuationSource,
        /// The number of linked upstreams that get no runs because of it.
        upstreams: usize,
    },
    /// The process was paused. All its jobs were given up.
    Paused {
        /// The length of the pause.
        duration: Micros,
        /// The number of jobs given up.
        jobs: usize,
    },
}

/// Why a run was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossCause {
    /// The runner refused to start it.
    Refused(RefuseReason),
    /// The run ended without success.
    Ended(RunEnd),
    /// The run was too slow and is stopped.
    Stalled,
    /// The link to the runner was lost.
    Link,
}
