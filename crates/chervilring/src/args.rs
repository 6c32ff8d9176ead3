//! Arguments.

use std::ffi::OsString;

use argh::FromArgs;

use crate::commands::{
    agent, audit, clear_doubts, declare_dead, entry, explain, job, note, planner, request, runner,
    status,
};

/// Dispatcher for sub-second tasks: daemons, and commands for operators and callers.
#[derive(Debug, FromArgs)]
#[argh(
    example = "{command_name} request --entry 127.0.0.1:8080 --service parts --body 'wheel'",
    note = "Flags of daemons may also be given as environment variables: --log-level is \
            CHERVILRING_LOG_LEVEL.",
    error_code(1, "internal error"),
    error_code(2, "wrong arguments or settings"),
    error_code(3, "refused: it was not run and nothing was changed"),
    error_code(4, "failed, but it may have run"),
    error_code(5, "no process was reached")
)]
pub struct Args {
    /// command to run
    #[argh(subcommand)]
    pub command: Command,
}

/// The commands.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Runs an agent.
    Agent(agent::AgentCommand),
    /// Runs an entry.
    Entry(entry::EntryCommand),
    /// Runs a planner.
    Planner(planner::PlannerCommand),
    /// Runs a runner.
    Runner(runner::RunnerCommand),
    /// Submits a request.
    Request(request::RequestCommand),
    /// Works with jobs.
    Job(job::JobCommand),
    /// Works with release notes.
    Note(note::NoteCommand),
    /// Shows the audit trail.
    Audit(audit::AuditCommand),
    /// Shows the status of entries.
    Status(status::StatusCommand),
    /// Asks a planner where a job would go.
    Explain(explain::ExplainCommand),
    /// Clears doubts about ids of lost entries.
    ClearDoubts(clear_doubts::ClearDoubtsCommand),
    /// Declares a lost entry dead.
    DeclareDead(declare_dead::DeclareDeadCommand),
}

/// Why there are no arguments to run with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParseError {
    /// Help was asked for.
    Help(String),
    /// The arguments are wrong.
    Usage(String),
}

/// Parses arguments, without the program's own name.
///
/// # Errors
///
/// Returns the text to print when help was asked for or the arguments are wrong.
pub fn parse(program: &str, arguments: Vec<OsString>) -> Result<Args, ParseError> {
    let mut texts = Vec::with_capacity(arguments.len());
    for (index, argument) in arguments.into_iter().enumerate() {
        let text = argument.into_string().map_err(|argument| {
            let place = index + 1;
            let shown = argument.display();
            let message = format!("error: argument {place} is not UTF-8 text: {shown}");
            ParseError::Usage(message)
        })?;
        texts.push(text);
    }
    let texts: Vec<&str> = texts.iter().map(String::as_str).collect();
    Args::from_args(&[program], &texts).map_err(|exit| match exit.status {
        Ok(()) => ParseError::Help(exit.output),
        Err(()) => ParseError::Usage(exit.output),
    })
}
