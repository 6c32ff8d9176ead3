//! `chervilring entry`: runs an entry.

use argh::FromArgs;
use chervilring_daemon::settings::{EntrySettings, Source};

use crate::exit::ExitStatus;
use crate::output;

/// Runs an entry: takes requests and jobs of callers and has agents run them.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "entry",
    example = "{command_name} --name e1 --domain norte --http 10.1.2.3:8080 --peer 10.1.2.3:8081 \
               --store http://10.1.0.1:2379",
    example = "CHERVILRING_NAME=e1 CHERVILRING_DOMAIN=norte {command_name} --check"
)]
pub struct EntryCommand {
    /// name of the entry, unique and kept over restarts
    #[argh(option)]
    name: Option<String>,
    /// failure domain that the entry stands in
    #[argh(option)]
    domain: Option<String>,
    /// address for callers and operators [127.0.0.1:0]
    #[argh(option)]
    http: Option<String>,
    /// address for peers and agents, TCP and UDP [127.0.0.1:0]
    #[argh(option)]
    peer: Option<String>,
    /// peer address as others see it, where it differs
    #[argh(option)]
    advertise: Option<String>,
    /// URLs of the platform's store, comma-separated
    #[argh(option)]
    store: Option<String>,
    /// what all keys in the store start with [chervilring/]
    #[argh(option)]
    prefix: Option<String>,
    /// how long the lease in the store lasts [5s]
    #[argh(option)]
    lease: Option<String>,
    /// how long authority to start work lasts, at most the lease [3s]
    #[argh(option)]
    authority: Option<String>,
    /// how far clocks may differ [2s]
    #[argh(option)]
    skew: Option<String>,
    /// how long ids and answers are remembered [600s]
    #[argh(option)]
    window: Option<String>,
    /// ids without a stamp that are remembered [200000]
    #[argh(option)]
    ids: Option<String>,
    /// bytes of answers that are kept [268435456]
    #[argh(option)]
    answers: Option<String>,
    /// longest body in bytes [16777216]
    #[argh(option)]
    body: Option<String>,
    /// callers that may wait at once [10000]
    #[argh(option)]
    callers: Option<String>,
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

impl EntryCommand {
    fn source(self) -> Source {
        Source::from_env()
            .flag("name", self.name)
            .flag("domain", self.domain)
            .flag("http", self.http)
            .flag("peer", self.peer)
            .flag("advertise", self.advertise)
            .flag("store", self.store)
            .flag("prefix", self.prefix)
            .flag("lease", self.lease)
            .flag("authority", self.authority)
            .flag("skew", self.skew)
            .flag("window", self.window)
            .flag("ids", self.ids)
            .flag("answers", self.answers)
            .flag("body", self.body)
            .flag("callers", self.callers)
            .flag("stop", self.stop)
            .flag("log-format", self.log_format)
            .flag("log-level", self.log_level)
    }
}

/// Runs the command until the entry stops.
pub(crate) fn run(command: EntryCommand) -> eyre::Result<ExitStatus> {
    let check = command.check;
    let settings = EntrySettings::read(&command.source())?;
    if check {
        output::print(&settings.to_string());
        return Ok(ExitStatus::Ok);
    }
    chervilring_daemon::run_entry(&settings)?;
    Ok(ExitStatus::Ok)
}
