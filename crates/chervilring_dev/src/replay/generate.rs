//! The traces, made from a seed.

use chervilring_wire::{Kind, Micros};

use super::deployment::Deployment;
use super::rng::Rng;
use super::trace::{Arrival, Change, Fault, Head, Outcome, Span, Target, Trace};

/// How long a trace lasts.
const SPAN: f64 = 30.0;

/// When the fault of a trace comes.
const FAULT: f64 = 10.0;

/// The share of the work that comes in jobs.
const JOB_SHARE: f64 = 0.6;

/// The mean number of tasks in a job.
const JOB_TASKS: f64 = 40.0;

/// The scenarios, each played on both deployments.
const SCENARIOS: [&str; 16] = [
    "steady-30",
    "steady-60",
    "steady-80",
    "steady-95",
    "burst",
    "overload",
    "straggler",
    "failing-worker",
    "mute-worker",
    "rack-lost",
    "store-out",
    "cancellations",
    "never-run",
    "declared-wrong",
    "flood",
    "rolling-restart",
];

/// Returns the names of all traces.
pub fn names() -> Vec<String> {
    let users = ["mototaller", "vuepoint"];
    let all = users.iter().flat_map(|user| {
        let scenarios = SCENARIOS.iter().chain(&["retry-storm"]);
        scenarios.map(move |scenario| format!("{user}-{scenario}"))
    });
    all.collect()
}

/// Returns the trace of this name, made from a seed; nothing when there is none of this name.
pub fn generate(name: &str, seed: u64) -> Option<Trace> {
    if !names().iter().any(|n| n == name) {
        return None;
    }
    let (user, scenario) = name.split_once('-')?;
    let deployment = match user {
        "mototaller" => Deployment::mototaller(),
        _ => Deployment::vuepoint(),
    };
    let mut maker = Maker::new(deployment, seed ^ name.len() as u64);
    maker.scenario(scenario);
    Some(maker.finish(name))
}

/// Builds one trace.
struct Maker {
    rng: Rng,
    deployment: Deployment,
    arrivals: Vec<Arrival>,
    faults: Vec<Fault>,
    quotas: Vec<(chervilring_wire::TeamName, u32)>,
    target: Target,
    /// Whether the fault's time splits the trace into phases.
    split: bool,
}

impl Maker {
    fn new(deployment: Deployment, seed: u64) -> Self {
        Self {
            rng: Rng::new(seed),
            deployment,
            arrivals: Vec::new(),
            faults: Vec::new(),
            quotas: Vec::new(),
            target: Target {
                median: Some(1.05),
                tail: Some(1.25),
                wasted: Some(20.0),
                ..Target::default()
            },
            split: true,
        }
    }

    fn scenario(&mut self, scenario: &str) {
        match scenario {
            "steady-30" => {
                self.steady(0.3);
                self.target.ideal = Some(1.05);
            }
            "steady-60" => self.steady(0.6),
            "steady-80" => self.steady(0.8),
            "steady-95" => self.steady(0.95),
            "declared-wrong" => {
                self.steady(0.8);
                for arrival in &mut self.arrivals {
                    let wrong = [0.1, 1.0, 10.0][self.rng.below(3)];
                    arrival.declared = (f64::from(arrival.declared) * wrong) as u32;
                }
            }
            "burst" => {
                self.load(0.0, SPAN, 0.5);
                self.load(FAULT, FAULT + 2.0, 2.0);
                self.split = true;
                self.faulty();
            }
            "overload" => {
                self.load(0.0, FAULT, 0.8);
                self.load(FAULT, SPAN, 5.0);
                self.target = Target {
                    goodput: Some(0.95),
                    ..Target::default()
                };
            }
            "cancellations" => {
                self.load(0.0, SPAN, 0.8);
                let span = Micros::from_millis(40);
                for arrival in &mut self.arrivals {
                    let wave = secs(FAULT)..secs(FAULT + 3.0);
                    if wave.contains(&arrival.at) && self.rng.unit() < 0.5 {
                        arrival.cancel = Some(span);
                        arrival.outcome = Outcome::Cancelled;
                    }
                }
                self.faulty();
            }
            "never-run" => self.never_run(),
            "flood" => self.flood(),
            "retry-storm" => {
                self.load(0.0, SPAN, 0.6);
                self.load(FAULT, FAULT + 5.0, 3.0);
                for arrival in &mut self.arrivals {
                    arrival.again = 5;
                }
                self.faulty();
            }
            _ => self.fault(scenario),
        }
    }

    /// Relaxes the aims to those of a trace with a fault.
    fn faulty(&mut self) {
        self.target = Target {
            tail: Some(1.5),
            wasted: Some(100.0),
            ..Target::default()
        };
    }

    fn steady(&mut self, load: f64) {
        self.load(0.0, SPAN, load);
        self.split = false;
    }

    fn fault(&mut self, scenario: &str) {
        self.load(0.0, SPAN, 0.7);
        self.faulty();
        let worker = self.middling();
        match scenario {
            "straggler" => self.change(
                FAULT,
                Change::Slow {
                    worker,
                    factor: 10.0,
                },
            ),
            "failing-worker" => self.change(FAULT, Change::Fail { worker }),
            "mute-worker" => self.change(FAULT, Change::Mute { worker }),
            "rack-lost" => {
                for worker in 0..3 {
                    self.change(FAULT, Change::Lose { worker });
                }
            }
            "store-out" => {
                self.change(FAULT, Change::Store { up: false });
                self.change(FAULT + 10.0, Change::Store { up: true });
            }
            _ => {
                for worker in 0..self.deployment.workers.len() {
                    let at = FAULT + 1.5 * worker as f64;
                    let away = Micros::from_secs(1);
                    self.change(at, Change::Restart { worker, away });
                }
            }
        }
    }

    /// Returns the place of a worker that is faster than most.
    fn middling(&self) -> usize {
        let mut order: Vec<usize> = (0..self.deployment.workers.len()).collect();
        let speed = |&i: &usize| self.deployment.workers[i].slowness;
        order.sort_by(|a, b| speed(a).total_cmp(&speed(b)));
        order[2]
    }

    fn change(&mut self, at: f64, change: Change) {
        self.faults.push(Fault {
            at: secs(at),
            change,
        });
    }

    /// Adds jobs and requests that nothing can ever do.
    fn never_run(&mut self) {
        self.steady(0.6);
        for number in 0..60 {
            let mut arrival = self.arrival(0.4 * f64::from(number), Kind::Request, "norte");
            arrival.outcome = Outcome::Refused;
            match number % 3 {
                0 => arrival.service = Some("unheard-of".into()),
                1 => {
                    arrival.kind = Kind::Job;
                    arrival.runs = vec![1_000; 2_500];
                }
                _ => arrival.patience = Micros::from_millis(4),
            }
            self.arrivals.push(arrival);
        }
        self.target.wasted = Some(40.0);
    }

    /// Adds a team that asks for far more than its quota.
    fn flood(&mut self) {
        self.load(0.0, SPAN, 0.5);
        let before = self.arrivals.len();
        self.load(FAULT, FAULT + 10.0, 3.0);
        for arrival in &mut self.arrivals[before..] {
            arrival.team = "flood".into();
        }
        let rate = self.deployment.capacity() * 0.2 / self.mean_run();
        self.quotas.push(("flood".into(), rate as u32));
        self.faulty();
        self.target.wasted = None;
    }

    /// Adds arrivals that ask for a share of the capacity.
    fn load(&mut self, from: f64, to: f64, load: f64) {
        let rate = self.deployment.capacity() * load / self.mean_run();
        let requests = rate * (1.0 - JOB_SHARE);
        let jobs = rate * JOB_SHARE / JOB_TASKS;
        let teams = ["norte", "sur", "centro", "costa", "sierra"];
        let mut at = from + self.rng.exponential(1.0 / requests);
        while at < to {
            let team = teams[self.rng.below(teams.len())];
            let arrival = self.arrival(at, Kind::Request, team);
            self.arrivals.push(arrival);
            at += self.rng.exponential(1.0 / requests);
        }
        let mut at = from + self.rng.exponential(1.0 / jobs);
        while at < to {
            let team = teams[self.rng.below(teams.len())];
            let mut arrival = self.arrival(at, Kind::Job, team);
            let tasks = 10.0 + self.rng.exponential(JOB_TASKS - 10.0).min(290.0);
            arrival.runs = (0..tasks as usize).map(|_| self.run()).collect();
            self.arrivals.push(arrival);
            at += self.rng.exponential(1.0 / jobs);
        }
    }

    fn arrival(&mut self, at: f64, kind: Kind, team: &str) -> Arrival {
        Arrival {
            at: secs(at),
            kind,
            service: None,
            team: team.into(),
            idempotent: self.rng.unit() < 0.7,
            keyed: kind == Kind::Job || self.rng.unit() < 0.5,
            patience: Micros::from_secs(15),
            runs: vec![self.run()],
            declared: 64 + self.rng.below(512) as u32,
            cancel: None,
            again: 0,
            outcome: Outcome::Answered,
        }
    }

    /// Returns a run time: mostly 50 ms to a second, a few of several seconds.
    fn run(&mut self) -> u32 {
        if self.rng.unit() < 0.02 {
            return 2_000_000 + self.rng.below(3_000_000) as u32;
        }
        let run = (0.2f64.ln() + 0.7 * self.rng.normal()).exp();
        (run.clamp(0.05, 1.0) * 1e6) as u32
    }

    /// Returns the mean of [`Self::run`], in seconds.
    fn mean_run(&self) -> f64 {
        let mut maker = Self::new(self.deployment.clone(), 99);
        let runs = (0..20_000).map(|_| f64::from(maker.run()));
        runs.sum::<f64>() / 20_000.0 / 1e6
    }

    fn finish(mut self, name: &str) -> Trace {
        self.arrivals.sort_by_key(|a| a.at);
        let span = |name: &str, from: f64, to: f64| Span {
            name: name.into(),
            from: secs(from),
            to: secs(to),
        };
        let phases = if self.split {
            vec![
                span("before", 3.0, FAULT),
                span("fault", FAULT, FAULT + 5.0),
                span("after", FAULT + 5.0, SPAN),
            ]
        } else {
            vec![span("start", 0.0, 3.0), span("steady", 3.0, SPAN)]
        };
        Trace {
            head: Head {
                name: name.into(),
                deployment: self.deployment,
                quotas: self.quotas,
                phases,
                target: self.target,
            },
            arrivals: self.arrivals,
            faults: self.faults,
        }
    }
}

fn secs(at: f64) -> Micros {
    Micros((at * 1e6) as u64)
}
