//! `chervilring status`: shows what entries report of themselves.

use std::fmt::Write;
use std::time::Duration;

use argh::FromArgs;
use serde_json::{Value, json};

use crate::client::Client;
use crate::exit::ExitStatus;
use crate::output::{self, Output};

/// How long to wait for an entry.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Shows services, upstreams and entries, and the configuration revision that each has in force.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "status",
    example = "{command_name} --entry 10.1.2.3:8080,10.1.2.4:8080",
    error_code(5, "at least one of the entries was not reached")
)]
pub struct StatusCommand {
    /// HTTP addresses of entries, comma-separated (`CHERVILRING_ENTRY`)
    #[argh(option)]
    entry: Option<String>,
    /// text or json [text]
    #[argh(option, default = "Output::Text")]
    output: Output,
}

/// Runs the command.
pub(crate) fn run(command: &StatusCommand) -> eyre::Result<ExitStatus> {
    let client = Client::new(command.entry.as_deref(), Some(TIMEOUT))?;
    let reports: Vec<Value> = client
        .entries()
        .iter()
        .map(|e| report(&client, e))
        .collect();
    match command.output {
        Output::Json => output::print_json(&reports),
        Output::Text => reports.iter().for_each(print_text),
    }
    let reached = reports.iter().all(|report| report.get("error").is_none());
    Ok(if reached {
        ExitStatus::Ok
    } else {
        ExitStatus::Unreachable
    })
}

fn report(client: &Client, entry: &str) -> Value {
    let response = client.send_to(entry, "GET", "/v1/status", &[], None);
    let checked = match response {
        Ok(response) => response.check().map_err(|error| error.message),
        Err(error) => Err(error.message),
    };
    match checked {
        Ok(response) => {
            let status: Value = serde_json::from_slice(&response.body).unwrap_or_default();
            json!({ "entry": entry, "status": status })
        }
        Err(error) => json!({ "entry": entry, "error": error }),
    }
}

fn print_text(report: &Value) {
    let entry = report["entry"].as_str().unwrap_or_default();
    if let Some(error) = report["error"].as_str() {
        output::print(&format!("{entry}\n  {error}\n"));
        return;
    }
    let mut text = format!("{entry}\n");
    write_value(&mut text, &report["status"], 1);
    output::print(&text);
}

/// Writes a value with one line for each member, indented by its depth.
fn write_value(text: &mut String, value: &Value, depth: usize) {
    let members: Vec<(String, &Value)> = match value {
        Value::Object(map) => map.iter().map(|(k, v)| (k.clone(), v)).collect(),
        Value::Array(list) => list.iter().map(|v| ("-".to_owned(), v)).collect(),
        _ => return,
    };
    for (name, member) in members {
        let indent = "  ".repeat(depth);
        // Writing to a string cannot fail.
        let _ = match member {
            Value::Object(_) | Value::Array(_) => writeln!(text, "{indent}{name}"),
            Value::String(word) => writeln!(text, "{indent}{name}: {word}"),
            other => writeln!(text, "{indent}{name}: {other}"),
        };
        write_value(text, member, depth + 1);
    }
}
