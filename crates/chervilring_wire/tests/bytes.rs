//! The codec on bytes from the network: complete, truncated, corrupted and random input.

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

/// The number of generated inputs for each property.
const TESTS: u64 = 5_000;
const SEED: u64 = 20_260;

/// Checks a property on generated inputs. The seed is fixed, so that failures are reproducible.
fn check<P: Testable>(property: P) {
    let source = Gen::from_size_and_seed(200, SEED);
    QuickCheck::new()
        .rng(source)
        .tests(TESTS)
        .max_tests(TESTS)
        .quickcheck(property);
}

/// An arbitrary message from an agent.
#[derive(Debug, Clone)]
struct ArbitraryAnswers(AgentMessage);

/// An arbitrary message from an entry.
#[derive(Debug, Clone)]
struct ArbitraryStarts(EntryMessage);

/// An arbitrary datagram.
#[derive(Debug, Clone)]
struct ArbitraryDatagram(Datagram);

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

impl Arbitrary for ArbitraryAnswers {
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

impl Arbitrary for ArbitraryStarts {
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

impl Arbitrary for ArbitraryDatagram {
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
    write_frame(&mut bytes, message).expect("message fits");
    bytes
}

#[test]
fn frames_round_trip() {
    let property: fn(_, _) -> _ = |a: ArbitraryAnswers, b: ArbitraryStarts| {
        let mut bytes = frame(&a.0);
        let first = bytes.len();
        write_frame(&mut bytes, &b.0).expect("message fits");
        let (message, used) = read_frame(&bytes)
            .expect("valid frame")
            .expect("complete frame");
        let rest = read_frame(&bytes[used..])
            .expect("valid frame")
            .expect("complete frame");
        used == first && a.0 == message && rest == (b.0, bytes.len() - first)
    };
    check(property);
}

#[test]
fn truncated_frame_is_incomplete() {
    let property: fn(_, _) -> _ = |a: ArbitraryAnswers, end: usize| {
        let bytes = frame(&a.0);
        let end = end % bytes.len();
        read_frame::<AgentMessage>(&bytes[..end]) == Ok(None)
    };
    check(property);
}

#[test]
fn datagrams_round_trip() {
    let property: fn(_) -> _ = |p: ArbitraryDatagram| {
        let bytes = write_datagram(&p.0).expect("message fits");
        read_datagram(&bytes) == Ok(p.0)
    };
    check(property);
}

#[test]
fn truncated_datagram_is_rejected() {
    let property: fn(_, _) -> _ = |p: ArbitraryDatagram, end: usize| {
        let bytes = write_datagram(&p.0).expect("message fits");
        let end = end % bytes.len();
        read_datagram::<Datagram>(&bytes[..end]).is_err()
    };
    check(property);
}

/// Random bytes without the magic number are rejected as foreign and cause no panic.
#[test]
fn bytes_without_magic_are_rejected() {
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

/// A random payload behind a valid header is malformed, or decodes to a message that encodes to a
/// frame of at most the same size.
#[test]
fn random_payload_does_not_panic() {
    fn is_handled<T: serde::Serialize + serde::de::DeserializeOwned>(bytes: &[u8]) -> bool {
        match read_frame::<T>(bytes) {
            Ok(Some((message, used))) => used == bytes.len() && frame(&message).len() <= used,
            Ok(None) => false,
            Err(error) => error == CodecError::Malformed,
        }
    }
    let property: fn(_) -> _ = |payload: Vec<u8>| {
        let len = (payload.len() as u32).to_be_bytes();
        let bytes = [&MAGIC[..], &[PROTOCOL], &len, &payload].concat();
        is_handled::<Hello>(&bytes)
            && is_handled::<EntryMessage>(&bytes)
            && is_handled::<AgentMessage>(&bytes)
            && is_handled::<PeerMessage>(&bytes)
    };
    check(property);
}

/// A frame with one changed byte causes no panic. It is incomplete only if the length was changed.
#[test]
fn corrupted_byte_does_not_panic() {
    let property: fn(_, _, _) -> _ = |a: ArbitraryAnswers, offset: usize, value: u8| {
        let mut bytes = frame(&a.0);
        let offset = offset % bytes.len();
        bytes[offset] = value;
        match read_frame::<AgentMessage>(&bytes) {
            Ok(Some((_, used))) => used <= bytes.len(),
            Ok(None) => (4..FRAME_HEADER).contains(&offset),
            Err(_) => true,
        }
    };
    check(property);
}

#[test]
fn oversized_messages_are_rejected() {
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
    assert_eq!(out, [1], "a failed write leaves the buffer unchanged");
    assert!(write_datagram(&vec![0_u8; MAX_DATAGRAM]).is_err());
    let packet = [&MAGIC[..], &[PROTOCOL], &vec![0; MAX_DATAGRAM]].concat();
    let error = Err(CodecError::TooLong(packet.len()));
    assert_eq!(read_datagram::<Datagram>(&packet), error);
}

/// A list whose count exceeds the remaining bytes is rejected without an allocation for its items.
#[test]
fn excessive_counts_are_rejected_without_allocation() {
    // The variant `Answers`, then a count of 2^63.
    let payload = [&[0_u8][..], &[0x80; 9], &[1]].concat();
    let len = (payload.len() as u32).to_be_bytes();
    let bytes = [&MAGIC[..], &[PROTOCOL], &len, &payload].concat();
    assert_eq!(
        read_frame::<AgentMessage>(&bytes),
        Err(CodecError::Malformed)
    );
    // The variant `Config` with a revision, then the same count as the length of a list.
    let payload = [&[3_u8, 1][..], &[0x80; 9], &[1]].concat();
    let len = (payload.len() as u32).to_be_bytes();
    let bytes = [&MAGIC[..], &[PROTOCOL], &len, &payload].concat();
    assert_eq!(
        read_frame::<EntryMessage>(&bytes),
        Err(CodecError::Malformed)
    );
}

#[test]
fn other_protocol_version_is_reported() {
    let bytes = [&MAGIC[..], &[PROTOCOL + 1], &[0; 4]].concat();
    let error = CodecError::Version(PROTOCOL + 1);
    assert_eq!(read_frame::<Hello>(&bytes), Err(error));
    assert_eq!(read_datagram::<Datagram>(&bytes).map(|_| ()), Err(error));
}
