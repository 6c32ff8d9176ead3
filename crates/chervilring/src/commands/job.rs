//! `chervilring job`: submits, shows and cancels jobs.

use std::fmt::Write;
use std::path::PathBuf;

use argh::FromArgs;
use chervilring_wire::SubmissionId;
use serde_json::{Value, json};

use super::input;
use crate::client::{Client, Response};
use crate::exit::{ExitStatus, Failed};
use crate::output::{self, Output};

/// Submits, shows and cancels jobs.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "job")]
pub struct JobCommand {
    #[argh(subcommand)]
    action: Action,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Action {
    Submit(SubmitCommand),
    Show(ShowCommand),
    Cancel(CancelCommand),
}

/// Submits a job. Submitting it again with the same id, at any entry, joins the run or gets its
/// answer.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "submit",
    example = "{command_name} --entry 127.0.0.1:8080 --service parts --task '\"wheel\"' \
               --task '\"axle\"' --wait 10",
    example = "{command_name} --entry 10.1.2.3:8080,10.1.2.4:8080 --file job.json --wait 30",
    error_code(3, "refused: it was not run"),
    error_code(4, "failed, but it may have run"),
    error_code(5, "no entry was reached")
)]
struct SubmitCommand {
    /// HTTP addresses of entries, comma-separated (`CHERVILRING_ENTRY`)
    #[argh(option)]
    entry: Option<String>,
    /// file with the job as a JSON document; - is standard input
    #[argh(option)]
    file: Option<PathBuf>,
    /// service to ask, in place of a file
    #[argh(option)]
    service: Option<String>,
    /// body of one task as a JSON value; may be repeated
    #[argh(option)]
    task: Vec<String>,
    /// team that the job is counted against [default]
    #[argh(option)]
    team: Option<String>,
    /// deadline in milliseconds from now [the service's rule]
    #[argh(option)]
    timeout_ms: Option<u64>,
    /// rule out a second run of any task, whatever the service's rule says
    #[argh(switch)]
    strict: bool,
    /// id of the job, by which it may be submitted again [a new one]
    #[argh(option)]
    id: Option<String>,
    /// seconds to wait for the answer [0]
    #[argh(option, default = "0")]
    wait: u32,
    /// text or json [text]
    #[argh(option, default = "Output::Text")]
    output: Output,
}

/// Shows a job: how far it has come, or its answer.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "show",
    example = "{command_name} --entry 127.0.0.1:8080 --wait 10 0198f3a2-7c1e-7000-8000-000000000001"
)]
struct ShowCommand {
    /// HTTP addresses of entries, comma-separated (`CHERVILRING_ENTRY`)
    #[argh(option)]
    entry: Option<String>,
    /// seconds to wait for the answer [0]
    #[argh(option, default = "0")]
    wait: u32,
    /// text or json [text]
    #[argh(option, default = "Output::Text")]
    output: Output,
    /// id of the job
    #[argh(positional)]
    id: String,
}

/// Cancels a job and shows how it ended.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "cancel",
    example = "{command_name} --entry 127.0.0.1:8080 0198f3a2-7c1e-7000-8000-000000000001"
)]
struct CancelCommand {
    /// HTTP addresses of entries, comma-separated (`CHERVILRING_ENTRY`)
    #[argh(option)]
    entry: Option<String>,
    /// text or json [text]
    #[argh(option, default = "Output::Text")]
    output: Output,
    /// id of the job
    #[argh(positional)]
    id: String,
}

/// Runs the command.
pub(crate) fn run(command: JobCommand) -> eyre::Result<ExitStatus> {
    match command.action {
        Action::Submit(command) => submit(command),
        Action::Show(command) => show(&command),
        Action::Cancel(command) => cancel(&command),
    }
}

fn submit(command: SubmitCommand) -> eyre::Result<ExitStatus> {
    let client = Client::new(command.entry.as_deref(), None)?;
    let document = document(&command)?;
    let generated = || SubmissionId::generate().to_string();
    let id = command.id.unwrap_or_else(generated);
    let headers = [
        ("Content-Type", "application/json".to_owned()),
        ("Prefer", format!("wait={}", command.wait)),
    ];
    let response = client
        .send("PUT", &path(&id), &headers, Some(&document))
        .map_err(|error| {
            let mut failed = Failed::from(error);
            failed.message = format!("job {id}: {}", failed.message);
            failed
        })?;
    Ok(print(&response, command.output))
}

/// Returns the job document, from a file or from flags.
fn document(command: &SubmitCommand) -> Result<Vec<u8>, Failed> {
    let from_flags = command.service.is_some()
        || command.team.is_some()
        || command.timeout_ms.is_some()
        || command.strict
        || !command.task.is_empty();
    match (&command.file, &command.service) {
        (Some(_), _) if from_flags => Err(Failed::usage(
            "--file holds the whole job: leave out --service, --task, --team, --timeout-ms and \
             --strict",
        )),
        (Some(file), _) => input::read(file),
        (None, None) => Err(Failed::usage(
            "give --file, or --service with one --task or more",
        )),
        (None, Some(_)) if command.task.is_empty() => {
            Err(Failed::usage("give at least one --task"))
        }
        (None, Some(service)) => {
            let tasks = command.task.iter().map(|task| task_value(task));
            let tasks = tasks.collect::<Result<Vec<Value>, Failed>>()?;
            let mut document = json!({ "service": service, "tasks": tasks });
            if let Some(team) = &command.team {
                document["team"] = json!(team);
            }
            if let Some(millis) = command.timeout_ms {
                document["timeout_ms"] = json!(millis);
            }
            if command.strict {
                document["strict"] = json!(true);
            }
            Ok(document.to_string().into_bytes())
        }
    }
}

fn task_value(task: &str) -> Result<Value, Failed> {
    serde_json::from_str(task).map_err(|error| {
        Failed::usage(format!(
            "--task {task:?} is not JSON ({error}); a text needs quotes, such as '\"wheel\"'"
        ))
    })
}

fn show(command: &ShowCommand) -> eyre::Result<ExitStatus> {
    let client = Client::new(command.entry.as_deref(), None)?;
    let headers = [("Prefer", format!("wait={}", command.wait))];
    let headers = if command.wait == 0 { &[][..] } else { &headers };
    let response = client
        .send("GET", &path(&command.id), headers, None)
        .map_err(Failed::from)?;
    Ok(print(&response, command.output))
}

fn cancel(command: &CancelCommand) -> eyre::Result<ExitStatus> {
    let client = Client::new(command.entry.as_deref(), None)?;
    let response = client
        .send("DELETE", &path(&command.id), &[], None)
        .map_err(Failed::from)?;
    Ok(print(&response, command.output))
}

fn path(id: &str) -> String {
    format!("/v1/jobs/{}", input::encode(id))
}

fn print(response: &Response, output: Output) -> ExitStatus {
    let text = String::from_utf8_lossy(&response.body);
    match output {
        Output::Json => output::print(&format!("{}\n", text.trim_end())),
        Output::Text if response.is_failure() => eprintln!("error: {}", text.trim()),
        Output::Text => print_text(&response.body),
    }
    response.exit_status()
}

/// Prints one line on the job and one for each output.
fn print_text(body: &[u8]) {
    // A body that cannot be read has none of the fields; the line then shows none.
    let document: Value = serde_json::from_slice(body).unwrap_or_default();
    let field = |name: &str| match &document[name] {
        Value::String(text) => text.clone(),
        value => value.to_string(),
    };
    let id = field("id");
    let Some(tasks) = document["tasks"].as_array() else {
        let (state, done, total) = (field("state"), field("done"), field("total"));
        output::print(&format!(
            "job {id}: {state}, {done} of {total} tasks done\n"
        ));
        return;
    };
    let mut text = format!("job {id}: complete, {} tasks\n", tasks.len());
    for (index, task) in tasks.iter().enumerate() {
        let body = ["json", "text", "base64"].iter().find_map(|k| task.get(*k));
        let body = body.map(Value::to_string).unwrap_or_default();
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{index}\t{}\t{body}", task["status"]);
    }
    output::print(&text);
}
