//! Queries about an id: show, wait, cancel.

use chervilring_wire::{
    CorrelationId, EntryId, Micros, Now, Origin, PeerMessage, Progress, Query, Reason, Reply,
    SubmissionId, Time, Verdict,
};

use super::forwards::{Forward, Passed};
use super::ids::Known;
use super::waits::Caller;
use super::{Entry, EntryStep, failure};
use crate::membership::{HomeLocation, IdStatus};

/// How long the home of an id may take to answer a query, beside the span it was told to wait.
const QUERY_DEADLINE: Micros = Micros::from_secs(5);

/// When to ask again while the home of an id changes.
const ASK_AGAIN: Micros = Micros::from_secs(2);

impl Entry {
    /// Takes a query from a caller connected to this entry.
    pub fn query(&mut self, now: Now, ticket: CorrelationId, id: SubmissionId, query: Query) {
        let caller = Caller::local(ticket);
        // An id made up here is not on the ring: its tasks run where it arrived.
        if self.ids.get(id).is_some() {
            return self.answer_query(now, caller, id, query);
        }
        match self.membership.locate_home(id) {
            HomeLocation::Local => self.answer_query(now, caller, id, query),
            HomeLocation::Remote(home) if self.peers.is_up(&home.entry) => {
                self.forward_query(now, caller, home.entry, id, query);
            }
            HomeLocation::Remote(_) | HomeLocation::Unknown => {
                let refusal = failure(Verdict::MayHaveRun, Reason::Unavailable, Some(ASK_AGAIN));
                self.refuse(caller, refusal);
            }
        }
    }

    /// Takes a query that another entry passes to the home of the id.
    pub(super) fn query_from_peer(
        &mut self,
        now: Now,
        entry: &EntryId,
        ticket: CorrelationId,
        id: SubmissionId,
        query: Query,
    ) {
        let caller = Caller::peer(entry, ticket);
        self.answer_query(now, caller, id, query);
    }

    fn forward_query(
        &mut self,
        now: Now,
        caller: Caller,
        to: EntryId,
        id: SubmissionId,
        query: Query,
    ) {
        let span = match query {
            Query::Wait(span) => span,
            Query::Status | Query::Cancel => Micros(0),
        };
        let deadline = now.mono + span + QUERY_DEADLINE;
        let ticket = self.forwards.add(Forward {
            caller,
            to: to.clone(),
            passed: Passed::Query,
            deadline,
            until: deadline,
        });
        let message = PeerMessage::Query {
            correlation: ticket,
            id,
            query,
        };
        self.steps.push(EntryStep::Peer { to, message });
    }

    fn answer_query(&mut self, now: Now, caller: Caller, id: SubmissionId, query: Query) {
        match self.ids.get(id) {
            Some((_, Known::Running)) => self.query_running(now, caller, id, query),
            Some((_, Known::Ended(reply))) => {
                let reply = self.told(now, id, reply.clone());
                self.reply(caller, reply);
            }
            Some((_, Known::Gone)) => {
                let refusal = failure(Verdict::MayHaveRun, Reason::AnswerGone, None);
                self.refuse(caller, refusal);
            }
            None => self.query_unknown(now, caller, id),
        }
    }

    fn query_running(&mut self, now: Now, caller: Caller, id: SubmissionId, query: Query) {
        match query {
            Query::Status => {
                let progress = self.dispatcher.progress(id);
                let progress = progress.unwrap_or(Progress { done: 0, total: 0 });
                self.reply(caller, Reply::Pending(progress));
            }
            Query::Wait(span) => self.waits.add(id, caller, now.mono + span),
            Query::Cancel => {
                self.waits.add(id, caller, Time::NEVER);
                self.dispatcher.cancel(now.mono, id);
            }
        }
    }

    /// Answers for an id that is not in the table: whether it may have been used elsewhere.
    fn query_unknown(&mut self, now: Now, caller: Caller, id: SubmissionId) {
        let refusal = match self.membership.id_status(now, id) {
            IdStatus::NotStarted => {
                let verdict = self.verdict(now, Origin::ClientKey, Verdict::NotRun);
                failure(verdict, Reason::UnknownId, None)
            }
            IdStatus::Wait(look_at) => {
                let retry = now.mono.duration_until(look_at);
                failure(Verdict::MayHaveRun, Reason::Unavailable, Some(retry))
            }
            IdStatus::MayHaveRun => failure(Verdict::MayHaveRun, Reason::HomeLost, None),
        };
        self.refuse(caller, refusal);
    }
}
