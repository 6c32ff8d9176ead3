//! A dispatcher with fake agents that take what they are sent.

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

/// A dispatcher with what it has asked for.
pub(crate) struct Fixture {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) now: Time,
    pub(crate) agents: Vec<AgentId>,
    /// Attempts at agents, by agent.
    pub(crate) held: BTreeMap<TaskKey, usize>,
    pub(crate) ended: Vec<(SubmissionId, Result<Vec<TaskOutput>, Failure>)>,
    /// All starts, in order.
    pub(crate) starts: Vec<(usize, TaskKey)>,
    pub(crate) cancels: Vec<TaskKey>,
    /// When it may no longer start work.
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
    /// Creates a dispatcher with agents that are up.
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
            held: BTreeMap::new(),
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

    /// Has an agent announce itself.
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
        let there = self.held.values().filter(|&&a| a == agent).count() as u32;
        Load {
            slots: SLOTS,
            running: there.min(SLOTS),
            waiting: there.saturating_sub(SLOTS),
        }
    }

    /// Returns a submission.
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

    /// Submits and runs.
    pub(crate) fn submit(&mut self, work: Work) -> Result<(), Failure> {
        let result = self.dispatcher.submit(self.now, work);
        self.run();
        result
    }

    /// Runs the dispatcher and notes its steps.
    pub(crate) fn run(&mut self) {
        for step in self.dispatcher.run(self.now, self.authority) {
            match step {
                Step::Start { agent, tasks } => {
                    let agent = self.agents.iter().position(|a| *a == agent);
                    let agent = agent.expect("starts go to known agents");
                    for task in tasks {
                        self.starts.push((agent, task.key));
                        self.held.insert(task.key, agent);
                    }
                }
                Step::Cancel { keys, .. } => self.cancels.extend(keys),
                Step::Ended { id, result } => self.ended.push((id, result)),
            }
        }
    }

    /// Lets time pass, with announcements of all agents.
    pub(crate) fn pass(&mut self, span: Micros) {
        let until = self.now + span;
        while self.now < until {
            self.now = until.min(self.now + Micros::from_millis(100));
            for agent in 0..self.agents.len() {
                self.announce(agent, AgentState::Ready);
            }
            self.run();
        }
    }

    /// Lets time pass in silence.
    pub(crate) fn pass_silent(&mut self, span: Micros) {
        let until = self.now + span;
        while self.now < until {
            self.now = until.min(self.now + Micros::from_millis(100));
            self.run();
        }
    }

    /// Has the agent that holds an attempt answer it.
    pub(crate) fn answer(&mut self, key: TaskKey, outcome: TaskOutcome) {
        let Some(agent) = self.held.remove(&key) else {
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

    /// Returns the attempts that an agent holds.
    pub(crate) fn held_by(&self, agent: usize) -> Vec<TaskKey> {
        let held = self.held.iter().filter(|(_, a)| **a == agent);
        held.map(|(key, _)| *key).collect()
    }

    /// Returns how a submission ended.
    pub(crate) fn result(&self, id: u128) -> Option<&Result<Vec<TaskOutput>, Failure>> {
        let ended = self.ended.iter().find(|(i, _)| i.0 == id);
        ended.map(|(_, result)| result)
    }
}

/// Returns the whole answer to an attempt.
pub(crate) fn done(key: TaskKey) -> TaskOutcome {
    TaskOutcome::Done(TaskOutput {
        status: 200,
        media: "text/plain".into(),
        body: Bytes::from(format!("{}/{}", key.submission, key.index)),
    })
}

/// Returns a failure of an attempt.
pub(crate) fn failed(verdict: Verdict, reason: Reason) -> TaskOutcome {
    TaskOutcome::Failed(Failure {
        verdict,
        reason,
        retry_after: None,
    })
}
