//! The way of a submission: to its home, through the checks, into the queues.

use chervilring_wire::{
    CorrelationId, EntryId, Failure, Micros, Now, Origin, PeerMessage, Reason, Submission, Time,
    Verdict,
};

use super::forwards::{Forward, Passed};
use super::held::Held;
use super::ids::Known;
use super::waits::Caller;
use super::{Entry, EntryStep, failure};
use crate::dispatch::Work;
use crate::membership::{HomeLocation, IdStatus};

/// When a submission that met a changing ring is routed again.
pub(super) const REROUTE: Micros = Micros::from_millis(50);

/// How long submissions are queued while no work may start, before they are refused.
const HOLD: Micros = Micros::from_secs(1);

/// When to come back after the home of an id was lost.
pub(super) const TAKEOVER: Micros = Micros::from_secs(10);

/// When to come back where the state is likely to pass soon.
pub(super) const SOON: Micros = Micros::from_secs(1);

/// How much later than the caller's deadline another entry's reply is still awaited, so that its
/// verdict wins over ours.
const REPLY_GRACE: Micros = Micros::from_millis(50);

/// The deadline of a submission to a service that is not known here.
const FALLBACK_DEADLINE: Micros = Micros::from_secs(5);

impl Entry {
    /// Takes a submission from a caller connected to this entry.
    pub fn submit(&mut self, now: Now, ticket: CorrelationId, submission: Submission) {
        self.counters.submitted += 1;
        self.route(now, Caller::local(ticket), submission);
    }

    /// Takes a submission that another entry passes to its home.
    pub(super) fn submit_from_peer(
        &mut self,
        now: Now,
        entry: &EntryId,
        ticket: CorrelationId,
        submission: Submission,
    ) {
        let caller = Caller::peer(entry, ticket);
        match self.membership.locate_home(submission.id) {
            _ if self.ids.get(submission.id).is_some() => self.admit(now, caller, submission),
            HomeLocation::Local => self.admit(now, caller, submission),
            // The rings differ for a moment: the other entry looks again rather than a second hop.
            HomeLocation::Remote(_) | HomeLocation::Unknown => {
                let refusal = failure(Verdict::MayHaveRun, Reason::NotHome, Some(SOON));
                self.refuse(caller, refusal);
            }
        }
    }

    /// Brings a submission to its home.
    pub(super) fn route(&mut self, now: Now, caller: Caller, submission: Submission) {
        // An id that has moved on is answered here as long as it is known.
        if submission.origin == Origin::Generated || self.ids.get(submission.id).is_some() {
            return self.admit(now, caller, submission);
        }
        match self.membership.locate_home(submission.id) {
            HomeLocation::Local => self.admit(now, caller, submission),
            HomeLocation::Remote(home) if self.peers.is_up(&home.entry) => {
                self.forward(now, caller, home.entry, submission);
            }
            HomeLocation::Remote(home) if self.peers.is_awaited(now.mono, &home.entry) => {
                self.hold(now, caller, submission, now.mono + REROUTE);
            }
            HomeLocation::Remote(_) | HomeLocation::Unknown => {
                // Only the home can say that an id was not used before.
                let refusal = failure(Verdict::MayHaveRun, Reason::Unavailable, Some(SOON));
                self.refuse(caller, refusal);
            }
        }
    }

    fn forward(&mut self, now: Now, caller: Caller, to: EntryId, submission: Submission) {
        self.counters.forwarded += 1;
        let deadline = self.deadline(now.mono, &submission);
        let ticket = self.forwards.add(Forward {
            caller,
            to: to.clone(),
            passed: Passed::Submission(Box::new(submission.clone())),
            deadline,
            until: deadline + REPLY_GRACE,
        });
        let submission = Box::new(submission);
        let message = PeerMessage::Submit {
            correlation: ticket,
            submission,
        };
        self.steps.push(EntryStep::Peer { to, message });
    }

    /// Returns the point in time until which a submission is to be answered.
    fn deadline(&self, now: Time, submission: &Submission) -> Time {
        let rule = || {
            let service = self.config.services.get(&submission.service);
            service.map_or(FALLBACK_DEADLINE, |service| service.rules.deadline)
        };
        now + submission.remaining.unwrap_or_else(rule)
    }

    /// Takes a submission at its home: joins a known one or checks and queues a new one.
    pub(super) fn admit(&mut self, now: Now, caller: Caller, submission: Submission) {
        let id = submission.id;
        let Some((fingerprint, known)) = self.ids.get(id) else {
            return self.admit_new(now, caller, submission);
        };
        self.counters.resubmitted += 1;
        if fingerprint != submission.fingerprint {
            let refusal = failure(Verdict::NotRun, Reason::IdReused, None);
            return self.refuse(caller, refusal);
        }
        match known {
            Known::Running => {
                let until = submission.wait.map_or(Time::NEVER, |wait| now.mono + wait);
                self.waits.add(id, caller, until);
            }
            Known::Ended(reply) => {
                let reply = self.told(now, id, reply.clone());
                self.reply(caller, reply);
            }
            Known::Gone => {
                let refusal = failure(Verdict::MayHaveRun, Reason::AnswerGone, None);
                self.refuse(caller, refusal);
            }
        }
    }

    fn admit_new(&mut self, now: Now, caller: Caller, submission: Submission) {
        if self.stopping {
            let refusal = failure(unknown(&submission), Reason::Unavailable, Some(SOON));
            return self.refuse(caller, refusal);
        }
        let checked = self.check_id(now, &submission);
        match checked {
            Ok(None) => self.queue(now, caller, &submission),
            Ok(Some(look_at)) => self.hold(now, caller, submission, look_at),
            Err(refusal) => self.refuse_new(now, caller, submission.origin, &refusal),
        }
    }

    /// Checks that the id was never started, here or at an earlier home. Returns when to look again
    /// where that is not settled yet.
    fn check_id(&mut self, now: Now, submission: &Submission) -> Result<Option<Time>, Failure> {
        if submission.origin == Origin::Generated {
            return Ok(None);
        }
        let checked = self.ids.check_new(now, submission.id);
        let status = self.membership.id_status(now, submission.id);
        if let Err(refusal) = checked {
            let verdict = refusal.verdict.max(least_verdict(&status));
            return Err(Failure { verdict, ..refusal });
        }
        match status {
            IdStatus::NotStarted => Ok(None),
            IdStatus::Wait(look_at) => Ok(Some(look_at)),
            IdStatus::MayHaveRun => Err(failure(Verdict::MayHaveRun, Reason::HomeLost, None)),
        }
    }

    /// Keeps a submission until its home is settled, or refuses it at once when that comes too late.
    fn hold(&mut self, now: Now, caller: Caller, submission: Submission, look_at: Time) {
        let deadline = self.deadline(now.mono, &submission);
        if look_at >= deadline || self.held.len() >= self.limits.held {
            let retry = now.mono.duration_until(look_at);
            let verdict = unknown(&submission);
            return self.refuse(caller, failure(verdict, Reason::Unavailable, Some(retry)));
        }
        self.held.add(Held {
            caller,
            submission,
            deadline,
            look_at: look_at.max(now.mono + Micros(1)),
        });
    }

    /// Routes held submissions again when they are due.
    pub(super) fn retry_held(&mut self, now: Now) {
        for mut held in self.held.due(now.mono) {
            let left = now.mono.duration_until(held.deadline);
            if left == Micros(0) {
                let verdict = unknown(&held.submission);
                let refusal = failure(verdict, Reason::Unavailable, Some(SOON));
                self.refuse(held.caller, refusal);
                continue;
            }
            held.submission.remaining = Some(left);
            self.route(now, held.caller, held.submission);
        }
    }

    /// Puts a new submission into the queues.
    fn queue(&mut self, now: Now, caller: Caller, submission: &Submission) {
        match self.check_service(now, submission) {
            Ok(work) => {
                let id = work.id;
                if let Err(refusal) = self.dispatcher.submit(now.mono, work) {
                    return self.refuse_new(now, caller, submission.origin, &refusal);
                }
                self.ids
                    .insert(now, id, submission.fingerprint, submission.origin);
                if submission.origin == Origin::ClientKey {
                    self.membership.record_started(id);
                }
                let until = submission.wait.map_or(Time::NEVER, |wait| now.mono + wait);
                self.waits.add(id, caller, until);
            }
            Err(refusal) => self.refuse_new(now, caller, submission.origin, &refusal),
        }
    }

    /// Refuses a submission that is not in the table.
    fn refuse_new(&mut self, now: Now, caller: Caller, origin: Origin, refusal: &Failure) {
        let verdict = self.verdict(now, origin, refusal.verdict);
        self.refuse(
            caller,
            Failure {
                verdict,
                ..refusal.clone()
            },
        );
    }

    /// Returns the verdict that this entry may give: an entry without authority cannot say that an
    /// id did not run, for it may have another home by now.
    pub(super) fn verdict(&self, now: Now, origin: Origin, verdict: Verdict) -> Verdict {
        let known = origin == Origin::Generated || self.membership.authority(now).is_some();
        if known {
            verdict
        } else {
            verdict.max(Verdict::MayHaveRun)
        }
    }

    /// Checks a submission against its service and turns it into work.
    fn check_service(&mut self, now: Now, submission: &Submission) -> Result<Work, Failure> {
        let Some(service) = self.config.services.get(&submission.service).cloned() else {
            return Err(failure(Verdict::NotRun, Reason::UnknownService, None));
        };
        let limits = &service.limits;
        let too_large = submission.bodies.len() > limits.tasks as usize
            || submission
                .bodies
                .iter()
                .any(|body| body.len() as u64 > limits.body_bytes);
        if too_large {
            return Err(failure(Verdict::NotRun, Reason::TooLarge, None));
        }
        self.check_authority(now)?;
        Ok(Work {
            id: submission.id,
            origin: submission.origin,
            kind: submission.kind,
            service: submission.service.clone(),
            team: submission.team.clone(),
            idempotent: service.rules.idempotent && !submission.strict,
            deadline: self.deadline(now.mono, submission),
            media: submission.media.clone(),
            bodies: submission.bodies.clone(),
        })
    }

    /// Refuses work once this entry has been without authority for a while; until then it queues.
    fn check_authority(&mut self, now: Now) -> Result<(), Failure> {
        if self.membership.authority(now).is_some() {
            self.hold_until = None;
            return Ok(());
        }
        let until = *self.hold_until.get_or_insert(now.mono + HOLD);
        if now.mono < until {
            return Ok(());
        }
        Err(failure(Verdict::NotRun, Reason::NoAuthority, Some(SOON)))
    }
}

/// Returns the verdict on a submission whose id could not be looked up.
fn unknown(submission: &Submission) -> Verdict {
    match submission.origin {
        Origin::ClientKey => Verdict::MayHaveRun,
        Origin::Generated => Verdict::NotRun,
    }
}

/// Returns the least verdict on an id that is refused before it is started here: one that is not
/// settled may have run at a former home.
fn least_verdict(status: &IdStatus) -> Verdict {
    match status {
        IdStatus::NotStarted => Verdict::NotRun,
        IdStatus::Wait(_) | IdStatus::MayHaveRun => Verdict::MayHaveRun,
    }
}
