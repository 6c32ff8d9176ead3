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
