//! The log lines of a planner.

use chervilring_core::runs::planner::PlannerEvent;
use chervilring_wire::Name;
use slog::{Logger, info, warn};

use super::told;

/// Logs a decision.
pub(super) fn log(log: &Logger, event: &PlannerEvent) {
    match event {
        PlannerEvent::Placed {
            job,
            runners,
            waited,
            state_age,
            unplaced,
            claimed,
        } => {
            info!(log, "placed"; "job" => %job, "runners" => runner_counts(runners),
                "waited_us" => waited.0, "state_age_us" => state_age.0, "left" => unplaced, "claimed" => claimed);
        }
        PlannerEvent::SparesClaimed { job, runners } => {
            info!(log, "second claims"; "job" => %job, "runners" => runner_counts(runners));
        }
        PlannerEvent::Queued {
            job,
            queue_len,
            upstreams,
        } => {
            info!(log, "queued"; "job" => %job, "queue" => queue_len, "upstreams" => upstreams);
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
            config_version,
            answer,
            caller_timeout,
            prior_wait,
            duration,
            start_wait,
            starts,
            objective_met,
            objective,
            failures,
            max_attempts,
            crashes,
        } => {
            info!(log, "answered"; "job" => %job, "request" => &**request, "route" => &**route, "config" => config_version,
                "answer" => ?answer, "patience_us" => caller_timeout.0, "sent_before_us" => prior_wait.map(|w| w.0), "took_us" => duration.0, "waited_us" => start_wait.map(|w| w.0),
                "starts" => starts, "objective_met" => objective_met, "objective_us" => objective.0,
                "task_failures" => failures, "attempts" => max_attempts, "task_crashes" => crashes);
        }
        PlannerEvent::ReplicaRequested {
            runner,
            version,
            known,
        } => {
            info!(log, "configuration asked for"; "runner" => &**runner, "config" => version,
                "known" => known);
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
        PlannerEvent::LinkClosed { runner } => {
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
            accepting,
            capacity,
        } => {
            info!(log, "upstream changed"; "runner" => &**runner, "open" => accepting,
                "cpu" => capacity.cpu, "memory" => capacity.memory);
        }
        PlannerEvent::UpstreamEjected { runner, speed } => {
            warn!(log, "upstream left out"; "runner" => &**runner, "speed" => speed);
        }
        PlannerEvent::EvacuationsChanged {
            evacuations,
            source,
            upstreams,
        } => told::log_evacuations(log, evacuations, *source, *upstreams),
        PlannerEvent::Paused { duration, jobs } => {
            warn!(log, "stood still"; "span_us" => duration.0, "jobs_given_up" => jobs);
        }
    }
}

/// Writes runners, each with a number of tasks.
fn runner_counts(runners: &[(Name, u32)]) -> String {
    let rows: Vec<String> = runners.iter().map(|(n, k)| format!("{n}:{k}")).collect();
    rows.join(" ")
}
