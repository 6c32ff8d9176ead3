//! Callers: what they submit, when they come back, and what became of it.

use bytes::Bytes;
use chervilring_core::dispatch::Work;
use chervilring_wire::{Failure, Micros, Origin, SubmissionId, TaskOutput, Time};

use super::measure::Ending;
use super::trace::{Arrival, Trace};
use super::world::{Event, WARM_UP, World};

/// How long a caller waits before it comes back when it is not told when.
const COMEBACK: Micros = Micros::from_millis(100);

impl World<'_> {
    pub(super) fn arrive(&mut self, index: usize, round: u32) {
        let arrival = &self.trace.arrivals[index];
        let deployment = &self.trace.head.deployment;
        let entry = (index + round as usize) % self.homes.len();
        let id = id(self.trace, index);
        let mut at = self.now + deployment.caller;
        let mut home = entry;
        if arrival.keyed {
            let member = self.ring.home(id);
            let place = self
                .homes
                .iter()
                .position(|h| member.is_some_and(|m| m.entry == h.id));
            home = place.unwrap_or(entry);
        }
        let forward = if home == entry {
            Micros(0)
        } else {
            deployment.far
        };
        at = at + forward;
        self.tally.forwards += u64::from(home != entry);
        self.fates[index].way = deployment.caller + forward;
        self.at(at, Event::Submit(home, index, round));
        if let Some(cancel) = arrival.cancel {
            self.at(at + cancel, Event::Cancel(home, index));
        }
    }

    pub(super) fn submit(&mut self, home: usize, index: usize, round: u32) {
        let arrival = &self.trace.arrivals[index];
        let work = work(self.trace, index, arrival);
        let refused = self.homes[home].dispatcher.submit(self.now, work);
        match refused {
            Ok(()) => self.fates[index].accepted += 1,
            Err(failure) => {
                self.tally.turned_away += 1;
                let pause = failure.retry_after.unwrap_or(COMEBACK).max(COMEBACK);
                let back = self.now + self.fates[index].way + pause;
                let patient = back < Time(arrival.at.0) + WARM_UP + arrival.patience;
                if round < arrival.again && patient && failure.retry_after.is_some() {
                    self.at(back, Event::Arrive(index, round + 1));
                } else {
                    self.end(index, Ending::Refused(failure));
                }
            }
        }
        self.run_home(home);
    }

    pub(super) fn ended(&mut self, id: SubmissionId, result: Result<Vec<TaskOutput>, Failure>) {
        let Some(&index) = self.ids.get(&id) else {
            return;
        };
        match result {
            Ok(outputs) => {
                let expected = self.trace.arrivals[index].runs.len();
                let whole = outputs.iter().enumerate();
                let mut whole = whole.map(|(i, o)| o.body == format!("{id}/{i}").as_bytes());
                if outputs.len() != expected || !whole.all(|w| w) {
                    self.tally
                        .violations
                        .push(format!("{id} was answered in part"));
                }
                self.end(index, Ending::Complete);
            }
            Err(failure) => self.end(index, Ending::Failed(failure)),
        }
    }

    pub(super) fn end(&mut self, index: usize, ending: Ending) {
        let at = self.now + self.fates[index].way;
        let fate = &mut self.fates[index];
        fate.endings += 1;
        fate.at = Micros(at.0.saturating_sub(WARM_UP.0));
        fate.ending = Some(ending);
    }
}

/// Returns the id of a submission of the trace, stamped with its time.
pub(super) fn id(trace: &Trace, index: usize) -> SubmissionId {
    let stamp = u128::from(trace.arrivals[index].at.0 / 1_000 + 1);
    let spread = (index as u128 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15_F39C_C060_5CED_C835);
    let low = spread >> 66;
    SubmissionId(stamp << 80 | 0x7 << 76 | 0b10 << 62 | low)
}

/// Returns the work that a submission of the trace is.
fn work(trace: &Trace, index: usize, arrival: &Arrival) -> Work {
    let service = arrival.service.as_ref();
    let body = Bytes::from(vec![0; arrival.declared as usize]);
    Work {
        id: id(trace, index),
        origin: if arrival.keyed {
            Origin::ClientKey
        } else {
            Origin::Generated
        },
        kind: arrival.kind,
        service: (&**service.unwrap_or(&trace.head.deployment.service)).into(),
        team: arrival.team.clone(),
        idempotent: arrival.idempotent,
        deadline: Time(arrival.at.0) + WARM_UP + arrival.patience,
        media: "application/octet-stream".into(),
        bodies: arrival.runs.iter().map(|_| body.clone()).collect(),
    }
}
