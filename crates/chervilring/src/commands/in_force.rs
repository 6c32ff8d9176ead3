//! Waiting until a configuration is in force in every process.

use std::collections::{BTreeMap, BTreeSet};
use std::thread;
use std::time::{Duration, Instant};

use chervilring_wire::Revision;
use serde::{Deserialize, Serialize};

use crate::client::Client;

/// The pause between two rounds of questions.
const PAUSE: Duration = Duration::from_millis(100);

/// What an entry says of the revisions it knows to be in force.
#[derive(Debug, Deserialize)]
struct Report {
    entry: String,
    revision: Revision,
    #[serde(default)]
    agents: Vec<AgentRow>,
    #[serde(default)]
    peers: Vec<PeerRow>,
}

#[derive(Debug, Deserialize)]
struct AgentRow {
    agent: String,
    revision: Revision,
}

#[derive(Debug, Deserialize)]
struct PeerRow {
    entry: String,
    revision: Revision,
}

/// Where a revision is in force.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub(super) struct InForce {
    /// Processes that have it, or a newer one.
    pub(super) there: BTreeSet<String>,
    /// Processes that lag, with the revision that they have.
    pub(super) lagging: BTreeMap<String, Revision>,
    /// Entries that did not answer, with the reason.
    pub(super) silent: BTreeMap<String, String>,
}

impl InForce {
    /// Returns whether every process has the revision.
    pub(super) fn everywhere(&self) -> bool {
        self.lagging.is_empty() && self.silent.is_empty() && !self.there.is_empty()
    }
}

/// Asks all entries until every process has the revision or the span is over, and returns what
/// was last known with the time that it took.
pub(super) fn wait(client: &Client, revision: Revision, span: Duration) -> (InForce, Duration) {
    let begun = Instant::now();
    loop {
        let state = ask(client, revision);
        let elapsed = begun.elapsed();
        if state.everywhere() || elapsed >= span {
            return (state, elapsed);
        }
        thread::sleep(PAUSE.min(span.saturating_sub(elapsed)));
    }
}

fn ask(client: &Client, revision: Revision) -> InForce {
    let mut newest = BTreeMap::<String, Revision>::new();
    let mut state = InForce::default();
    for address in client.entries() {
        match report(client, address) {
            Ok(report) => revisions(report, &mut newest),
            Err(reason) => {
                state.silent.insert(address.to_string(), reason);
            }
        }
    }
    for (process, found) in newest {
        if found >= revision {
            state.there.insert(process);
        } else {
            state.lagging.insert(process, found);
        }
    }
    state
}

/// Notes the newest revision that is known of each process.
fn revisions(report: Report, newest: &mut BTreeMap<String, Revision>) {
    let own = (format!("entry {}", report.entry), report.revision);
    let peers = report.peers.into_iter();
    let peers = peers.map(|peer| (format!("entry {}", peer.entry), peer.revision));
    let agents = report.agents.into_iter();
    let agents = agents.map(|row| (format!("agent {}", row.agent), row.revision));
    for (process, revision) in [own].into_iter().chain(peers).chain(agents) {
        let known = newest.entry(process).or_default();
        *known = revision.max(*known);
    }
}

fn report(client: &Client, address: &str) -> Result<Report, String> {
    let response = client.send_to(address, "GET", "/v1/status", &[], None);
    let response = response.map_err(|e| e.message)?;
    let response = response.check().map_err(|e| e.message)?;
    serde_json::from_slice(&response.body).map_err(|e| format!("its status does not parse: {e}"))
}
