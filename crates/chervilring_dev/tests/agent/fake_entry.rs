//! An entry's side of the link to an agent.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

use chervilring_wire::codec::{read_datagram, read_frame, write_frame};
use chervilring_wire::{
    AgentId, AgentMessage, AgentState, Datagram, EntryId, EntryMessage, Hello, Incarnation, Member,
    Micros, Origin, Ring, RingVersion, StartBatch, SubmissionId, TaskAnswer, TaskIndex, TaskKey,
    TaskOutcome, TaskStart,
};

/// How long anything may take.
pub(crate) const BOUND: Duration = Duration::from_secs(30);

/// How long one read waits.
const READ: Duration = Duration::from_millis(20);

/// An entry that speaks with one agent.
pub(crate) struct FakeEntry {
    id: EntryId,
    addr: SocketAddr,
    listener: TcpListener,
    socket: UdpSocket,
    link: Option<TcpStream>,
    /// The ring that it tells the agent.
    pub(crate) ring: Ring,
    input: Vec<u8>,
    /// The answers that have come, by attempt.
    pub(crate) answers: BTreeMap<TaskKey, TaskAnswer>,
    /// Whether answers are confirmed as they come.
    pub(crate) confirms: bool,
}

impl FakeEntry {
    pub(crate) fn new() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
        let addr = listener.local_addr().expect("bound");
        let socket = UdpSocket::bind(addr).expect("the same port");
        socket.set_read_timeout(Some(READ)).expect("a timeout");
        Self {
            id: EntryId {
                name: "e1".into(),
                incarnation: Incarnation(1),
            },
            addr,
            listener,
            socket,
            link: None,
            ring: Ring::default(),
            input: Vec::new(),
            answers: BTreeMap::new(),
            confirms: true,
        }
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Accepts the agent's link, greets it and gives it a ring of this entry alone.
    pub(crate) fn accept(&mut self) -> AgentId {
        let (link, _) = self.listener.accept().expect("the agent dials");
        link.set_read_timeout(Some(READ)).expect("a timeout");
        link.set_nodelay(true).expect("no delay");
        self.link = Some(link);
        self.input.clear();
        self.write(&Hello::Entry(self.id.clone()));
        let mut hello = None;
        until("the agent's hello", || {
            self.read();
            hello = take(&mut self.input);
            hello.is_some()
        });
        let Some(Hello::Agent(agent)) = hello else {
            panic!("no agent: {hello:?}");
        };
        let member = Member {
            entry: self.id.clone(),
            domain: "norte".into(),
            addr: self.addr,
            draining: false,
        };
        let ring = Ring {
            version: RingVersion(1),
            members: vec![member],
            ..Ring::default()
        };
        self.ring = ring.clone();
        self.send(&EntryMessage::Ring(ring));
        agent
    }

    /// Cuts the link.
    pub(crate) fn cut(&mut self) {
        self.link = None;
    }

    pub(crate) fn send(&mut self, message: &EntryMessage) {
        self.write(message);
    }

    /// Writes bytes as they are.
    pub(crate) fn write_raw(&mut self, bytes: &[u8]) {
        // The agent may have closed the link by now, as it should.
        let _ = self.link.as_mut().expect("a link").write_all(bytes);
    }

    /// Asks for the start of a task and returns its key.
    pub(crate) fn start(&mut self, n: u128, body: &str, remaining: Micros) -> TaskKey {
        let key = TaskKey {
            submission: SubmissionId(n),
            index: TaskIndex(0),
            ..key0()
        };
        let task = TaskStart {
            key,
            origin: Origin::ClientKey,
            service: "parts".into(),
            remaining,
            idempotent: false,
            media: "application/json".into(),
            body: body.as_bytes().to_vec().into(),
        };
        let batch = StartBatch {
            ring: RingVersion(1),
            tasks: vec![task],
        };
        self.send(&EntryMessage::Start(batch));
        key
    }

    /// Waits for the answer to an attempt.
    pub(crate) fn answer(&mut self, key: TaskKey) -> TaskOutcome {
        // Reading waits for the link, so that no further pause is needed.
        let end = Instant::now() + BOUND;
        while !self.answers.contains_key(&key) {
            assert!(Instant::now() < end, "the answer: not within {BOUND:?}");
            self.receive();
        }
        self.answers[&key].outcome.clone()
    }

    /// Takes in what has come over the link.
    pub(crate) fn receive(&mut self) {
        self.read();
        while let Some(message) = take::<AgentMessage>(&mut self.input) {
            if let AgentMessage::Answers(answers) = message {
                let keys = answers.iter().map(|a| a.key).collect();
                self.answers.extend(answers.into_iter().map(|a| (a.key, a)));
                if self.confirms {
                    self.send(&EntryMessage::AckAnswers(keys));
                }
            }
        }
    }

    /// Waits until the agent announces a state.
    pub(crate) fn wait_state(&mut self, state: AgentState) {
        let mut buffer = [0; 9_000];
        until("the announced state", || {
            self.receive();
            let Ok((len, _)) = self.socket.recv_from(&mut buffer) else {
                return false;
            };
            let read = read_datagram::<Datagram>(&buffer[..len]);
            matches!(read, Ok(Datagram::Announce(a)) if a.state == state)
        });
    }

    fn write<T: serde::Serialize>(&mut self, message: &T) {
        let mut bytes = Vec::new();
        write_frame(&mut bytes, message).expect("a frame");
        self.write_raw(&bytes);
    }

    fn read(&mut self) {
        let Some(link) = &mut self.link else { return };
        let mut buffer = [0; 16_384];
        if let Ok(len) = link.read(&mut buffer) {
            self.input.extend_from_slice(&buffer[..len]);
        }
    }
}

/// Takes the next whole frame.
fn take<T: serde::de::DeserializeOwned>(input: &mut Vec<u8>) -> Option<T> {
    let (message, used) = read_frame(input).expect("our frames")?;
    input.drain(..used);
    Some(message)
}

fn key0() -> TaskKey {
    TaskKey {
        submission: SubmissionId(0),
        index: TaskIndex(0),
        attempt: chervilring_wire::Attempt(0),
    }
}

/// Looks until something holds.
pub(crate) fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + BOUND;
    while !holds() {
        assert!(Instant::now() < end, "{what}: not within {BOUND:?}");
        std::thread::sleep(Duration::from_millis(2));
    }
}
