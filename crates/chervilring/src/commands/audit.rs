//! `chervilring audit`: shows who changed what, and when.

use argh::FromArgs;
use chervilring_core::config::{AuditRecord, Note};
use chervilring_wire::{Revision, ServiceName};

use super::store;
use super::utc::utc;
use crate::exit::ExitStatus;
use crate::output::{self, Output};

/// Shows who changed what, when and from which base, oldest first.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "audit",
    example = "{command_name} --since 100",
    example = "{command_name} --follow --output json",
    error_code(5, "the store was not reached")
)]
pub struct AuditCommand {
    /// URLs of the platform's store, comma-separated (`CHERVILRING_STORE`)
    #[argh(option)]
    store: Option<String>,
    /// what all keys in the store start with [chervilring/]
    #[argh(option)]
    prefix: Option<String>,
    /// revision after which to begin [0]
    #[argh(option, default = "0")]
    since: u64,
    /// go on with further changes as they are accepted
    #[argh(switch)]
    follow: bool,
    /// text, or json with one document a line [text]
    #[argh(option, default = "Output::Text")]
    output: Output,
}

/// Runs the command.
pub(crate) fn run(command: &AuditCommand) -> eyre::Result<ExitStatus> {
    let store = store::open(command.store.as_deref(), command.prefix.as_deref(), None)?;
    let since = Revision(command.since);
    let records = store.audit(since).map_err(|e| store::read_failed(&e))?;
    for record in &records {
        print(record, command.output);
    }
    if !command.follow {
        return Ok(ExitStatus::Ok);
    }
    let last = records.last().map_or(since, |record| record.revision);
    let mut watch = store.follow(last);
    let mut failing = false;
    loop {
        match watch.wait() {
            Ok(record) => {
                print(&record, command.output);
                failing = false;
            }
            Err(error) => {
                if !failing {
                    eprintln!("{error}; going on");
                }
                failing = true;
            }
        }
    }
}

fn print(record: &AuditRecord, output: Output) {
    match output {
        Output::Json => output::print_json(record),
        Output::Text => output::print(&line(record)),
    }
}

/// Returns one line about a record.
pub(super) fn line(record: &AuditRecord) -> String {
    let AuditRecord {
        revision,
        who,
        note,
        ..
    } = record;
    let when = utc(record.when);
    let (id, base) = (&note.id, note.base);
    let reason = note
        .reason
        .as_ref()
        .map(|r| format!(" ({r:?})"))
        .unwrap_or_default();
    let changes = summary(note);
    format!("{revision}  {when}  {who:?}  note {id} on {base}: {changes}{reason}\n")
}

/// Returns what a note does, in one line.
pub(super) fn summary(note: &Note) -> String {
    let names = |word: &str, names: Vec<&str>| {
        (!names.is_empty()).then(|| format!("{word} {}", names.join(", ")))
    };
    let added = note.added.iter().map(|s| s.name.as_str()).collect();
    let changed = note.changed.iter().map(|s| s.name.as_str()).collect();
    let withdrawn = note.withdrawn.iter().map(ServiceName::as_str).collect();
    let parts = [
        names("added", added),
        names("changed", changed),
        names("withdrawn", withdrawn),
    ];
    parts.into_iter().flatten().collect::<Vec<_>>().join("; ")
}
