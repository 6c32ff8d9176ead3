//! `chervilring agent`: runs an agent.

use argh::FromArgs;
use chervilring_daemon::settings::{AgentSettings, Source};

use crate::exit::ExitStatus;
use crate::output;

/// Runs the agent of an upstream: the upstream announces itself to it at PUT /v1/upstream, and it
/// has the upstream run what entries ask for.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "agent",
    example = "{command_name} --name w1 --domain norte --http 10.1.2.9:8090 \
               --entries 10.1.2.3:8081,10.1.3.3:8081",
    example = "CHERVILRING_NAME=w1 CHERVILRING_DOMAIN=norte {command_name} --check"
)]
pub struct AgentCommand {
    /// name of the agent, unique and kept over restarts
    #[argh(option)]
    name: Option<String>,
    /// failure domain that its worker stands in
    #[argh(option)]
    domain: Option<String>,
    /// address for the upstream and operators [127.0.0.1:0]
    #[argh(option)]
    http: Option<String>,
    /// address for announcements, UDP [the HTTP address, any port]
    #[argh(option)]
    udp: Option<String>,
    /// peer addresses of entries to start from, comma-separated
    #[argh(option)]
    entries: Option<String>,
    /// labels of the worker, as key=value, comma-separated
    #[argh(option)]
    labels: Option<String>,
    /// how long started ids are remembered [600s]
    #[argh(option)]
    window: Option<String>,
    /// starts that are remembered at once [200000]
    #[argh(option)]
    ids: Option<String>,
    /// how long a planned stop waits for work in flight [30s]
    #[argh(option)]
    stop: Option<String>,
    /// json or terminal [json]
    #[argh(option)]
    log_format: Option<String>,
    /// critical, error, warning, info, debug or trace [info]
    #[argh(option)]
    log_level: Option<String>,
    /// print the settled settings and exit
    #[argh(switch)]
    check: bool,
}

impl AgentCommand {
    fn source(self) -> Source {
        Source::from_env()
            .flag("name", self.name)
            .flag("domain", self.domain)
            .flag("http", self.http)
            .flag("udp", self.udp)
            .flag("entries", self.entries)
            .flag("labels", self.labels)
            .flag("window", self.window)
            .flag("ids", self.ids)
            .flag("stop", self.stop)
            .flag("log-format", self.log_format)
            .flag("log-level", self.log_level)
    }
}

/// Runs the command until the agent stops.
pub(crate) fn run(command: AgentCommand) -> eyre::Result<ExitStatus> {
    let check = command.check;
    let settings = AgentSettings::read(&command.source())?;
    if check {
        output::print(&settings.to_string());
        return Ok(ExitStatus::Ok);
    }
    chervilring_daemon::agent::run(&settings)?;
    Ok(ExitStatus::Ok)
}
