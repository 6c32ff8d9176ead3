//! The planner's port for metrics and for operators who ask where a job would go.

use chervilring_core::runs::planner::{
    ChoiceReason, Explanation, JobAnswer, JobOrder, Obstacle, Outcome, Refusal, StepExplanation,
    UpstreamExplanation,
};
use chervilring_wire::{Micros, Time};
use serde_json::{Value, json};

use super::super::dialect::CallerCall;
use super::super::ports;
use super::PlannerActor;
use crate::net::{HttpAnswer, HttpEvent, HttpReady, HttpRequest};

/// The path at which a job is explained.
const PATH: &str = "/explain";

/// The header with the host that the caller would name.
const HOST: &str = "chervilring-host";

/// The header with the path to which the caller would send the job.
const JOB_PATH: &str = "chervilring-path";

impl PlannerActor {
    /// Serves metrics and explanations.
    pub(super) fn serve_operators(&mut self, now: Time, ready: HttpReady) {
        for event in self.parts.metrics.handle(now, ready) {
            let HttpEvent::Request(conn, request) = event else {
                continue;
            };
            let answer = if request.path == PATH {
                self.explain(now, request)
            } else {
                ports::metrics_answer(&self.parts.report.metrics)
            };
            // All requests of this port are answered at once, so that nobody can have left before.
            drop(self.parts.metrics.answer(now, conn, &answer));
        }
    }

    /// Answers where a job would go.
    fn explain(&self, now: Time, request: HttpRequest) -> HttpAnswer {
        if request.method != "POST" {
            return problem(405, "wrong-method", "ask with POST");
        }
        let Some(routes) = &self.routes else {
            return problem(
                503,
                "no-configuration",
                "the planner has no configuration yet",
            );
        };
        let Some(request) = as_caller(request) else {
            let message = format!("name the host in {HOST} and the path in {JOB_PATH}");
            return problem(400, "malformed-question", &message);
        };
        match (self.parts.dialect.read)(&request, routes, now) {
            CallerCall::Submit(job) => {
                let explanation = self.parts.planner.explain(now, &job);
                HttpAnswer::json(200, document(&explanation).to_string().into_bytes())
            }
            CallerCall::Unrouted(_) => {
                let host = request.header("host").unwrap_or("");
                let message = format!(
                    "no route of configuration {} matches host {host:?} and path {:?}",
                    routes.version, request.path
                );
                problem(404, "unknown-route", &message)
            }
            CallerCall::Answer(answer) => unserved(&answer),
            CallerCall::Waiting(_) | CallerCall::State(_) | CallerCall::Cancel(_) => {
                problem(400, "malformed-job", "this is no submission of a job")
            }
        }
    }
}

/// Returns the request that a caller would send, unless the question leaves something out.
fn as_caller(request: HttpRequest) -> Option<HttpRequest> {
    let host = request.header(HOST)?.to_owned();
    let path = request.header(JOB_PATH)?.to_owned();
    let rows = request.headers.into_iter();
    let mut headers: Vec<(String, String)> = rows.filter(|(name, _)| name != "host").collect();
    headers.push(("host".to_owned(), host));
    Some(HttpRequest {
        path,
        headers,
        ..request
    })
}

/// Returns what is said of a job that callers' requests are answered for without a planner's decision.
fn unserved(answer: &HttpAnswer) -> HttpAnswer {
    match (answer.status, answer.comeback) {
        (400 | 413, _) => problem(400, "malformed-job", "the job cannot be read"),
        (404, _) => problem(400, "malformed-job", "the path names no job's id"),
        (status, Some(comeback)) => {
            let message = format!(
                "jobs of this kind are not served: status {status}, Retry-After {comeback} s"
            );
            problem(422, "not-served", &message)
        }
        (status, None) => {
            let message = format!("it would be answered with status {status}");
            problem(422, "not-served", &message)
        }
    }
}

fn problem(status: u16, kind: &str, message: &str) -> HttpAnswer {
    let body = json!({"error": kind, "message": message});
    HttpAnswer::json(status, body.to_string().into_bytes())
}

fn document(explanation: &Explanation) -> Value {
    let steps: Vec<Value> = explanation.steps.iter().map(step).collect();
    json!({
        "route": &*explanation.route,
        "service": explanation.service.as_str(),
        "config": explanation.config_version,
        "outcome": outcome(explanation.outcome),
        "order": explanation.order.as_ref().map(order),
        "steps": steps,
    })
}

fn outcome(outcome: Outcome) -> Value {
    match outcome {
        Outcome::Placed { waiting } => json!({"kind": "placed", "waiting_tasks": waiting}),
        Outcome::Queued { retry_after } => {
            json!({"kind": "queued", "retry_after_us": retry_after.0})
        }
        Outcome::Answered {
            answer,
            retry_after,
        } => answered(answer, retry_after),
        Outcome::InHand => json!({"kind": "in-hand"}),
    }
}

fn answered(answer: JobAnswer, retry_after: Micros) -> Value {
    match answer {
        JobAnswer::Refused(refusal) => json!({
            "kind": "refused",
            "why": refusal_name(refusal),
            "retry_after_us": retry_after.0,
        }),
        JobAnswer::Completed => json!({"kind": "completed"}),
        JobAnswer::Failed => json!({"kind": "failed"}),
        JobAnswer::GaveUp => json!({"kind": "given-up"}),
    }
}

fn refusal_name(refusal: Refusal) -> &'static str {
    match refusal {
        Refusal::Overload => "overload",
        Refusal::Unfit => "unfit",
        Refusal::Unreachable => "unreachable",
        Refusal::Evacuated => "evacuated",
        Refusal::Interrupted => "interrupted",
    }
}

fn order(order: &JobOrder) -> Value {
    json!({
        "ahead": order.ahead,
        "priority": order.urgency.priority,
        "slack_us": order.urgency.slack.0,
        "work_us": order.urgency.work.0,
        "timely": order.urgency.timely,
        "objective_us": order.objective.0,
        "start_timeout_us": order.start_timeout.0,
        "sent_before_us": order.prior_wait.map(|w| w.0),
    })
}

fn step(step: &StepExplanation) -> Value {
    let candidates: Vec<Value> = step.candidates.iter().map(candidate).collect();
    json!({"tasks": step.tasks, "after": step.dependencies, "candidates": candidates})
}

fn candidate(row: &UpstreamExplanation) -> Value {
    json!({
        "runner": &*row.runner,
        "domain": row.domain.as_str(),
        "tasks": row.tasks,
        "reason": reason(row.reason),
        "wait_us": row.expected.map(|e| e.wait.0),
        "run_time_us": row.expected.map(|e| e.run_time.0),
        "free_share": row.expected.map(|e| e.free_share),
    })
}

fn reason(reason: ChoiceReason) -> &'static str {
    match reason {
        ChoiceReason::Chosen => "chosen",
        ChoiceReason::RatedLower => "rated-lower",
        ChoiceReason::Evacuated => "evacuated",
        ChoiceReason::Closed => "closed",
        ChoiceReason::Unfit => "unfit",
        ChoiceReason::NotAsked => "not-asked",
        ChoiceReason::Obstacle(Obstacle::NotAllowed) => "takes-no-more",
        ChoiceReason::Obstacle(Obstacle::QueueFull) => "queue-full",
        ChoiceReason::Obstacle(Obstacle::Late) => "ends-late",
        ChoiceReason::Obstacle(Obstacle::LongWait) => "long-wait",
    }
}
