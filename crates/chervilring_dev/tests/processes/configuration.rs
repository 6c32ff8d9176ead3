//! Release notes while the store fails.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use chervilring_dev::process::{BOUND, Process, service, wait_for};
use chervilring_wire::Revision;
use serde_json::json;

use crate::common::{Fixture, PAUSE};

/// Within which an accepted note must be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(7);

#[test]
fn note_is_in_force_in_time_and_never_reverts_with_the_store_down() {
    let fixture = Fixture::start(&[1.0, 1.0]);
    let cluster = &fixture.cluster;
    let over = AtomicBool::new(false);
    thread::scope(|scope| {
        let watch = scope.spawn(|| watch_revisions(&fixture, &over));
        let run = || -> eyre::Result<()> {
            let added = [service("measure", true, "5s")];
            let note = json!({ "id": "note-2", "base": 1, "added": added });
            let revision = cluster.submit_note(&note)?;
            cluster.set_faults(&cluster.platform, &json!({ "down": "refuse" }))?;
            cluster.wait_in_force(revision, IN_FORCE)?;
            boot_with_store_down(&fixture, revision)
        };
        let result = run();
        over.store(true, Ordering::Release);
        watch.join().unwrap();
        result.unwrap();
    });
}

/// Starts an agent and an entry while the store is down: neither may work with what is older.
fn boot_with_store_down(fixture: &Fixture, revision: Revision) -> eyre::Result<()> {
    let cluster = &fixture.cluster;
    let agent = cluster.agent_program(2).start()?;
    let _upstream = cluster.upstream_program(0, &agent).start()?;
    let has_it = |process: &Process| (cluster.revision(process) == Some(revision.0)).then_some(());
    wait_for("the new agent has the revision", IN_FORCE, || {
        has_it(&agent)
    })?;
    let entry = cluster.entry_program(3).start()?;
    assert!(
        cluster.get(&entry, "/readyz").is_err(),
        "ready without the store"
    );
    cluster.set_faults(&cluster.platform, &json!({}))?;
    wait_for("the new entry has the revision", BOUND, || has_it(&entry))
}

/// Checks that no process ever goes back to an earlier revision.
fn watch_revisions(fixture: &Fixture, over: &AtomicBool) {
    let cluster = &fixture.cluster;
    let agents = cluster.workers.iter().map(|w| &w.agent);
    let processes: Vec<_> = cluster.entries.iter().chain(agents).collect();
    let mut last = vec![1; processes.len()];
    while !over.load(Ordering::Acquire) {
        for (process, last) in processes.iter().zip(&mut last) {
            let Some(revision) = cluster.revision(process) else {
                continue;
            };
            assert!(
                revision >= *last,
                "{} went back to {revision}",
                process.name()
            );
            *last = revision;
        }
        thread::sleep(PAUSE);
    }
}

#[test]
fn note_is_in_force_in_time_although_no_watch_brings_it() {
    let fixture = Fixture::start(&[1.0]);
    let cluster = &fixture.cluster;
    let faults = json!({ "mute": true });
    cluster.set_faults(&cluster.platform, &faults).unwrap();
    let added = [service("measure", true, "5s")];
    let note = json!({ "id": "note-2", "base": 1, "added": added });
    let revision = cluster.submit_note(&note).unwrap();
    cluster.wait_in_force(revision, IN_FORCE).unwrap();
}

#[test]
fn note_whose_answers_are_lost_is_accepted_once() {
    let fixture = Fixture::start(&[1.0]);
    let cluster = &fixture.cluster;
    let faults = json!({ "lose_next": 1 });
    cluster.set_faults(&cluster.platform, &faults).unwrap();
    let added = [service("measure", true, "5s")];
    let note = json!({ "id": "note-2", "base": 1, "added": added });
    assert_eq!(cluster.submit_note(&note).unwrap(), Revision(2));
    assert_eq!(cluster.submit_note(&note).unwrap(), Revision(2));
    cluster.wait_in_force(Revision(2), IN_FORCE).unwrap();
}
