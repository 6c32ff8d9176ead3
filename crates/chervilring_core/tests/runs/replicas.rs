//! Replicas of the configuration at runners.

use chervilring_core::runs::Planner;
use chervilring_core::runs::planner::{LinkNo, PlannerSettings, PlannerStep};
use chervilring_wire::{ConfigReplica, PlannerMessage, RunnerMessage, Time};

/// The time between heartbeats, in microseconds.
const BEAT: u64 = 100_000;

fn replica(version: u64) -> ConfigReplica {
    ConfigReplica {
        version,
        document: "routes".into(),
    }
}

/// Returns a planner with links to `runners` runners, which have stored a replica of a version.
fn linked(runners: u64, version: u64) -> Planner {
    let mut planner = Planner::new(PlannerSettings::default(), Time(0));
    for runner in 0..runners {
        let message = RunnerMessage::Hello {
            name: format!("r{runner}").as_str().into(),
            domain: "d".into(),
            incarnation: 1,
            link_seq: runner,
            replica_version: version,
        };
        planner.message(Time(0), LinkNo(runner), message);
    }
    planner
}

/// Returns the links over which messages of a kind are sent.
fn sent(planner: &mut Planner, kind: fn(&PlannerMessage) -> bool) -> Vec<LinkNo> {
    let steps = planner.drain().into_iter();
    let sent = steps.filter_map(|step| match step {
        PlannerStep::Send { link, message } if kind(&message) => Some(link),
        _ => None,
    });
    sent.collect()
}

fn is_store(message: &PlannerMessage) -> bool {
    matches!(message, PlannerMessage::StoreReplica(_))
}

fn is_request(message: &PlannerMessage) -> bool {
    matches!(message, PlannerMessage::RequestReplica)
}

/// Returns the links over which a planner sends its configuration of version 3 until it sends no
/// more; each runner tells that it has stored it.
fn stored(planner: &mut Planner) -> Vec<LinkNo> {
    let mut links = Vec::new();
    for beat in 1.. {
        tick_linked(planner, beat);
        let [link] = sent(planner, is_store)[..] else {
            break;
        };
        links.push(link);
        planner.message(Time(beat * BEAT), link, RunnerMessage::ReplicaVersion(3));
    }
    links
}

/// Has a planner with 75 links do what is due at a heartbeat, which its runners have answered.
fn tick_linked(planner: &mut Planner, beat: u64) {
    for runner in 0..75 {
        planner.message(
            Time(beat * BEAT),
            LinkNo(runner),
            RunnerMessage::HeartbeatAck(beat),
        );
    }
    planner.tick(Time(beat * BEAT));
}

#[test]
fn a_few_runners_store_a_replica_and_are_sent_it_once() {
    let mut planner = linked(75, 0);
    planner.set_config(replica(3));
    let mut first = stored(&mut planner);
    assert_eq!(first.len(), 5);
    // Another planner chooses the same runners, and skips those that already have the version.
    let mut other = linked(75, 0);
    other.set_config(replica(3));
    other.message(Time(0), first[0], RunnerMessage::ReplicaVersion(3));
    let mut second = stored(&mut other);
    second.push(first[0]);
    second.sort_unstable();
    first.sort_unstable();
    assert_eq!(second, first);
}

#[test]
fn one_replica_at_a_time_is_sent_so_that_no_link_is_filled() {
    let mut planner = linked(75, 0);
    planner.set_config(replica(3));
    planner.tick(Time(BEAT));
    let [link] = sent(&mut planner, is_store)[..] else {
        panic!("expected one replica");
    };
    for beat in 2..20 {
        tick_linked(&mut planner, beat);
        assert_eq!(sent(&mut planner, is_store), []);
    }
    // The runner is lost before it has stored the replica: another one is sent it.
    planner.link_down(Time(20 * BEAT), link);
    tick_linked(&mut planner, 20);
    assert_eq!(sent(&mut planner, is_store).len(), 1);
}

#[test]
fn a_planner_without_configuration_asks_one_runner_for_its_replica() {
    let mut planner = linked(75, 4);
    assert_eq!(sent(&mut planner, is_request).len(), 1);
    planner.tick(Time(BEAT));
    assert_eq!(sent(&mut planner, is_request), []);
    // The first request was not answered.
    planner.tick(Time(3 * BEAT));
    let [link] = sent(&mut planner, is_request)[..] else {
        panic!("expected one repeated request");
    };
    planner.message(Time(3 * BEAT), link, RunnerMessage::Replica(replica(4)));
    let steps = planner.drain();
    assert!(
        steps.contains(&PlannerStep::Replica(replica(4))),
        "{steps:?}"
    );
    planner.tick(Time(9 * BEAT));
    assert_eq!(sent(&mut planner, is_request), []);
}

#[test]
fn a_planner_with_the_newest_configuration_asks_nobody() {
    let mut planner = linked(5, 0);
    planner.set_config(replica(4));
    planner.message(Time(0), LinkNo(1), RunnerMessage::ReplicaVersion(4));
    planner.tick(Time(BEAT));
    assert_eq!(sent(&mut planner, is_request), []);
    planner.message(Time(BEAT), LinkNo(2), RunnerMessage::ReplicaVersion(5));
    assert_eq!(sent(&mut planner, is_request), [LinkNo(2)]);
}
