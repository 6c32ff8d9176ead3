//! Bytes off the network: whole messages, cut ones, and garbage.

use bytes::Bytes;
use chervilring_wire::codec::{
    CodecError, FRAME_HEADER, MAGIC, MAX_DATAGRAM, MAX_FRAME, PROTOCOL, read_datagram, read_frame,
    write_datagram, write_frame,
};
use chervilring_wire::{
    AgentId, AgentMessage, AgentState, Announce, Attempt, Datagram, EntryMessage, Failure, Hello,
    Incarnation, Load, Micros, Origin, PeerMessage, Reason, Revision, RingVersion, StartBatch,
    SubmissionId, TaskAnswer, TaskIndex, TaskKey, TaskOutcome, TaskOutput, TaskStart, Verdict,
};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult, Testable};

const TESTS: u64 = 5_000;
const SEED: u64 = 20_260;

/// Checks a property on inputs with a fixed seed.
fn check<P: Testable>(property: P) {
    let source = Gen::from_size_and_seed(200, SEED);
    QuickCheck::new()
        .rng(source)
        .tests(TESTS)
        .max_tests(TESTS)
        .quickcheck(property);
}

/// A message of an agent.
#[derive(Debug, Clone)]
struct Answers(AgentMessage);

/// A message of an entry.
#[derive(Debug, Clone)]
struct Starts(EntryMessage);

/// A datagram.
#[derive(Debug, Clone)]
struct Packet(Datagram);

fn key(g: &mut Gen) -> TaskKey {
    TaskKey {
        submission: SubmissionId(u128::arbitrary(g)),
        index: TaskIndex(u32::arbitrary(g)),
        attempt: Attempt(u32::arbitrary(g)),
    }
}

fn load(g: &mut Gen) -> Load {
    Load {
        slots: u32::arbitrary(g),
        running: u32::arbitrary(g),
        waiting: u32::arbitrary(g),
    }
}

fn outcome(g: &mut Gen) -> TaskOutcome {
    if bool::arbitrary(g) {
        return TaskOutcome::Done(TaskOutput {
            status: u16::arbitrary(g),
            media: String::arbitrary(g).into(),
            body: Bytes::from(Vec::<u8>::arbitrary(g)),
        });
    }
    TaskOutcome::Failed(Failure {
        verdict: Verdict::MayHaveRun,
        reason: Reason::UpstreamLost,
        retry_after: Option::<u64>::arbitrary(g).map(Micros),
    })
}

impl Arbitrary for Answers {
    fn arbitrary(g: &mut Gen) -> Self {
        let answers = (0..u8::arbitrary(g) % 5).map(|_| TaskAnswer {
            key: key(g),
            outcome: outcome(g),
            run_time: Micros(u64::arbitrary(g)),
            waited: Micros(u64::arbitrary(g)),
            load: load(g),
        });
        Self(AgentMessage::Answers(answers.collect()))
    }
}

impl Arbitrary for Starts {
    fn arbitrary(g: &mut Gen) -> Self {
        let ring = RingVersion(u64::arbitrary(g));
        let tasks = (0..u8::arbitrary(g) % 5).map(|_| TaskStart {
            key: key(g),
            origin: Origin::ClientKey,
            service: String::arbitrary(g).as_str().into(),
            remaining: Micros(u64::arbitrary(g)),
            idempotent: bool::arbitrary(g),
            media: String::arbitrary(g).into(),
            body: Bytes::from(Vec::<u8>::arbitrary(g)),
        });
        Self(EntryMessage::Start(StartBatch {
            ring,
            tasks: tasks.collect(),
        }))
    }
}

impl Arbitrary for Packet {
    fn arbitrary(g: &mut Gen) -> Self {
        let name = |g: &mut Gen| String::arbitrary(g).chars().take(40).collect::<String>();
        let incarnation = Incarnation(u64::arbitrary(g));
        Self(Datagram::Announce(Announce {
            agent: AgentId {
                name: name(g).into(),
                incarnation,
            },
            domain: name(g).as_str().into(),
            state: AgentState::Ready,
            services: (0..3).map(|_| name(g).as_str().into()).collect(),
            labels: (0..3).map(|_| name(g).into()).collect(),
            load: load(g),
            ring: RingVersion(u64::arbitrary(g)),
            revision: Revision(u64::arbitrary(g)),
        }))
    }
}

fn frame<T: serde::Serialize>(message: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    write_frame(&mut bytes, message).expect("a short message");
    bytes
}

#[test]
fn frames_come_back_as_they_were() {
    let property: fn(_, _) -> _ = |a: Answers, b: Starts| {
        let mut bytes = frame(&a.0);
        let first = bytes.len();
        write_frame(&mut bytes, &b.0).expect("a short message");
        let (message, used) = read_frame(&bytes).expect("ours").expect("whole");
        let rest = read_frame(&bytes[used..]).expect("ours").expect("whole");
        used == first && a.0 == message && rest == (b.0, bytes.len() - first)
    };
    check(property);
}

#[test]
fn a_cut_frame_is_waited_for() {
    let property: fn(_, _) -> _ = |a: Answers, end: usize| {
        let bytes = frame(&a.0);
        let end = end % bytes.len();
        read_frame::<AgentMessage>(&bytes[..end]) == Ok(None)
    };
    check(property);
}

#[test]
fn datagrams_come_back_as_they_were() {
    let property: fn(_) -> _ = |p: Packet| {
        let bytes = write_datagram(&p.0).expect("a short message");
        read_datagram(&bytes) == Ok(p.0)
    };
    check(property);
}

#[test]
fn a_cut_datagram_is_refused() {
    let property: fn(_, _) -> _ = |p: Packet, end: usize| {
        let bytes = write_datagram(&p.0).expect("a short message");
        let end = end % bytes.len();
        read_datagram::<Datagram>(&bytes[..end]).is_err()
    };
    check(property);
}

/// Garbage of any kind never panics, and never decodes when it is foreign.
#[test]
fn garbage_is_refused() {
    let property: fn(_) -> _ = |bytes: Vec<u8>| {
        if bytes.starts_with(&MAGIC) || MAGIC.starts_with(&bytes) {
            return TestResult::discard();
        }
        let foreign = Err(CodecError::Foreign);
        let frame = read_frame::<PeerMessage>(&bytes).map(|_| ()) == foreign;
        let packet = read_datagram::<Datagram>(&bytes).map(|_| ()) == foreign;
        TestResult::from_bool(frame && packet)
    };
    check(property);
}

/// Garbage behind a right header is malformed, or decodes to something that encodes again.
#[test]
fn garbage_in_a_frame_does_no_harm() {
    fn harmless<T: serde::Serialize + serde::de::DeserializeOwned>(bytes: &[u8]) -> bool {
        match read_frame::<T>(bytes) {
            Ok(Some((message, used))) => used == bytes.len() && frame(&message).len() <= used,
            Ok(None) => false,
            Err(error) => error == CodecError::Malformed,
        }
    }
    let property: fn(_) -> _ = |payload: Vec<u8>| {
        let len = (payload.len() as u32).to_be_bytes();
        let bytes = [&MAGIC[..], &[PROTOCOL], &len, &payload].concat();
        harmless::<Hello>(&bytes)
            && harmless::<EntryMessage>(&bytes)
            && harmless::<AgentMessage>(&bytes)
            && harmless::<PeerMessage>(&bytes)
    };
    check(property);
}

/// A message with a byte changed does not panic either.
#[test]
fn a_changed_byte_does_no_harm() {
    let property: fn(_, _, _) -> _ = |a: Answers, place: usize, value: u8| {
        let mut bytes = frame(&a.0);
        let place = place % bytes.len();
        bytes[place] = value;
        match read_frame::<AgentMessage>(&bytes) {
            Ok(Some((_, used))) => used <= bytes.len(),
            Ok(None) => (4..FRAME_HEADER).contains(&place),
            Err(_) => true,
        }
    };
    check(property);
}

#[test]
fn lengths_are_limited() {
    let header = |len: u32| [&MAGIC[..], &[PROTOCOL], &len.to_be_bytes()].concat();
    let longest = MAX_FRAME as u32;
    assert_eq!(read_frame::<Hello>(&header(longest)), Ok(None));
    for len in [longest + 1, u32::MAX] {
        let error = Err(CodecError::TooLong(len as usize));
        assert_eq!(read_frame::<Hello>(&header(len)), error);
    }
    let mut out = vec![1];
    let message = vec![0_u8; MAX_FRAME + 1];
    assert!(write_frame(&mut out, &message).is_err());
    assert_eq!(out, [1], "nothing of the frame is left");
    assert!(write_datagram(&vec![0_u8; MAX_DATAGRAM]).is_err());
    let packet = [&MAGIC[..], &[PROTOCOL], &vec![0; MAX_DATAGRAM]].concat();
    let error = Err(CodecError::TooLong(packet.len()));
    assert_eq!(read_datagram::<Datagram>(&packet), error);
}

/// A list that claims more items than there are bytes is refused without room for them.
#[test]
fn claimed_counts_take_no_memory() {
    // `Answers`, then a count of 2^63.
    let payload = [&[0_u8][..], &[0x80; 9], &[1]].concat();
    let len = (payload.len() as u32).to_be_bytes();
    let bytes = [&MAGIC[..], &[PROTOCOL], &len, &payload].concat();
    assert_eq!(
        read_frame::<AgentMessage>(&bytes),
        Err(CodecError::Malformed)
    );
    // An opaque body that claims the same: `Config`, a revision, then the count.
    let payload = [&[3_u8, 1][..], &[0x80; 9], &[1]].concat();
    let len = (payload.len() as u32).to_be_bytes();
    let bytes = [&MAGIC[..], &[PROTOCOL], &len, &payload].concat();
    assert_eq!(
        read_frame::<EntryMessage>(&bytes),
        Err(CodecError::Malformed)
    );
}

#[test]
fn another_version_is_named() {
    let bytes = [&MAGIC[..], &[PROTOCOL + 1], &[0; 4]].concat();
    let error = CodecError::Version(PROTOCOL + 1);
    assert_eq!(read_frame::<Hello>(&bytes), Err(error));
    assert_eq!(read_datagram::<Datagram>(&bytes).map(|_| ()), Err(error));
}
