//! The log lines of a runner.

use std::net::SocketAddr;

use chervilring_core::runs::runner::RunnerEvent;
use chervilring_wire::Micros;
use slog::{Logger, debug, info, warn};

use super::told;

/// The shortest wait of a run for room that is logged.
const LOGGED_WAIT: Micros = Micros::from_millis(5);

/// Logs a decision; `planner` returns the address behind a link, while that is known.
pub(super) fn log(log: &Logger, event: &RunnerEvent, planner: impl Fn(u64) -> Option<SocketAddr>) {
    let planner = |link: u64| planner(link).map(|addr| addr.to_string());
    match event {
        RunnerEvent::Accepted { run, runs, free } => {
            info!(log, "runs taken on"; "job" => %run.job, "run" => %run, "runs" => runs,
                "free_cpu" => free.cpu);
        }
        RunnerEvent::Refused { run, reason, free } => {
            info!(log, "run refused"; "job" => %run.job, "run" => %run, "reason" => ?reason,
                "free_cpu" => free.cpu);
        }
        RunnerEvent::Begun { run, waited } if *waited >= LOGGED_WAIT => {
            info!(log, "run begun"; "job" => %run.job, "run" => %run, "waited_us" => waited.0);
        }
        // Counted. The lines on placements, refusals and missing answers tell the rest.
        RunnerEvent::Begun { .. }
        | RunnerEvent::ClaimConfirmed { .. }
        | RunnerEvent::ClaimEnded { .. } => {}
        RunnerEvent::Claimed { run, runs } => {
            info!(log, "room held"; "job" => %run.job, "run" => %run, "runs" => runs);
        }
        RunnerEvent::NotStarted { run, reason } => {
            info!(log, "run not started"; "job" => %run.job, "run" => %run, "why" => ?reason);
        }
        RunnerEvent::NoAnswer { run, call } => {
            let run = run.map(|r| r.to_string()).unwrap_or_default();
            warn!(log, "upstream gave no answer"; "call" => call, "run" => run);
        }
        RunnerEvent::Ended { run, end, elapsed } => {
            if *end == chervilring_wire::RunEnd::Done {
                debug!(log, "run ended"; "run" => %run, "end" => ?end, "took_us" => elapsed.0);
                return;
            }
            info!(log, "run ended"; "job" => %run.job, "run" => %run, "end" => ?end,
                "took_us" => elapsed.0);
        }
        RunnerEvent::UnknownRun { run } => {
            warn!(log, "unknown run is stopped"; "job" => %run.job, "run" => %run);
        }
        RunnerEvent::UpstreamUp {
            id,
            started_ms,
            capacity,
        } => {
            info!(log, "upstream found"; "upstream" => &**id, "born_ms" => started_ms,
                "cpu" => capacity.cpu, "memory" => capacity.memory);
        }
        RunnerEvent::UpstreamReplaced {
            id,
            next,
            reason,
            runs,
            lease,
        } => {
            warn!(log, "upstream replaced"; "upstream" => &**id, "next" => &**next,
                "why" => reason.map_or_else(|| "NeverAnswered".into(), |r| format!("{r:?}")),
                "runs" => runs, "runs_kept_us" => lease.0);
        }
        RunnerEvent::AcceptingChanged {
            id,
            accepting,
            reason,
        } => {
            info!(log, "upstream changed"; "upstream" => &**id, "open" => accepting, "why" => reason);
        }
        RunnerEvent::LeaseExpired { id, runs } => {
            warn!(log, "lease of upstream over"; "upstream" => &**id, "runs_lost" => runs);
        }
        RunnerEvent::LinkUp { link } => {
            info!(log, "planner reached"; "link" => link, "planner" => planner(*link));
        }
        RunnerEvent::LinkLost { link, reason, runs } => {
            warn!(log, "planner lost"; "link" => link, "planner" => planner(*link), "why" => reason,
                "runs_stopped" => runs);
        }
        RunnerEvent::EvacuationsChanged {
            evacuations,
            source,
        } => told::log_evacuations(log, evacuations, *source, 0),
        RunnerEvent::Paused { duration } => {
            warn!(log, "stood still"; "span_us" => duration.0);
        }
    }
}
