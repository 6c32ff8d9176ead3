//! A small deployment: planners and runners as processes on loopback addresses of their own, with the
//! commands of the deploy file, beside stand-ins of the store and of workers.

use std::error::Error;
use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{self, Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Answer, call};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Kind, Worker};

pub type Failure = Box<dyn Error>;

const FRONTEND: u16 = 8161;
const APP: u16 = 8165;
const CONTROL: u16 = 8166;
const READY: u16 = 8167;
const STORE: u16 = 8169;

/// The host that clients name.
pub const HOST: &str = "jobs.example";

/// The service of all workers.
pub const SERVICE: &str = "work";

/// The zones; machines are dealt to them in turn.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// The longest time for which a deployment may not serve after its start.
const PATIENCE: Duration = Duration::from_secs(20);

/// The planners and the workers, each with its runner: as many as the smallest site has.
const PLANNERS: u8 = 3;
const WORKERS: usize = 11;

/// The workers in a rack.
const RACK: usize = 3;

/// The kind of the first worker, and that of all others.
pub const FIRST_KIND: &str = "b";
pub const OTHER_KIND: &str = "a";

/// How a deployment is set up.
pub struct Plan {
    /// The first configuration.
    pub config: String,
    /// The bytes a second between the store and a machine.
    pub link: Option<u64>,
    /// The bounds of the site, as in the settings file.
    pub bounds: &'static str,
}

/// The bounds of `andino-taller`.
pub const SMALL_BOUNDS: &str = "seed_lag_s = 3\naddress_reuse_s = 2\ncontact_ms = 3000\n\
    ack_ms = 4000\ncatch_up_s = 4\ndrain_ms = 2000\ngrace_s = 6\nloss_slack_ms = 200\n\
    config_apply_ms = 2000\nrollback_slack_ms = 250\nmax_extension_ms = 5000\nrecovery_s = 12\n\
    hold_max_ms = 1000\nstop_timeout_ms = 50\ngang_timeout_ms = 3000\ncancel_ms = 3000\n\
    visible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nremote_factor = 1.5\n\
    checkpoint_s = 2\nrestore_ms = 600\nnotice_ms = 4500\nmigration_s = 1.5\nmaintenance_s = 2\n\
    fencing_enforced = false\nlease_ms = 3000\nthaw_slack_ms = 300\nrate_period_ms = 100\n\
    disruption_ms = 4000\nretransmit_ms = 1300\n";

/// The bounds of `zorgrit-noord-grown`.
pub const GROWN_BOUNDS: &str = "seed_lag_s = 3\naddress_reuse_s = 2\ncontact_ms = 4000\n\
    ack_ms = 6000\ncatch_up_s = 6\ndrain_ms = 3000\ngrace_s = 6\nloss_slack_ms = 200\n\
    config_apply_ms = 3000\nrollback_slack_ms = 250\nmax_extension_ms = 6000\ncold_excess = 1.5\n\
    cold_start_slack = 5\nevacuate_ms = 5000\nrecovery_s = 15\nhold_max_ms = 1000\n\
    stop_timeout_ms = 50\ngang_timeout_ms = 4000\ncancel_ms = 4000\nvisible_ms = 3000\n\
    early_ms = 250\nfinish_s = 14\nstatus_s = 120\nremote_factor = 3\ncheckpoint_s = 1\n\
    restore_ms = 100\nnotice_ms = 5500\nmigration_s = 1.5\nmaintenance_s = 2\n\
    fencing_enforced = false\nlease_ms = 3000\nthaw_slack_ms = 300\nrate_period_ms = 100\n\
    disruption_ms = 4500\nretransmit_ms = 1300\n";

/// A process of the system.
pub struct Process {
    pub ip: IpAddr,
    name: String,
    command: Vec<String>,
    settings: PathBuf,
    child: Option<Child>,
}

/// A running deployment. Dropping it ends everything that it started.
pub struct Deployment {
    pub record: Record,
    pub store: Store,
    pub planners: Vec<Process>,
    pub runners: Vec<Process>,
    /// The worker beside each runner; none while it is down.
    pub workers: Vec<Option<Worker>>,
    kinds: Vec<Kind>,
    folder: PathBuf,
}

impl Deployment {
    /// Starts a deployment and waits until it serves.
    pub fn start(plan: &Plan, record: &Record) -> Result<Self, Failure> {
        let net = Net::new();
        let folder = std::env::temp_dir().join(format!("chervilring-review-{}", process::id()));
        fs::create_dir_all(&folder)?;
        let address = SocketAddr::new(net.ip(1), STORE);
        let store = Store::start(address, Duration::from_millis(4), plan.link)?;
        store.put("op/config", &plan.config);
        let mut this = Self {
            record: record.clone(),
            store,
            planners: Vec::new(),
            runners: Vec::new(),
            workers: Vec::new(),
            kinds: Vec::new(),
            folder,
        };
        let seeds: Vec<String> = (0..PLANNERS)
            .map(|p| format!("\"{}:{CONTROL}\"", net.ip(10 + p)))
            .collect();
        let seeds = seeds.join(",");
        for place in 0..PLANNERS {
            let name = format!("edge-{place}");
            let settings = Settings {
                ip: net.ip(10 + place),
                name: &name,
                zone: ZONES[usize::from(place) % ZONES.len()],
                seeds: &seeds,
                store: address,
                bounds: plan.bounds,
            };
            let process = this.process("planner", &settings, &settings.planner())?;
            this.planners.push(process);
        }
        for place in 0..WORKERS {
            let name = format!("side-{place}");
            let settings = Settings {
                ip: net.ip(50 + place as u8),
                name: &name,
                zone: ZONES[place % ZONES.len()],
                seeds: &seeds,
                store: address,
                bounds: plan.bounds,
            };
            let process = this.process("runner", &settings, &settings.runner())?;
            this.kinds.push(Kind {
                id: format!("i-{place:08x}"),
                service: SERVICE.into(),
                zone: settings.zone.into(),
                labels: labels_of(place),
                app: SocketAddr::new(process.ip, APP),
                beats: SocketAddr::new(process.ip, CONTROL),
                silent: Duration::ZERO,
                behind_ms: 0,
            });
            this.runners.push(process);
            let worker = Worker::start(this.kinds[place].clone(), record)?;
            this.workers.push(Some(worker));
        }
        this.wait_ready()?;
        Ok(this)
    }

    fn process(&self, role: &str, settings: &Settings, text: &str) -> Result<Process, Failure> {
        let path = self.folder.join(format!("{}.toml", settings.name));
        fs::write(&path, text)?;
        let mut process = Process {
            ip: settings.ip,
            name: settings.name.to_owned(),
            command: command_of(role)?,
            settings: path,
            child: None,
        };
        process.start(&self.record)?;
        Ok(process)
    }

    /// Waits until all planners are ready and have a link to each runner.
    fn wait_ready(&self) -> Result<(), Failure> {
        let until = Instant::now() + PATIENCE;
        let runners = self.runners.len().to_string();
        for planner in &self.planners {
            while !(planner.is_ready()
                && planner.metric("chervilring_runners") == Some(runners.clone()))
            {
                if Instant::now() > until {
                    return Err(format!("{} does not get ready", planner.name).into());
                }
                thread::sleep(Duration::from_millis(20));
            }
        }
        // What the workers are has come with the links or comes at once behind them.
        thread::sleep(Duration::from_millis(2_500));
        self.record.write("the deployment is ready");
        Ok(())
    }

    /// Has a worker crash.
    pub fn crash(&mut self, place: usize) {
        if let Some(worker) = self.workers[place].take() {
            worker.crash();
        }
    }

    /// Has the time of day on a worker's machine be behind the true one.
    pub fn set_behind(&mut self, place: usize, behind_ms: u64) {
        self.kinds[place].behind_ms = behind_ms;
        let text = format!("the time of day at side-{place} is {behind_ms} ms behind");
        self.record.write(&text);
    }

    /// Has a worker wait before its first heartbeat, from its next life on.
    pub fn set_silent(&mut self, place: usize, silent: Duration) {
        self.kinds[place].silent = silent;
    }

    /// Has a worker be of another kind from its next life on.
    pub fn set_kind(&mut self, place: usize, kind: &str) {
        self.kinds[place].labels[0] = kind.to_owned();
    }

    /// Starts a worker again under its id and address.
    pub fn restart(&mut self, place: usize) -> Result<(), Failure> {
        let worker = Worker::start(self.kinds[place].clone(), &self.record)?;
        self.workers[place] = Some(worker);
        Ok(())
    }

    /// Returns the tasks of a job that are at work on any worker.
    pub fn active(&self, job: &str) -> Vec<String> {
        let workers = self.workers.iter().flatten();
        workers.flat_map(|w| w.active(job)).collect()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.planners.clear();
        self.runners.clear();
        self.workers.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            // What is left in the folder for temporary files does no harm.
            drop(fs::remove_dir_all(&self.folder));
        }
    }
}

impl Process {
    /// Starts the process; its log goes on behind that of earlier lives.
    pub fn start(&mut self, record: &Record) -> Result<(), Failure> {
        let log = self.settings.with_extension("log");
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new(&self.command[0])
            .args(&self.command[1..])
            .env("CHERVILRING_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        record.write(&format!(
            "{} starts at {}, process {}",
            self.name,
            self.ip,
            child.id()
        ));
        self.child = Some(child);
        Ok(())
    }

    /// Returns where clients call it.
    pub fn frontend(&self) -> SocketAddr {
        SocketAddr::new(self.ip, FRONTEND)
    }

    /// Returns whether it wants clients.
    pub fn is_ready(&self) -> bool {
        let second = Duration::from_secs(1);
        let address = SocketAddr::new(self.ip, READY);
        call(address, "GET", "/-/readyz", &[], "", second).is_ok_and(|a| a.status == 200)
    }

    /// Returns a metric, which the deploy file has at this port.
    pub fn metric(&self, name: &str) -> Option<String> {
        let second = Duration::from_secs(1);
        let address = SocketAddr::new(self.ip, 9464);
        let answer = call(address, "GET", "/metrics", &[], "", second).ok()?;
        let line = answer.body.lines().find(|l| l.starts_with(name))?;
        line.split(' ').next_back().map(str::to_owned)
    }
}

impl Process {
    /// Kills the process.
    pub fn kill(&mut self, record: &Record) {
        if let Some(mut child) = self.child.take() {
            record.write(&format!("{} is killed", self.name));
            // A process that has ended by itself is gone all the same.
            drop(child.kill());
            drop(child.wait());
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // A process that has ended by itself is gone all the same.
            drop(child.kill());
            drop(child.wait());
        }
    }
}

/// Sends a client's request to a planner and records it with its answer.
pub fn ask(
    record: &Record,
    planner: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    wait: Duration,
) -> Option<Answer> {
    let deadline = wait.as_millis().to_string();
    let headers = [("Host", HOST), ("Chervilring-Deadline-Ms", &*deadline)];
    record.write(&format!("client sends {method} {path} to {planner} {body}"));
    match call(planner, method, path, &headers, body, wait) {
        Ok(answer) => {
            let text = format!("{method} {path} at {planner} is answered {}", answer.status);
            record.write(&format!("{text} {}", answer.body));
            Some(answer)
        }
        Err(error) => {
            record.write(&format!(
                "{method} {path} at {planner} gets no answer: {error}"
            ));
            None
        }
    }
}

/// Returns the kind of a worker and its rack.
fn labels_of(place: usize) -> Vec<String> {
    let kind = if place == 0 { FIRST_KIND } else { OTHER_KIND };
    vec![kind.to_owned(), format!("r1-{}", place / RACK)]
}

/// Loopback addresses that nobody else uses.
struct Net {
    second: u8,
    third: u8,
}

impl Net {
    fn new() -> Self {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let seed = now.map_or(0, |t| t.subsec_nanos() as usize) ^ process::id() as usize;
        Self {
            second: (seed % 200 + 30) as u8,
            third: (seed / 200 % 250 + 1) as u8,
        }
    }

    fn ip(&self, host: u8) -> IpAddr {
        Ipv4Addr::new(127, self.second, self.third, host).into()
    }
}

struct Settings<'a> {
    ip: IpAddr,
    name: &'a str,
    zone: &'a str,
    seeds: &'a str,
    store: SocketAddr,
    bounds: &'a str,
}

impl Settings<'_> {
    fn planner(&self) -> String {
        let ip = self.ip;
        let addresses = format!(
            "frontend = \"{ip}:{FRONTEND}\"\nreadiness = \"{ip}:{READY}\"\n\
             control_plane = \"{ip}:{CONTROL}\"\n"
        );
        self.text("edge", "\"edge\",\"control\"", &addresses)
    }

    fn runner(&self) -> String {
        let addresses = format!("control_plane = \"{}:{CONTROL}\"\n", self.ip);
        self.text("side", "\"side\"", &addresses)
    }

    fn text(&self, class: &str, serves: &str, addresses: &str) -> String {
        let Settings {
            ip,
            name,
            zone,
            seeds,
            store,
            bounds,
        } = self;
        let zones = ZONES.map(|z| format!("{z} = \"region\"\n")).concat();
        let app = match class {
            "side" => format!("app = \"{ip}:{APP}\"\nservice = \"{SERVICE}\"\n"),
            _ => String::new(),
        };
        format!(
            "node = \"{name}\"\nrole = \"my-{class}\"\nmachine_class = \"{class}\"\n\
             serves = [{serves}]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"region\"\n\
             internal_ports = [7720,7735]\nseeds = [{seeds}]\nbootstrap = true\n\
             tolerance_counted = false\ndiscovery = \"local\"\nentry = \"vip\"\n\
             heartbeat_ms = 1500\ncontrol_mode = \"invocation\"\n{app}\n\
             [zones]\n{zones}\n[bind_addresses]\n{addresses}\n\
             [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\n\
             link_mbps = 1000.0\ndisk_mb = 0\n\n\
             [fault_tolerance]\nmachines = 2\nzones = 0\nregions = 0\n\n[bounds]\n{bounds}\n\
             [platform]\naddress = \"{store}\"\nform = \"kv\"\nwrites_per_s = 400\n\
             reads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n"
        )
    }
}

/// Returns the command of a role in the deploy file.
fn command_of(role: &str) -> Result<Vec<String>, Failure> {
    let text = fs::read_to_string("deploy/system.toml")?;
    let section = text.split("[roles.").find(|s| s.starts_with(role));
    let line = section.and_then(|s| s.lines().find(|l| l.starts_with("run = ")));
    let words = line.and_then(|l| l.split('"').nth(1));
    let words = words.ok_or_else(|| format!("deploy/system.toml has no role {role}"))?;
    Ok(words.split(' ').map(str::to_owned).collect())
}

/// Returns a job of one step whose tasks take some milliseconds; `more` are further fields of the
/// step.
pub fn job(count: u32, millis: u64, more: &str) -> String {
    format!(
        "{{\"spec\":\"{millis}\",\"steps\":[{{\"count\":{count},\"cpu\":1600,\"mem_mb\":64,\
         \"estimate_ms\":{millis}{more}}}],\"best_effort\":true}}"
    )
}

/// Returns a route as the configuration has it.
pub fn route(name: &str, prefix: &str, timeout_ms: u64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\
         \"kind\":\"non_idempotent\",\"timeout_ms\":{timeout_ms},\"target_duration_ms\":60,\
         \"priority\":0,\"service\":\"{SERVICE}\",\"max_attempts\":2,\"slack_factor\":1.6}}"
    )
}

/// Returns a configuration with these routes.
pub fn config(version: u64, routes: &[String]) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"health_path\":\"/healthz\",\"max_connections\":64,\"protocol\":\"h1\",\"tls\":false,\
         \"enforce_limits\":false,\"standby\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(",")
    )
}
