//! Racks whose data much work wants: a load on a few racks that several planners share.

use chervilring_core::runs::Planner;
use chervilring_core::runs::planner::{
    Caller, JobAnswer, LinkNo, NewJob, PlannerEvent, PlannerSettings, PlannerStep, Step,
};
use chervilring_wire::{
    JobId, Micros, Name, PlannerMessage, RefuseReason, Resources, RunEnd, RunKey, RunnerMessage,
    StartRuns, Time, UpstreamState,
};

use super::world::route;

const START: Time = Time(1_000_000);
const PLANNERS: usize = 3;

/// The upstreams: three in each of four racks, with eight cores each.
const UPSTREAMS: usize = 12;
const PER_RACK: usize = 3;
const CORES: usize = 8;

const TASKS: u32 = 4;
const RUN_TIME: Micros = Micros::from_millis(80);

/// The time between two reports of an upstream's state.
const REPORT: u64 = 5;

/// An upstream that runs what has room and keeps the rest in order of arrival.
#[derive(Debug, Default)]
struct Upstream {
    accepting: bool,
    start_seqs: [u64; PLANNERS],
    /// The runs that wait, each with its run time and the end of its wait.
    waiting: Vec<(RunKey, Micros, Time)>,
    running: Vec<(RunKey, Time)>,
}

/// A load of which a part wants the data in rack `r0`.
struct Load {
    now: Time,
    random: fastrand::Rng,
    planners: Vec<Planner>,
    upstreams: Vec<Upstream>,
    /// The jobs a millisecond that want the data, and those that want none.
    wanting: f64,
    other: f64,
    last_job: u64,
    /// The jobs without and with a wish for the data: those asked, and those answered in time.
    asked: [u32; 2],
    timely: [u32; 2],
    /// The starts of other work at the rack.
    strangers: u32,
    /// When the rack became hot, or was no longer hot, at the first planner.
    changes: Vec<(Time, bool)>,
    /// The upstream of each start message.
    starts: Vec<u64>,
}

fn cpu(cpu: u64) -> Resources {
    Resources {
        cpu,
        memory: 0,
        gpu: 0,
    }
}

fn rack(link: usize) -> Name {
    format!("r{}", link / PER_RACK).as_str().into()
}

/// Returns whether a job wants the data, by its id.
fn wants_data(job: JobId) -> bool {
    job.0 % 2 == 1
}

/// Returns the index of the planner of a job.
fn planner_of(job: JobId) -> usize {
    (job.0 / 2) as usize % PLANNERS
}

impl Load {
    fn new(remote_factor: f64, wanting: f64, other: f64, seed: u64) -> Self {
        let planner = |place| {
            let settings = PlannerSettings {
                remote_factor,
                seed: seed * 100 + place,
                ..PlannerSettings::default()
            };
            Planner::new(settings, START)
        };
        let mut load = Self {
            now: START,
            random: fastrand::Rng::with_seed(seed),
            planners: (1..=PLANNERS as u64).map(planner).collect(),
            upstreams: (0..UPSTREAMS).map(|_| Upstream::default()).collect(),
            wanting,
            other,
            last_job: 0,
            asked: [0; 2],
            timely: [0; 2],
            strangers: 0,
            changes: Vec::new(),
            starts: Vec::new(),
        };
        for link in 0..UPSTREAMS {
            load.upstreams[link].accepting = true;
            for planner in &mut load.planners {
                let hello = RunnerMessage::Hello {
                    name: format!("u{link}").as_str().into(),
                    domain: (&*rack(link)).into(),
                    incarnation: 1,
                    link_seq: 1,
                    replica_version: 0,
                };
                planner.message(START, LinkNo(link as u64), hello);
            }
        }
        load.report();
        load
    }

    fn report(&mut self) {
        for (link, upstream) in self.upstreams.iter().enumerate() {
            for (planner, &start_seq) in self.planners.iter_mut().zip(&upstream.start_seqs) {
                let state = UpstreamState {
                    start_seq,
                    accepting: upstream.accepting,
                    service: "work".into(),
                    capacity: cpu(CORES as u64 * 1_000),
                    free: cpu((CORES - upstream.running.len()) as u64 * 1_000),
                    queued: Vec::new(),
                    run_time: RUN_TIME,
                    speed: 1_000,
                    labels: vec![rack(link)],
                };
                let message = RunnerMessage::State(state);
                planner.message(self.now, LinkNo(link as u64), message);
            }
        }
    }

    fn run(&mut self, millis: u64) {
        for milli in 0..millis {
            self.now = self.now + Micros::from_millis(1);
            if self.random.f64() < self.wanting {
                self.submit(true);
            }
            if self.random.f64() < self.other {
                self.submit(false);
            }
            for link in 0..UPSTREAMS {
                self.serve(link);
            }
            if milli % REPORT == 0 {
                self.report();
            }
            for planner in 0..PLANNERS {
                self.planners[planner].tick(self.now);
                self.take_steps(planner);
            }
        }
    }

    fn submit(&mut self, wanting: bool) {
        self.last_job += 1;
        let id = JobId(self.last_job * 2 + u64::from(wanting));
        let step = Step {
            count: TASKS,
            demand: cpu(1_000),
            declared_runtime: RUN_TIME,
            data_rack: wanting.then(|| "r0".into()),
            ..Step::default()
        };
        let job = NewJob {
            id,
            route: route(),
            config_version: 1,
            spec: "x".into(),
            request: "".into(),
            steps: vec![step],
            deadline: self.now + Micros::from_millis(1_500),
        };
        self.asked[usize::from(wanting)] += 1;
        let planner = planner_of(id);
        self.planners[planner].submit(self.now, Caller(self.last_job), job);
        self.take_steps(planner);
    }

    fn take_steps(&mut self, planner: usize) {
        for step in self.planners[planner].drain() {
            match step {
                PlannerStep::Send {
                    link,
                    message: PlannerMessage::Start(start),
                } => self.start(planner, link, start),
                PlannerStep::Send {
                    link,
                    message: PlannerMessage::CancelQueued(runs),
                } => self.refuse(link.0 as usize, |run, _| runs.contains(run)),
                PlannerStep::Log(PlannerEvent::RackChanged { hot, .. }) if planner == 0 => {
                    self.changes.push((self.now, hot));
                }
                PlannerStep::Log(PlannerEvent::Answered {
                    job,
                    answer: JobAnswer::Completed,
                    objective_met: true,
                    ..
                }) => self.timely[usize::from(wants_data(job))] += 1,
                _ => {}
            }
        }
    }

    fn start(&mut self, planner: usize, link: LinkNo, start: StartRuns) {
        let upstream = &mut self.upstreams[link.0 as usize];
        upstream.start_seqs[planner] = start.seq;
        let wait_end = self.now + start.queue_timeout;
        let is_stranger = !wants_data(start.runs[0].job) && link.0 < PER_RACK as u64;
        self.strangers += u32::from(is_stranger);
        self.starts.push(link.0);
        let rows = start.runs.into_iter();
        let rows = rows.map(|run| (run, start.declared_runtime, wait_end));
        upstream.waiting.extend(rows);
    }

    /// Refuses runs that wait.
    fn refuse(&mut self, link: usize, is_refused: impl Fn(&RunKey, Time) -> bool) {
        let waiting = std::mem::take(&mut self.upstreams[link].waiting);
        let (refused, kept): (Vec<_>, Vec<_>) = waiting
            .into_iter()
            .partition(|(run, _, end)| is_refused(run, *end));
        self.upstreams[link].waiting = kept;
        for (run, ..) in refused {
            let reason = RefuseReason::Room;
            self.tell(link, &run, RunnerMessage::Refused { run, reason });
        }
    }

    /// Ends and starts the runs of an upstream.
    fn serve(&mut self, link: usize) {
        let now = self.now;
        let running = std::mem::take(&mut self.upstreams[link].running);
        let (ended, kept): (Vec<_>, Vec<_>) = running.into_iter().partition(|(_, e)| *e <= now);
        self.upstreams[link].running = kept;
        for (run, _) in ended {
            let end = RunEnd::Done;
            self.tell(link, &run, RunnerMessage::Ended { run, end });
        }
        self.refuse(link, |_, end| end <= now);
        let upstream = &mut self.upstreams[link];
        let room = (CORES - upstream.running.len()).min(upstream.waiting.len());
        let started: Vec<_> = upstream.waiting.drain(..room).collect();
        for (run, run_time, _) in started {
            self.upstreams[link].running.push((run, now + run_time));
            self.tell(link, &run, RunnerMessage::Started(run));
        }
    }

    fn tell(&mut self, link: usize, run: &RunKey, message: RunnerMessage) {
        let planner = planner_of(run.job);
        self.planners[planner].message(self.now, LinkNo(link as u64), message);
        self.take_steps(planner);
    }

    /// Returns the share of the jobs that are answered in time, of those that want the data or of
    /// the others.
    fn timely_share(&self, wanting: bool) -> f64 {
        let kind = usize::from(wanting);
        f64::from(self.timely[kind]) / f64::from(self.asked[kind])
    }
}

#[test]
fn trial_figures() {
    for factor in [1.5, 3.0] {
        for (wanting, other) in [
            (0.045, 0.15),
            (0.045, 0.19),
            (0.06, 0.19),
            (0.06, 0.22),
            (0.075, 0.19),
        ] {
            let mut sums = [0.0; 3];
            for seed in 1..=4 {
                let mut load = Load::new(factor, wanting, other, seed);
                load.run(6_000);
                sums[0] += load.timely_share(true) / 4.0;
                sums[1] += load.timely_share(false) / 4.0;
                sums[2] += f64::from(load.strangers) / 4.0;
                if seed == 1 {
                    println!("{:?}", load.changes);
                }
            }
            println!(
                "factor {factor} wanting {wanting} other {other}: wanting in time {:.3} other {:.3} strangers {}",
                sums[0], sums[1], sums[2]
            );
        }
    }
}
