//! What the ends of runs are told as when their upstream leaves, crashes or comes back.

use chervilring_wire::RunEnd;

use super::replaced::Host;

/// Guards against an announced exit that counts as a crash of the upstream under its runs.
#[test]
fn runs_that_an_upstream_leaves_behind_as_announced_are_no_crash() {
    let drain = |host: &mut Host| {
        host.upstreams[0].draining = true;
        host.report(0);
    };
    let leave = |host: &mut Host| host.runner.upstream_left(host.now, "u0");
    for announce in [drain, leave] as [fn(&mut Host); 2] {
        for successor in [None, Some(("u1", 1)), Some(("u1", 2))] {
            let mut host = Host::with_run();
            announce(&mut host);
            host.play(300);
            host.upstreams[0].crash();
            if let Some((id, port)) = successor {
                host.start_successor(id, port);
            }
            host.play(1_500);
            assert_eq!(host.ends, [RunEnd::Stopped], "successor {successor:?}");
            assert_eq!(host.early, Vec::<String>::new());
        }
    }
}

/// Guards against an announced exit that counts as a crash where the upstream starts again under its id.
#[test]
fn runs_of_an_upstream_that_starts_again_as_announced_are_no_crash() {
    let mut host = Host::with_run();
    host.upstreams[0].draining = true;
    host.report(0);
    host.play(300);
    host.upstreams[0].crash();
    let now = host.now;
    host.upstreams[0].restart(now);
    host.play(1_500);
    assert_eq!(host.ends, [RunEnd::Stopped]);
}

#[test]
fn runs_of_an_upstream_that_ends_unannounced_are_told_as_a_crash() {
    let mut host = Host::with_run();
    host.upstreams[0].crash();
    host.play(1_500);
    assert_eq!(host.ends, [RunEnd::Lapsed]);
    let mut host = Host::with_run();
    host.upstreams[0].crash();
    let now = host.now;
    host.upstreams[0].restart(now);
    host.play(1_500);
    assert_eq!(host.ends, [RunEnd::Lapsed]);
}
/// Guards against crashes that do not count as another upstream has taken the address meanwhile.
#[test]
fn a_crash_is_told_as_such_whenever_a_successor_at_the_address_reports() {
    for report_after in [1, 50, 300, 1_000] {
        let mut host = Host::with_run();
        host.upstreams[0].crash();
        let place = host.add("u1", 1);
        host.play(report_after);
        host.report(place);
        host.play(1_500);
        assert_eq!(host.ends, [RunEnd::Lapsed], "after {report_after} ms");
        assert_eq!(host.early, Vec::<String>::new());
    }
}

/// Guards against an end of an earlier sending that counts for a run of a later one at another upstream.
#[test]
fn the_end_of_an_earlier_sending_ends_no_run_of_a_later_one() {
    let mut host = Host::with_run();
    host.mute(0, 5_000);
    host.play(1);
    let now = host.now;
    let (_, run) = host.upstreams[0].active.iter_mut().next().expect("a run");
    (run.fails, run.end) = (true, now);
    host.play(1_200);
    assert_eq!(host.ends, [RunEnd::Stopped]);
    host.start_successor("u1", 2);
    host.play(300);
    host.ends.clear();
    host.start(0..1);
    host.play(300);
    assert_eq!(host.active(1), 1);
    // The successor is gone, and the upstream of before answers again.
    host.listening[1] = false;
    host.mute_until[0] = host.now;
    host.play(2);
    host.report(0);
    host.play(1_500);
    assert_eq!(host.early, Vec::<String>::new());
    assert_ne!(host.ends, [RunEnd::Failed]);
}
