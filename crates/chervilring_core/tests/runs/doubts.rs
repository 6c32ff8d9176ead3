//! Starts that get no answer, at a runner, and what planners make of it.

use chervilring_core::runs::Runner;
use chervilring_core::runs::planner::{Choice, JobAnswer, LinkNo, choose_upstream};
use chervilring_core::runs::runner::{CallOutcome, RunnerEvent, RunnerStep, UpstreamCall};
use chervilring_wire::{
    JobId, Micros, PlannerMessage, Resources, RunKey, RunnerMessage, StartRuns, Time,
};

use super::placing::{candidate, times};
use super::upstream::Upstream;
use super::world::{Without, World, test_job};

const MS: fn(u64) -> Micros = Micros::from_millis;
const OLD: LinkNo = LinkNo(1);
const NEW: LinkNo = LinkNo(2);

/// How long a call takes, or `None` if it gets no answer. Its arguments are the call and the number of
/// starts so far.
type Delay = fn(&UpstreamCall, usize) -> Option<Micros>;

/// A runner with its upstream, an older and a newer planner, and what was seen of their exchange.
struct Host {
    runner: Runner,
    upstream: Upstream,
    now: Time,
    pending: Vec<(Time, Time, UpstreamCall, CallOutcome)>,
    timeouts: Vec<Micros>,
    started: Vec<Time>,
    told: Vec<(LinkNo, u32)>,
    waits: Vec<Micros>,
}

/// Each call is answered at once.
const AT_ONCE: Delay = |_, _| Some(Micros(300));

fn no_start(call: &UpstreamCall, _: usize) -> Option<Micros> {
    (!matches!(call, UpstreamCall::Start { .. })).then_some(Micros(300))
}

impl Host {
    fn new() -> Self {
        let mut host = Self {
            runner: Runner::new("r".into(), "d".into(), MS(1_000), 1, Time(0)),
            upstream: Upstream::new(0, 1.0, 1.0, 8_000),
            now: Time(0),
            pending: Vec::new(),
            timeouts: Vec::new(),
            started: Vec::new(),
            told: Vec::new(),
            waits: Vec::new(),
        };
        let report = host.upstream.report(Time(0));
        host.runner.handle_report(Time(0), report);
        host.run(MS(20), AT_ONCE);
        for link in [OLD, NEW] {
            host.runner.link_up(host.now, link);
        }
        host.runner
            .message(host.now, NEW, PlannerMessage::KnowsRoom);
        host
    }

    /// Returns a host whose upstream has answered the starts of two jobs at once.
    fn learnt() -> Self {
        let mut host = Self::new();
        host.jobs(2, AT_ONCE);
        host
    }

    /// Requests a job of eight tasks of 51 ms.
    fn request(&mut self, job: u64) {
        let start = StartRuns {
            seq: job,
            service: "work".into(),
            spec: "spec".into(),
            demand: Resources {
                cpu: 1_000,
                memory: 10,
                gpu: 0,
            },
            declared_runtime: MS(51),
            queue_timeout: MS(75),
            runs: (0..8).map(|index| run(job, index)).collect(),
        };
        self.runner
            .message(self.now, OLD, PlannerMessage::Start(start));
    }

    /// Runs jobs one after the other.
    fn jobs(&mut self, count: u64, delay: Delay) {
        for _ in 0..count {
            self.request(self.now.0);
            self.run(MS(200), delay);
        }
    }

    fn run(&mut self, span: Micros, delay: Delay) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Micros(100);
            let now = self.now;
            let (due, pending) = self.pending.drain(..).partition(|(at, ..)| *at <= now);
            self.pending = pending;
            let due: Vec<(Time, Time, UpstreamCall, CallOutcome)> = due;
            for (_, sent, call, outcome) in due {
                self.runner.call_finished(now, sent, &call, outcome);
            }
            for link in [OLD, NEW] {
                let ack = PlannerMessage::Heartbeat(u64::MAX);
                self.runner.message(now, link, ack);
            }
            self.runner.tick(now);
            for step in self.runner.drain() {
                self.carry_out(step, delay);
            }
        }
    }

    fn carry_out(&mut self, step: RunnerStep, delay: Delay) {
        match step {
            RunnerStep::Call(call) => self.call(call, delay),
            RunnerStep::Send { link, message } => match message {
                RunnerMessage::Started(_) => self.started.push(self.now),
                RunnerMessage::Doubts(count) => self.told.push((link, count)),
                _ => {}
            },
            RunnerStep::Log(RunnerEvent::Begun { waited, .. }) => self.waits.push(waited),
            _ => {}
        }
    }

    fn call(&mut self, call: UpstreamCall, delay: Delay) {
        let limit = match &call {
            UpstreamCall::Start { timeout, .. } => {
                self.timeouts.push(*timeout);
                *timeout
            }
            UpstreamCall::Stop { .. } => MS(30),
            UpstreamCall::Poll { max_wait, .. } => *max_wait + MS(30),
        };
        let answered = delay(&call, self.timeouts.len()).filter(|d| *d <= limit);
        let wait = answered.unwrap_or(limit);
        let work = |_: &RunKey| (51_000, false, false);
        let outcome = match (answered, &call) {
            (Some(_), _) => self.upstream.handle_call(self.now, &call, work),
            (None, _) => CallOutcome::NoAnswer,
        };
        self.pending
            .push((self.now + wait, self.now, call, outcome));
    }
}

fn run(job: u64, index: u32) -> RunKey {
    RunKey {
        job: JobId(job),
        occurrence: 0,
        step: 0,
        index,
        attempt: 1,
    }
}

/// Returns the timeout of the first start after some jobs with this call time.
fn learnt_timeout(host: &mut Host, jobs: u64, delay: Delay) -> Micros {
    host.jobs(jobs, delay);
    host.timeouts.clear();
    host.jobs(1, delay);
    host.timeouts[0]
}

#[test]
fn the_timeout_of_a_start_follows_the_call_times() {
    let mut host = Host::new();
    host.jobs(1, AT_ONCE);
    assert_eq!(host.timeouts[0], MS(30), "the first call of an incarnation");
    assert_eq!(learnt_timeout(&mut host, 1, AT_ONCE), MS(8));
    let slower = learnt_timeout(&mut host, 4, |_, _| Some(MS(6)));
    assert!((MS(18)..MS(19)).contains(&slower), "{slower:?}");
    assert_eq!(learnt_timeout(&mut host, 4, |_, _| Some(MS(20))), MS(30));
    assert_eq!(learnt_timeout(&mut host, 9, AT_ONCE), MS(8));
}

#[test]
fn a_start_without_answer_is_repeated_at_once() {
    let fifth = |call: &UpstreamCall, starts: usize| match starts {
        5 => no_start(call, starts),
        _ => AT_ONCE(call, starts),
    };
    for (mut host, limit) in [(Host::new(), 32), (Host::learnt(), 10)] {
        (host.timeouts, host.started) = (Vec::new(), Vec::new());
        let begin = host.now;
        host.request(begin.0);
        host.run(MS(50), fifth);
        assert_eq!((host.started.len(), host.timeouts.len()), (8, 9));
        let last = begin.duration_until(host.started[7]);
        assert!(last <= MS(limit) && last >= MS(limit - 3), "{last:?}");
    }
}

#[test]
fn an_upstream_that_turns_slow_gets_few_repeats() {
    let mut host = Host::learnt();
    let slow: Delay = |_, _| Some(MS(14));
    host.timeouts.clear();
    host.jobs(1, slow);
    // The first start of each run times out, the second does not.
    assert_eq!(host.timeouts.len(), 16);
    host.timeouts.clear();
    host.jobs(1, slow);
    assert_eq!(host.timeouts.len(), 8);
    let mute = Host::learnt();
    for mut host in [mute, Host::new()] {
        host.timeouts.clear();
        host.request(host.now.0);
        host.run(MS(400), no_start);
        assert!(host.timeouts.len() <= 56, "{} starts", host.timeouts.len());
    }
}

#[test]
fn an_upstream_that_is_down_gets_few_repeats() {
    let mut host = Host::learnt();
    host.timeouts.clear();
    host.request(host.now.0);
    host.run(MS(1_000), |_, _| None);
    // Its polls are given up after 80 ms; then there is one call at a time until it counts as silent.
    assert!(host.timeouts.len() <= 36, "{} starts", host.timeouts.len());
}

#[test]
fn a_repeat_does_not_wait_for_a_poll() {
    let mut host = Host::learnt();
    let polls_lost: Delay = |call, _| {
        let is_poll = matches!(call, UpstreamCall::Poll { .. });
        (!is_poll).then_some(Micros(300))
    };
    // The last poll is given up after 130 ms at most.
    host.run(MS(140), polls_lost);
    host.started.clear();
    host.request(host.now.0);
    host.run(MS(1), |_, _| None);
    host.run(MS(30), polls_lost);
    assert_eq!(host.started.len(), 8);
}

#[test]
fn planners_that_know_doubts_are_told_of_them_until_they_have_passed() {
    let mut host = Host::learnt();
    host.request(host.now.0);
    // The first start of a run, its repeat, and the first start of another run.
    host.run(MS(30), |call, starts| match starts {
        17 | 20 | 25 => no_start(call, starts),
        _ => AT_ONCE(call, starts),
    });
    assert_eq!(host.told, [(NEW, 1)]);
    host.run(MS(1_900), AT_ONCE);
    assert_eq!((host.told.len(), host.runner.doubt_count()), (1, 0));
    host.run(MS(200), AT_ONCE);
    assert_eq!(host.told, [(NEW, 1), (NEW, 0)]);
}

#[test]
fn an_upstream_in_doubt_goes_behind_others_but_not_behind_a_long_wait() {
    let mut doubtful = candidate(50, 0, 0.9);
    doubtful.doubtful = true;
    let pick = |other| choose_upstream(&[doubtful, other], &times(156), || 0.5);
    assert_eq!(pick(candidate(50, 0, 0.1)), Choice::Place(1));
    assert_eq!(pick(candidate(50, 70, 0.0)), Choice::Place(0));
}

#[test]
fn the_wait_of_each_run_is_told_when_it_begins() {
    let mut host = Host::learnt();
    host.waits.clear();
    host.request(1);
    host.run(MS(10), AT_ONCE);
    host.request(2);
    host.run(MS(100), AT_ONCE);
    assert_eq!(host.waits[..8], [Micros(0); 8]);
    assert!(host.waits[8..].iter().all(|w| (MS(40)..MS(50)).contains(w)));
    assert_eq!(host.waits.len(), 16);
}

/// Returns the share of jobs of eight tasks of 51 ms that are answered within 100 ms, at one job each
/// `gap` microseconds on four upstreams of eight cores, while a fault lasts.
fn timely_share(gap: u64, fault: fn(&mut World)) -> f64 {
    let (mut timely, mut counted) = (0, 0);
    for seed in 1..=4 {
        let mut world = World::new(seed, 2, 4, Without::Nothing);
        for upstream in &mut world.upstreams {
            upstream.speed = 1.0;
        }
        world.run(300_000);
        for id in 0..8_000_000 / gap {
            world.add_job(id * gap, test_job(id + 1, 8, 51));
        }
        world.run(2_000_000);
        fault(&mut world);
        let from = world.now;
        world.run(10_000_000);
        assert_eq!(world.violations, Vec::<String>::new());
        for job in world.jobs.iter().filter(|j| j.submitted_at >= from) {
            let in_time = |at: Time| job.submitted_at.duration_until(at) <= MS(100);
            let is_timely = matches!(job.answers[..], [(at, JobAnswer::Completed)] if in_time(at));
            counted += 1;
            timely += u32::from(is_timely);
        }
    }
    f64::from(timely) / f64::from(counted)
}

/// Load: all upstreams leave 5 % of the orders unanswered and carry them out seconds later.
#[test]
fn wide_jobs_are_in_time_although_some_starts_get_no_answer() {
    let share = timely_share(25_000, |world| world.late_share = 0.05);
    assert!(share >= 0.96, "{share} of the jobs were in time");
}

/// Load: one of four upstreams leaves three calls of ten unanswered.
#[test]
fn wide_jobs_go_to_upstreams_that_answer() {
    let share = timely_share(50_000, |world| {
        world.muted.insert(0, (Time(u64::MAX), 0.3));
    });
    assert!(share >= 0.9, "{share} of the jobs were in time");
}
