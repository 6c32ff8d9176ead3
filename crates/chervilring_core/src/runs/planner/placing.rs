//! Placing the tasks of jobs on upstreams.

use chervilring_wire::{
    Micros, Name, PlannerMessage, QueuedRuns, Resources, RunKey, StartRuns, Time, UpstreamState,
};

use super::event::PlannerEvent;
use super::job::{Job, Step, TaskState};
use super::links::LinkNo;
use super::placement::{Choice, Offer, Wish, choose};
use super::state::{Planner, PlannerStep};
use super::upstream::wait;
use crate::runs::speed::expected_run_time;

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
struct Slot<'a> {
    link: LinkNo,
    name: &'a Name,
    state: &'a UpstreamState,
    /// What is asked of it beyond what runs, and goes first.
    asked: Resources,
    run: Micros,
    /// How many more runs it may be sent.
    room: u32,
}

impl Slot<'_> {
    /// Returns what it offers to a task that must not go to an upstream of a name.
    fn offer(&self, demand: &Resources, avoid: Option<&Name>) -> Offer {
        let asked = self.asked.saturating_add(demand);
        let all = self.state.capacity.cpu.max(1) as f64;
        // A runner keeps no longer a queue than its upstream holds at once.
        let queue = asked.saturating_sub(&self.state.free);
        let full = !self.state.capacity.can_fit(&queue);
        Offer {
            run: self.run,
            wait: wait(self.state, &asked),
            open: self.room > 0 && avoid != Some(self.name),
            full,
            free: (self.state.free.cpu as f64 - self.asked.cpu as f64) / all,
        }
    }
}

impl Planner {
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

    /// Returns whether no upstream of its service, of those that are known, could ever run a task of a
    /// job.
    pub(super) fn is_unfit(&self, no: u64) -> bool {
        let Some(job) = self.jobs.get(&no) else {
            return false;
        };
        let service = job.new.route.service.as_str();
        let open = self.links.values().filter(|u| u.does(service));
        let states: Vec<&UpstreamState> = open
            .filter_map(|u| u.state.as_ref().map(|(s, _)| s))
            .collect();
        let unfit = |step: &Step| !states.iter().any(|s| could_run(s, step));
        !states.is_empty() && job.new.steps.iter().any(unfit)
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
        // Its own source of chance, as the tables stay borrowed below.
        let mut random = self.random.fork();
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
            let others = slots.iter().any(|s| s.room > 0 && Some(s.name) != avoid);
            offers.clear();
            offers.extend(
                slots
                    .iter()
                    .map(|s| s.offer(&row.demand, avoid.filter(|_| others))),
            );
            let Choice::Take(place) = choose(&offers, &wish, || random.f64()) else {
                left += 1;
                continue;
            };
            let slot = &mut slots[place];
            slot.room -= 1;
            slot.asked = slot.asked.saturating_add(&row.demand);
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
    fn slots<'a>(&'a self, now: Time, job: &Job, step: usize) -> Vec<Slot<'a>> {
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
            if !could_run(state, row) {
                continue;
            }
            let mut room = u32::MAX;
            if let Some(limit) = profile.health.limit(now) {
                room = room.min(limit.saturating_sub(upstream.runs));
            }
            if let Some(spread) = row.spread {
                room = room.min(spread.saturating_sub(job.there(step, link)));
            }
            let mut run = expected_run_time(state.speed, row.size);
            let latest = job.latest(now, run);
            let patience = now.duration_until(latest);
            if row.rack.as_ref().is_some_and(|r| !state.labels.contains(r)) {
                run = Micros((run.0 as f64 * self.settings.far) as u64);
            }
            slots.push(Slot {
                link,
                name: &upstream.name,
                state,
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
        let (demand, size) = (job.new.steps[step].demand, job.new.steps[step].size);
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
                took = took.saturating_add(&demand);
                let run = job.run(task);
                self.runs.insert(run, (no, task));
                runs.push(run);
            }
            job.starts += runs.len() as u32;
            if let Some((_, at)) = &upstream.state {
                age = age.max(now.duration_since(*at));
            }
            shown.push((place.name, runs.len() as u32));
            let latest = job.latest(now, place.run);
            let patience = now.duration_until(latest);
            let took = QueuedRuns {
                queue_timeout: patience,
                demand: took,
            };
            let number = upstream.sent(took, runs.len() as u32);
            let message = PlannerMessage::Start(StartRuns {
                seq: number,
                service: job.new.route.service.clone(),
                spec: job.new.spec.clone(),
                demand,
                declared_runtime: size,
                queue_timeout: patience,
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
            wait: now.duration_since(job.arrived),
            age,
            waiting,
        };
        self.steps.push(PlannerStep::Log(event));
    }
}

/// Returns whether an upstream could run a task of a step if nothing else ran there.
fn could_run(state: &UpstreamState, step: &Step) -> bool {
    let labelled = step.label.as_ref().is_none_or(|l| state.labels.contains(l));
    labelled && state.capacity.can_fit(&step.demand)
}
