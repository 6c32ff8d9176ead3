//! What the dispatcher costs: a closed loop of submissions, starts and answers without any I/O.

mod wire;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use chervilring_core::config::{Config, Limits, Quota, Rules, Selector, Service};
use chervilring_core::dispatch::{DispatchSettings, Dispatcher, Step, Work};
use chervilring_wire::{
    AgentId, AgentState, Announce, Incarnation, Kind, Load, Micros, Origin, Revision, RingVersion,
    SubmissionId, TaskAnswer, TaskKey, TaskOutcome, TaskOutput, Time,
};
use serde::Serialize;
pub use wire::{WireCost, measure_wire};

/// Slots of each agent.
const SLOTS: u32 = 8;

/// The run time that answers tell.
const RUN: Micros = Micros::from_millis(200);

/// The sizes of a measurement.
#[derive(Debug, Clone, Serialize)]
pub struct Sizes {
    /// Agents.
    pub agents: usize,
    /// Services.
    pub services: usize,
    /// Teams.
    pub teams: usize,
    /// Tasks of a submission.
    pub tasks: usize,
    /// Submissions that wait.
    pub waiting: usize,
    /// Task starts to measure over.
    pub starts: usize,
}

/// What was measured.
#[derive(Debug, Clone, Serialize)]
pub struct Costs {
    /// The sizes.
    pub sizes: Sizes,
    /// Task starts a second on one core, with submission and answer.
    pub rate: f64,
    /// Nanoseconds for each task.
    pub task_ns: f64,
    /// Nanoseconds for each announcement.
    pub announce_ns: f64,
    /// Microseconds for each run without work, ten a second.
    pub idle_us: f64,
    /// Resident bytes of agents, services and teams.
    pub state_bytes: u64,
    /// Resident bytes of what waits.
    pub waiting_bytes: u64,
    /// Bytes of the configuration's document.
    pub config_bytes: usize,
}

/// A loop around a dispatcher.
struct Bench {
    dispatcher: Dispatcher,
    sizes: Sizes,
    now: Time,
    next: u128,
    /// Attempts at agents, in the order of their start.
    running: VecDeque<(AgentId, TaskKey)>,
    started: usize,
}

/// Measures the costs at some sizes.
pub fn measure(sizes: &Sizes) -> Costs {
    let before = resident();
    let mut bench = Bench::new(sizes.clone());
    let announce_ns = bench.announce_all(10) * 1e9;
    let state = resident();
    bench.fill();
    let full = resident();
    let task_ns = bench.churn() * 1e9;
    let idle_us = bench.idle() * 1e6;
    Costs {
        sizes: sizes.clone(),
        rate: 1e9 / task_ns,
        task_ns,
        announce_ns,
        idle_us,
        state_bytes: state.saturating_sub(before),
        waiting_bytes: full.saturating_sub(state),
        config_bytes: config(sizes).to_json().len(),
    }
}

impl Bench {
    fn new(sizes: Sizes) -> Self {
        let mut dispatcher = Dispatcher::new(DispatchSettings::new("norte".into()));
        dispatcher.configure(Time(0), &Arc::new(config(&sizes)));
        let mut bench = Self {
            dispatcher,
            sizes,
            now: Time(1_000_000),
            next: 1,
            running: VecDeque::new(),
            started: 0,
        };
        bench.announce_all(1);
        for agent in 0..bench.sizes.agents {
            let id = agent_id(agent);
            bench.dispatcher.agent_connected(bench.now, &id);
            bench.dispatcher.allow_starts(&id);
        }
        bench
    }

    /// Has all agents announce themselves some times; returns the seconds for each.
    fn announce_all(&mut self, rounds: usize) -> f64 {
        let announces: Vec<_> = (0..self.sizes.agents).map(|a| self.announce(a)).collect();
        let start = Instant::now();
        for _ in 0..rounds {
            for announce in &announces {
                self.dispatcher.handle_announce(self.now, announce);
            }
        }
        start.elapsed().as_secs_f64() / (rounds * announces.len()) as f64
    }

    fn announce(&self, agent: usize) -> Announce {
        Announce {
            agent: agent_id(agent),
            domain: "norte".into(),
            state: AgentState::Ready,
            services: vec![service_name(agent % self.sizes.services).as_str().into()],
            labels: Vec::new(),
            load: Load {
                slots: SLOTS,
                ..Load::default()
            },
            ring: RingVersion(1),
            revision: Revision(1),
        }
    }

    /// Submits as much as is to wait, without starting anything.
    fn fill(&mut self) {
        for _ in 0..self.sizes.waiting {
            self.submit();
        }
    }

    fn submit(&mut self) {
        let id = self.next;
        self.next += 1;
        let number = id as usize;
        let body = Bytes::from_static(&[0; 64]);
        let kind = if self.sizes.tasks == 1 {
            Kind::Request
        } else {
            Kind::Job
        };
        let work = Work {
            id: SubmissionId(id),
            origin: Origin::ClientKey,
            kind,
            service: service_name(number % self.sizes.services).as_str().into(),
            team: format!("team-{}", number % self.sizes.teams)
                .as_str()
                .into(),
            idempotent: true,
            deadline: self.now + Micros::from_secs(3_600),
            media: "text/plain".into(),
            bodies: (0..self.sizes.tasks).map(|_| body.clone()).collect(),
        };
        let accepted = self.dispatcher.submit(self.now, work);
        debug_assert!(accepted.is_ok(), "{accepted:?}");
    }

    fn run(&mut self) {
        for step in self.dispatcher.run(self.now, Some(Time::NEVER)) {
            if let Step::Start { agent, tasks } = step {
                self.started += tasks.len();
                let keys = tasks.iter().map(|t| (agent.clone(), t.key));
                self.running.extend(keys);
            }
        }
    }

    /// Keeps all slots at work; returns the seconds for each task.
    fn churn(&mut self) -> f64 {
        for _ in 0..=self.sizes.agents * SLOTS as usize / self.sizes.tasks {
            self.submit();
        }
        self.run();
        let output = TaskOutput {
            status: 200,
            media: "text/plain".into(),
            body: Bytes::from_static(&[0; 64]),
        };
        self.started = 0;
        let start = Instant::now();
        let mut answered = 0;
        while self.started < self.sizes.starts {
            let Some((agent, key)) = self.running.pop_front() else {
                break;
            };
            self.now = self.now + Micros(20);
            let answer = TaskAnswer {
                key,
                outcome: TaskOutcome::Done(output.clone()),
                run_time: RUN,
                waited: Micros(0),
                load: Load {
                    slots: SLOTS,
                    running: SLOTS - 1,
                    waiting: 0,
                },
            };
            self.dispatcher
                .handle_answers(self.now, &agent, vec![answer]);
            answered += 1;
            if answered % self.sizes.tasks == 0 {
                self.submit();
            }
            self.run();
            if answered % 4_096 == 0 {
                // Sparse announcements keep the agents alive, as load on answers does.
                self.announce_all(1);
            }
        }
        start.elapsed().as_secs_f64() / self.started.max(1) as f64
    }

    /// Runs the sweeps of two seconds; returns the seconds for each.
    fn idle(&mut self) -> f64 {
        let start = Instant::now();
        for _ in 0..10 {
            self.now = self.now + Micros::from_millis(100);
            self.run();
        }
        start.elapsed().as_secs_f64() / 10.0
    }
}

fn agent_id(agent: usize) -> AgentId {
    AgentId {
        name: format!("agent-{agent}").into(),
        incarnation: Incarnation(1),
    }
}

fn service_name(service: usize) -> String {
    format!("service-{service}")
}

fn config(sizes: &Sizes) -> Config {
    let mut config = Config::empty();
    let quota = Quota {
        rate: 1_000_000_000,
        burst: 1_000_000_000,
    };
    let quotas = (0..sizes.teams).map(|t| (format!("team-{t}").as_str().into(), quota));
    let quotas: std::collections::BTreeMap<_, _> = quotas.collect();
    for service in 0..sizes.services {
        let limits = Limits {
            queue: 100_000_000,
            ..Limits::default()
        };
        let service = Service {
            name: service_name(service).as_str().into(),
            selector: Selector::default(),
            limits,
            rules: Rules::new(true, Micros::from_secs(3_600)),
            quotas: quotas.clone(),
        };
        config
            .services
            .insert(service.name.clone(), Arc::new(service));
    }
    config
}

/// Returns the resident memory of this process, in bytes; zero where the system does not tell.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kibibytes = line.and_then(|l| l.trim().split(' ').next()?.parse::<u64>().ok());
    kibibytes.unwrap_or(0) * 1_024
}
