//! `chervilring clear-doubts`: has ids of lost homes count as new again.

use std::time::Duration;

use argh::FromArgs;

use crate::client::Client;
use crate::exit::{ExitStatus, Failed};
use crate::output;

/// How long to wait for an entry.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Has ids that a lost entry may have started, without a record, count as new again. Only when no
/// caller will submit an id of before once more.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "clear-doubts",
    example = "{command_name} --entry 10.1.2.3:8080,10.1.2.4:8080",
    note = "Ids that are UUIDv7 need no clearing: those made after the loss are not in doubt. Name \
            all entries: each keeps the word for itself.",
    error_code(5, "at least one of the entries was not reached")
)]
pub struct ClearDoubtsCommand {
    /// HTTP addresses of the entries, comma-separated (`CHERVILRING_ENTRY`)
    #[argh(option)]
    entry: Option<String>,
}

/// Runs the command.
pub(crate) fn run(command: &ClearDoubtsCommand) -> eyre::Result<ExitStatus> {
    let client = Client::new(command.entry.as_deref(), Some(TIMEOUT))?;
    let mut status = ExitStatus::Ok;
    for entry in client.entries() {
        let response = client.send_to(entry, "DELETE", "/v1/doubts", &[], None);
        let checked = response
            .map_err(Failed::from)
            .and_then(crate::client::Response::check);
        let text = match checked {
            Ok(_) => "doubts cleared".to_owned(),
            Err(error) => {
                status = ExitStatus::Unreachable;
                error.message
            }
        };
        output::print(&format!("{entry}: {text}\n"));
    }
    Ok(status)
}
