//! Where the configuration in force comes from, and how the reads of the store have gone since.

use chervilring_wire::Time;
use slog::{Logger, info};

use super::super::registry::ReadReport;
use crate::net::HttpRequest;

/// The most characters of a request's path that are logged.
const MAX_PATH: usize = 100;

/// Where the configuration in force comes from, and how the reads of the store have gone since.
#[derive(Debug, Default)]
pub(super) struct ConfigSource {
    version: u64,
    /// The store or a runner; empty before there is a configuration.
    from: &'static str,
    /// When it was put in force.
    since: Time,
    /// When the store was last read.
    last_read: Option<Time>,
    /// The revision of the store that this read showed.
    revision: u64,
    /// The failed reads since.
    failed_reads: u32,
    /// Why the last of them failed.
    last_error: String,
}

impl ConfigSource {
    /// Records that a configuration was put in force.
    pub(super) fn set_version(&mut self, now: Time, version: u64, from: &'static str) {
        self.version = version;
        self.from = from;
        self.since = now;
    }

    /// Records how a read of the store has gone.
    pub(super) fn record_read(&mut self, now: Time, report: ReadReport) {
        match report.outcome {
            Ok(revision) => {
                self.last_read = Some(now);
                self.revision = revision;
                self.failed_reads = 0;
                self.last_error.clear();
            }
            Err(error) => {
                self.failed_reads += 1;
                self.last_error = error;
            }
        }
    }

    /// Returns how many reads have failed since the last one that did not.
    pub(super) fn failed_reads(&self) -> u32 {
        self.failed_reads
    }

    /// Logs that no route in force matches a request, with what is known of the configuration.
    pub(super) fn log_unrouted(&self, log: &Logger, request: &HttpRequest, now: Time) {
        let path: String = request.path.chars().take(MAX_PATH).collect();
        let read_age = self.last_read.map(|read| now.duration_since(read).0);
        info!(log, "no route"; "host" => request.header("host").unwrap_or(""), "path" => path,
            "config" => self.version, "from" => self.from,
            "config_age_us" => now.duration_since(self.since).0, "read_age_us" => read_age,
            "revision" => self.revision, "failed_reads" => self.failed_reads,
            "last_error" => &self.last_error);
    }
}
