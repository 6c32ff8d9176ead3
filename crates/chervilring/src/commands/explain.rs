//! `chervilring explain`: asks a planner where a job would go now, and why.

use std::fmt::{self, Write};
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use serde_json::Value;

use super::input;
use crate::client::{Client, Response};
use crate::exit::{ExitStatus, Failed};
use crate::output;

/// How long to wait for the planner.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Asks a running planner where a job would go now, and why. Nothing is sent to upstreams or held.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    example = "{command_name} --planner 10.1.2.3:9464 --host jobs.example \\\n    \
               --path /main/00000000000000a1 --body job.json",
    error_code(2, "wrong arguments, or the job is malformed"),
    error_code(3, "no route matches, or jobs of this kind are not served"),
    error_code(5, "the planner was not reached")
)]
pub struct ExplainCommand {
    /// address of the planner's metrics port
    #[argh(option)]
    planner: String,
    /// host that the caller names
    #[argh(option)]
    host: String,
    /// path to which the caller sends the job, with its id
    #[argh(option)]
    path: String,
    /// file with the job as callers send it; - is standard input
    #[argh(option)]
    body: Option<PathBuf>,
    /// print one JSON document
    #[argh(switch)]
    json: bool,
}

/// Runs the command.
pub(crate) fn run(command: &ExplainCommand) -> eyre::Result<ExitStatus> {
    let body = match &command.body {
        Some(file) => input::read(file)?,
        None => Vec::new(),
    };
    let client = Client::new(Some(&command.planner), Some(TIMEOUT))?;
    let headers = [
        ("chervilring-host", command.host.clone()),
        ("chervilring-path", command.path.clone()),
    ];
    let [planner] = client.entries() else {
        return Err(Failed::usage("give the address of one planner").into());
    };
    let response = client
        .send_to(planner, "POST", "/explain", &headers, Some(&body))
        .map_err(|error| Failed::new(ExitStatus::Unreachable, error.message))?;
    let document = read(&response)?;
    if command.json {
        output::print_json(&document);
    } else {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = write_text(&mut text, &document);
        output::print(&text);
    }
    Ok(ExitStatus::Ok)
}

/// Reads an answer of the planner.
fn read(response: &Response) -> Result<Value, Failed> {
    let document: Option<Value> = serde_json::from_slice(&response.body).ok();
    let error = document.as_ref().and_then(|d| d["error"].as_str());
    match (document.as_ref(), error) {
        (Some(document), Some(kind)) => {
            let status = match kind {
                "malformed-job" | "malformed-question" => ExitStatus::Usage,
                _ => ExitStatus::Refused,
            };
            let message = document["message"].as_str().unwrap_or_default();
            Err(Failed::new(status, format!("{kind}: {message}")))
        }
        (Some(document), None) if response.status == 200 => Ok(document.clone()),
        _ => {
            let message = format!(
                "the answer (status {}) is not an explanation; is this the planner's metrics port?",
                response.status
            );
            Err(Failed::new(ExitStatus::Internal, message))
        }
    }
}

fn write_text(text: &mut String, document: &Value) -> fmt::Result {
    writeln!(
        text,
        "route {}, service {}, configuration {}",
        word(&document["route"]),
        word(&document["service"]),
        document["config"]
    )?;
    writeln!(text, "{}", outcome(&document["outcome"]))?;
    let order = &document["order"];
    if !order.is_null() {
        writeln!(
            text,
            "order: behind {} waiting jobs; priority {}, slack {}, work {}{}",
            order["ahead"],
            order["priority"],
            millis(&order["slack_us"]),
            millis(&order["work_us"]),
            if order["timely"] == true {
                ""
            } else {
                ", late"
            }
        )?;
        writeln!(
            text,
            "objective in {}, refused if nothing starts in {}",
            millis(&order["objective_us"]),
            millis(&order["start_timeout_us"])
        )?;
        if !order["sent_before_us"].is_null() {
            writeln!(
                text,
                "counts as sent again after {}",
                millis(&order["sent_before_us"])
            )?;
        }
    }
    for (place, step) in list(&document["steps"]).iter().enumerate() {
        write_step(text, place, step)?;
    }
    Ok(())
}

fn write_step(text: &mut String, place: usize, step: &Value) -> fmt::Result {
    writeln!(text, "step {place}: {} tasks", step["tasks"])?;
    let after = list(&step["after"]);
    if !after.is_empty() {
        let after: Vec<String> = after.iter().map(Value::to_string).collect();
        return writeln!(text, "  placed after steps {}", after.join(", "));
    }
    if list(&step["candidates"]).is_empty() {
        writeln!(text, "  no upstream of the service is linked")?;
    }
    for row in list(&step["candidates"]) {
        write!(
            text,
            "  {} ({}): {}, {} tasks",
            word(&row["runner"]),
            word(&row["domain"]),
            word(&row["reason"]),
            row["tasks"]
        )?;
        if !row["wait_us"].is_null() {
            write!(
                text,
                ", wait {}, run time {}, {:.0} % free",
                millis(&row["wait_us"]),
                millis(&row["run_time_us"]),
                row["free_share"].as_f64().unwrap_or_default() * 100.0
            )?;
        }
        writeln!(text)?;
    }
    Ok(())
}

/// Returns what would become of the job, in words.
fn outcome(outcome: &Value) -> String {
    let retry = || millis(&outcome["retry_after_us"]);
    match word(&outcome["kind"]) {
        "placed" if outcome["waiting_tasks"] == 0 => "would be placed at once".to_owned(),
        "placed" => format!(
            "would be placed at once, but for {} tasks that wait",
            outcome["waiting_tasks"]
        ),
        "queued" => format!("would wait for room; if refused, Retry-After {}", retry()),
        "refused" => format!(
            "would be refused at once ({}), Retry-After {}",
            word(&outcome["why"]),
            retry()
        ),
        "in-hand" => "a job of this id is in hand: the caller would get its answer".to_owned(),
        kind => format!("would be answered at once: {kind}"),
    }
}

/// Returns a span given in microseconds, in milliseconds.
fn millis(value: &Value) -> String {
    value.as_u64().map_or_else(
        || "?".to_owned(),
        |micros| format!("{:.1} ms", micros as f64 / 1_000.0),
    )
}

fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

fn word(value: &Value) -> &str {
    value.as_str().unwrap_or("?")
}
