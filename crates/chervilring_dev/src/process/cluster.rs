//! A whole deployment as separate processes.

use std::time::Duration;

use chervilring::{Client, Response};
use eyre::{WrapErr, ensure, eyre};
use serde_json::Value;

use super::child::{Process, Program};
use super::plan::{ClusterPlan, DOMAINS, WorkerPlan};
use super::wait::{BOUND, wait_for};

/// How long a call may take that is not expected to wait.
const CALL: Duration = Duration::from_mins(1);

/// A whole deployment: the store, entries, and agents with their upstreams.
#[derive(Debug)]
pub struct Cluster {
    /// The stand-in of the platform's store.
    pub platform: Process,
    /// The entries.
    pub entries: Vec<Process>,
    /// The agents with their upstreams.
    pub workers: Vec<Worker>,
    pub(super) client: Client,
    plan: ClusterPlan,
}

/// An agent and its upstream.
#[derive(Debug)]
pub struct Worker {
    /// The agent.
    pub agent: Process,
    /// The stand-in of the upstream.
    pub upstream: Process,
}

impl Cluster {
    /// Starts all processes and waits until the entries are ready and may use all agents.
    ///
    /// # Errors
    ///
    /// Returns an error when a process does not start or the entries are not ready in time.
    pub fn start(plan: ClusterPlan) -> eyre::Result<Self> {
        let platform = Program::stand_in(&plan.binary, "platform", "platform").start()?;
        let client = Client::new(Some(&platform.http()), Some(CALL))?;
        let mut cluster = Self {
            platform,
            entries: Vec::new(),
            workers: Vec::new(),
            client,
            plan,
        };
        for index in 0..cluster.plan.entries {
            let entry = cluster.entry_program(index).spawn()?;
            cluster.entries.push(entry);
        }
        for entry in &mut cluster.entries {
            entry.listen()?;
        }
        for index in 0..cluster.plan.workers.len() {
            let worker = cluster.start_worker(index)?;
            cluster.workers.push(worker);
        }
        cluster.wait_ready().wrap_err_with(|| cluster.report())?;
        Ok(cluster)
    }

    /// Returns the call of an entry.
    pub fn entry_program(&self, index: usize) -> Program {
        let name = format!("e{}", index + 1);
        let mut program = Program::shipped(&self.plan.binary, &name, "entry")
            .flag("name", &name)
            .flag("domain", DOMAINS[index % DOMAINS.len()])
            .flag("store", self.platform.url());
        for (flag, value) in &self.plan.entry_flags {
            program = program.flag(flag, value);
        }
        program
    }

    /// Returns the call of an agent, which is told of the entries that run now.
    pub fn agent_program(&self, index: usize) -> Program {
        let name = format!("a{}", index + 1);
        let peers = self.entries.iter().filter_map(Process::peer);
        let peers: Vec<String> = peers.map(|addr| addr.to_string()).collect();
        let mut program = Program::shipped(&self.plan.binary, &name, "agent")
            .flag("name", &name)
            .flag("domain", DOMAINS[index % DOMAINS.len()])
            .flag("entries", peers.join(","));
        for (flag, value) in &self.plan.agent_flags {
            program = program.flag(flag, value);
        }
        program
    }

    /// Returns the call of the upstream beside an agent.
    pub fn upstream_program(&self, index: usize, agent: &Process) -> Program {
        let default = WorkerPlan::new("");
        let plan = self.plan.workers.get(index).unwrap_or(&default);
        let name = format!("u{}", index + 1);
        let mut program = Program::stand_in(&self.plan.binary, &name, "upstream")
            .flag("name", &name)
            .flag("agent", agent.url())
            .flag("speed", plan.speed)
            .flag("slots", plan.slots)
            .flag("connections", plan.connections);
        for service in &plan.services {
            program = program.flag("service", service);
        }
        program
    }

    /// Returns the call of a command of the shipped program.
    pub fn command(&self, subcommand: &str) -> Program {
        Program::shipped(&self.plan.binary, subcommand, subcommand)
    }

    fn start_worker(&self, index: usize) -> eyre::Result<Worker> {
        let agent = self.agent_program(index).start()?;
        let upstream = self.upstream_program(index, &agent).start()?;
        Ok(Worker { agent, upstream })
    }

    /// Waits until all entries are ready and may use all agents.
    ///
    /// # Errors
    ///
    /// Returns an error with the entries' last log lines when they are not in time.
    pub fn wait_ready(&self) -> eyre::Result<()> {
        let ready = |entry: &Process| {
            let Ok(status) = self.status(entry) else {
                return false;
            };
            let members = status["membership"]["peers"].as_array().map_or(0, Vec::len) + 1;
            let allowed = status["membership"]["allowed"].as_u64().unwrap_or(0);
            status["ready"] == true
                && members == self.entries.len()
                && allowed as usize == self.workers.len()
        };
        let all = || self.entries.iter().all(ready).then_some(());
        wait_for("all entries are ready", BOUND, all)
    }

    /// Returns the status of an entry or agent.
    ///
    /// # Errors
    ///
    /// Returns an error when it does not answer.
    pub fn status(&self, process: &Process) -> eyre::Result<Value> {
        self.get(process, "/v1/status")
    }

    /// Returns the JSON document at a path of a process.
    ///
    /// # Errors
    ///
    /// Returns an error when the process does not answer, or not with success.
    pub fn get(&self, process: &Process, path: &str) -> eyre::Result<Value> {
        let response = self.client.send_to(&process.url(), "GET", path, &[], None);
        let response = response?.check()?;
        Ok(serde_json::from_slice(&response.body)?)
    }

    /// Puts a JSON document at a path of a process.
    ///
    /// # Errors
    ///
    /// Returns an error when the process does not answer, or not with success.
    pub fn put(&self, process: &Process, path: &str, document: &Value) -> eyre::Result<Response> {
        let headers = [("Content-Type", "application/json".to_owned())];
        let body = serde_json::to_vec(document)?;
        let url = process.url();
        let response = self
            .client
            .send_to(&url, "PUT", path, &headers, Some(&body));
        Ok(response?.check()?)
    }

    /// Deletes what is at a path of a process.
    ///
    /// # Errors
    ///
    /// Returns an error when the process does not answer, or not with success.
    pub fn delete(&self, process: &Process, path: &str) -> eyre::Result<()> {
        let url = process.url();
        let response = self.client.send_to(&url, "DELETE", path, &[], None);
        response?.check()?;
        Ok(())
    }

    /// Returns a client of its own towards some of the entries.
    ///
    /// # Errors
    ///
    /// Returns an error when none of them listens.
    pub fn client(&self, entries: &[usize], timeout: Duration) -> eyre::Result<Client> {
        let entries: Vec<String> = entries.iter().map(|i| self.entries[*i].http()).collect();
        Client::new(Some(&entries.join(",")), Some(timeout)).map_err(|error| eyre!("{error}"))
    }

    /// Returns the last log lines of all processes.
    pub fn report(&self) -> String {
        let workers = self.workers.iter().flat_map(|w| [&w.agent, &w.upstream]);
        let processes = self.entries.iter().chain(workers);
        let parts = processes.map(|p| format!("-- {}\n{}", p.name(), p.log()));
        parts.collect::<Vec<_>>().join("\n")
    }

    /// Asks all processes to stop, callers' side first, and waits until they have ended.
    ///
    /// # Errors
    ///
    /// Returns an error when one does not end in time or not with success.
    pub fn stop(&mut self) -> eyre::Result<()> {
        let upstreams = self.workers.iter_mut().map(|w| &mut w.upstream);
        stop_all(self.entries.iter_mut().chain(upstreams).collect())?;
        stop_all(self.workers.iter_mut().map(|w| &mut w.agent).collect())?;
        self.platform.kill();
        Ok(())
    }
}

/// Asks those that still run to stop, and waits for them.
fn stop_all(processes: Vec<&mut Process>) -> eyre::Result<()> {
    let mut running = Vec::new();
    for process in processes {
        if process.is_running() {
            process.terminate();
            running.push(process);
        }
    }
    for process in running {
        let status = process.wait(BOUND)?;
        let name = process.name();
        ensure!(
            status.success(),
            "{name} ended with {status}:\n{}",
            process.log()
        );
    }
    Ok(())
}
