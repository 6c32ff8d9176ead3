//! Identifiers, verdicts, the ring, and the messages between the processes of the dispatcher.
//!
//! The messages are plain data. [`codec`] encodes them by `postcard` into frames for TCP and
//! datagrams for UDP. Nothing in this crate performs I/O.
//!
//! `postcard` writes fields and variants by position, so their order is part of the protocol. The
//! `serde` names are part of the stored JSON: a renamed field or variant keeps its old name by
//! `#[serde(rename)]`.

pub mod codec;
mod id;
mod message;
mod ring;
mod room;
mod run;
mod submission;
mod time;
mod verdict;

pub use id::{
    AgentId, Attempt, CorrelationId, DomainName, EntryId, Incarnation, Name, Revision, RingVersion,
    ServiceName, SubmissionId, TaskIndex, TaskKey, TeamName,
};
pub use message::{
    AgentConfig, AgentMessage, AgentState, Announce, AnnounceAck, ConfigBlob, Datagram,
    EntryMessage, Handover, Heartbeat, Hello, Load, PeerMessage, StartBatch, TaskAnswer, TaskStart,
};
pub use ring::{InDoubt, Member, PastRing, Ring, home_name};
pub use room::{ClaimRuns, OrderedStart, RouteRunTimes, Urgency};
pub use run::{
    ConfigReplica, Evacuations, JobId, PlannerMessage, QueuedRuns, RefuseReason, Resources, RunEnd,
    RunKey, RunProgress, RunnerLevel, RunnerMessage, StartRuns, UpstreamState,
};
pub use submission::{
    Failure, Kind, Origin, Progress, Query, Reason, Reply, Submission, TaskOutcome, TaskOutput,
};
pub use time::{Micros, Now, Time, Timestamp};
pub use verdict::Verdict;
