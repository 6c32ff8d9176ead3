//! What a planner does over its tables: placing, giving up, heartbeats.

use chervilring_wire::{
    Micros, Name, PlannerMessage, Queued, Resources, RunKey, StartRuns, Time, UpstreamState,
};

use super::event::{LossCause, PlannerEvent};
use super::job::{Job, TaskState};
use super::links::LinkNo;
use super::order::urgency;
use super::placement::{Choice, Offer, Wish, choose};
use super::state::{JobAnswer, Planner, PlannerStep, Refusal};
use super::upstream::{Upstream, wait};
use crate::runs::bounds::{BEAT, LINK_SILENCE, RUN_GONE};

/// How much longer a task runs away from the rack of its data.
const FAR_FACTOR: f64 = 1.5;

/// How long an upstream that is gone is remembered.
const PROFILE_AGE: Micros = Micros::from_secs(600);

/// How long the attempts of a job that was answered are remembered: callers send a job again
/// within seconds.
const PAST_AGE: Micros = Micros::from_secs(30);

/// The share of all upstreams' processors from which a step counts as wide.
const WIDE: f64 = 0.25;

/// What is placed on one upstream.
struct Place {
    link: LinkNo,
    name: Name,
    /// How long each task is expected to run there.
    run: Micros,
    tasks: Vec<usize>,
}

/// An upstream while tasks are placed.
struct Slot {
    link: LinkNo,
    name: Name,
    state: UpstreamState,
    /// What is asked of it beyond what runs, and goes first.
    asked: Resources,
    run: Micros,
    /// How many more runs it may be sent.
    room: u32,
}

impl Slot {
    /// Returns what it offers to a task that must not go to an upstream of a name.
    fn offer(&self, demand: &Resources, avoid: Option<&Name>) -> Offer {
        let asked = self.asked.plus(demand);
        let all = self.state.capacity.cpu.max(1) as f64;
        Offer {
            run: self.run,
            wait: wait(&self.state, &asked),
            open: self.room > 0 && avoid != Some(&self.name),
            free: (self.state.free.cpu as f64 - self.asked.cpu as f64) / all,
        }
    }
}

impl Planner {
    /// Runs what is due.
    pub fn tick(&mut self, now: Time) {
        self.drop_silent(now);
        if now >= self.beat {
            self.beat = now + BEAT;
            self.send_beats();
            self.profiles.retain(|_, p| now.since(p.seen) < PROFILE_AGE);
            self.past.retain(|_, (_, until)| now < *until);
        }
        let lost = self.jobs.values().any(|j| j.due() <= now);
        if self.changed || lost {
            self.changed = false;
            self.schedule(now);
        }
        let due: Vec<u64> = self.jobs.keys().copied().collect();
        for no in due {
            self.settle(now, no);
        }
    }

    /// Returns when something is due.
    pub fn wake_at(&self) -> Time {
        let jobs = self.jobs.values().map(Job::due);
        jobs.min().unwrap_or(Time::NEVER).min(self.beat)
    }

    /// Takes in that the process had stood still for some time: its links have ended at the other
    /// side, and callers may have gone elsewhere.
    pub fn paused(&mut self, now: Time, span: Micros) {
        let event = PlannerEvent::Paused {
            span,
            jobs: self.jobs.len(),
        };
        self.steps.push(PlannerStep::Log(event));
        let links: Vec<LinkNo> = self.links.keys().copied().collect();
        for link in links {
            self.lose(now, link, now);
            self.steps.push(PlannerStep::Close(link));
        }
        self.give_up_all(now);
    }

    /// Gives up all jobs.
    pub fn give_up_all(&mut self, now: Time) {
        let all: Vec<u64> = self.jobs.keys().copied().collect();
        for no in all {
            self.give_up(now, no, Refusal::Interrupted);
        }
    }

    /// Places the tasks that wait, those of started jobs first, then by urgency.
    pub(super) fn schedule(&mut self, now: Time) {
        let row = |(&no, job): (&u64, &Job)| {
            let waits = job
                .tasks
                .iter()
                .any(|t| matches!(t.state, TaskState::Waiting(_)));
            let key = urgency(job.objective, job.new.chain());
            // What is late anyway takes what is left over.
            let rank = match (job.is_sent(), now < key) {
                (true, true) => 0,
                (false, _) => 1,
                (true, false) => 2,
            };
            waits.then_some((rank, key, no))
        };
        let mut order: Vec<(u8, Time, u64)> = self.jobs.iter().filter_map(row).collect();
        order.sort_unstable();
        for (_, _, no) in order {
            self.place(now, no);
        }
    }

    /// Places what can be placed of a job; returns how many of its tasks are left waiting.
    pub(super) fn place(&mut self, now: Time, no: u64) -> u32 {
        let Some(job) = self.jobs.get_mut(&no) else {
            return 0;
        };
        job.looked = now;
        if job.withdrawn {
            return 0;
        }
        let mut left = 0;
        for step in 0..job.new.steps.len() {
            left += self.place_step(now, no, step);
        }
        left
    }

    fn place_step(&mut self, now: Time, no: u64, step: usize) -> u32 {
        let Some(job) = self.jobs.get(&no) else {
            return 0;
        };
        if !job.is_ready(step) {
            return 0;
        }
        let waits = |t: &super::job::Task| {
            t.step == step && matches!(t.state, TaskState::Waiting(at) if at <= now)
        };
        let rows = job.tasks.iter().enumerate();
        let due: Vec<usize> = rows.filter(|(_, t)| waits(t)).map(|(i, _)| i).collect();
        if due.is_empty() {
            return 0;
        }
        let (places, left) = self.choose_places(now, no, step, &due);
        let started = self.jobs.get(&no).is_some_and(Job::is_sent);
        // A part of a job is of no use to its caller: it is begun when all of it has a place.
        let begun = started || left == 0 || self.is_wide(no, step);
        if places.is_empty() || !begun {
            return left;
        }
        self.send(now, no, step, places, left);
        left
    }

    /// Returns whether a step is so wide that its tasks cannot be expected to run at once.
    fn is_wide(&self, no: u64, step: usize) -> bool {
        let Some(job) = self.jobs.get(&no) else {
            return false;
        };
        let service = job.new.route.service.as_str();
        let row = &job.new.steps[step];
        let open = self.links.values().filter(|u| u.does(service));
        let states = open.filter_map(|u| u.state.as_ref());
        let all: u64 = states.map(|(s, _)| s.capacity.cpu).sum();
        (row.demand.cpu * u64::from(row.count)) as f64 > all as f64 * WIDE
    }

    /// Chooses upstreams for tasks of a step; returns how many found none.
    fn choose_places(
        &mut self,
        now: Time,
        no: u64,
        step: usize,
        due: &[usize],
    ) -> (Vec<Place>, u32) {
        let Some(job) = self.jobs.get(&no) else {
            return (Vec::new(), 0);
        };
        let row = &job.new.steps[step];
        let mut slots = self.slots(now, job, step);
        let started = job.started.is_some();
        let wish = Wish {
            now,
            objective: job.objective,
            deadline: job.new.deadline,
            latest: if started { job.objective } else { job.hold },
            started,
        };
        let mut left = 0;
        let mut offers: Vec<Offer> = Vec::with_capacity(slots.len());
        let mut places: Vec<Place> = Vec::new();
        for &task in due {
            let avoid = job.tasks[task].avoid.as_ref();
            let others = slots.iter().any(|s| s.room > 0 && Some(&s.name) != avoid);
            offers.clear();
            offers.extend(
                slots
                    .iter()
                    .map(|s| s.offer(&row.demand, avoid.filter(|_| others))),
            );
            let random = &mut self.random;
            let Choice::Take(place) = choose(&offers, &wish, || random.f64()) else {
                left += 1;
                continue;
            };
            let slot = &mut slots[place];
            slot.room -= 1;
            slot.asked = slot.asked.plus(&row.demand);
            match places.iter_mut().find(|p| p.link == slot.link) {
                Some(found) => found.tasks.push(task),
                None => places.push(Place {
                    link: slot.link,
                    name: slot.name.clone(),
                    run: slot.run,
                    tasks: vec![task],
                }),
            }
        }
        (places, left)
    }

    /// Returns the upstreams that tasks of a step may use.
    fn slots(&self, now: Time, job: &Job, step: usize) -> Vec<Slot> {
        let row = &job.new.steps[step];
        let service = job.new.route.service.as_str();
        let mut slots = Vec::with_capacity(self.links.len());
        for (&link, upstream) in self.links.iter().filter(|(_, u)| u.does(service)) {
            let Some((state, _)) = &upstream.state else {
                continue;
            };
            let Some(profile) = self.profiles.get(&upstream.name) else {
                continue;
            };
            let fits = state.capacity.holds(&row.demand);
            let labelled = row.label.as_ref().is_none_or(|l| state.labels.contains(l));
            if !fits || !labelled {
                continue;
            }
            let mut room = u32::MAX;
            if let Some(limit) = profile.health.limit(now) {
                room = room.min(limit.saturating_sub(upstream.runs));
            }
            if let Some(spread) = row.spread {
                room = room.min(spread.saturating_sub(job.there(step, link)));
            }
            let mut run = profile.speed.run(row.size);
            let latest = job.latest(now, run);
            let patience = now.until(latest);
            if row.rack.as_ref().is_some_and(|r| !state.labels.contains(r)) {
                run = Micros((run.0 as f64 * FAR_FACTOR) as u64);
            }
            slots.push(Slot {
                link,
                name: upstream.name.clone(),
                state: state.clone(),
                asked: upstream.ahead(patience),
                run,
                room,
            });
        }
        slots
    }

    /// Sends chosen tasks to their upstreams.
    fn send(&mut self, now: Time, no: u64, step: usize, places: Vec<Place>, waiting: u32) {
        let Some(job) = self.jobs.get_mut(&no) else {
            return;
        };
        let demand = job.new.steps[step].demand;
        let mut age = Micros::default();
        let mut shown = Vec::with_capacity(places.len());
        for place in places {
            let Some(upstream) = self.links.get_mut(&place.link) else {
                continue;
            };
            let mut runs: Vec<RunKey> = Vec::with_capacity(place.tasks.len());
            let mut took = Resources::default();
            for task in place.tasks {
                let row = &mut job.tasks[task];
                row.attempt += 1;
                row.state = TaskState::Sent {
                    link: place.link,
                    at: now,
                };
                row.progress = (0, Time::default());
                took = took.plus(&demand);
                let run = job.run(task);
                self.runs.insert(run, (no, task));
                runs.push(run);
            }
            job.starts += runs.len() as u32;
            if let Some((_, at)) = &upstream.state {
                age = age.max(now.since(*at));
            }
            shown.push((place.name, runs.len() as u32));
            let latest = job.latest(now, place.run);
            let patience = now.until(latest);
            let took = Queued {
                patience,
                demand: took,
            };
            let number = upstream.sent(took, runs.len() as u32);
            let message = PlannerMessage::Start(StartRuns {
                number,
                service: job.new.route.service.clone(),
                spec: job.new.spec.clone(),
                demand,
                patience,
                runs,
            });
            self.steps.push(PlannerStep::Send {
                link: place.link,
                message,
            });
        }
        let event = PlannerEvent::Placed {
            job: job.new.id,
            places: shown,
            wait: now.since(job.arrived),
            age,
            waiting,
        };
        self.steps.push(PlannerStep::Log(event));
    }

    /// Ends a job that is done, or that can no longer be served.
    pub(super) fn settle(&mut self, now: Time, no: u64) {
        if let Some(job) = self.jobs.get_mut(&no) {
            // One that was called back and has begun all the same goes on.
            job.withdrawn = job.withdrawn && job.started.is_none();
        }
        let Some(job) = self.jobs.get(&no) else {
            return;
        };
        if job.is_done() {
            self.finish(now, no, JobAnswer::Completed);
            return;
        }
        let service = job.new.route.service.as_str();
        if job.started.is_none() && now >= job.hold {
            let known = self.links.values().any(|u| u.does(service));
            let why = if known {
                Refusal::Overload
            } else {
                Refusal::Unreachable
            };
            self.withdraw(now, no, why);
            return;
        }
        if now >= job.new.deadline || self.is_hopeless(now, job) {
            self.give_up(now, no, Refusal::Overload);
        }
    }

    /// Refuses a job of which nothing has begun, once that is sure: what waits at upstreams is
    /// called back first.
    fn withdraw(&mut self, now: Time, no: u64, why: Refusal) {
        let Some(job) = self.jobs.get_mut(&no) else {
            return;
        };
        if !job.is_sent() {
            self.give_up(now, no, why);
            return;
        }
        if job.withdrawn || now >= job.new.deadline {
            if now >= job.new.deadline {
                self.give_up(now, no, why);
            }
            return;
        }
        job.withdrawn = true;
        let mut stops: Vec<(LinkNo, Vec<RunKey>)> = Vec::new();
        for (run, link) in job.live() {
            add_stop(&mut stops, link, run);
        }
        self.send_stops(stops);
    }

    /// Returns whether a task that is yet to be started cannot end before the caller leaves.
    fn is_hopeless(&self, now: Time, job: &Job) -> bool {
        if job.started.is_none() {
            return false;
        }
        let service = job.new.route.service.as_str();
        let speeds = self.links.values().filter(|u| u.does(service));
        let speeds = speeds.filter_map(|u| self.profiles.get(&u.name));
        let best = speeds.map(|p| p.speed.value()).fold(1.0, f64::max);
        let late = |t: &super::job::Task| {
            let TaskState::Waiting(at) = t.state else {
                return false;
            };
            let size = job.new.steps[t.step].size;
            let run = Micros((size.0 as f64 / best) as u64);
            now.max(at) + run > job.new.deadline
        };
        job.tasks.iter().any(late)
    }

    /// Answers a job that is not served: refused when nothing of it was started.
    fn give_up(&mut self, now: Time, no: u64, why: Refusal) {
        let sent = self.jobs.get(&no).is_some_and(Job::is_sent);
        let answer = if sent {
            JobAnswer::GaveUp
        } else {
            JobAnswer::Refused(why)
        };
        self.finish(now, no, answer);
    }

    /// Answers a job and forgets it.
    pub(super) fn finish(&mut self, now: Time, no: u64, answer: JobAnswer) {
        let Some(job) = self.jobs.get(&no) else {
            return;
        };
        let event = PlannerEvent::Answered {
            job: job.new.id,
            request: job.new.request.clone(),
            route: job.new.route.name.clone(),
            version: job.new.version,
            answer,
            span: now.since(job.arrived),
            wait: job.started.map(|at| at.since(job.arrived)),
            starts: job.starts,
            met: answer == JobAnswer::Completed && now <= job.objective,
        };
        for &caller in &job.callers {
            self.steps.push(PlannerStep::Answer {
                caller,
                job: job.new.id,
                answer,
                comeback: self.settings.comeback,
            });
        }
        self.steps.push(PlannerStep::Log(event));
        self.remove(now, no);
    }

    /// Forgets a job and stops what runs of it.
    pub(super) fn remove(&mut self, now: Time, no: u64) {
        let Some(job) = self.jobs.remove(&no) else {
            return;
        };
        self.ids.remove(&job.new.id);
        if let Some(attempt) = job.tasks.iter().map(|t| t.attempt).max() {
            let until = now + PAST_AGE;
            self.past.insert(job.new.id, (attempt, until));
        }
        let mut stops: Vec<(LinkNo, Vec<RunKey>)> = Vec::new();
        for (run, link) in job.live() {
            self.runs.remove(&run);
            add_stop(&mut stops, link, run);
        }
        self.send_stops(stops);
    }

    fn send_stops(&mut self, stops: Vec<(LinkNo, Vec<RunKey>)>) {
        for (link, runs) in stops {
            let message = PlannerMessage::Stop(runs);
            self.steps.push(PlannerStep::Send { link, message });
        }
    }

    /// Forgets a link; its runs count as gone at a point in time.
    pub(super) fn lose(&mut self, now: Time, link: LinkNo, gone: Time) {
        let Some(upstream) = self.links.remove(&link) else {
            return;
        };
        let mut lost: Vec<(RunKey, u64, usize)> = Vec::new();
        for (&no, job) in &self.jobs {
            let here = job.live().filter(|(_, l)| *l == link);
            let rows = here.filter_map(|(run, _)| Some((run, no, self.runs.get(&run)?.1)));
            lost.extend(rows);
        }
        let event = PlannerEvent::LinkDown {
            runner: upstream.name.clone(),
            silence: now.since(upstream.heard),
            runs: lost.len() as u32,
        };
        self.steps.push(PlannerStep::Log(event));
        for (run, no, place) in lost {
            self.steps.push(PlannerStep::Log(PlannerEvent::RunLost {
                run,
                runner: Some(upstream.name.clone()),
                cause: LossCause::Link,
            }));
            self.runs.remove(&run);
            if let Some(job) = self.jobs.get_mut(&no) {
                job.started.get_or_insert(now);
                job.tasks[place].state = TaskState::Waiting(gone);
            }
        }
        self.changed = true;
    }

    /// Closes links on which nothing is heard.
    fn drop_silent(&mut self, now: Time) {
        let silent = |u: &Upstream| now.since(u.heard) > LINK_SILENCE;
        let rows = self.links.iter().filter(|(_, u)| silent(u));
        let closed: Vec<(LinkNo, Time)> = rows.map(|(&l, u)| (l, u.heard)).collect();
        for (link, heard) in closed {
            self.lose(now, link, heard + LINK_SILENCE + RUN_GONE);
            self.steps.push(PlannerStep::Close(link));
        }
    }

    pub(super) fn send_beats(&mut self) {
        let links: Vec<LinkNo> = self.links.keys().copied().collect();
        for link in links {
            self.send_beat(link);
        }
    }

    pub(super) fn send_beat(&mut self, link: LinkNo) {
        let Some(upstream) = self.links.get_mut(&link) else {
            return;
        };
        if let Some(profile) = self.profiles.get_mut(&upstream.name) {
            profile.seen = upstream.heard;
        }
        let newer = |c: &&chervilring_wire::ConfigCopy| c.version > upstream.version;
        let config = self.config.as_ref().filter(newer).cloned();
        if let Some(config) = &config {
            upstream.version = config.version;
        }
        let message = PlannerMessage::Beat {
            echo: upstream.echo,
            config,
        };
        self.steps.push(PlannerStep::Send { link, message });
    }
}

/// Adds a run to those that are to be stopped over a link.
fn add_stop(stops: &mut Vec<(LinkNo, Vec<RunKey>)>, link: LinkNo, run: RunKey) {
    match stops.iter_mut().find(|(l, _)| *l == link) {
        Some((_, runs)) => runs.push(run),
        None => stops.push((link, vec![run])),
    }
}
