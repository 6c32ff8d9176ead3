//! Announcements to the agent.

use std::time::Duration;

use eyre::{bail, eyre};
use serde_json::json;
use ureq::Agent;

use super::settings::UpstreamSettings;

/// How long the agent may take to answer.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Announces the upstream to its agent.
#[derive(Debug)]
pub(super) struct Announcer {
    http: Agent,
    target: String,
    document: String,
}

impl Announcer {
    /// Creates the announcer, if the settings name an agent.
    pub(super) fn new(settings: &UpstreamSettings, url: &str) -> Option<Self> {
        let agent = settings.agent.as_ref()?;
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .timeout_global(Some(TIMEOUT))
            .build();
        let document = json!({
            "url": url,
            "services": settings.services,
            "labels": settings.labels,
            "slots": settings.slots,
            "connections": settings.connections,
            "lease": format!("{}ms", settings.lease.as_millis()),
        });
        Some(Self {
            http: config.new_agent(),
            target: format!("{agent}/v1/upstream"),
            document: document.to_string(),
        })
    }

    /// Announces that the upstream takes work.
    pub(super) fn announce(&self) -> eyre::Result<()> {
        let request = self.http.put(&self.target).content_type("application/json");
        let mut answer = request.send(&self.document)?;
        if !answer.status().is_success() {
            let detail = answer.body_mut().read_to_string()?;
            bail!("the agent does not take the announcement: {detail}");
        }
        Ok(())
    }

    /// Announces that the upstream takes no more work.
    pub(super) fn leave(&self) -> eyre::Result<()> {
        let answer = self.http.delete(&self.target).call()?;
        if answer.status().is_success() {
            return Ok(());
        }
        Err(eyre!("the agent answered {}", answer.status()))
    }
}
