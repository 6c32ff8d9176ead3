//! `chervilring note`: submits, checks, shows and lists release notes.

use std::path::{Path, PathBuf};
use std::time::Duration;

use argh::FromArgs;
use chervilring_core::config::{AuditRecord, Note};
use chervilring_store::{Accepted, ConfigStore, SubmitError};
use chervilring_wire::Revision;
use serde_json::json;

use super::audit::{line, summary};
use super::in_force::{self, InForce};
use super::{input, store};
use crate::client::Client;
use crate::exit::{ExitStatus, Failed};
use crate::output::{self, Output};

/// How long one question to an entry may take.
const ASK_TIME: Duration = Duration::from_secs(2);

/// Submits, checks, shows and lists release notes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "note")]
pub struct NoteCommand {
    #[argh(subcommand)]
    action: Action,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Action {
    Submit(SubmitCommand),
    Check(CheckCommand),
    Show(ShowCommand),
    List(ListCommand),
}

/// Submits a release note: it is applied whole, or not at all. Submitting it again is safe.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "submit",
    example = "{command_name} --store http://10.1.0.1:2379 --who ana note.json",
    example = "{command_name} --wait --entry 10.1.2.3:8080,10.1.2.4:8080 note.json",
    error_code(2, "the note is not valid; nothing was sent"),
    error_code(3, "the note was not accepted"),
    error_code(4, "it may have been accepted, or is not in force everywhere yet"),
    error_code(5, "the store was not reached; the note was not accepted")
)]
struct SubmitCommand {
    /// URLs of the platform's store, comma-separated (`CHERVILRING_STORE`)
    #[argh(option)]
    store: Option<String>,
    /// what all keys in the store start with [chervilring/]
    #[argh(option)]
    prefix: Option<String>,
    /// who submits it, for the audit trail (`CHERVILRING_WHO`) [the name of the user]
    #[argh(option)]
    who: Option<String>,
    /// seconds to go on when the store gives no clear answer [20]
    #[argh(option)]
    settle: Option<u64>,
    /// wait until the note is in force in every process
    #[argh(switch)]
    wait: bool,
    /// seconds to wait for that [30]
    #[argh(option, default = "30")]
    wait_secs: u64,
    /// HTTP addresses of entries to ask, comma-separated (`CHERVILRING_ENTRY`)
    #[argh(option)]
    entry: Option<String>,
    /// text or json [text]
    #[argh(option, default = "Output::Text")]
    output: Output,
    /// file with the note as a JSON document; - is standard input
    #[argh(positional)]
    file: PathBuf,
}

/// Checks a release note without submitting it. Given a store, also against what is in force.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "{command_name} note.json",
    error_code(2, "the note is not valid"),
    error_code(3, "it does not fit what is in force"),
    error_code(5, "the store was not reached")
)]
struct CheckCommand {
    /// URLs of the platform's store, comma-separated [none: the note is checked by itself]
    #[argh(option)]
    store: Option<String>,
    /// what all keys in the store start with [chervilring/]
    #[argh(option)]
    prefix: Option<String>,
    /// text or json [text]
    #[argh(option, default = "Output::Text")]
    output: Output,
    /// file with the note as a JSON document; - is standard input
    #[argh(positional)]
    file: PathBuf,
}

/// Shows the configuration in force, or the note that made a revision, as a JSON document.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "show",
    example = "{command_name}",
    example = "{command_name} 12",
    error_code(3, "there is no record of the revision"),
    error_code(5, "the store was not reached")
)]
struct ShowCommand {
    /// URLs of the platform's store, comma-separated (`CHERVILRING_STORE`)
    #[argh(option)]
    store: Option<String>,
    /// what all keys in the store start with [chervilring/]
    #[argh(option)]
    prefix: Option<String>,
    /// text (indented) or json (one line) [text]
    #[argh(option, default = "Output::Text")]
    output: Output,
    /// revision whose note is shown [the configuration in force]
    #[argh(positional)]
    revision: Option<u64>,
}

/// Lists the notes that were accepted, oldest first.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "list",
    example = "{command_name} --since 100",
    error_code(5, "the store was not reached")
)]
struct ListCommand {
    /// URLs of the platform's store, comma-separated (`CHERVILRING_STORE`)
    #[argh(option)]
    store: Option<String>,
    /// what all keys in the store start with [chervilring/]
    #[argh(option)]
    prefix: Option<String>,
    /// revision after which to begin [0]
    #[argh(option, default = "0")]
    since: u64,
    /// text or json [text]
    #[argh(option, default = "Output::Text")]
    output: Output,
}

/// Runs the command.
pub(crate) fn run(command: &NoteCommand) -> eyre::Result<ExitStatus> {
    match &command.action {
        Action::Submit(command) => submit(command),
        Action::Check(command) => check(command),
        Action::Show(command) => show(command),
        Action::List(command) => list(command),
    }
}

fn submit(command: &SubmitCommand) -> eyre::Result<ExitStatus> {
    let note = read(&command.file)?;
    let who = store::who(command.who.as_deref())?;
    let urls = command.store.as_deref();
    let store = store::open(urls, command.prefix.as_deref(), command.settle)?;
    let client = command
        .wait
        .then(|| Client::new(command.entry.as_deref(), Some(ASK_TIME)));
    let client = client.transpose()?;
    let accepted = store.submit(&note, &who, store::now());
    let accepted = accepted.map_err(|e| submit_failed(&e))?;
    let waited = client.map(|client| {
        let span = Duration::from_secs(command.wait_secs);
        in_force::wait(&client, accepted.revision, span)
    });
    match command.output {
        Output::Json => print_json(&note, &accepted, waited.as_ref()),
        Output::Text => print_text(&note, &accepted, waited.as_ref()),
    }
    Ok(match waited {
        Some((state, _)) if !state.everywhere() => ExitStatus::MayHaveRun,
        _ => ExitStatus::Ok,
    })
}

fn print_json(note: &Note, accepted: &Accepted, waited: Option<&(InForce, Duration)>) {
    let mut document = json!({
        "note": note.id,
        "revision": accepted.revision,
        "repeated": accepted.repeated,
    });
    if let Some((state, elapsed)) = waited {
        document["everywhere"] = state.everywhere().into();
        document["seconds"] = elapsed.as_secs_f64().into();
        document["in_force"] = json!(state);
    }
    output::print_json(&document);
}

fn print_text(note: &Note, accepted: &Accepted, waited: Option<&(InForce, Duration)>) {
    let Accepted { revision, repeated } = accepted;
    let earlier = if *repeated {
        ", by an earlier submission"
    } else {
        ""
    };
    let id = &note.id;
    output::print(&format!(
        "note {id} accepted as revision {revision}{earlier}\n"
    ));
    let Some((state, elapsed)) = waited else {
        return;
    };
    let (count, secs) = (state.there.len(), elapsed.as_secs_f64());
    if state.everywhere() {
        output::print(&format!(
            "in force in all {count} processes after {secs:.2} s\n"
        ));
        return;
    }
    output::print(&format!(
        "in force in {count} processes after {secs:.2} s, but not in:\n"
    ));
    for (process, found) in &state.lagging {
        output::print(&format!("  {process}, which has revision {found}\n"));
    }
    for (entry, reason) in &state.silent {
        output::print(&format!("  {entry}, which does not answer: {reason}\n"));
    }
    if state.lagging.is_empty() && state.silent.is_empty() {
        output::print("  any process: the entries know of none\n");
    }
}

/// Returns the failure with the exit status that tells whether the note may be accepted.
fn submit_failed(error: &SubmitError) -> Failed {
    let status = match error {
        SubmitError::Store(e) => store::read_status(e),
        other => ExitStatus::from(other.verdict()),
    };
    Failed::new(status, error.to_string())
}

fn check(command: &CheckCommand) -> eyre::Result<ExitStatus> {
    let note = read(&command.file)?;
    let urls = command.store.as_deref();
    if urls.is_some() {
        let store = store::open(urls, command.prefix.as_deref(), None)?;
        let current = store.current().map_err(|e| store::read_failed(&e))?;
        let applied = current.config.apply(&note);
        applied.map_err(|e| Failed::new(ExitStatus::Refused, e.to_string()))?;
    }
    match command.output {
        Output::Json => output::print_json(&json!({ "note": note.id, "valid": true })),
        Output::Text => output::print(&format!("note {} is valid: {}\n", note.id, summary(&note))),
    }
    Ok(ExitStatus::Ok)
}

fn show(command: &ShowCommand) -> eyre::Result<ExitStatus> {
    let store = store::open(command.store.as_deref(), command.prefix.as_deref(), None)?;
    let document = if let Some(revision) = command.revision {
        serde_json::to_value(record(&store, Revision(revision))?)?
    } else {
        let current = store.current().map_err(|e| store::read_failed(&e))?;
        serde_json::from_slice(&current.config.to_json())?
    };
    match command.output {
        Output::Json => output::print_json(&document),
        Output::Text => output::print(&format!("{document:#}\n")),
    }
    Ok(ExitStatus::Ok)
}

fn record(store: &ConfigStore, revision: Revision) -> eyre::Result<AuditRecord> {
    let record = store.record(revision).map_err(|e| store::read_failed(&e))?;
    let missing = || {
        Failed::new(
            ExitStatus::Refused,
            format!("revision {revision} has no record"),
        )
    };
    Ok(record.ok_or_else(missing)?)
}

fn list(command: &ListCommand) -> eyre::Result<ExitStatus> {
    let store = store::open(command.store.as_deref(), command.prefix.as_deref(), None)?;
    let records = store.audit(Revision(command.since));
    let records = records.map_err(|e| store::read_failed(&e))?;
    match command.output {
        Output::Json => output::print_json(&records),
        Output::Text => records
            .iter()
            .for_each(|record| output::print(&line(record))),
    }
    Ok(ExitStatus::Ok)
}

fn read(file: &Path) -> eyre::Result<Note> {
    let bytes = input::read(file)?;
    let shown = file.display();
    let text = String::from_utf8(bytes);
    let text = text.map_err(|_| Failed::usage(format!("{shown} is not UTF-8 text")))?;
    let note = Note::parse(&text);
    Ok(note.map_err(|e| Failed::usage(format!("{shown} is not a valid note:\n{e}")))?)
}
