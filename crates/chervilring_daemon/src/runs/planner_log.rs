//! The log lines of a planner.

use chervilring_core::runs::planner::PlannerEvent;
use slog::{Logger, info, warn};

/// Logs a decision.
pub(super) fn log(log: &Logger, event: &PlannerEvent) {
    match event {
        PlannerEvent::Placed {
            job,
            places,
            wait,
            age,
            waiting,
        } => {
            let places: Vec<String> = places.iter().map(|(n, k)| format!("{n}:{k}")).collect();
            info!(log, "placed"; "job" => %job, "runners" => places.join(" "),
                "waited_us" => wait.0, "state_age_us" => age.0, "left" => waiting);
        }
        PlannerEvent::Queued {
            job,
            queue,
            upstreams,
        } => {
            info!(log, "queued"; "job" => %job, "queue" => queue, "upstreams" => upstreams);
        }
        PlannerEvent::RunLost { run, runner, cause } => {
            let runner = runner.as_deref().unwrap_or("");
            info!(log, "run lost"; "job" => %run.job, "run" => %run, "runner" => runner,
                "cause" => ?cause);
        }
        PlannerEvent::Answered {
            job,
            request,
            route,
            version,
            answer,
            patience,
            waited,
            span,
            wait,
            starts,
            met,
        } => {
            info!(log, "answered"; "job" => %job, "request" => &**request, "route" => &**route, "config" => version,
                "answer" => ?answer, "patience_us" => patience.0, "sent_before_us" => waited.map(|w| w.0), "took_us" => span.0, "waited_us" => wait.map(|w| w.0),
                "starts" => starts, "objective_met" => met);
        }
        PlannerEvent::Abandoned { job, runs } => {
            info!(log, "caller left"; "job" => %job, "runs_stopped" => runs);
        }
        PlannerEvent::LinkUp { runner, domain } => {
            info!(log, "runner reached"; "runner" => &**runner, "domain" => %domain);
        }
        PlannerEvent::LinkStale { runner } => {
            info!(log, "link of before closed"; "runner" => &**runner);
        }
        PlannerEvent::LinkParted { runner } => {
            info!(log, "runner goes elsewhere"; "runner" => &**runner);
        }
        PlannerEvent::LinkDown {
            runner,
            silence,
            runs,
        } => {
            warn!(log, "runner lost"; "runner" => &**runner, "silent_us" => silence.0,
                "runs_lost" => runs);
        }
        PlannerEvent::UpstreamChanged {
            runner,
            open,
            capacity,
        } => {
            info!(log, "upstream changed"; "runner" => &**runner, "open" => open,
                "cpu" => capacity.cpu, "memory" => capacity.memory);
        }
        PlannerEvent::UpstreamOut { runner, speed } => {
            warn!(log, "upstream left out"; "runner" => &**runner, "speed" => speed);
        }
        PlannerEvent::Paused { span, jobs } => {
            warn!(log, "stood still"; "span_us" => span.0, "jobs_given_up" => jobs);
        }
    }
}
