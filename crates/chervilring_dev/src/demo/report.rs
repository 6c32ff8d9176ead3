//! What the demo prints.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::time::Duration;

use serde_json::Value;

use crate::process::{Cluster, Process};

/// Prints a line. A reader that has gone away is no error.
pub(super) fn print(line: &str) {
    let mut out = io::stdout().lock();
    let _ = writeln!(out, "{line}").and_then(|()| out.flush());
}

/// Returns a span as text.
pub(super) fn seconds(span: Duration) -> String {
    format!("{:.3} s", span.as_secs_f64())
}

/// Prints the processes that run.
pub(super) fn processes(cluster: &Cluster, speeds: &[f64], took: Duration) {
    let place = |p: &Process| format!("{:4} pid {:<8} {}", p.name(), p.id(), p.url());
    print(&format!(
        "platform pid {:<8} {}",
        cluster.platform.id(),
        cluster.platform.url()
    ));
    for entry in &cluster.entries {
        print(&place(entry));
    }
    for (worker, speed) in cluster.workers.iter().zip(speeds) {
        print(&place(&worker.agent));
        print(&format!("  {} speed {speed}", place(&worker.upstream)));
    }
    print(&format!("all processes ready after {}", seconds(took)));
}

/// Returns how many outputs came from each upstream.
pub(super) fn by_upstream(outputs: &[Value]) -> String {
    let mut counts = BTreeMap::<&str, usize>::new();
    for output in outputs {
        let upstream = output["json"]["upstream"].as_str().unwrap_or("?");
        *counts.entry(upstream).or_default() += 1;
    }
    let parts = counts.iter().map(|(name, count)| format!("{name} {count}"));
    parts.collect::<Vec<_>>().join(", ")
}
