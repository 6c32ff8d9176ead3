//! Verdicts under the upstream's faults.

use std::time::{Duration, Instant};

use chervilring_dev::upstream::Faults;
use chervilring_wire::{EntryMessage, Micros, Reason, TaskOutcome, Verdict};

use crate::fake_entry::until;
use crate::worker::Worker;

const LONG: Micros = Micros::from_secs(25);

fn failed(outcome: &TaskOutcome) -> (Verdict, Reason) {
    match outcome {
        TaskOutcome::Failed(failure) => (failure.verdict, failure.reason),
        TaskOutcome::Done(output) => panic!("an output: {output:?}"),
    }
}

#[test]
fn an_answer_is_whole_and_the_task_s_own() {
    let mut worker = Worker::start(8);
    let body = r#"{"part":"front wheel","work_ms":5}"#;
    let keys: Vec<_> = (1..=20)
        .map(|n| worker.entry.start(n, body, LONG))
        .collect();
    for key in keys {
        let TaskOutcome::Done(output) = worker.entry.answer(key) else {
            panic!("{key} failed");
        };
        let text = String::from_utf8_lossy(&output.body);
        let own = format!("\"task\":\"{}/{}\"", key.submission, key.index);
        assert_eq!((output.status, &*output.media), (200, "application/json"));
        assert!(
            text.contains(&own) && text.contains("front wheel"),
            "{text}"
        );
    }
    let counts = worker.upstream.counts();
    assert_eq!((counts.total, counts.repeated().count()), (20, 0));
    assert!(counts.most <= 8, "{} at once", counts.most);
}

#[test]
fn verdicts_are_true_to_what_the_upstream_did() {
    let mut worker = Worker::start(8);
    let none = Faults::default;
    let cases = [
        (
            Faults {
                fail: true,
                ..none()
            },
            1,
            (Verdict::Ran, Reason::UpstreamFailed),
        ),
        (
            Faults {
                refuse: true,
                ..none()
            },
            0,
            (Verdict::NotRun, Reason::Busy),
        ),
        (
            Faults {
                drop: true,
                ..none()
            },
            1,
            (Verdict::MayHaveRun, Reason::UpstreamLost),
        ),
        (
            Faults {
                cut: true,
                ..none()
            },
            1,
            (Verdict::MayHaveRun, Reason::UpstreamLost),
        ),
        (
            Faults {
                hang: true,
                ..none()
            },
            1,
            (Verdict::MayHaveRun, Reason::Deadline),
        ),
    ];
    for (n, (faults, starts, expected)) in (1..).zip(cases) {
        let before = worker.upstream.counts().total;
        // Only the hanging one is to run into its deadline.
        let remaining = if faults.hang {
            Micros::from_secs(2)
        } else {
            LONG
        };
        worker.upstream.set_faults(faults.clone());
        let key = worker.entry.start(n, "{}", remaining);
        let outcome = worker.entry.answer(key);
        assert_eq!(failed(&outcome), expected, "{faults:?}");
        assert_eq!(
            worker.upstream.counts().total - before,
            starts,
            "{faults:?}"
        );
    }
    worker.upstream.die();
    let key = worker.entry.start(99, "{}", LONG);
    let (verdict, _) = failed(&worker.entry.answer(key));
    assert_eq!(verdict, Verdict::NotRun);
}

#[test]
fn a_cancelled_task_frees_its_slot_at_once() {
    let mut worker = Worker::start(1);
    worker.upstream.set_faults(Faults {
        hang: true,
        ..Faults::default()
    });
    let hung = worker.entry.start(1, "{}", LONG);
    until("the task runs", || worker.upstream.counts().running == 1);
    let queued = worker.entry.start(2, "{}", LONG);
    until("the other waits", || worker.status()["waiting"] == 1);
    let start = Instant::now();
    worker.entry.send(&EntryMessage::Cancel(vec![hung]));
    let outcome = worker.entry.answer(hung);
    assert_eq!(failed(&outcome), (Verdict::MayHaveRun, Reason::Cancelled));
    until("the other runs", || worker.upstream.counts().total == 2);
    assert!(
        start.elapsed() < Duration::from_secs(20),
        "long before its deadline"
    );
    worker.upstream.set_faults(Faults::default());
    assert!(matches!(worker.entry.answer(queued), TaskOutcome::Done(_)));
}

#[test]
fn answers_survive_a_cut_link() {
    let mut worker = Worker::start(8);
    let key = worker.entry.start(1, r#"{"work_ms":300}"#, LONG);
    until("the task runs", || worker.upstream.counts().total == 1);
    worker.entry.cut();
    worker.entry.accept();
    assert!(matches!(worker.entry.answer(key), TaskOutcome::Done(_)));
    until("the answer is confirmed", || {
        worker.status()["unconfirmed"] == 0
    });
    assert_eq!(worker.upstream.counts().total, 1);
}

#[test]
fn a_paused_agent_starts_nothing_past_its_deadline() {
    let mut worker = Worker::start(1);
    worker.entry.start(1, r#"{"work_ms":200}"#, LONG);
    until("the task runs", || worker.upstream.counts().total == 1);
    let queued = worker.entry.start(2, "{}", Micros::from_secs(1));
    until("the other waits", || worker.status()["waiting"] == 1);
    worker.agent.pause();
    let sent = worker.entry.start(3, "{}", Micros::from_secs(1));
    // The pause itself is what is tested: it must be longer than the deadlines.
    std::thread::sleep(Duration::from_secs(2));
    worker.agent.resume();
    for key in [queued, sent] {
        let outcome = worker.entry.answer(key);
        assert_eq!(failed(&outcome), (Verdict::NotRun, Reason::Deadline));
    }
    assert_eq!(worker.upstream.counts().total, 1);
}
