//! `chervilring status`: shows what entries report of themselves.

use std::fmt::{self, Write};
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
            // A status that cannot be read is shown as null.
            let status: Value = serde_json::from_slice(&response.body).unwrap_or_default();
            json!({ "entry": entry, "status": status })
        }
        Err(error) => json!({ "entry": entry, "error": error }),
    }
}

fn print_text(report: &Value) {
    let address = report["entry"].as_str().unwrap_or_default();
    if let Some(error) = report["error"].as_str() {
        output::print(&format!("{address}\n  {error}\n"));
        return;
    }
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = write_status(&mut text, address, &report["status"]);
    output::print(&text);
}

/// Writes the status of an entry: one line for it, and one for each service and upstream.
fn write_status(text: &mut String, address: &str, status: &Value) -> fmt::Result {
    let membership = &status["membership"];
    let ready = if status["ready"] == true {
        "ready"
    } else {
        "not ready"
    };
    writeln!(
        text,
        "{address}  entry {}: {ready}, revision {}, ring {} ({}), {} running, {} callers wait",
        word(&status["entry"]),
        status["revision"],
        membership["ring"],
        word(&membership["phase"]),
        status["running"],
        status["waiting"],
    )?;
    for peer in list(&membership["peers"]) {
        let up = if peer["up"] == true { "up" } else { "down" };
        writeln!(
            text,
            "  entry {}: {up}, {}",
            word(&peer["name"]),
            word(&peer["domain"])
        )?;
    }
    for service in list(&status["dispatch"]["services"]) {
        let (name, queued) = (word(&service["service"]), &service["queued"]);
        writeln!(
            text,
            "  service {name}: {queued} queued, {} upstreams",
            service["upstreams"]
        )?;
    }
    for agent in list(&status["dispatch"]["agents"]) {
        writeln!(
            text,
            "  upstream of {}: {}, {}, {} slots, {} tasks of this entry, {} of others",
            word(&agent["agent"]["name"]),
            word(&agent["state"]),
            word(&agent["domain"]),
            agent["slots"],
            agent["own"],
            agent["others"],
        )?;
    }
    write_lags(text, status)
}

/// Writes which processes have another revision in force than this entry.
fn write_lags(text: &mut String, status: &Value) -> fmt::Result {
    let own = &status["revision"];
    for (kind, name, rows) in [("entry", "entry", "peers"), ("agent", "agent", "agents")] {
        for row in list(&status[rows]) {
            if row["revision"] != *own {
                let who = word(&row[name]);
                writeln!(
                    text,
                    "  {kind} {who} has revision {}, not {own}",
                    row["revision"]
                )?;
            }
        }
    }
    Ok(())
}

fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

fn word(value: &Value) -> &str {
    value.as_str().unwrap_or("?")
}
