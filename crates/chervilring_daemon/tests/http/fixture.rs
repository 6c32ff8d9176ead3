//! A running interface whose events the test answers.

use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use bytes::Bytes;
use chervilring_daemon::http::{CallerApi, CallerEvent, CallerSettings, ServerSettings};
use chervilring_daemon::log;
use chervilring_daemon::metrics::Metrics;
use chervilring_wire::{CorrelationId, Reply, Submission, TaskOutput};

use crate::client::Client;

/// How long any state is waited for.
pub(crate) const BOUND: Duration = Duration::from_secs(20);

/// The longest body that the interface under test takes, in bytes.
pub(crate) const BODY: usize = 1 << 20;

pub(crate) struct Fixture {
    pub(crate) api: CallerApi,
    pub(crate) metrics: Metrics,
    events: Receiver<CallerEvent>,
}

impl Fixture {
    pub(crate) fn start() -> Self {
        Self::with(Duration::from_mins(1), 1_000)
    }

    /// Starts with connections that are closed when idle, and a limit of waiting callers.
    pub(crate) fn with(idle: Duration, callers: usize) -> Self {
        let addr = "127.0.0.1:0".parse().unwrap();
        let settings = CallerSettings {
            server: ServerSettings::new(addr, BODY).idle(idle),
            callers,
        };
        let metrics = Metrics::new().unwrap();
        let (sender, events) = channel();
        let api = CallerApi::start(settings, &metrics, log::silent(), move |event| {
            // The test may have ended and not read on.
            let _ = sender.send(event);
        })
        .unwrap();
        Self {
            api,
            metrics,
            events,
        }
    }

    pub(crate) fn connect(&self) -> Client {
        Client::connect(self.api.addr().unwrap())
    }

    /// Returns the next submission.
    pub(crate) fn submission(&self) -> (CorrelationId, Submission) {
        match self.events.recv_timeout(BOUND).unwrap() {
            CallerEvent::Submit { ticket, submission } => (ticket, *submission),
            event => panic!("a submission was expected: {event:?}"),
        }
    }

    /// Answers the next submission with its own bodies.
    pub(crate) fn echo(&self) {
        let (ticket, submission) = self.submission();
        self.api.reply(ticket, echo(&submission));
    }

    pub(crate) fn assert_alive(&self) {
        let answer = self.connect().call("GET", "/healthz", "", b"");
        assert_eq!(answer.status, 200);
    }
}

/// Returns the reply with the submission's own bodies.
pub(crate) fn echo(submission: &Submission) -> Reply {
    let output = |body: &Bytes| TaskOutput {
        status: 200,
        media: submission.media.clone(),
        body: body.clone(),
    };
    Reply::Complete(submission.bodies.iter().map(output).collect())
}
