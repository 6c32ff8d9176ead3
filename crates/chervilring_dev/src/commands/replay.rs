//! `chervilring_dev replay`: plays traces and reports how near the answers came to the ideal.

use std::fs::File;
use std::io::BufReader;

use argh::FromArgs;
use chervilring_core::dispatch::Policy;
use chervilring_dev::replay::trace::Trace;
use chervilring_dev::replay::{Format, Line, generate, names, play, play_processes, render};
use eyre::{Context, eyre};

/// plays a trace, by name or from a file of JSON lines
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "replay")]
pub(crate) struct ReplayArgs {
    /// the trace: a name or a file
    #[argh(positional)]
    trace: Option<String>,

    /// play all traces
    #[argh(switch)]
    all: bool,

    /// the policy; `all` for each in turn (default: the dispatcher's own)
    #[argh(option)]
    policy: Option<String>,

    /// the seed of traces and policies (default: 1)
    #[argh(option, default = "1")]
    seed: u64,

    /// play against the decision core in virtual time rather than against processes
    #[argh(switch)]
    core: bool,

    /// the form of the report: text, json or svg (default: text)
    #[argh(option, default = "String::from(\"text\")")]
    report: String,

    /// write the trace to this file instead of playing it
    #[argh(option)]
    write: Option<String>,
}

/// Plays traces and prints the report.
///
/// # Errors
///
/// Returns an error for an unknown trace, policy or form of report, and when anything happened that
/// must not.
pub(crate) fn run(args: &ReplayArgs) -> eyre::Result<()> {
    let format = match args.report.as_str() {
        "text" => Format::Text,
        "json" => Format::Json,
        "svg" => Format::Svg,
        other => return Err(eyre!("report \"{other}\" is none of text, json, svg")),
    };
    let traces = traces(args)?;
    if let Some(path) = &args.write {
        let file = File::create(path).wrap_err_with(|| format!("cannot create {path}"))?;
        return traces.first().map_or(Ok(()), |t| t.write(file));
    }
    if !args.core && args.policy.is_some() {
        return Err(eyre!(
            "--policy goes with --core: processes have the one they ship with"
        ));
    }
    let policies = policies(args.policy.as_deref())?;
    let mut lines = Vec::new();
    for trace in &traces {
        for policy in &policies {
            let played = if args.core {
                play(trace, *policy, args.seed)
            } else {
                play_processes(trace, &std::env::current_exe()?)?
            };
            let line = Line {
                summary: played.summary(trace, policy.name),
                target: trace.head.target,
            };
            eprintln!("played {} with {}", trace.head.name, policy.name);
            lines.push(line);
        }
    }
    println!("{}", render(&lines, format)?);
    let violations: usize = lines.iter().map(|l| l.summary.violations.len()).sum();
    if violations > 0 {
        return Err(eyre!("{violations} violations of the stated outcomes"));
    }
    Ok(())
}

fn traces(args: &ReplayArgs) -> eyre::Result<Vec<Trace>> {
    let known = names();
    if args.all {
        return Ok(known
            .iter()
            .filter_map(|n| generate(n, args.seed))
            .collect());
    }
    let name = args
        .trace
        .as_ref()
        .ok_or_else(|| eyre!("name a trace, or give --all"))?;
    if let Some(trace) = generate(name, args.seed) {
        return Ok(vec![trace]);
    }
    let file = File::open(name).wrap_err_with(|| {
        format!(
            "\"{name}\" is neither a file nor one of the traces {}",
            known.join(", ")
        )
    })?;
    Ok(vec![Trace::read(BufReader::new(file))?])
}

fn policies(name: Option<&str>) -> eyre::Result<Vec<Policy>> {
    match name {
        None => Ok(vec![Policy::default()]),
        Some("all") => Ok(Policy::all()),
        Some(name) => {
            let known: Vec<_> = Policy::all().iter().map(|p| p.name).collect();
            let policy = Policy::by_name(name)
                .ok_or_else(|| eyre!("policy \"{name}\" is none of {}", known.join(", ")))?;
            Ok(vec![policy])
        }
    }
}
