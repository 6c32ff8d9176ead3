//! `chervilring declare-dead`: has a lost entry evicted on an operator's word.

use std::time::Duration;

use argh::FromArgs;
use serde_json::Value;

use crate::client::Client;
use crate::exit::{ExitStatus, Failed};
use crate::output;

/// How long to wait for an entry.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Declares an entry dead for good, so that the others take over its ids though too few of them
/// are left to be sure that it has stopped. Only for an entry whose process has surely ended.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "declare-dead",
    example = "{command_name} e2 --entry 10.1.2.3:8080,10.1.2.5:8080",
    note = "If the entry is still running somewhere, tasks may start twice. Name all entries that \
            are left: each keeps the word for itself.",
    error_code(3, "no entry knows a lost entry of this name"),
    error_code(5, "at least one of the entries was not reached")
)]
pub struct DeclareDeadCommand {
    /// name of the dead entry
    #[argh(positional)]
    name: String,
    /// HTTP addresses of the entries left, comma-separated (`CHERVILRING_ENTRY`)
    #[argh(option)]
    entry: Option<String>,
}

/// Runs the command.
pub(crate) fn run(command: &DeclareDeadCommand) -> eyre::Result<ExitStatus> {
    let client = Client::new(command.entry.as_deref(), Some(TIMEOUT))?;
    let mut declared = false;
    let mut reached = true;
    for entry in client.entries() {
        match declare(&client, entry, &command.name) {
            Ok(true) => {
                declared = true;
                output::print(&format!("{entry}: {} declared dead\n", command.name));
            }
            Ok(false) => {
                let name = &command.name;
                output::print(&format!("{entry}: knows no lost entry named {name}\n"));
            }
            Err(error) => {
                reached = false;
                output::print(&format!("{entry}: {}\n", error.message));
            }
        }
    }
    Ok(match (reached, declared) {
        (false, _) => ExitStatus::Unreachable,
        (true, true) => ExitStatus::Ok,
        (true, false) => ExitStatus::Refused,
    })
}

/// Tells one entry; returns whether it knows a lost entry of this name.
fn declare(client: &Client, entry: &str, name: &str) -> Result<bool, Failed> {
    let path = format!("/v1/members/{name}/dead");
    let response = client.send_to(entry, "POST", &path, &[], None);
    let response = response.map_err(Failed::from)?.check()?;
    // An answer that cannot be read tells of no declaration; the operator sees that none was made.
    let answer: Value = serde_json::from_slice(&response.body).unwrap_or_default();
    Ok(answer["declared"].as_bool().unwrap_or_default())
}
