//! Measures what an agent costs: the time that a task spends in it, its processor time and memory
//! at rest and for each start.

#[path = "../tests/agent/fake_entry.rs"]
#[expect(dead_code, reason = "tests use more of it")]
mod fake_entry;

use std::fs;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use chervilring_dev::process::{Process, Program};
use chervilring_dev::upstream::{Upstream, UpstreamSettings};
use chervilring_wire::codec::write_datagram;
use chervilring_wire::{
    AgentId, AgentState, Announce, Datagram, EntryId, EntryMessage, Incarnation, Load, Member,
    Micros, PastRing, Revision, RingVersion,
};
use eyre::{WrapErr, ensure};
use fake_entry::FakeEntry;
use hdrhistogram::Histogram;

const SLOTS: u32 = 8;
const CALLS: u64 = 5_000;
const STARTS: u128 = 40_000;
const REST: Duration = Duration::from_secs(10);

/// Clock ticks a second in the system's accounts of processor time.
const TICKS: f64 = 100.0;

fn main() -> eyre::Result<()> {
    let binary = std::env::current_exe()?;
    let binary = binary
        .parent()
        .and_then(|p| p.parent())
        .map(|p| p.join("chervilring_dev"));
    let binary: PathBuf = binary.unwrap_or_default();
    ensure!(
        binary.exists(),
        "build it first: cargo build --release -p chervilring_dev"
    );
    let mut entry = FakeEntry::new();
    let agent = Program::shipped(&binary, "w1", "agent")
        .flag("name", "w1")
        .flag("domain", "norte")
        .flag("entries", entry.addr())
        .start()?;
    entry.accept();
    let settings = UpstreamSettings::new("u1", "parts")
        .agent(&agent.url())
        .slots(SLOTS);
    let upstream = Upstream::start(&settings)?;
    entry.wait_state(AgentState::Ready);

    at_rest(&agent)?;
    println!("an announcement: {} bytes", announcement()?);
    let direct = direct(&upstream)?;
    let through = one_by_one(&mut entry)?;
    for (name, q) in [("p50", 0.5), ("p99", 0.99)] {
        let (direct, through) = (direct.value_at_quantile(q), through.value_at_quantile(q));
        println!("{name}: upstream called directly {direct} us, through the agent {through} us");
    }
    starts(&agent, &mut entry)?;
    adoption(&mut entry);
    Ok(())
}

/// Shows how long a start takes that comes behind a ring, with the table of starts filled.
fn adoption(entry: &mut FakeEntry) {
    let members = ["e2", "e3"].map(|name| Member {
        entry: EntryId {
            name: name.into(),
            incarnation: Incarnation(1),
        },
        domain: "norte".into(),
        addr: ([127, 0, 0, 1], 9).into(),
        draining: false,
    });
    for version in 2..=4 {
        let old = PastRing::from(&entry.ring);
        entry.ring.version = RingVersion(version);
        entry
            .ring
            .members
            .extend(members.get(version as usize - 2).cloned());
        entry.ring.past.push(old);
        let start = Instant::now();
        entry.send(&EntryMessage::Ring(entry.ring.clone()));
        let key = entry.start((1 << 65) + u128::from(version), "{}", Micros::from_secs(20));
        entry.answer(key);
        let count = entry.ring.members.len();
        println!(
            "a start behind a ring of {count}: {} us",
            start.elapsed().as_micros()
        );
    }
}

/// Shows what the agent takes while nothing is asked of it.
fn at_rest(agent: &Process) -> eyre::Result<()> {
    let before = cpu(agent)?;
    std::thread::sleep(REST);
    let used = (cpu(agent)? - before) / REST.as_secs_f64();
    println!(
        "at rest: {:.2} % of a core, {} KiB",
        used * 100.0,
        memory(agent)?
    );
    Ok(())
}

/// Returns the bytes of the payload of an announcement with one service and one label.
fn announcement() -> eyre::Result<usize> {
    let incarnation = Incarnation(1_796_353_720_461_232);
    let announce = Announce {
        agent: AgentId {
            name: "worker-001".into(),
            incarnation,
        },
        domain: "norte".into(),
        state: AgentState::Ready,
        services: vec!["parts".into()],
        labels: vec!["rack=3".into()],
        load: Load {
            slots: SLOTS,
            running: 4,
            waiting: 0,
        },
        ring: RingVersion(300),
        revision: Revision(38_000),
    };
    Ok(write_datagram(&Datagram::Announce(announce))?.len())
}

/// Calls the upstream as the agent does, without the agent.
fn direct(upstream: &Upstream) -> eyre::Result<Histogram<u64>> {
    let client = ureq::Agent::new_with_defaults();
    let url = format!("{}/parts", upstream.url());
    measure(|n| {
        let key = format!("direct/{n}");
        let request = client.post(&url).header("Idempotency-Key", key);
        request.send(b"{}")?.body_mut().read_to_vec()?;
        Ok(())
    })
}

fn one_by_one(entry: &mut FakeEntry) -> eyre::Result<Histogram<u64>> {
    measure(|n| {
        let key = entry.start(u128::from(n) + 1, "{}", Micros::from_secs(20));
        entry.answer(key);
        Ok(())
    })
}

fn measure(mut call: impl FnMut(u64) -> eyre::Result<()>) -> eyre::Result<Histogram<u64>> {
    let mut times = Histogram::new(3)?;
    for n in 0..CALLS {
        let start = Instant::now();
        call(n)?;
        times.record(start.elapsed().as_micros() as u64)?;
    }
    Ok(times)
}

/// Keeps all slots busy and shows what each start takes.
fn starts(agent: &Process, entry: &mut FakeEntry) -> eyre::Result<()> {
    let first = 1 << 64;
    let (cpu_before, memory_before) = (cpu(agent)?, memory(agent)?);
    let start = Instant::now();
    let mut open = std::collections::VecDeque::new();
    for n in 0..STARTS {
        open.push_back(entry.start(first + n, "{}", Micros::from_secs(20)));
        if open.len() >= SLOTS as usize
            && let Some(key) = open.pop_front()
        {
            entry.answer(key);
        }
    }
    for key in open {
        entry.answer(key);
    }
    let took = start.elapsed().as_secs_f64();
    let used = (cpu(agent)? - cpu_before) / STARTS as f64;
    let grown = memory(agent)?.saturating_sub(memory_before) as f64 * 1024.0 / STARTS as f64;
    println!(
        "{SLOTS} in flight: {:.0} starts a second",
        STARTS as f64 / took
    );
    println!(
        "each start: {:.0} us of a core, {grown:.0} bytes remembered",
        used * 1e6
    );
    println!("after {STARTS} starts: {} KiB", memory(agent)?);
    Ok(())
}

/// Returns the processor time of a process, in seconds.
fn cpu(process: &Process) -> eyre::Result<f64> {
    let stat = fs::read_to_string(format!("/proc/{}/stat", process.id()))?;
    let fields: Vec<&str> = stat.split_whitespace().collect();
    let ticks = |n: usize| {
        fields
            .get(n)
            .and_then(|f| f.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    Ok((ticks(13) + ticks(14)) / TICKS)
}

/// Returns the resident memory of a process, in KiB.
fn memory(process: &Process) -> eyre::Result<u64> {
    let status = fs::read_to_string(format!("/proc/{}/status", process.id()))?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let number = line
        .and_then(|l| l.split_whitespace().next())
        .unwrap_or_default();
    number.parse().wrap_err("no VmRSS")
}
