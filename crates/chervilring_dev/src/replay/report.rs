//! Reports of replays.

use std::fmt::Write;

use super::measure::{Phase, Summary};
use super::trace::Target;

/// The form of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// One JSON document a replay.
    Json,
    /// A table.
    Text,
    /// A plot.
    Svg,
}

/// A replay with the aims it is held against.
#[derive(Debug, Clone)]
pub struct Line {
    /// The figures.
    pub summary: Summary,
    /// The aims.
    pub target: Target,
}

/// Renders replays in a form.
///
/// # Errors
///
/// Returns an error when the figures do not encode.
pub fn render(lines: &[Line], format: Format) -> eyre::Result<String> {
    match format {
        Format::Json => {
            let documents = lines.iter().map(|l| serde_json::to_string(&l.summary));
            Ok(documents.collect::<Result<Vec<_>, _>>()?.join("\n"))
        }
        Format::Text => Ok(text(lines)),
        Format::Svg => Ok(super::plot::svg(lines)),
    }
}

fn text(lines: &[Line]) -> String {
    let mut out = String::new();
    let head = "trace                       policy             phase     done/arrived    p50    \
                p99  worst |  oracle p50    p99 | p50/o  p99/o | good  wasted  ctl viol";
    let _ = writeln!(out, "{head}");
    for line in lines {
        for phase in &line.summary.phases {
            let _ = writeln!(out, "{}", row(line, phase));
        }
        let _ = writeln!(out, "{}", aims(line));
        for violation in line.summary.violations.iter().take(5) {
            let _ = writeln!(out, "    VIOLATION: {violation}");
        }
    }
    out
}

fn row(line: &Line, phase: &Phase) -> String {
    let summary = &line.summary;
    format!(
        "{:27} {:18} {:8} {:6}/{:<6} {:6.2} {:6.2} {:6.1} | {:8.2} {:8.2} | {:5.2} {:6.2} | {:4.2} {:7.1} {:4.1} {:4}",
        summary.trace,
        summary.policy,
        phase.name,
        phase.completed,
        phase.arrived,
        phase.reached.median,
        phase.reached.tail,
        phase.reached.worst,
        phase.oracle.median,
        phase.oracle.tail,
        phase.reached.median / phase.oracle.median,
        phase.reached.tail / phase.oracle.tail,
        phase.goodput,
        summary.wasted.total(),
        summary.control,
        summary.violations.len(),
    )
}

/// Returns what is aimed at and whether the last phase reaches it.
fn aims(line: &Line) -> String {
    let summary = &line.summary;
    let Some(last) = summary.phases.last() else {
        return String::new();
    };
    let wasted = line.target.wasted.filter(|_| summary.control > 0.0);
    let checks = [
        (
            "p50/oracle",
            line.target.median,
            last.reached.median / last.oracle.median,
            false,
        ),
        (
            "p99/oracle",
            line.target.tail,
            last.reached.tail / last.oracle.tail,
            false,
        ),
        ("p50/ideal", line.target.ideal, last.reached.median, false),
        ("wasted", wasted, summary.wasted.total(), false),
        ("goodput", line.target.goodput, last.goodput, true),
    ];
    let mut out = String::from("   ");
    for (name, target, reached, at_least) in checks {
        let Some(target) = target else { continue };
        let met = if at_least {
            reached >= target
        } else {
            reached <= target
        };
        let sign = if at_least { ">=" } else { "<=" };
        let word = if met { "met" } else { "MISSED" };
        let _ = write!(out, " {name} {reached:.2} {sign} {target} {word};");
    }
    let failures = summary
        .failures
        .iter()
        .map(|(name, count)| format!("{count} {name}"));
    let failures: Vec<_> = failures.collect();
    let wasted = &summary.wasted;
    let messages = if summary.control > 0.0 {
        format!(
            "refused {:.1} retried {:.1} hedged {:.1} cancelled {:.1} turned {:.1}; ejected {}",
            wasted.refused,
            wasted.retried,
            wasted.hedged,
            wasted.cancelled,
            wasted.turned,
            summary.ejected,
        )
    } else {
        "not counted".to_owned()
    };
    let _ = write!(out, " wasted: {messages}; {}", failures.join(", "));
    out
}
