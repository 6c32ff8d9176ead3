//! The cases.

use std::env;
use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crate::deployment::{
    Deployment, HOST, Layout, ask_aside, config, kind, runner_name, wait,
};
use crate::http::{Reply, call};
use crate::proxy::Proxy;
use crate::record::Record;
use crate::worker::{Kind, Seen, unix_ms};

/// `cancel_ms` and `stop_timeout_ms`, in microseconds.
const CANCEL: u64 = 3_000_000;
const STOP: u64 = 50_000;

/// `config_apply_ms`.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);

/// `retransmit_ms`.
const RESEND: Duration = Duration::from_millis(1_300);

/// How many calls in a row a worker leaves unanswered: the runner waits for 80 ms, then for 30 ms.
const LEFT_CALLS: u32 = 2;

/// How long after the first of them the heartbeat of another writer comes.
const FOREIGN_AFTER: Duration = Duration::from_millis(110);

/// How far the time of day is ahead for a while.
const CLOCK_STEP_MS: u64 = 2_400;

/// The time after which a lost packet is sent again.
const SENT_AGAIN: Duration = Duration::from_millis(200);

/// Returns in which ways the rule was broken.
type Broken = Vec<String>;

pub fn play(case: &str, record: &Record, trouble: bool) -> io::Result<Broken> {
    match case {
        "foreign-heartbeat" => foreign_heartbeat(record, trouble),
        "cancelled-again" => cancelled_again(record, trouble),
        "store-moved" => store_moved(record, trouble),
        "capital-digits" => capital_digits(record, trouble),
        "kind-changed" => kind_changed(record, trouble),
        other => Err(io::Error::other(format!("there is no case {other}"))),
    }
}

fn seconds(number: u64) -> Duration {
    Duration::from_secs(number)
}

/// Returns the pairs of runs of one task that went on at the same time.
fn twice(seen: &[Seen], now: u64) -> Broken {
    let end = |s: &Seen| s.ended.map_or(now, |(at, _)| at);
    let mut broken = Vec::new();
    for (place, one) in seen.iter().enumerate() {
        for other in &seen[place + 1..] {
            let overlap = end(one).min(end(other)).saturating_sub(one.began.max(other.began));
            if one.task == other.task && overlap > 0 {
                broken.push(format!(
                    "task {} ran on {} (run {}) and {} (run {}) at the same time, for {:.1} ms",
                    one.task,
                    one.worker,
                    one.attempt,
                    other.worker,
                    other.attempt,
                    overlap as f64 / 1e3
                ));
            }
        }
    }
    broken
}

/// Returns a kind of worker; one of eight has the label `a`.
fn one_of_eight(place: u32) -> Kind {
    let label = if place == 0 { "a" } else { "b" };
    kind(&format!("i-7f3a91c{place}"), &[label, &format!("r1-{}", place / 3)])
}

/// TWICE: a heartbeat that names no worker to use arrives while a worker leaves calls unanswered for a
/// moment. It is of another writer; with `HEARTBEAT=delayed` in the environment it is one of the worker's
/// earlier incarnation, with `HEARTBEAT=release` the first one of the successor of a worker that drains, and
/// with `HEARTBEAT=none` there is none.
fn foreign_heartbeat(record: &Record, trouble: bool) -> io::Result<Broken> {
    let variant = env::var("HEARTBEAT").unwrap_or_default();
    let is_delayed = variant == "delayed" && trouble;
    let mut kinds: Vec<Kind> = (0..8).map(one_of_eight).collect();
    if is_delayed {
        kinds[0].ahead_ms = CLOCK_STEP_MS;
    }
    let layout = Layout {
        planners: 1,
        kinds,
        proxied: false,
    };
    let mut deployment = Deployment::start(record, layout, |_| Ok(()))?;
    let mut delayed = None;
    if is_delayed {
        record.add("worker 0 was born while the time of day was ahead, which is over");
        deployment.workers[0].crash();
        delayed = Some(deployment.workers[0].last_heartbeat());
        thread::sleep(Duration::from_millis(50));
        let next = kind("i-7f3a91c9", &["a", "r1-0"]);
        deployment.workers[0] = deployment.worker(0, next, "the next worker 0")?;
        thread::sleep(seconds(2));
    }
    // What is delayed arrives once, and one worker is replaced.
    let rounds = if is_delayed || variant == "release" { 1 } else { 3 };
    for round in 0..rounds {
        // It keeps more than half of the other workers busy, so that the next job goes to worker 0 and
        // fits on all.
        let filler = "{\"spec\":\"3000\",\"steps\":[{\"count\":7,\"anti_affinity\":1,\"cpu\":10000,\"mem_mb\":64,\
                      \"estimate_ms\":3000,\"required_label\":\"b\"}],\"best_effort\":true}";
        let id = format!("00000000000000b{round}");
        let filling = ask_aside(&deployment, 0, &id, filler, seconds(20));
        if !wait(seconds(3), || deployment.workers[1..].iter().all(|w| w.active() == 1)) {
            return Err(io::Error::other("the first job did not begin"));
        }
        thread::sleep(Duration::from_millis(300));
        let body = "{\"spec\":\"1500\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":64,\
                    \"estimate_ms\":1500}],\"best_effort\":true}";
        let id = format!("5c0e7a21d94b36f{round}");
        let client = ask_aside(&deployment, 0, &id, body, seconds(20));
        if !wait(seconds(3), || deployment.workers[0].active() == 1) {
            return Err(io::Error::other("the job did not begin on worker 0"));
        }
        thread::sleep(Duration::from_millis(300));
        if trouble {
            disturb(&deployment, 0, &variant, delayed.as_ref())?;
        }
        drop(client.join());
        drop(filling.join());
        thread::sleep(seconds(2));
    }
    let seen = deployment.seen.lock().unwrap().clone();
    Ok(twice(&seen, record.now()))
}

/// Has a worker leave calls unanswered, and meanwhile sends a heartbeat to the daemon beside it.
fn disturb(
    deployment: &Deployment,
    place: usize,
    variant: &str,
    delayed: Option<&(String, String)>,
) -> io::Result<()> {
    let worker = &deployment.workers[place];
    if variant == "release" {
        worker.drain();
    }
    worker.leave_unanswered(LEFT_CALLS);
    if !wait(seconds(1), || worker.is_unanswered_since(FOREIGN_AFTER)) {
        return Err(io::Error::other("the worker was not called"));
    }
    if variant == "none" {
        return Ok(());
    }
    if variant == "release" {
        let next = kind("i-7f3a91d0", &["a", "r1-0"]);
        deployment.record.add("its successor begins at another address of the same machine");
        let address = SocketAddr::new(deployment.ip(110), 8165);
        let next = deployment.worker_at(place, address, next, "the successor of worker 0")?;
        thread::sleep(seconds(2));
        next.crash();
        return Ok(());
    }
    let (sender, (path, body)) = match delayed {
        Some(heartbeat) => ("an earlier incarnation", heartbeat.clone()),
        None => {
            let address = SocketAddr::new(deployment.ip(200), 8165);
            let body = worker.heartbeat_body("unnamed", address, unix_ms());
            ("another writer", ("/-/instances/i-0000ffff".to_owned(), body))
        }
    };
    let reply = call(deployment.control(place), "PUT", &path, &[], &body, seconds(1));
    let status = reply.map_or("no answer".to_owned(), |r| r.status.to_string());
    let line = format!("{sender}: PUT {path} at the daemon beside worker {place} {body}: {status}");
    deployment.record.add(line);
    Ok(())
}

/// Tasks of 4.5 s, and others that start when these are done.
const LONG_JOB: &str = "{\"spec\":\"4500,3000\",\"steps\":[{\"count\":2,\"cpu\":1000,\"mem_mb\":64,\
    \"estimate_ms\":4500},{\"count\":2,\"cpu\":1000,\"mem_mb\":64,\"estimate_ms\":3000,\
    \"after\":[0]}],\"best_effort\":true}";

/// Returns when a cancelling was acknowledged.
fn acknowledged(record: &Record, reply: Option<Reply>) -> io::Result<u64> {
    let is_ack = |r: &Reply| r.status / 100 == 2 || r.status == 410;
    let Some(reply) = reply.filter(is_ack) else {
        return Err(io::Error::other("the cancelling was not acknowledged"));
    };
    record.add(format!("the cancelling is acknowledged with {}", reply.status));
    Ok(record.now())
}

/// Returns the starts and runs that are later after the ack of a cancelling than is allowed.
fn ran_on(deployment: &Deployment, id: &str, acknowledged: u64) -> Broken {
    let mut broken = Vec::new();
    let now = deployment.record.now();
    for run in deployment.seen.lock().unwrap().iter().filter(|r| r.task.starts_with(id)) {
        let began = run.began.saturating_sub(acknowledged);
        if began > CANCEL {
            let late = began as f64 / 1e3;
            broken.push(format!("{} started {late:.0} ms after the ack", run.task));
        }
        let end = run.ended.map_or(now, |(at, _)| at).saturating_sub(acknowledged);
        if end > CANCEL + STOP {
            let late = end as f64 / 1e3;
            broken.push(format!("{} ran on until {late:.0} ms after the ack", run.task));
        }
    }
    broken
}

/// UNASKED: a job that was cancelled is sent again because its first sending was answered with 504.
fn cancelled_again(record: &Record, trouble: bool) -> io::Result<Broken> {
    let layout = Layout {
        planners: 2,
        kinds: vec![kind("i-7f3a91c0", &["a", "r1-1"]), kind("i-7f3a91c1", &["a", "r1-2"])],
        proxied: false,
    };
    let deployment = Deployment::start(record, layout, |_| Ok(()))?;
    let id = "5c0e7a21d94b36f8";
    let client = ask_aside(&deployment, 0, id, LONG_JOB, seconds(20));
    // One job of four is cancelled.
    let other = |n: u32| ask_aside(&deployment, n as usize % 2, &format!("00000000000000b{n}"), LONG_JOB, seconds(20));
    let others: Vec<_> = (0..3).map(other).collect();
    let is_begun = || deployment.seen.lock().unwrap().iter().any(|s| s.task.starts_with(id));
    if !wait(seconds(3), is_begun) {
        return Err(io::Error::other("the job did not begin"));
    }
    thread::sleep(Duration::from_millis(500));
    let reply = deployment.ask(0, "DELETE", id, "", seconds(4));
    let acknowledged = acknowledged(record, reply)?;
    let first = client.join().ok().flatten();
    let is_sent_again = first.is_none_or(|r| r.status == 502 || r.status == 504);
    if trouble && is_sent_again {
        thread::sleep(RESEND);
        let again = ask_aside(&deployment, 0, id, LONG_JOB, seconds(18));
        drop(again.join());
    } else {
        thread::sleep(seconds(5));
    }
    for other in others {
        drop(other.join());
    }
    Ok(ran_on(&deployment, id, acknowledged))
}

/// ROUTE: a start is under way while its worker is replaced by one of another kind.
fn kind_changed(record: &Record, trouble: bool) -> io::Result<Broken> {
    let layout = Layout {
        planners: 1,
        kinds: (0..8).map(one_of_eight).collect(),
        proxied: true,
    };
    let proxy = Proxy::new();
    let watch = |net: &[u8; 2]| proxy.watch(&runner_name(net, 0));
    let deployment = Deployment::start_watched(record, layout, watch, |ip| proxy.start(ip))?;
    if trouble {
        record.add("a packet from the planner to runner 0 is lost; it is sent again after 200 ms");
        proxy.hold(SENT_AGAIN);
    }
    let body = "{\"spec\":\"300\",\"steps\":[{\"count\":2,\"cpu\":1000,\"mem_mb\":64,\
                \"estimate_ms\":300,\"required_label\":\"a\"}],\"best_effort\":true}";
    let client = ask_aside(&deployment, 0, "5c0e7a21d94b36f8", body, seconds(20));
    if trouble {
        thread::sleep(Duration::from_millis(30));
        deployment.workers[0].crash();
        let next = kind("i-7f3a91c9", &["b", "r1-0"]);
        thread::sleep(Duration::from_millis(40));
        record.add("a worker with the labels b, r1-0 begins at the same address");
        let worker = deployment.worker(0, next, "the next worker")?;
        drop(client.join());
        drop(worker);
    } else {
        drop(client.join());
    }
    thread::sleep(seconds(1));
    let seen = deployment.seen.lock().unwrap().clone();
    let is_wrong = |s: &&Seen| !s.labels.iter().any(|l| l == "a");
    let broken = seen.iter().filter(is_wrong);
    let broken = broken.map(|s| format!("{} started on {}, which has {:?}", s.task, s.worker, s.labels));
    Ok(broken.collect())
}

/// CONFIG: the settings name another address of the store, and the configuration changes there.
fn store_moved(record: &Record, trouble: bool) -> io::Result<Broken> {
    let layout = Layout {
        planners: 3,
        kinds: vec![kind("i-7f3a91c0", &["a", "r1-1"]), kind("i-7f3a91c1", &["a", "r1-2"])],
        proxied: false,
    };
    let mut deployment = Deployment::start(record, layout, |_| Ok(()))?;
    if trouble {
        deployment.move_store()?;
    }
    thread::sleep(seconds(8));
    deployment.store.put("op/config", &config(8, "zemo114"));
    let acknowledged = record.now();
    record.add("the operator's version 8 is acknowledged: it drops /lohu930/ and adds /zemo114/");
    let mut broken = Vec::new();
    for round in 0..3 {
        thread::sleep(CONFIG_APPLY * 2);
        for planner in 0..3 {
            let late = (record.now() - acknowledged) / 1_000;
            let mut look = |prefix: &str, allowed: u16| {
                let addr = deployment.callers(planner);
                let headers = [("Host", HOST.to_owned())];
                let reply = call(addr, "GET", prefix, &headers, "", seconds(2));
                let status = reply.map_or(0, |r| r.status);
                record.add(format!("client: GET {prefix} at planner {planner} is answered {status}"));
                if status != allowed {
                    let what = format!("GET {prefix} at planner {planner} answered {status}");
                    broken.push(format!("{what} {late} ms after the ack"));
                }
            };
            look("/zemo114/", 200);
            look("/lohu930/", 404);
        }
        let body = "{\"spec\":\"100\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":64,\
                    \"estimate_ms\":100}],\"best_effort\":true}";
        let id = format!("5c0e7a21d94b36f{round}");
        let reply = deployment.ask(0, "POST", &id, body, seconds(4));
        if reply.is_some_and(|r| r.status == 200) {
            broken.push(format!("job {id} was run with a dropped route"));
        }
    }
    Ok(broken)
}

/// CONFIG: clients write the digits of their ids in capitals.
fn capital_digits(record: &Record, trouble: bool) -> io::Result<Broken> {
    let layout = Layout {
        planners: 3,
        kinds: vec![kind("i-7f3a91c0", &["a", "r1-1"]), kind("i-7f3a91c1", &["a", "r1-2"])],
        proxied: false,
    };
    let deployment = Deployment::start(record, layout, |_| Ok(()))?;
    let body = "{\"spec\":\"100\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":64,\
                \"estimate_ms\":100}],\"best_effort\":true}";
    let mut broken = Vec::new();
    for planner in 0..3 {
        let mut id = format!("5c0e7a21d94b36f{planner}");
        if trouble {
            id = id.to_uppercase();
        }
        let reply = deployment.ask(planner, "POST", &id, body, seconds(20));
        let Some(reply) = reply else {
            return Err(io::Error::other("no answer"));
        };
        if reply.status == 404 {
            broken.push(format!("POST {id} at planner {planner} answered 404, the route is there"));
        }
    }
    Ok(broken)
}
