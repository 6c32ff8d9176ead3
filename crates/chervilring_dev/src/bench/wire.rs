//! What messages take on the wire, and what coding them costs.

use std::time::Instant;

use bytes::Bytes;
use chervilring_wire::{
    AgentConfig, AgentId, AgentMessage, AgentState, Announce, Attempt, Datagram, EntryMessage,
    Incarnation, Load, Micros, Origin, Revision, RingVersion, StartBatch, SubmissionId, TaskAnswer,
    TaskIndex, TaskKey, TaskOutcome, TaskOutput, TaskStart, codec,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// How often each message is coded.
const ROUNDS: u32 = 20_000;

/// The cost of one message.
#[derive(Debug, Clone, Serialize)]
pub struct WireCost {
    /// The message.
    pub message: &'static str,
    /// Tasks, services or ids in it.
    pub count: usize,
    /// Bytes, with the frame's header.
    pub bytes: usize,
    /// Nanoseconds to encode it.
    pub encode_ns: f64,
    /// Nanoseconds to decode it.
    pub decode_ns: f64,
}

/// Measures messages with one, ten and a hundred elements.
pub fn measure_wire() -> Vec<WireCost> {
    let counts = [1, 10, 100];
    let mut costs: Vec<_> = counts
        .iter()
        .map(|&n| cost("announce (services)", n, &announce(n)))
        .collect();
    costs.extend(counts.iter().map(|&n| cost("start (tasks)", n, &start(n))));
    costs.extend(
        counts
            .iter()
            .map(|&n| cost("answers (tasks)", n, &answers(n))),
    );
    costs.extend(counts.iter().map(|&n| {
        let keys = (0..n).map(key).collect();
        cost("received (tasks)", n, &EntryMessage::AckAnswers(keys))
    }));
    costs.extend(
        counts
            .iter()
            .map(|&n| cost("configuration (limits)", n, &limits(n))),
    );
    costs
}

/// What an agent gets of a configuration that limits the slots of `n` of its services.
fn limits(n: usize) -> EntryMessage {
    let cap = |i: usize| (format!("service-{i:04}").as_str().into(), 8);
    EntryMessage::Config(AgentConfig {
        revision: Revision(1_000_000),
        limits: (0..n).map(cap).collect(),
    })
}

fn cost<T: Serialize + DeserializeOwned>(
    name: &'static str,
    count: usize,
    message: &T,
) -> WireCost {
    let mut frame = Vec::new();
    let begin = Instant::now();
    for _ in 0..ROUNDS {
        frame.clear();
        codec::write_frame(&mut frame, message).expect("these messages are short");
    }
    let encode_ns = begin.elapsed().as_nanos() as f64 / f64::from(ROUNDS);
    let begin = Instant::now();
    for _ in 0..ROUNDS {
        let read = codec::read_frame::<T>(&frame).expect("it was just written");
        std::hint::black_box(read);
    }
    let decode_ns = begin.elapsed().as_nanos() as f64 / f64::from(ROUNDS);
    WireCost {
        message: name,
        count,
        bytes: frame.len(),
        encode_ns,
        decode_ns,
    }
}

fn load() -> Load {
    Load {
        slots: 8,
        running: 7,
        waiting: 1,
    }
}

fn key(index: usize) -> TaskKey {
    TaskKey {
        submission: SubmissionId(0x0190_0000_0000_7000_8000_1234_5678_9abc),
        index: TaskIndex(index as u32),
        attempt: Attempt(0),
    }
}

fn announce(services: usize) -> Datagram {
    let services = (0..services).map(|s| format!("service-{s}").as_str().into());
    Datagram::Announce(Announce {
        agent: AgentId {
            name: "worker-12345".into(),
            incarnation: Incarnation(1_700_000_000_000),
        },
        domain: "medellin-norte".into(),
        state: AgentState::Ready,
        services: services.collect(),
        labels: vec!["class=large".into()],
        load: load(),
        ring: RingVersion(1_000),
        revision: Revision(100_000),
    })
}

fn start(tasks: usize) -> EntryMessage {
    let tasks = (0..tasks).map(|t| TaskStart {
        key: key(t),
        origin: Origin::ClientKey,
        service: "workshop".into(),
        remaining: Micros::from_secs(5),
        idempotent: true,
        media: "application/json".into(),
        body: Bytes::from_static(&[0; 256]),
    });
    EntryMessage::Start(StartBatch {
        ring: RingVersion(1_000),
        tasks: tasks.collect(),
    })
}

fn answers(tasks: usize) -> AgentMessage {
    let answers = (0..tasks).map(|t| TaskAnswer {
        key: key(t),
        outcome: TaskOutcome::Done(TaskOutput {
            status: 200,
            media: "application/json".into(),
            body: Bytes::from_static(&[0; 256]),
        }),
        run_time: Micros::from_millis(200),
        waited: Micros(0),
        load: load(),
    });
    AgentMessage::Answers(answers.collect())
}
