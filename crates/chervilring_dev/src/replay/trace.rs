//! Traces: what callers submit, what fails, and which outcomes are stated.

use std::io::{BufRead, Write};

use chervilring_wire::{Kind, Micros, Name, TeamName};
use eyre::{Context, eyre};
use serde::{Deserialize, Serialize};

use super::deployment::Deployment;

/// What must become of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// One final answer, complete or failed.
    Answered,
    /// The complete answer.
    Complete,
    /// A refusal at once, as not run.
    Refused,
    /// Any, since the caller cancels it.
    Cancelled,
}

/// A submission of a caller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Arrival {
    /// When the caller sends it.
    #[serde(rename = "at_us")]
    pub at: Micros,
    /// Request or job.
    pub kind: Kind,
    /// The service; the deployment's when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<Name>,
    /// The team.
    pub team: TeamName,
    /// Whether a request may run again.
    pub idempotent: bool,
    /// Whether the caller names it by an id.
    pub keyed: bool,
    /// What the caller waits at most.
    #[serde(rename = "patience_us")]
    pub patience: Micros,
    /// True run times of the tasks on a worker of middling speed.
    #[serde(rename = "runs_us")]
    pub runs: Vec<u32>,
    /// Bytes of each task's body, which callers may think tell its size.
    pub declared: u32,
    /// After which span the caller cancels.
    #[serde(rename = "cancel_us", default, skip_serializing_if = "Option::is_none")]
    pub cancel: Option<Micros>,
    /// How often the caller submits it again when refused.
    #[serde(default)]
    pub again: u32,
    /// What must become of it.
    pub outcome: Outcome,
}

/// What happens to hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// Run times of a worker are multiplied from now on.
    Slow {
        /// The place of the worker.
        worker: usize,
        /// The factor to its own speed.
        factor: f64,
    },
    /// A worker fails all it is given, at once.
    Fail {
        /// The place of the worker.
        worker: usize,
    },
    /// A worker takes tasks and never answers.
    Mute {
        /// The place of the worker.
        worker: usize,
    },
    /// A failing or mute worker is well again.
    Heal {
        /// The place of the worker.
        worker: usize,
    },
    /// A host is gone, with its agent and upstream, without a word.
    Lose {
        /// The place of the worker.
        worker: usize,
    },
    /// A lost host is back.
    Return {
        /// The place of the worker.
        worker: usize,
    },
    /// A worker stops as planned and comes back.
    Restart {
        /// The place of the worker.
        worker: usize,
        /// How long it is away once it has stopped.
        #[serde(rename = "away_us")]
        away: Micros,
    },
    /// The platform's store goes out or comes back.
    Store {
        /// Whether it answers.
        up: bool,
    },
}

/// A change at its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// When.
    #[serde(rename = "at_us")]
    pub at: Micros,
    /// What.
    pub change: Change,
}

/// A span of a trace that is reported by itself, by the time of arrival.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// The name.
    pub name: Name,
    /// The start.
    #[serde(rename = "from_us")]
    pub from: Micros,
    /// The end.
    #[serde(rename = "to_us")]
    pub to: Micros,
}

/// The aims that a phase of a trace is held against.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Target {
    /// The median of response over ideal, over the oracle's.
    #[serde(default)]
    pub median: Option<f64>,
    /// The 99th percentile of response over ideal, over the oracle's.
    #[serde(default)]
    pub tail: Option<f64>,
    /// The median of response over ideal.
    #[serde(default)]
    pub ideal: Option<f64>,
    /// Wasted messages for each 1,000 tasks.
    #[serde(default)]
    pub wasted: Option<f64>,
    /// Work answered in time over capacity.
    #[serde(default)]
    pub goodput: Option<f64>,
}

/// What a trace is about.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// The name.
    pub name: Name,
    /// The hosts.
    pub deployment: Deployment,
    /// Task starts a second for each team over all entries, where limited.
    #[serde(default)]
    pub quotas: Vec<(TeamName, u32)>,
    /// Its phases; targets are held against the last one.
    pub phases: Vec<Span>,
    /// The aims.
    pub target: Target,
}

/// A trace.
#[derive(Debug, Clone, PartialEq)]
pub struct Trace {
    /// What it is about.
    pub head: Head,
    /// What callers submit, by time.
    pub arrivals: Vec<Arrival>,
    /// What fails, by time.
    pub faults: Vec<Fault>,
}

/// One line of a trace file.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Record {
    Head(Box<Head>),
    Arrival(Arrival),
    Fault(Fault),
}

impl Trace {
    /// Reads a trace of JSON lines, the head first.
    ///
    /// # Errors
    ///
    /// Returns an error that names the line when one does not parse or the head is missing.
    pub fn read(input: impl BufRead) -> eyre::Result<Self> {
        let mut head = None;
        let (mut arrivals, mut faults) = (Vec::new(), Vec::new());
        for (number, line) in input.lines().enumerate() {
            let line = line.wrap_err("the trace cannot be read")?;
            let record = serde_json::from_str(&line);
            match record.wrap_err_with(|| format!("line {} of the trace", number + 1))? {
                Record::Head(it) => head = Some(*it),
                Record::Arrival(it) => arrivals.push(it),
                Record::Fault(it) => faults.push(it),
            }
        }
        let head = head.ok_or_else(|| eyre!("the trace has no line with its head"))?;
        arrivals.sort_by_key(|a| a.at);
        faults.sort_by_key(|f| f.at);
        Ok(Self {
            head,
            arrivals,
            faults,
        })
    }

    /// Writes the trace as JSON lines.
    ///
    /// # Errors
    ///
    /// Returns an error when `out` cannot be written.
    pub fn write(&self, mut out: impl Write) -> eyre::Result<()> {
        let head = Record::Head(Box::new(self.head.clone()));
        writeln!(out, "{}", serde_json::to_string(&head)?)?;
        for arrival in &self.arrivals {
            let line = serde_json::to_string(&Record::Arrival(arrival.clone()))?;
            writeln!(out, "{line}")?;
        }
        for fault in &self.faults {
            let line = serde_json::to_string(&Record::Fault(fault.clone()))?;
            writeln!(out, "{line}")?;
        }
        Ok(())
    }

    /// Returns all tasks of the trace.
    pub fn tasks(&self) -> usize {
        self.arrivals.iter().map(|a| a.runs.len()).sum()
    }
}
