//! What a planner tells its log.

use chervilring_wire::{DomainName, JobId, Micros, Name, RefuseReason, Resources, RunEnd, RunKey};

use super::state::JobAnswer;

/// A decision, or a change of what the planner believes, with what decided it.
#[derive(Debug, Clone, PartialEq)]
pub enum PlannerEvent {
    /// Tasks of a job were sent to upstreams.
    Placed {
        /// The job.
        job: JobId,
        /// The runners and how many tasks each got.
        places: Vec<(Name, u32)>,
        /// How long the job had waited.
        wait: Micros,
        /// The age of the oldest upstream state that the choice was made on.
        age: Micros,
        /// Tasks of the job that still wait.
        waiting: u32,
    },
    /// A job waits, as there is no room for it.
    Queued {
        /// The job.
        job: JobId,
        /// Jobs that wait, this one included.
        queue: usize,
        /// Upstreams that take work of its service.
        upstreams: usize,
    },
    /// A run ended otherwise than done, or was refused.
    RunLost {
        /// The run.
        run: RunKey,
        /// The runner, while it is known.
        runner: Option<Name>,
        /// How it ended.
        cause: LossCause,
    },
    /// A job was answered.
    Answered {
        /// The job.
        job: JobId,
        /// The name that its caller has given this sending.
        request: Name,
        /// The route.
        route: Name,
        /// The version of the configuration that had the route.
        version: u64,
        /// The answer.
        answer: JobAnswer,
        /// How long its caller was willing to wait when it came.
        patience: Micros,
        /// How long its caller had waited before this sending, if it was not the first.
        waited: Option<Micros>,
        /// The time from its arrival.
        span: Micros,
        /// Time from its arrival to its first start; absent when nothing was started.
        wait: Option<Micros>,
        /// Runs sent for it.
        starts: u32,
        /// Whether the objective was met.
        met: bool,
    },
    /// The callers of a job have left; its runs are stopped.
    Abandoned {
        /// The job.
        job: JobId,
        /// Runs that are stopped.
        runs: u32,
    },
    /// A runner was reached.
    LinkUp {
        /// The runner.
        runner: Name,
        /// Its failure domain.
        domain: DomainName,
    },
    /// The hello of a link came after that of a later one; the link is closed.
    LinkStale {
        /// The runner.
        runner: Name,
    },
    /// A link was closed that its runner did not need any more.
    LinkParted {
        /// The runner.
        runner: Name,
    },
    /// A link to a runner has ended.
    LinkDown {
        /// The runner.
        runner: Name,
        /// How long nothing had been heard.
        silence: Micros,
        /// Runs that are lost by it.
        runs: u32,
    },
    /// An upstream takes work now, or no more.
    UpstreamChanged {
        /// The runner.
        runner: Name,
        /// Whether it takes work.
        open: bool,
        /// What it has.
        capacity: Resources,
    },
    /// An upstream is left out because of how runs end there.
    UpstreamOut {
        /// The runner.
        runner: Name,
        /// Its learnt speed.
        speed: f64,
    },
    /// The process had stood still: all that was under way is given up.
    Paused {
        /// How long.
        span: Micros,
        /// Jobs given up.
        jobs: usize,
    },
}

/// Why a run came to nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossCause {
    /// The runner refused to start it.
    Refused(RefuseReason),
    /// It ended.
    Ended(RunEnd),
    /// It stood still and is stopped.
    Stalled,
    /// The link to the runner was lost.
    Link,
}
