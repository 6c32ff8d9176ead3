//! Callers in closed loops.

use std::thread;
use std::time::{Duration, Instant};

use chervilring_wire::SubmissionId;
use eyre::eyre;
use hdrhistogram::Histogram;
use ureq::Agent;

/// How long a request may take.
const TIMEOUT: Duration = Duration::from_secs(30);

/// The stack of a caller's thread, in bytes.
const STACK: usize = 256 << 10;

/// Significant figures of recorded times.
const FIGURES: u8 = 3;

/// What each caller does.
#[derive(Debug, Clone, Copy)]
pub(super) struct Load {
    /// Callers at once.
    pub(super) callers: usize,
    /// What the upstream sleeps, in milliseconds.
    pub(super) work_ms: u64,
    /// Requests of each caller.
    pub(super) requests: usize,
}

/// Where requests are sent: callers are dealt out over the URLs.
#[derive(Debug)]
pub(super) struct Target {
    urls: Vec<String>,
}

/// What was recorded.
#[derive(Debug)]
pub(super) struct Recorded {
    /// Times beyond the upstream's sleep, in microseconds.
    pub(super) times: Histogram<u64>,
    /// Requests without an answer with success.
    pub(super) failed: u64,
}

impl Target {
    pub(super) fn new(urls: &[String]) -> Self {
        Self {
            urls: urls.to_vec(),
        }
    }
}

impl Load {
    /// Sends some requests of each caller and forgets them.
    pub(super) fn warm_up(self, target: &Target, requests: usize) -> eyre::Result<()> {
        Self { requests, ..self }.run(target).map(drop)
    }

    /// Sends all requests.
    pub(super) fn run(self, target: &Target) -> eyre::Result<Recorded> {
        thread::scope(|scope| {
            let mut callers = Vec::with_capacity(self.callers);
            for index in 0..self.callers {
                let url = &target.urls[index % target.urls.len()];
                let builder = thread::Builder::new().stack_size(STACK);
                callers.push(builder.spawn_scoped(scope, move || self.call(url))?);
            }
            let mut all = Recorded::new()?;
            for caller in callers {
                let recorded = caller.join().map_err(|_| eyre!("a caller panicked"))??;
                all.times.add(recorded.times)?;
                all.failed += recorded.failed;
            }
            Ok(all)
        })
    }

    /// Sends the requests of one caller, one after the other on a kept connection.
    fn call(self, url: &str) -> eyre::Result<Recorded> {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .timeout_global(Some(TIMEOUT))
            .build();
        let agent = Agent::from(config);
        let body = format!("work_ms={}", self.work_ms);
        let work = Duration::from_millis(self.work_ms);
        let mut recorded = Recorded::new()?;
        for _ in 0..self.requests {
            let start = Instant::now();
            let request = agent
                .post(url)
                .header("Idempotency-Key", SubmissionId::generate().to_string());
            let answer = request.send(body.as_bytes()).and_then(|mut response| {
                let success = response.status().is_success();
                response.body_mut().read_to_vec().map(|_| success)
            });
            if matches!(answer, Ok(true)) {
                let beyond = start.elapsed().saturating_sub(work);
                recorded.times.record(beyond.as_micros() as u64)?;
            } else {
                recorded.failed += 1;
            }
        }
        Ok(recorded)
    }
}

impl Recorded {
    fn new() -> eyre::Result<Self> {
        Ok(Self {
            times: Histogram::new(FIGURES)?,
            failed: 0,
        })
    }
}
