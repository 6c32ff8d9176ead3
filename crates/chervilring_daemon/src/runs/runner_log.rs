//! The log lines of a runner.

use std::net::SocketAddr;

use chervilring_core::runs::runner::RunnerEvent;
use slog::{Logger, debug, info, warn};

/// Logs a decision; `planner` returns the address behind a link, while that is known.
pub(super) fn log(log: &Logger, event: &RunnerEvent, planner: impl Fn(u64) -> Option<SocketAddr>) {
    let planner = |link: u64| planner(link).map(|addr| addr.to_string());
    match event {
        RunnerEvent::Taken { run, runs, free } => {
            info!(log, "runs taken on"; "job" => %run.job, "run" => %run, "runs" => runs,
                "free_cpu" => free.cpu);
        }
        RunnerEvent::Refused { run, reason, free } => {
            info!(log, "run refused"; "job" => %run.job, "run" => %run, "reason" => ?reason,
                "free_cpu" => free.cpu);
        }
        RunnerEvent::NotStarted { run, why } => {
            info!(log, "run not started"; "job" => %run.job, "run" => %run, "why" => ?why);
        }
        RunnerEvent::NoAnswer { run, call } => {
            let run = run.map(|r| r.to_string()).unwrap_or_default();
            warn!(log, "upstream gave no answer"; "call" => call, "run" => run);
        }
        RunnerEvent::Ended { run, end, span } => {
            if *end == chervilring_wire::RunEnd::Done {
                debug!(log, "run ended"; "run" => %run, "end" => ?end, "took_us" => span.0);
                return;
            }
            info!(log, "run ended"; "job" => %run.job, "run" => %run, "end" => ?end,
                "took_us" => span.0);
        }
        RunnerEvent::Foreign { run } => {
            warn!(log, "unknown run is stopped"; "job" => %run.job, "run" => %run);
        }
        RunnerEvent::WorkerUp { id, born, capacity } => {
            info!(log, "upstream found"; "upstream" => &**id, "born_ms" => born,
                "cpu" => capacity.cpu, "memory" => capacity.memory);
        }
        RunnerEvent::WorkerOpen { id, open, why } => {
            info!(log, "upstream changed"; "upstream" => &**id, "open" => open, "why" => why);
        }
        RunnerEvent::LeaseOver { id, runs } => {
            warn!(log, "lease of upstream over"; "upstream" => &**id, "runs_lost" => runs);
        }
        RunnerEvent::LinkUp { link } => {
            info!(log, "planner reached"; "link" => link, "planner" => planner(*link));
        }
        RunnerEvent::LinkLost { link, why, runs } => {
            warn!(log, "planner lost"; "link" => link, "planner" => planner(*link), "why" => why,
                "runs_stopped" => runs);
        }
        RunnerEvent::Paused { span } => {
            warn!(log, "stood still"; "span_us" => span.0);
        }
    }
}
