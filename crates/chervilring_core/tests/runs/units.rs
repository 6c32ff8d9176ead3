//! Unit tests of decisions: start timeouts, order, speed, health, leases, and state messages.

use chervilring_core::runs::planner::{
    Health, JobArrival, JobTimes, Pace, ResubmissionDetector, start_deadline,
};
use chervilring_core::runs::runner::{Lease, change_threshold, is_significant_change};
use chervilring_core::runs::{Speed, expected_run_time};
use chervilring_wire::{Micros, QueuedRuns, Resources, Time, UpstreamState};
use quickcheck::{TestResult, quickcheck};

const MS: fn(u64) -> Micros = Micros::from_millis;

fn at(millis: u64) -> Time {
    Time(millis * 1_000)
}

fn job_times(objective: u64, deadline: u64, chain: u64) -> JobTimes {
    JobTimes {
        arrived: at(1_000),
        objective_duration: MS(400),
        objective: at(objective),
        deadline: at(deadline),
        critical_path: MS(chain),
        wait_share: 0.25,
    }
}

#[test]
fn the_start_timeout_is_a_share_of_the_objective() {
    assert_eq!(start_deadline(&job_times(1_400, 4_000, 100)), at(1_100));
}

#[test]
fn the_start_deadline_leaves_time_for_the_critical_path() {
    assert_eq!(start_deadline(&job_times(1_400, 4_000, 350)), at(1_050));
    assert_eq!(start_deadline(&job_times(1_400, 1_300, 250)), at(1_050));
}

#[test]
fn a_late_job_has_no_longer_start_timeout_than_others() {
    assert_eq!(start_deadline(&job_times(1_400, 4_000, 900)), at(1_100));
    assert_eq!(start_deadline(&job_times(200, 4_000, 900)), at(1_100));
    assert_eq!(start_deadline(&job_times(200, 1_950, 900)), at(1_050));
    assert_eq!(start_deadline(&job_times(200, 1_500, 900)), at(1_000));
}

quickcheck! {
    fn the_start_deadline_is_never_after_objective_or_deadline(objective: u16, deadline: u16, chain: u16) -> TestResult {
        let (objective, deadline) = (1_000 + u64::from(objective), 1_000 + u64::from(deadline));
        let end = start_deadline(&job_times(objective, deadline, u64::from(chain)));
        let chain = MS(u64::from(chain));
        let timely = at(objective.min(deadline)) - chain;
        let is_late = timely <= at(1_000);
        let latest = if is_late { at(deadline) - chain } else { timely };
        let share = end <= at(1_100);
        TestResult::from_bool(share && end >= at(1_000) && end <= latest.max(at(1_000)))
    }

}

/// Returns the expected run time of a task that declares 100 ms, in milliseconds.
fn run_time_ms(speed: &Speed) -> u64 {
    expected_run_time(speed.permille(), MS(100)).as_millis()
}

#[test]
fn speed_follows_run_times() {
    let mut speed = Speed::default();
    assert_eq!(run_time_ms(&speed), 100);
    for _ in 0..60 {
        speed.record(MS(100), MS(200));
    }
    let run = run_time_ms(&speed);
    assert!((185..=205).contains(&run), "{run} ms");
    for _ in 0..60 {
        speed.record(MS(100), MS(50));
    }
    let run = run_time_ms(&speed);
    assert!((45..=60).contains(&run), "{run} ms");
}

#[test]
fn one_wrong_declaration_changes_the_speed_little() {
    let mut speed = Speed::default();
    for _ in 0..30 {
        speed.record(MS(100), MS(100));
    }
    speed.record(MS(1), MS(10_000));
    assert!(run_time_ms(&speed) < 130);
}

#[test]
fn an_upstream_that_fails_all_runs_is_ejected_after_two() {
    let mut health = Health::default();
    assert!(!health.record_failure(at(0)));
    assert!(health.record_failure(at(10)));
    assert_eq!(health.run_limit(at(20)), Some(0));
    // A single run probes the upstream, and its success brings the upstream back.
    assert_eq!(health.run_limit(at(2_000)), Some(1));
    health.record_success();
    assert_eq!(health.run_limit(at(2_000)), None);
}

#[test]
fn an_upstream_that_keeps_failing_is_ejected_for_longer() {
    let mut health = Health::default();
    health.record_failure(at(0));
    health.record_failure(at(0));
    assert_eq!(health.run_limit(at(1_600)), Some(1));
    assert!(health.record_failure(at(1_600)));
    assert_eq!(health.run_limit(at(3_200)), Some(0));
    assert_eq!(health.run_limit(at(4_700)), Some(1));
}

#[test]
fn jobs_that_always_fail_do_not_eject_an_upstream() {
    let mut health = Health::default();
    for round in 0..200 {
        if round % 10 == 9 {
            assert!(!health.record_failure(at(round)));
        } else {
            health.record_success();
        }
        assert_eq!(health.run_limit(at(round)), None);
    }
}

#[test]
fn a_lease_expires_only_when_the_slowest_clock_says_so() {
    let mut lease = Lease::default();
    assert_eq!(lease.extend(at(0), MS(450)), None);
    lease.record_clock(at(0), 5_000);
    assert_eq!(lease.extend(at(100), MS(450)), Some(5_550));
    // 550 ms of a clock that may be 2% slow.
    assert!(
        lease.expires_at() >= at(561) && lease.expires_at() <= at(564),
        "{:?}",
        lease.expires_at()
    );
}

#[test]
fn a_late_reading_of_the_clock_is_ignored() {
    let mut lease = Lease::default();
    lease.record_clock(at(100), 5_100);
    lease.record_clock(at(200), 5_000);
    assert_eq!(lease.extend(at(100), MS(10)), Some(5_110));
}

fn pace(percent: u8, run_time: u64, declared: u64) -> Pace {
    Pace {
        percent,
        run_time: MS(run_time),
        declared_runtime: MS(declared),
        usual_speed: 1.0,
        best_speed: 1.0,
    }
}

#[test]
fn a_run_without_or_with_little_progress_is_a_straggler() {
    assert!(pace(0, 300, 200).is_straggler());
    assert!(pace(4, 300, 900).is_straggler());
}

#[test]
fn a_run_that_is_nearly_done_or_fast_enough_is_no_straggler() {
    assert!(!pace(90, 2_000, 900).is_straggler());
    assert!(!pace(20, 300, 900).is_straggler());
    assert!(!pace(0, 200, 200).is_straggler());
}

/// Submits a job whose caller waits this many more milliseconds, on a route with a timeout of
/// 1,500.
fn submit(detector: &mut ResubmissionDetector, caller_timeout: u64) -> Option<Micros> {
    let arrival = JobArrival {
        route: &"r".into(),
        arrived: at(1_000),
        caller_timeout: MS(caller_timeout),
        route_timeout: MS(1_500),
    };
    detector.prior_wait(&arrival, MS(1_300))
}

#[test]
fn a_caller_with_less_than_its_routes_time_has_waited_before() {
    let mut detector = ResubmissionDetector::default();
    assert_eq!(submit(&mut detector, 1_968), None);
    assert_eq!(submit(&mut detector, 1_500), None);
    assert_eq!(submit(&mut detector, 668), Some(MS(1_300)));
    assert_eq!(submit(&mut detector, 100), Some(MS(1_400)));
}

#[test]
fn short_caller_timeouts_become_the_expected_ones() {
    let mut detector = ResubmissionDetector::default();
    let seen: Vec<bool> = (0..200)
        .map(|_| submit(&mut detector, 900).is_some())
        .collect();
    assert!(seen[..60].iter().all(|&s| s));
    assert!(seen[80..].iter().all(|&s| !s));
}

/// Returns the state of an upstream with 16 cores, of which this many thousandths are free.
fn state(free: u64) -> UpstreamState {
    let cores = |cpu| Resources {
        cpu,
        memory: 64_000,
        gpu: 0,
    };
    UpstreamState {
        start_seq: 1,
        accepting: true,
        service: "work".into(),
        capacity: cores(16_000),
        free: cores(free),
        queued: Vec::new(),
        run_time: MS(100),
        speed: 1_000,
        labels: Vec::new(),
    }
}

#[test]
fn few_planners_are_sent_small_changes_and_many_only_large_ones() {
    assert!(is_significant_change(
        &state(8_000),
        &state(6_400),
        change_threshold(3)
    ));
    assert!(!is_significant_change(
        &state(8_000),
        &state(6_400),
        change_threshold(14)
    ));
    assert!(is_significant_change(
        &state(8_000),
        &state(4_000),
        change_threshold(14)
    ));
    assert!(is_significant_change(
        &state(8_000),
        &state(3_900),
        change_threshold(500)
    ));
}

#[test]
fn changes_among_ample_free_resources_are_not_sent() {
    assert!(!is_significant_change(
        &state(16_000),
        &state(9_000),
        change_threshold(3)
    ));
    assert!(is_significant_change(
        &state(16_000),
        &state(7_900),
        change_threshold(3)
    ));
}

#[test]
fn closing_queueing_and_new_starts_are_sent_at_once() {
    let sent = state(8_000);
    let mut closed = sent.clone();
    closed.accepting = false;
    assert!(is_significant_change(&sent, &closed, change_threshold(500)));
    let mut seen = sent.clone();
    seen.start_seq = 2;
    assert!(is_significant_change(&sent, &seen, change_threshold(500)));
    let mut queued = sent.clone();
    queued.queued.push(QueuedRuns {
        queue_timeout: MS(60),
        demand: Resources {
            cpu: 5_000,
            memory: 64,
            gpu: 0,
        },
    });
    assert!(is_significant_change(&sent, &queued, change_threshold(500)));
}
