//! A small deployment on loopback addresses: the store, planners, runners and workers.

use std::fs;
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{self, Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Reply, call};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{AllSeen, Kind, Worker};

/// The commands of `deploy/system.toml`.
const PROGRAM: &str = "target/release/chervilring";

pub const LINKS: u16 = 7720;
pub const PROXY: u16 = 7730;
const CALLERS: u16 = 8161;
const READY: u16 = 8167;
const CONTROL: u16 = 8166;
const APP: u16 = 8165;
const METRICS: u16 = 9464;

/// The host that clients name.
pub const HOST: &str = "nony24.example";

pub struct Process {
    pub ip: IpAddr,
    role: &'static str,
    settings: PathBuf,
    child: Option<Child>,
}

pub struct Deployment {
    pub record: Record,
    pub seen: AllSeen,
    pub store: Store,
    pub planners: Vec<Process>,
    pub runners: Vec<Process>,
    pub workers: Vec<Worker>,
    folder: PathBuf,
    net: [u8; 2],
}

/// How a deployment is laid out.
pub struct Layout {
    pub planners: u8,
    pub kinds: Vec<Kind>,
    /// Whether runners reach planners through proxies.
    pub proxied: bool,
}

/// Returns a kind of worker with 16 cores.
pub fn kind(id: &str, labels: &[&str]) -> Kind {
    Kind {
        id: id.to_owned(),
        service: "taller".to_owned(),
        labels: labels.iter().map(|l| (*l).to_owned()).collect(),
        cpu: 16_000,
        mem_mb: 65_536,
        ahead_ms: 0,
    }
}

impl Deployment {
    /// Starts the stand-ins and processes and waits until the planners serve. `begin` is called with
    /// each planner's address before its process starts.
    pub fn start(
        record: &Record,
        layout: Layout,
        begin: impl FnMut(IpAddr) -> io::Result<()>,
    ) -> io::Result<Self> {
        Self::start_watched(record, layout, |_| (), begin)
    }

    /// The same; `choose` is told the addresses first.
    pub fn start_watched(
        record: &Record,
        layout: Layout,
        choose: impl FnOnce(&[u8; 2]),
        mut begin: impl FnMut(IpAddr) -> io::Result<()>,
    ) -> io::Result<Self> {
        let net = free_net()?;
        choose(&net);
        let folder = std::env::temp_dir().join(format!("chervilring-review-{}", process::id()));
        fs::create_dir_all(&folder)?;
        let ip = |host: u8| IpAddr::from([127, net[0], net[1], host]);
        let shown = layout.proxied.then_some(PROXY);
        let store = Store::start(SocketAddr::new(ip(1), 8169), shown)?;
        store.put("op/config", &config(7, "lohu930"));
        let mut this = Self {
            record: record.clone(),
            seen: AllSeen::default(),
            store,
            planners: Vec::new(),
            runners: Vec::new(),
            workers: Vec::new(),
            folder,
            net,
        };
        let seeds: Vec<IpAddr> = (0..layout.planners.min(3)).map(|p| ip(10 + p)).collect();
        for place in 0..layout.planners {
            let addr = ip(10 + place);
            begin(addr)?;
            let process = this.process("planner", addr, LINKS, &seeds)?;
            this.planners.push(process);
        }
        let links = shown.unwrap_or(LINKS);
        for place in 0..layout.kinds.len() as u8 {
            let process = this.process("runner", ip(50 + place), links, &seeds)?;
            this.runners.push(process);
        }
        thread::sleep(Duration::from_millis(300));
        for (place, kind) in layout.kinds.into_iter().enumerate() {
            let worker = this.worker(place, kind, &format!("worker {place}"))?;
            this.workers.push(worker);
        }
        this.wait_until_served()?;
        record.add("the deployment serves");
        Ok(this)
    }

    /// Begins the life of a worker beside a runner.
    pub fn worker(&self, place: usize, kind: Kind, name: &str) -> io::Result<Worker> {
        self.worker_at(place, self.app(place), kind, name)
    }

    /// Begins the life of a worker beside a runner at an address.
    pub fn worker_at(
        &self,
        place: usize,
        addr: SocketAddr,
        kind: Kind,
        name: &str,
    ) -> io::Result<Worker> {
        Worker::start(kind, name, addr, self.control(place), &self.record, &self.seen)
    }

    pub fn app(&self, place: usize) -> SocketAddr {
        SocketAddr::new(self.ip(90 + place as u8), APP)
    }

    pub fn control(&self, place: usize) -> SocketAddr {
        SocketAddr::new(self.runners[place].ip, CONTROL)
    }

    pub fn ip(&self, host: u8) -> IpAddr {
        IpAddr::from([127, self.net[0], self.net[1], host])
    }

    /// Sends a client's request to a planner and records it with its answer.
    pub fn ask(
        &self,
        planner: usize,
        method: &str,
        id: &str,
        body: &str,
        deadline: Duration,
    ) -> Option<Reply> {
        ask(&self.record, self.callers(planner), planner, method, id, body, deadline)
    }

    pub fn callers(&self, planner: usize) -> SocketAddr {
        SocketAddr::new(self.planners[planner].ip, CALLERS)
    }

    /// Moves the store to another address: it is served there, the settings files name it, and the
    /// planners are told by SIGHUP. The old address is left a while later.
    pub fn move_store(&mut self) -> io::Result<()> {
        let next = self.store.serve_at(SocketAddr::new(self.ip(2), 8169))?;
        let (old, new) = (self.store.addr.to_string(), next.addr.to_string());
        for process in self.planners.iter().chain(&self.runners) {
            let text = fs::read_to_string(&process.settings)?;
            fs::write(&process.settings, text.replace(&old, &new))?;
        }
        for planner in &self.planners {
            planner.hang_up()?;
        }
        self.record.add(format!("the store is at {new}; all settings say so, SIGHUP to planners"));
        thread::sleep(Duration::from_secs(3));
        self.store.leave();
        self.record.add(format!("nothing is served at {old} any more"));
        self.store = next;
        Ok(())
    }

    fn wait_until_served(&self) -> io::Result<()> {
        let runners = self.runners.len() as u64;
        let until = Instant::now() + Duration::from_secs(15);
        let patience = Duration::from_secs(1);
        for planner in &self.planners {
            loop {
                let ready = SocketAddr::new(planner.ip, READY);
                let ready = call(ready, "GET", "/-/readyz", &[], "", patience);
                let is_ready = ready.is_ok_and(|r| r.status == 200);
                if is_ready && gauge(planner, "chervilring_runners") == Some(runners) {
                    break;
                }
                if Instant::now() > until {
                    return Err(io::Error::other("the deployment does not serve"));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        // The runners' states follow their first heartbeats and looks.
        thread::sleep(Duration::from_millis(2_000));
        Ok(())
    }

    fn process(
        &self,
        role: &'static str,
        ip: IpAddr,
        links: u16,
        seeds: &[IpAddr],
    ) -> io::Result<Process> {
        let settings = self.folder.join(format!("{ip}.toml"));
        fs::write(&settings, settings_text(role, ip, self.store.addr, links, seeds))?;
        let mut process = Process {
            ip,
            role,
            settings,
            child: None,
        };
        process.start()?;
        Ok(process)
    }
}

/// Returns the name of the daemon beside a worker.
pub fn runner_name(net: &[u8; 2], place: u8) -> String {
    format!("side-127.{}.{}.{}", net[0], net[1], 50 + place)
}

/// Sends a client's request and records it with its answer.
pub fn ask(
    record: &Record,
    addr: SocketAddr,
    planner: usize,
    method: &str,
    id: &str,
    body: &str,
    deadline: Duration,
) -> Option<Reply> {
    record.add(format!("client: {method} {id} to planner {planner} {body}"));
    let headers = [
        ("Host", HOST.to_owned()),
        ("Chervilring-Deadline-Ms", deadline.as_millis().to_string()),
    ];
    let path = format!("/lohu930/{id}");
    let patience = deadline + Duration::from_secs(2);
    let reply = call(addr, method, &path, &headers, body, patience);
    let line = match &reply {
        Ok(r) => {
            let later = r.header("Retry-After").map_or(String::new(), |s| format!(", retry after {s} s"));
            format!("{}{later} {}", r.status, r.body)
        }
        Err(error) => format!("no answer: {error}"),
    };
    record.add(format!("client: {method} {id} at planner {planner} is answered {line}"));
    reply.ok()
}

impl Process {
    pub fn start(&mut self) -> io::Result<()> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))?;
        let child = Command::new(PROGRAM)
            .arg(self.role)
            .env("CHERVILRING_SETTINGS", &self.settings)
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends SIGHUP.
    fn hang_up(&self) -> io::Result<()> {
        let Some(child) = &self.child else {
            return Ok(());
        };
        let command = format!("kill -HUP {}", child.id());
        let status = Command::new("sh").args(["-c", &command]).status()?;
        if status.success() {
            return Ok(());
        }
        Err(io::Error::other("SIGHUP was not sent"))
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            drop(child.kill());
            drop(child.wait());
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for process in self.planners.iter_mut().chain(&mut self.runners) {
            process.kill();
        }
        if std::env::var("KEEP_LOGS").is_ok() {
            eprintln!("logs: {}", self.folder.display());
            return;
        }
        drop(fs::remove_dir_all(&self.folder));
    }
}

fn gauge(process: &Process, name: &str) -> Option<u64> {
    let addr = SocketAddr::new(process.ip, METRICS);
    let reply = call(addr, "GET", "/metrics", &[], "", Duration::from_secs(1)).ok()?;
    let mut lines = reply.body.lines().filter(|l| l.starts_with(name));
    lines.next()?.split(' ').next_back()?.parse().ok()
}

/// Returns two bytes of loopback addresses at which nothing listens yet.
fn free_net() -> io::Result<[u8; 2]> {
    let first = process::id();
    for turn in 0..200 {
        let number = first.wrapping_mul(7).wrapping_add(turn * 131);
        let net = [(number % 200 + 20) as u8, (number / 200 % 250 + 1) as u8];
        let is_free = |host: u8, port: u16| {
            TcpListener::bind(SocketAddr::new(IpAddr::from([127, net[0], net[1], host]), port)).is_ok()
        };
        if is_free(1, 8169) && is_free(10, CALLERS) && is_free(50, CONTROL) {
            return Ok(net);
        }
    }
    Err(io::Error::other("no free addresses"))
}

/// Returns a configuration with one route.
pub fn config(version: u64, route: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"{route}\",\
         \"host\":\"nony24.example\",\"prefix\":\"/{route}/\",\"kind\":\"non_idempotent\",\
         \"timeout_ms\":20000,\"target_duration_ms\":2000,\"priority\":0,\
         \"service\":\"taller\",\"max_attempts\":3,\"slack_factor\":1.6}}],\
         \"services\":[{{\"name\":\"taller\",\"health_path\":\"/healthz\",\
         \"max_connections\":64,\"enforce_limits\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144}}}}"
    )
}

/// Returns settings as the pages show them.
fn settings_text(
    role: &str,
    ip: IpAddr,
    store: SocketAddr,
    links: u16,
    seeds: &[IpAddr],
) -> String {
    let seeds: Vec<String> = seeds.iter().map(|s| format!("\"{s}:{CONTROL}\"")).collect();
    // Workers and their daemons are in another zone than planners.
    let (class, serves, zone) = if role == "planner" {
        ("edge", "\"edge\",\"control\"", "z0")
    } else {
        ("side", "\"side\"", "z1")
    };
    let seeds = seeds.join(",");
    format!(
        "node = \"{class}-{ip}\"\nrole = \"{role}\"\nmachine_class = \"{class}\"\n\
         serves = [{serves}]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"r0\"\n\
         internal_ports = [{links},7735]\nseeds = [{seeds}]\nbootstrap = true\n\
         tolerance_counted = false\ndiscovery = \"local\"\nentry = \"vip\"\n\
         heartbeat_ms = 1500\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\
         \"sched\",\"platform\",\"advice\",\"upkeep\",\"sharing\"]\n\
         control_mode = \"invocation\"\n\
         [zones]\nz0 = \"r0\"\nz1 = \"r0\"\n\
         [bind_addresses]\nfrontend = \"{ip}:{CALLERS}\"\nreadiness = \"{ip}:{READY}\"\n\
         control_plane = \"{ip}:{CONTROL}\"\n\
         [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\n\
         link_mbps = 1000.0\ndisk_mb = 0\n\
         [bounds]\nseed_lag_s = 3\naddress_reuse_s = 2\ncontact_ms = 3000\nack_ms = 4000\n\
         catch_up_s = 4\ndrain_ms = 2000\ngrace_s = 6\nloss_slack_ms = 200\n\
         config_apply_ms = 2000\nrollback_slack_ms = 250\nmax_extension_ms = 5000\n\
         recovery_s = 12\nhold_max_ms = 1000\nstop_timeout_ms = 50\ngang_timeout_ms = 3000\n\
         cancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\n\
         remote_factor = 1.5\ncheckpoint_s = 2\nrestore_ms = 600\nnotice_ms = 4500\n\
         migration_s = 1.5\nmaintenance_s = 2\nfencing_enforced = false\nlease_ms = 3000\n\
         thaw_slack_ms = 300\nrate_period_ms = 100\ndisruption_ms = 4000\n\
         retransmit_ms = 1300\n\
         [platform]\naddress = \"{store}\"\nform = \"kv\"\nwrites_per_s = 400\n\
         reads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n\
         [cloud_api]\naddress = \"{ip}:8169\"\nrate_per_s = 60.0\nduties = []\n\
         duty_per_s = 60.0\n"
    )
}

/// Waits until something is so; returns whether it came about.
pub fn wait(span: Duration, mut is_so: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + span;
    while Instant::now() < until {
        if is_so() {
            return true;
        }
        thread::sleep(Duration::from_millis(1));
    }
    false
}

/// Runs a client's request on a thread.
pub fn ask_aside(
    deployment: &Deployment,
    planner: usize,
    id: &str,
    body: &str,
    deadline: Duration,
) -> thread::JoinHandle<Option<Reply>> {
    let (record, addr) = (deployment.record.clone(), deployment.callers(planner));
    let (id, body) = (id.to_owned(), body.to_owned());
    thread::spawn(move || ask(&record, addr, planner, "POST", &id, &body, deadline))
}
