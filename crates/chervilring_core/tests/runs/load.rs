//! The load that runners tell, refusals at once by it, when callers are to come back, and readiness.

use chervilring_core::runs::Planner;
use chervilring_core::runs::planner::{
    Caller, Drain, JobAnswer, LinkNo, LoadGate, LoadView, LoopWatch, PlannerSettings, PlannerStep,
    Refusal, retry_after,
};
use chervilring_core::runs::runner::{CallOutcome, ListedRun, UpstreamCall};
use chervilring_wire::{
    ClassLoad, Micros, PlannerMessage, QueuedRuns, Resources, RunnerLevel, RunnerMessage, Time,
    UpstreamLoad, UpstreamState,
};
use quickcheck::quickcheck;

use super::down::{Harness, LINK, healthy, lists, run};
use super::world::{Without, World, new_job, test_job};

const MS: fn(u64) -> Micros = Micros::from_millis;
const NOW: Time = Time(5_000_000);

fn amount(cpu: u64) -> Resources {
    Resources {
        cpu,
        memory: 64_000,
        gpu: 0,
    }
}

/// Links a planner to an upstream of eight cores, of which `free` are free, with a full queue.
fn add_upstream(planner: &mut Planner, link: u64, free: u64) {
    let name = format!("r{link}");
    let hello = RunnerMessage::Hello {
        name: name.as_str().into(),
        domain: name.as_str().into(),
        incarnation: 1,
        link_seq: RunnerLevel::ROOM.mark_link(1),
        replica_version: 0,
    };
    planner.message(NOW, LinkNo(link), hello);
    let queued = QueuedRuns {
        queue_timeout: MS(15),
        demand: amount(8_000 - free),
    };
    let state = UpstreamState {
        start_seq: 0,
        accepting: true,
        service: "work".into(),
        capacity: amount(8_000),
        free: amount(free),
        queued: vec![queued],
        run_time: MS(300),
        speed: 1_000,
        labels: Vec::new(),
    };
    planner.message(NOW, LinkNo(link), RunnerMessage::State(state));
}

/// Tells a planner how long work of priority zero waits at an upstream.
fn tell(planner: &mut Planner, at: Time, link: u64, wait: Micros) {
    let row = ClassLoad {
        wait,
        ..ClassLoad::default()
    };
    let load = UpstreamLoad {
        service: "work".into(),
        classes: vec![row],
    };
    planner.message(at, LinkNo(link), RunnerMessage::Load(load));
}

/// Returns a planner with three upstreams of eight cores.
fn planner(free: u64) -> Planner {
    let mut planner = Planner::new(PlannerSettings::default(), NOW);
    for link in 1..=3 {
        add_upstream(&mut planner, link, free);
    }
    planner
}

/// Submits a job of two tasks that may wait for 35 ms and returns the answer that it gets at once.
fn submit(planner: &mut Planner, now: Time, id: u64) -> Option<JobAnswer> {
    planner.drain();
    planner.submit(now, Caller(id), new_job(&test_job(id, 2, 50), now));
    planner.drain().into_iter().find_map(|step| match step {
        PlannerStep::Answer { answer, .. } => Some(answer),
        _ => None,
    })
}

const REFUSED: Option<JobAnswer> = Some(JobAnswer::Refused(Refusal::Overload));

#[test]
fn a_job_is_refused_at_once_if_most_upstreams_tell_of_longer_waits() {
    let mut planner = planner(0);
    tell(&mut planner, NOW, 1, MS(80));
    assert_eq!(submit(&mut planner, NOW, 1), None);
    tell(&mut planner, NOW, 2, MS(60));
    assert_eq!(submit(&mut planner, NOW, 2), REFUSED);
}

#[test]
fn nothing_is_refused_at_once_while_there_is_room() {
    let mut planner = planner(8_000);
    for link in 1..=3 {
        tell(&mut planner, NOW, link, MS(500));
    }
    assert_eq!(submit(&mut planner, NOW, 1), None);
}

#[test]
fn loads_that_are_not_told_or_out_of_date_refuse_nothing() {
    let mut planner = planner(0);
    assert_eq!(submit(&mut planner, NOW, 1), None);
    for link in 1..=3 {
        tell(&mut planner, NOW, link, MS(80));
    }
    // Heartbeats keep the links, but the loads are not repeated.
    let later = NOW + MS(700);
    for link in 1..=3 {
        planner.message(later, LinkNo(link), RunnerMessage::HeartbeatAck(1));
    }
    assert_eq!(submit(&mut planner, later, 2), None);
}

#[test]
fn jobs_are_tried_now_and_then_while_others_are_refused() {
    let mut planner = planner(0);
    for link in 1..=3 {
        tell(&mut planner, NOW, link, MS(80));
    }
    let jobs = (0..100).map(|n| submit(&mut planner, NOW + MS(2 * n), n + 1));
    let tried = jobs.filter(|answer| *answer != REFUSED).count();
    assert_eq!(tried, 3);
}

#[test]
fn a_priority_that_is_refused_is_served_again_well_below_the_limit() {
    let mut gate = LoadGate::default();
    let mut refuses = |expected| gate.refuses(NOW, 0, MS(expected), MS(40));
    assert!(!refuses(39));
    assert!(refuses(41));
    assert!(refuses(35));
    assert!(!refuses(29));
    assert!(!refuses(35));
}

quickcheck! {
    /// The wait that is expected was told by more than half of the upstreams, or is zero.
    fn the_expected_wait_is_one_that_most_upstreams_reach(waits: Vec<u16>, silent: u8) -> bool {
        let waits: Vec<Micros> = waits.into_iter().map(|w| Micros(u64::from(w))).collect();
        let upstreams = waits.len() + usize::from(silent);
        let view = LoadView { upstreams, waits: waits.clone() };
        let expected = view.expected_wait();
        let reached = waits.iter().filter(|w| **w >= expected).count();
        expected == Micros(0) || reached * 2 > upstreams
    }

    fn retry_after_is_a_whole_second_and_never_less_than_the_least(ahead: u32, returning: u32, random: u8) -> bool {
        let drain = Drain { ahead: Micros(u64::from(ahead)), returning: Micros(u64::from(returning)) };
        let delay = retry_after(Micros::from_secs(1), &drain, f64::from(random) / 256.0);
        delay.0.is_multiple_of(1_000_000) && delay >= Micros::from_secs(1)
    }
}

/// Returns the mean of the delays that 256 callers are told, in milliseconds, and how many differ.
fn delays(ahead: Micros, returning: Micros) -> (u64, usize) {
    let drain = Drain { ahead, returning };
    let delay =
        |n: u32| retry_after(Micros::from_secs(1), &drain, f64::from(n) / 256.0).as_millis();
    let mut all: Vec<u64> = (0..256).map(delay).collect();
    let mean = all.iter().sum::<u64>() / 256;
    all.sort_unstable();
    all.dedup();
    (mean, all.len())
}

#[test]
fn retry_after_grows_with_what_is_ahead_and_is_spread_over_callers() {
    let idle = delays(Micros(0), Micros(0));
    assert_eq!(idle, (1_000, 1));
    let burst = delays(MS(100), MS(900));
    let long = delays(MS(3_000), MS(2_000));
    assert!((1_400..=1_600).contains(&burst.0), "{burst:?}");
    assert!((5_200..=5_800).contains(&long.0), "{long:?}");
    assert!(burst.1 >= 2 && long.1 >= 5, "{burst:?} {long:?}");
}

/// Returns for how many of `seconds` a planner whose loop is `late` milliseconds late is not ready.
fn unready_time(late: u64, seconds: u64, seed: u64) -> f64 {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut watch = LoopWatch::default();
    let mut unready = 0;
    for n in 0..seconds * 20 {
        let due = NOW + MS(50 * n);
        let now = due + MS(late);
        watch.record(now, due, MS(60), rng.f64());
        unready += u64::from(!watch.is_ready(now));
    }
    unready as f64 / 20.0
}

#[test]
fn a_planner_whose_loop_runs_late_is_not_ready_for_less_than_an_eighth_of_the_time() {
    for seed in 0..20 {
        let unready = unready_time(30, 600, seed);
        assert!((20.0..600.0 / 8.0).contains(&unready), "{unready} s of 600");
    }
}

#[test]
fn a_planner_whose_loop_is_in_time_stays_ready() {
    assert!(unready_time(15, 600, 1) < 0.05);
}

/// Plays four seconds of a load on planners behind different upstreams, with four upstreams. Returns for each
/// planner the share of jobs that it refused.
fn refused_shares(seed: u64, per_second: u64) -> Vec<f64> {
    let mut world = World::new(seed, 3, 4, Without::Nothing);
    world.run(300_000);
    let planners: Vec<usize> = (0..per_second * 4)
        .map(|n| {
            let planner = n as usize % 3;
            let place = world.jobs.len();
            world.jobs.push(test_job(1_000 + n, 2, 100));
            let at = n * 1_000_000 / per_second;
            world.at(at, super::world::Event::Submit(place, planner));
            planner
        })
        .collect();
    world.run(8_000_000);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    let refused = |job: &super::world::TestJob| {
        job.answers
            .iter()
            .any(|(_, a)| matches!(a, JobAnswer::Refused(_)))
    };
    let share = |planner: usize| {
        let own = world
            .jobs
            .iter()
            .zip(&planners)
            .filter(|(_, p)| **p == planner);
        let all = own.clone().count() as f64;
        own.filter(|(job, _)| refused(job)).count() as f64 / all
    };
    (0..3).map(share).collect()
}

#[test]
fn with_free_room_nothing_is_refused() {
    assert_eq!(refused_shares(41, 30), [0.0; 3]);
}

#[test]
fn at_twice_the_load_planners_refuse_at_about_the_same_rate() {
    // Some 19 task-seconds a second of 40 that are asked for.
    let shares = refused_shares(42, 200);
    let most = shares.iter().copied().fold(0.0, f64::max);
    let least = shares.iter().copied().fold(1.0, f64::min);
    assert!(least >= 0.3, "{shares:?}");
    assert!(most - least <= 0.1, "{shares:?}");
}

/// Answers as an upstream that is full of the first sixteen runs.
fn busy(call: &UpstreamCall) -> CallOutcome {
    let active = |index| ListedRun {
        run: run(index),
        percent: 0,
    };
    match call {
        UpstreamCall::Poll { .. } => lists((0..16).map(active).collect()),
        _ => CallOutcome::Done { clock: Some(1) },
    }
}

/// Returns the loads that a runner tells a planner in 1.5 s, after 32 runs of which 16 find room and the
/// others are refused after 500 ms.
fn loads_told(knows_room: bool) -> Vec<UpstreamLoad> {
    let mut harness = Harness::new();
    if knows_room {
        harness
            .runner
            .message(harness.now, LINK, PlannerMessage::KnowsRoom);
    }
    harness.run(100, healthy);
    assert_eq!(harness.loads, []);
    harness.start(16);
    harness.run(1, busy);
    // Those that run are refused as duplicates, and the others wait.
    harness.start(32);
    harness.run(1_500, busy);
    harness.loads
}

#[test]
fn runners_tell_the_load_while_runs_wait_and_that_it_is_over() {
    let loads = loads_told(true);
    let most = 1_500 / 50 + 1;
    assert!(loads.len() <= most, "{} loads", loads.len());
    assert_eq!(loads[0].classes[0].queued.cpu, 16_000);
    let waits = loads.iter().flat_map(|l| &l.classes).map(|c| c.wait);
    assert!(waits.max() >= Some(MS(300)), "{loads:?}");
    let over = loads.iter().filter(|l| l.classes.is_empty());
    assert_eq!(over.count(), 1);
    assert_eq!(loads.last().map(|l| l.classes.len()), Some(0));
}

#[test]
fn planners_that_do_not_know_loads_are_told_none() {
    assert_eq!(loads_told(false), []);
}
