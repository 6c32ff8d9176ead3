//! The command that runs a stand-in of an upstream.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use argh::FromArgs;
use chervilring_dev::upstream::{Faults, Upstream, UpstreamSettings};
use eyre::ensure;
use serde_json::json;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::flag;

/// How often a stop is looked for.
const LOOK: Duration = Duration::from_millis(10);

/// runs a stand-in of an upstream: a task sleeps for the `work_ms` of its JSON body, or of an
/// opaque body that starts with `work_ms=`; faults can be changed at PUT /faults, starts are counted
/// at GET /counts
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "upstream")]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each switch is a flag of its own"
)]
pub(crate) struct UpstreamArgs {
    /// name in its answers (default: upstream)
    #[argh(option, default = "\"upstream\".into()")]
    name: String,
    /// address to listen at (default: 127.0.0.1:0, a port chosen by the system)
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
    /// URL of the agent that it announces itself to
    #[argh(option)]
    agent: Option<String>,
    /// a service that it does; may be repeated
    #[argh(option)]
    service: Vec<String>,
    /// a label of its worker, as key=value; may be repeated
    #[argh(option)]
    label: Vec<String>,
    /// tasks at once (default: 8)
    #[argh(option, default = "8")]
    slots: u32,
    /// connections at once (default: 64)
    #[argh(option, default = "64")]
    connections: u32,
    /// milliseconds that an announcement lasts (default: 3000)
    #[argh(option, default = "3000")]
    lease_ms: u64,
    /// how many times as fast as declared it works (default: 1)
    #[argh(option, default = "1.0")]
    speed: f64,
    /// how many times as long tasks take (default: 1)
    #[argh(option, default = "1.0")]
    slow: f64,
    /// tasks begin and never end
    #[argh(switch)]
    hang: bool,
    /// tasks fail at once
    #[argh(switch)]
    fail: bool,
    /// tasks are refused as not run
    #[argh(switch)]
    refuse: bool,
    /// the connection is closed in place of an answer
    #[argh(switch)]
    drop: bool,
    /// the connection is closed in the middle of an answer
    #[argh(switch)]
    cut: bool,
}

/// Runs the stand-in until it is stopped: it leaves its agent then, and ends what it has.
pub(crate) fn run(args: UpstreamArgs) -> eyre::Result<()> {
    ensure!(args.speed > 0.0, "--speed {} is not above 0", args.speed);
    ensure!(
        !args.service.is_empty(),
        "--service is missing: name a service that it does"
    );
    let faults = Faults {
        slow: args.slow,
        hang: args.hang,
        fail: args.fail,
        refuse: args.refuse,
        drop: args.drop,
        cut: args.cut,
        ..Faults::default()
    };
    let upstream = Upstream::start(&settings(args))?;
    upstream.set_faults(faults);
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        flag::register(signal, Arc::clone(&stop))?;
    }
    let http = upstream.url().replace("http://", "");
    let mut out = std::io::stdout();
    writeln!(out, "{}", json!({"listening": {"http": http}}))?;
    out.flush()?;
    while !stop.load(Ordering::Relaxed) && !upstream.has_ended() {
        thread::sleep(LOOK);
    }
    if upstream.has_ended() {
        return Ok(());
    }
    upstream.leave();
    while !upstream.has_left() || upstream.counts().running > 0 {
        thread::sleep(LOOK);
    }
    Ok(())
}

fn settings(args: UpstreamArgs) -> UpstreamSettings {
    let settings = UpstreamSettings::new(&args.name, "")
        .addr(args.listen)
        .services(args.service)
        .labels(args.label)
        .slots(args.slots)
        .connections(args.connections)
        .lease(Duration::from_millis(args.lease_ms))
        .speed(args.speed);
    match &args.agent {
        Some(url) => settings.agent(url),
        None => settings,
    }
}
