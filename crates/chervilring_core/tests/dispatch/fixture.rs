//! A dispatcher with fake agents that accept every start.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use chervilring_core::config::{Config, Limits, Quota, Rules, Selector, Service};
use chervilring_core::dispatch::{DispatchSettings, Dispatcher, Step, Work};
use chervilring_wire::{
    AgentId, AgentState, Announce, Failure, Incarnation, Kind, Load, Micros, Origin, Reason,
    Revision, RingVersion, SubmissionId, TaskAnswer, TaskKey, TaskOutcome, TaskOutput, Time,
    Verdict,
};

/// Slots of each fake agent.
pub(crate) const SLOTS: u32 = 4;

/// A dispatcher and a record of its steps.
pub(crate) struct Fixture {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) now: Time,
    pub(crate) agents: Vec<AgentId>,
    /// Attempts in flight, with the index of their agent.
    pub(crate) in_flight: BTreeMap<TaskKey, usize>,
    pub(crate) ended: Vec<(SubmissionId, Result<Vec<TaskOutput>, Failure>)>,
    /// All starts, with the index of the agent, in order.
    pub(crate) starts: Vec<(usize, TaskKey)>,
    pub(crate) cancels: Vec<TaskKey>,
    /// Time until which the dispatcher may start work.
    pub(crate) authority: Option<Time>,
}

/// Returns the service that the tests use.
pub(crate) fn service() -> Service {
    let mut rules = Rules::new(true, Micros::from_secs(10));
    rules.hedge_percent = 5;
    Service {
        name: "parts".into(),
        selector: Selector::default(),
        limits: Limits::default(),
        rules,
        quotas: BTreeMap::new(),
    }
}

/// Returns a quota.
pub(crate) fn quota(rate: u32, burst: u32) -> Quota {
    Quota { rate, burst }
}

impl Fixture {
    /// Creates a dispatcher with connected agents that are ready.
    pub(crate) fn new(agents: usize, service: Service) -> Self {
        let mut dispatcher = Dispatcher::new(DispatchSettings::new("norte".into()));
        let mut config = Config::empty();
        config
            .services
            .insert(service.name.clone(), Arc::new(service));
        dispatcher.configure(Time(0), &Arc::new(config));
        let mut fixture = Self {
            dispatcher,
            now: Time(1_000_000),
            agents: Vec::new(),
            in_flight: BTreeMap::new(),
            ended: Vec::new(),
            starts: Vec::new(),
            cancels: Vec::new(),
            authority: Some(Time::NEVER),
        };
        for index in 0..agents {
            fixture.agents.push(AgentId {
                name: format!("agent-{index}").into(),
                incarnation: Incarnation(1),
            });
            fixture.announce(index, AgentState::Ready);
            let id = fixture.agents[index].clone();
            fixture.dispatcher.agent_connected(fixture.now, &id);
            fixture.dispatcher.allow_starts(&id);
        }
        fixture
    }

    /// Delivers an announcement of an agent.
    pub(crate) fn announce(&mut self, agent: usize, state: AgentState) {
        let announce = Announce {
            agent: self.agents[agent].clone(),
            domain: "norte".into(),
            state,
            services: vec!["parts".into()],
            labels: Vec::new(),
            load: self.load(agent),
            ring: RingVersion(1),
            revision: Revision(1),
        };
        self.dispatcher.handle_announce(self.now, &announce);
    }

    fn load(&self, agent: usize) -> Load {
        let attempts = self.in_flight.values().filter(|&&a| a == agent).count() as u32;
        Load {
            slots: SLOTS,
            running: attempts.min(SLOTS),
            waiting: attempts.saturating_sub(SLOTS),
        }
    }

    /// Returns a submission with the given number of tasks.
    pub(crate) fn work(&self, id: u128, kind: Kind, tasks: usize) -> Work {
        Work {
            id: SubmissionId(id),
            origin: Origin::ClientKey,
            kind,
            service: "parts".into(),
            team: "norte".into(),
            idempotent: true,
            deadline: self.now + Micros::from_secs(10),
            media: "text/plain".into(),
            bodies: (0..tasks).map(|_| Bytes::from_static(b"body")).collect(),
        }
    }

    /// Submits work and runs the dispatcher.
    pub(crate) fn submit(&mut self, work: Work) -> Result<(), Failure> {
        let result = self.dispatcher.submit(self.now, work);
        self.run();
        result
    }

    /// Runs the dispatcher and records its steps.
    pub(crate) fn run(&mut self) {
        for step in self.dispatcher.run(self.now, self.authority) {
            match step {
                Step::Start { agent, tasks } => {
                    let agent = self.agents.iter().position(|a| *a == agent);
                    let agent = agent.expect("starts go to known agents");
                    for task in tasks {
                        self.starts.push((agent, task.key));
                        self.in_flight.insert(task.key, agent);
                    }
                }
                Step::Cancel { keys, .. } => self.cancels.extend(keys),
                Step::Ended { id, result } => self.ended.push((id, result)),
            }
        }
    }

    /// Advances the time in steps of 100 ms, with announcements of all agents.
    pub(crate) fn advance(&mut self, duration: Micros) {
        let until = self.now + duration;
        while self.now < until {
            self.now = until.min(self.now + Micros::from_millis(100));
            for agent in 0..self.agents.len() {
                self.announce(agent, AgentState::Ready);
            }
            self.run();
        }
    }

    /// Advances the time in steps of 100 ms, without messages of agents.
    pub(crate) fn advance_silent(&mut self, duration: Micros) {
        let until = self.now + duration;
        while self.now < until {
            self.now = until.min(self.now + Micros::from_millis(100));
            self.run();
        }
    }

    /// Delivers the outcome of an attempt from its agent.
    pub(crate) fn answer(&mut self, key: TaskKey, outcome: TaskOutcome) {
        let Some(agent) = self.in_flight.remove(&key) else {
            return;
        };
        let answer = TaskAnswer {
            key,
            outcome,
            run_time: Micros::from_millis(100),
            waited: Micros(0),
            load: self.load(agent),
        };
        let id = self.agents[agent].clone();
        self.dispatcher.handle_answers(self.now, &id, vec![answer]);
        self.run();
    }

    /// Returns the attempts in flight at an agent.
    pub(crate) fn in_flight_at(&self, agent: usize) -> Vec<TaskKey> {
        let in_flight = self.in_flight.iter().filter(|(_, a)| **a == agent);
        in_flight.map(|(key, _)| *key).collect()
    }

    /// Returns the result of a submission, once it has ended.
    pub(crate) fn result(&self, id: u128) -> Option<&Result<Vec<TaskOutput>, Failure>> {
        let ended = self.ended.iter().find(|(i, _)| i.0 == id);
        ended.map(|(_, result)| result)
    }
}

/// Returns the outcome of a successful attempt.
pub(crate) fn done(key: TaskKey) -> TaskOutcome {
    TaskOutcome::Done(TaskOutput {
        status: 200,
        media: "text/plain".into(),
        body: Bytes::from(format!("{}/{}", key.submission, key.index)),
    })
}

/// Returns the outcome of a failed attempt.
pub(crate) fn failed(verdict: Verdict, reason: Reason) -> TaskOutcome {
    TaskOutcome::Failed(Failure {
        verdict,
        reason,
        retry_after: None,
    })
}
