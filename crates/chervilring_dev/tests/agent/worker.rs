//! An agent process with its upstream, linked to a fake entry.

use std::path::Path;
use std::time::Duration;

use chervilring_dev::process::{Process, Program};
use chervilring_dev::upstream::{Upstream, UpstreamSettings};
use chervilring_wire::AgentState;

use crate::fake_entry::FakeEntry;

/// An agent and all it speaks with.
pub(crate) struct Worker {
    pub(crate) entry: FakeEntry,
    pub(crate) agent: Process,
    pub(crate) upstream: Upstream,
}

pub(crate) fn program(entry: &FakeEntry) -> Program {
    let binary = Path::new(env!("CARGO_BIN_EXE_chervilring_dev"));
    Program::shipped(binary, "w1", "agent")
        .flag("name", "w1")
        .flag("domain", "norte")
        .flag("entries", entry.addr())
}

impl Worker {
    /// Starts all and waits until the agent takes work.
    pub(crate) fn start(slots: u32) -> Self {
        let mut entry = FakeEntry::new();
        let agent = program(&entry).start().expect("the agent starts");
        entry.accept();
        let settings = UpstreamSettings::new("u1", "parts")
            .agent(&agent.url())
            .slots(slots)
            .lease(Duration::from_secs(6));
        let upstream = Upstream::start(&settings).expect("the upstream starts");
        entry.wait_state(AgentState::Ready);
        Self {
            entry,
            agent,
            upstream,
        }
    }

    /// Returns a JSON document that the agent serves.
    pub(crate) fn status(&self) -> serde_json::Value {
        let url = format!("{}/v1/status", self.agent.url());
        let mut answer = ureq::get(url).call().expect("the agent answers");
        let text = answer.body_mut().read_to_string().expect("text");
        serde_json::from_str(&text).expect("JSON")
    }
}
