//! Run times as they are: learnt by planners, kept by runners, and what objectives are judged by.

use chervilring_core::runs::planner::{
    Caller, JobAnswer, LinkNo, NewJob, PlannerEvent, PlannerSettings, PlannerStep, Ratios, Step,
};
use chervilring_core::runs::runner::RunnerStep;
use chervilring_core::runs::{Planner, Route, RouteTable, Runner};
use chervilring_wire::{
    JobId, Micros, Name, OrderedStart, PlannerMessage, Resources, RouteRunTimes, RunEnd,
    RunnerLevel, RunnerMessage, Time, UpstreamState,
};

use super::world::{TestJob, Without, World, route, test_job};

/// The duration of the load, in microseconds.
const LOAD: u64 = 6_000_000;

/// Returns a normally distributed random number.
fn normal(rng: &mut fastrand::Rng) -> f64 {
    (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0
}

/// Plays short and medium jobs, `rate` of each per second, whose declared run times are off by
/// `factor` and at random by a spread of `spread`. Returns the world and the jobs' indices.
fn play(seed: u64, rate: u64, factor: f64, spread: f64) -> (World, Vec<usize>) {
    let mut world = World::new(seed, 3, 4, Without::Nothing);
    world.run(300_000);
    let mut all = Vec::new();
    for id in 0..rate * LOAD / 1_000_000 {
        for (first, count, millis) in [(10_000, 4, 60), (20_000, 2, 200)] {
            let mut job = test_job(first + id, count, millis);
            let error = (normal(&mut world.rng) * spread).exp() * factor;
            job.declared_runtime = Micros((job.work as f64 * error) as u64);
            let at = world.rng.u64(0..LOAD);
            all.push(world.add_job(at, job));
        }
    }
    world.run(LOAD + 5_000_000);
    (world, all)
}

/// Returns whether a caller saw the answer within 1.6 times the true run time plus 60 ms.
fn is_in_time(job: &TestJob) -> bool {
    let limit = job.submitted_at.0 + job.work * 16 / 10 + 60_000;
    let first = job.answers.first();
    first.is_some_and(|(at, a)| *a == JobAnswer::Completed && *at <= Time(limit))
}

/// Returns how many jobs callers saw in time, how many planners say were, and on how many they
/// disagree.
fn verdicts(world: &World, all: &[usize]) -> (usize, usize, usize) {
    let seen = |p: &&usize| is_in_time(&world.jobs[**p]);
    let said = |p: &&usize| world.said_met.get(&world.jobs[**p].id) == Some(&true);
    (
        all.iter().filter(seen).count(),
        all.iter().filter(said).count(),
        all.iter().filter(|p| seen(p) != said(p)).count(),
    )
}

#[test]
fn planners_and_callers_agree_on_objectives_under_rough_run_times() {
    for (rate, factor) in [(20, 1.0), (30, 1.0), (20, 2.0), (20, 0.5)] {
        let (mut seen, mut disputed, mut count) = (0, 0, 0);
        for seed in 0..5 {
            let (world, all) = play(seed, rate, factor, 0.4);
            let (in_time, _, differing) = verdicts(&world, &all);
            seen += in_time;
            disputed += differing;
            count += all.len();
        }
        assert!(seen * 2 > count, "{seen} of {count} in time");
        assert!(
            disputed * 50 <= count,
            "{disputed} of {count} disputed at {rate}/s, declared times x {factor}"
        );
    }
}

#[test]
fn order_and_deadlines_hold_when_all_declared_run_times_are_off_alike() {
    let in_time = |factor| {
        let shares = (0..6).map(|seed| {
            let (world, all) = play(seed, 24, factor, 0.0);
            verdicts(&world, &all).0
        });
        shares.sum::<usize>()
    };
    let exact = in_time(1.0);
    for factor in [2.0, 0.5] {
        let count = in_time(factor);
        assert!(
            count * 100 >= exact * 95,
            "{count} in time with declared times x {factor}, {exact} with exact ones"
        );
    }
}

/// Returns the ratios of a number of runs.
fn ratios(runs: u32, ratio: f64) -> Ratios {
    let mut ratios = Ratios::default();
    for _ in 0..runs {
        ratios.record(ratio);
    }
    ratios
}

fn is_near(value: f64, expected: f64) -> bool {
    (value / expected - 1.0).abs() < 0.02
}

#[test]
fn ratios_are_learnt_and_forgotten() {
    assert!(!ratios(40, 2.0).is_reliable());
    let mut ratios = ratios(3_000, 2.0);
    assert!(ratios.is_reliable() && is_near(ratios.median(), 2.0));
    for _ in 0..2_000 {
        ratios.record(0.5);
    }
    assert!(is_near(ratios.median(), 0.5), "{}", ratios.median());
    assert!(is_near(ratios.quantile(1.0), 0.5));
}

#[test]
fn ratios_keep_their_spread_in_a_message() {
    let mut ratios = Ratios::default();
    for i in 0..1_000 {
        ratios.record(0.5 + f64::from(i) / 1_000.0);
    }
    let told = Ratios::from_message(&ratios.to_message("main".into())).unwrap();
    for share in [0.25, 0.5, 0.75] {
        let (before, after) = (ratios.quantile(share), told.quantile(share));
        assert!((before - after).abs() < 0.06, "{before} became {after}");
    }
    assert!(Ratios::from_message(&self::ratios(900, 1e9).to_message("main".into())).is_some());
}

/// Returns rows that no planner can have sent.
fn garbage() -> Vec<RouteRunTimes> {
    let good = ratios(500, 2.0).to_message("main".into());
    let with = |change: fn(&mut RouteRunTimes)| {
        let mut row = good.clone();
        change(&mut row);
        row
    };
    vec![
        with(|r| r.runs = 0),
        with(|r| r.ratios.clear()),
        with(|r| r.ratios = vec![2_000; 100_000]),
        with(|r| r.ratios[19] = u32::MAX),
        with(|r| r.ratios[0] = 0),
        with(|r| r.ratios[3] = 1_500),
    ]
}

#[test]
fn garbage_is_no_histogram() {
    for row in garbage() {
        assert!(Ratios::from_message(&row).is_none(), "{row:?}");
    }
}

/// A planner with links to upstreams, whose runs end as a test wants.
struct Bench {
    planner: Planner,
    now: Time,
    /// The speed of each upstream, in thousandths.
    speeds: Vec<u32>,
    last_job: u64,
}

impl Bench {
    /// Creates a planner with an upstream for each speed, in thousandths, at runners of a level.
    fn new(level: RunnerLevel, speeds: &[u32]) -> Self {
        let now = Time(1_000_000);
        let mut bench = Self {
            planner: Planner::new(PlannerSettings::default(), now),
            now,
            speeds: speeds.to_vec(),
            last_job: 0,
        };
        for index in 0..speeds.len() {
            let link = LinkNo(index as u64 + 1);
            let hello = RunnerMessage::Hello {
                name: format!("r{index}").as_str().into(),
                domain: "d".into(),
                incarnation: 1,
                link_seq: level.mark_link(1),
                replica_version: 0,
            };
            bench.planner.message(now, link, hello);
        }
        bench.pass(1_000);
        bench.planner.drain();
        bench
    }

    /// Reports all upstreams, without load.
    fn report(&mut self) {
        for (index, speed) in self.speeds.clone().into_iter().enumerate() {
            self.report_one(LinkNo(index as u64 + 1), speed);
        }
    }

    /// Reports an upstream without load, whose label bears the number of its link.
    fn report_one(&mut self, link: LinkNo, speed: u32) {
        let all = Resources {
            cpu: 64_000,
            ..Resources::default()
        };
        let state = UpstreamState {
            start_seq: u64::MAX,
            accepting: true,
            service: "work".into(),
            capacity: all,
            free: all,
            queued: Vec::new(),
            run_time: Micros::from_millis(100),
            speed,
            labels: vec![label(link)],
        };
        let message = RunnerMessage::State(state);
        self.planner.message(self.now, link, message);
    }

    /// Lets time pass.
    fn pass(&mut self, millis: u64) -> Vec<PlannerStep> {
        let end = self.now + Micros::from_millis(millis);
        let mut steps = Vec::new();
        while self.now < end {
            self.now = end.min(self.now + Micros::from_millis(50));
            self.report();
            self.planner.tick(self.now);
            steps.extend(self.planner.drain());
        }
        steps
    }

    /// Submits a job. Returns its first start.
    fn submit(&mut self, steps: Vec<Step>) -> Option<(LinkNo, OrderedStart)> {
        self.last_job += 1;
        let job = NewJob {
            id: JobId(self.last_job),
            route: route(),
            config_version: 1,
            spec: "x".into(),
            request: "".into(),
            steps,
            deadline: self.now + Micros::from_secs(4),
        };
        self.planner.submit(self.now, Caller(self.last_job), job);
        self.start()
    }

    fn start(&mut self) -> Option<(LinkNo, OrderedStart)> {
        let starts = self.planner.drain().into_iter();
        let mut starts = starts.filter_map(|step| match step {
            PlannerStep::Send {
                link,
                message: PlannerMessage::StartOrdered(start),
            } => Some((link, start)),
            _ => None,
        });
        starts.next()
    }

    /// Has the runs of a start take these times, in milliseconds and ascending order, and end.
    fn end(&mut self, start: &(LinkNo, OrderedStart), millis: &[u64], end: RunEnd) {
        let (link, start) = start;
        for run in &start.start.runs {
            let message = RunnerMessage::Started(*run);
            self.planner.message(self.now, *link, message);
        }
        let began = self.now;
        for (&run, &millis) in start.start.runs.iter().zip(millis) {
            self.now = began + Micros::from_millis(millis);
            let message = RunnerMessage::Ended { run, end };
            self.planner.message(self.now, *link, message);
        }
        self.report();
        self.planner.tick(self.now);
    }

    /// Returns the objective and whether it was met, as the planner says in the last answer.
    fn verdict(&mut self) -> (Micros, bool) {
        let events = self.planner.drain().into_iter();
        let mut events = events.filter_map(|step| match step {
            PlannerStep::Log(PlannerEvent::Answered {
                objective,
                objective_met,
                ..
            }) => Some((objective, objective_met)),
            _ => None,
        });
        events.next().expect("the job was answered")
    }

    /// Runs jobs of one task that declare 100 ms.
    fn learn(&mut self, count: usize, millis: u64) {
        for _ in 0..count {
            let start = self.submit(vec![step(1, 100)]).expect("there is room");
            self.end(&start, &[millis], RunEnd::Done);
        }
        self.planner.drain();
    }

    /// Returns how long a task that declares 100 ms may wait, in milliseconds.
    fn slack(&mut self) -> u64 {
        let (link, start) = self.submit(vec![step(1, 100)]).expect("there is room");
        let slack = start.urgency.slack.as_millis();
        self.end(&(link, start), &[100], RunEnd::Done);
        slack
    }
}

fn label(link: LinkNo) -> Name {
    format!("l{}", link.0).as_str().into()
}

/// Returns a step of `count` tasks that declare `millis`.
fn step(count: u32, millis: u64) -> Step {
    Step {
        count,
        demand: Resources {
            cpu: 1_000,
            ..Resources::default()
        },
        declared_runtime: Micros::from_millis(millis),
        ..Step::default()
    }
}

#[test]
fn exact_run_times_leave_objectives_as_declared() {
    let mut bench = Bench::new(RunnerLevel::ROOM, &[1_000]);
    // 1.6 x 100 + 60 - 100 ms.
    assert_eq!(bench.slack(), 120);
    bench.learn(200, 100);
    let slack = bench.slack();
    assert!((119..=121).contains(&slack), "{slack} ms");
}

#[test]
fn the_slack_follows_the_run_times_of_a_route() {
    let mut bench = Bench::new(RunnerLevel::ROOM, &[1_000]);
    bench.learn(40, 50);
    assert_eq!(bench.slack(), 120);
    bench.learn(200, 50);
    // 1.6 x 50 + 60 - 50 ms.
    let slack = bench.slack();
    assert!((88..=92).contains(&slack), "{slack} ms");
}

#[test]
fn runs_on_a_slow_upstream_are_measured_as_on_a_sound_one() {
    let mut bench = Bench::new(RunnerLevel::ROOM, &[1_000, 1_000, 1_000, 500]);
    let slow = Step {
        required_label: Some(label(LinkNo(4))),
        ..step(1, 100)
    };
    let start = bench.submit(vec![slow]).unwrap();
    bench.end(&start, &[200], RunEnd::Done);
    let (objective, is_met) = bench.verdict();
    assert_eq!(objective.as_millis(), 220);
    assert!(is_met);
}

#[test]
fn runs_outside_the_rack_of_their_data_are_measured_as_inside() {
    let mut bench = Bench::new(RunnerLevel::ROOM, &[1_000]);
    let far = Step {
        data_rack: Some("elsewhere".into()),
        ..step(1, 100)
    };
    let start = bench.submit(vec![far]).unwrap();
    bench.end(&start, &[150], RunEnd::Done);
    assert_eq!(bench.verdict().0.as_millis(), 220);
}

#[test]
fn the_objective_counts_the_longest_run_of_each_step() {
    let mut bench = Bench::new(RunnerLevel::ROOM, &[1_000]);
    let second = Step {
        dependencies: vec![0],
        ..step(1, 100)
    };
    let start = bench.submit(vec![step(2, 100), second]).unwrap();
    bench.end(&start, &[50, 200], RunEnd::Done);
    let start = bench.start().unwrap();
    bench.end(&start, &[300], RunEnd::Done);
    let (objective, is_met) = bench.verdict();
    // 1.6 x (200 + 300) + 60 ms, of which 500 have passed.
    assert_eq!(objective.as_millis(), 860);
    assert!(is_met);
}

#[test]
fn the_objective_counts_runs_that_fail_by_their_own_fault() {
    let mut bench = Bench::new(RunnerLevel::ROOM, &[1_000, 1_000]);
    let start = bench.submit(vec![step(1, 100)]).unwrap();
    bench.end(&start, &[100], RunEnd::Failed);
    let start = bench.start().unwrap();
    bench.end(&start, &[100], RunEnd::Done);
    let (objective, is_met) = bench.verdict();
    assert_eq!(objective.as_millis(), 380);
    assert!(is_met);
}

#[test]
fn what_runners_keep_is_recalled_and_garbage_is_ignored() {
    let link = LinkNo(1);
    let mut bench = Bench::new(RunnerLevel::ROOM, &[1_000]);
    let recall = RunnerMessage::RunTimes(garbage());
    bench.planner.message(bench.now, link, recall);
    assert_eq!(bench.slack(), 120);
    let kept = vec![ratios(500, 0.5).to_message("main".into())];
    let recall = RunnerMessage::RunTimes(kept);
    bench.planner.message(bench.now, link, recall);
    let slack = bench.slack();
    assert!((88..=92).contains(&slack), "{slack} ms");
}

#[test]
fn a_planner_that_has_seen_much_recalls_nothing() {
    let mut bench = Bench::new(RunnerLevel::ROOM, &[1_000]);
    bench.learn(1_100, 100);
    let kept = vec![ratios(3_000, 0.5).to_message("main".into())];
    let recall = RunnerMessage::RunTimes(kept);
    bench.planner.message(bench.now, LinkNo(1), recall);
    let slack = bench.slack();
    assert!((119..=121).contains(&slack), "{slack} ms");
}

/// Returns the run times that a planner sends to runners.
fn sent_rows(steps: &[PlannerStep]) -> Vec<&Vec<RouteRunTimes>> {
    let rows = steps.iter().filter_map(|step| match step {
        PlannerStep::Send {
            message: PlannerMessage::StoreRunTimes(rows),
            ..
        } => Some(rows),
        _ => None,
    });
    rows.collect()
}

#[test]
fn planners_tell_runners_at_a_bounded_rate_and_not_old_ones() {
    for (level, fewest, most) in [(RunnerLevel::ROOM, 3, 6), (RunnerLevel::CRASHES, 0, 0)] {
        let mut bench = Bench::new(RunnerLevel::ROOM, &[1_000]);
        bench.learn(200, 50);
        let mut other = Bench::new(level, &[1_000, 1_000, 1_000]);
        let kept = vec![ratios(500, 0.5).to_message("main".into())];
        let recall = RunnerMessage::RunTimes(kept);
        other.planner.message(other.now, LinkNo(1), recall);
        let steps = other.pass(10_000);
        let sent = sent_rows(&steps).len();
        assert!((fewest..=most).contains(&sent), "{sent} messages");
    }
}

#[test]
fn routes_that_are_not_in_force_are_dropped() {
    let mut bench = Bench::new(RunnerLevel::ROOM, &[1_000]);
    bench.learn(200, 50);
    let other = Route {
        name: "other".into(),
        ..(*route()).clone()
    };
    bench
        .planner
        .set_routes(&RouteTable::new(2, 0, vec![other]));
    assert_eq!(bench.slack(), 120);
    let kept = vec![ratios(500, 0.5).to_message("main".into())];
    let recall = RunnerMessage::RunTimes(kept);
    bench.planner.message(bench.now, LinkNo(1), recall);
    assert_eq!(bench.slack(), 120);
}

/// Returns what a runner tells planners on a new link after it was told rows.
fn told_rows(rows: Vec<RouteRunTimes>, knows: bool) -> Option<Vec<RouteRunTimes>> {
    let now = Time(1_000_000);
    let lease = Micros::from_secs(1);
    let mut runner = Runner::new("r".into(), "d".into(), lease, 1, now);
    runner.link_up(now, LinkNo(1));
    runner.message(now, LinkNo(1), PlannerMessage::StoreRunTimes(rows));
    runner.link_up(now, LinkNo(2));
    let message = if knows {
        PlannerMessage::KnowsRoom
    } else {
        PlannerMessage::Heartbeat(0)
    };
    runner.message(now, LinkNo(2), message);
    let steps = runner.drain().into_iter();
    let mut told = steps.filter_map(|step| match step {
        RunnerStep::Send {
            link: LinkNo(2),
            message: RunnerMessage::RunTimes(rows),
        } => Some(rows),
        _ => None,
    });
    told.next()
}

#[test]
fn runners_keep_run_times_for_planners_that_know_them() {
    let rows = vec![ratios(500, 0.5).to_message("main".into())];
    assert_eq!(told_rows(rows.clone(), true), Some(rows.clone()));
    assert_eq!(told_rows(rows, false), None);
    assert_eq!(told_rows(garbage(), true), None);
}

#[test]
fn runners_keep_a_bounded_number_of_routes() {
    let names = (0..1_000).map(|i| Name::from(format!("route {i}").as_str()));
    let rows = names.map(|name| ratios(64, 0.5).to_message(name)).collect();
    let told = told_rows(rows, true).unwrap();
    assert_eq!(told.len(), 64);
}
