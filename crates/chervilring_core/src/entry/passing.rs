//! What became of submissions and queries that were passed to another entry.

use chervilring_wire::{
    CorrelationId, EntryId, Kind, Now, Origin, Reason, Reply, Submission, Verdict,
};

use super::forwards::{Forward, Passed};
use super::held::Held;
use super::intake::{REROUTE, SOON, TAKEOVER};
use super::{Entry, failure};

impl Entry {
    /// Handles the reply of a submission's or query's home.
    pub(super) fn forward_answered(
        &mut self,
        now: Now,
        from: &EntryId,
        ticket: CorrelationId,
        reply: Reply,
    ) {
        let Some(forward) = self.forwards.answered(from, ticket) else {
            self.counters.late += 1;
            return;
        };
        if !is_changing(&reply) {
            return self.reply(forward.caller, reply);
        }
        match forward.passed {
            Passed::Submission(submission) => self.held.add(Held {
                caller: forward.caller,
                submission: *submission,
                deadline: forward.deadline,
                look_at: now.mono + REROUTE,
            }),
            Passed::Query => self.reply(forward.caller, reply),
        }
    }

    /// Answers for a forward whose entry is gone.
    ///
    /// An idempotent request is started here instead, and anything else refused; either may have
    /// run at the entry that is gone.
    pub(super) fn lose_forward(&mut self, now: Now, forward: Forward) {
        let caller = forward.caller.may_have_run();
        if let Passed::Submission(submission) = &forward.passed {
            let deadline = forward.deadline;
            if self.may_take_over(submission) && deadline > now.mono {
                let mut submission = submission.as_ref().clone();
                submission.origin = Origin::Generated;
                submission.id = self.local_id();
                submission.remaining = Some(now.mono.duration_until(deadline));
                return self.admit(now, caller, submission);
            }
        }
        let refusal = failure(Verdict::MayHaveRun, Reason::HomeLost, Some(TAKEOVER));
        self.refuse(caller, refusal);
    }

    /// Returns whether a submission may run again after it may have run.
    fn may_take_over(&self, submission: &Submission) -> bool {
        let service = self.config.services.get(&submission.service);
        let idempotent = service.is_some_and(|service| service.rules.idempotent);
        submission.kind == Kind::Request && idempotent && !submission.strict
    }

    /// Answers for forwards whose reply is overdue.
    pub(super) fn expire_forwards(&mut self, now: Now) {
        for forward in self.forwards.expired(now.mono) {
            if !self.ring().contains(&forward.to) {
                self.lose_forward(now, forward);
                continue;
            }
            let refusal = failure(Verdict::MayHaveRun, Reason::Deadline, Some(SOON));
            self.refuse(forward.caller, refusal);
        }
    }
}

/// Returns whether a reply says that the id's home is changing.
fn is_changing(reply: &Reply) -> bool {
    let Reply::Failed(failure) = reply else {
        return false;
    };
    matches!(failure.reason, Reason::NotHome | Reason::Unavailable)
}
