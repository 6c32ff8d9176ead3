//! Each caller gets the whole answer to its own request.

use chervilring_wire::{Failure, Micros, Origin, Reason, Reply, Verdict};

use crate::fixture::{BODY, Fixture, echo};

const PATH: &str = "/v1/services/parts/requests";

#[test]
fn request_gets_the_upstreams_answer() {
    let fixture = Fixture::start();
    let mut client = fixture.connect();
    let headers = "Content-Type: text/x\r\nIdempotency-Key: \"k1\"\r\nChervilring-Team: ops\r\n\
                   Chervilring-Timeout-Ms: 1500\r\nChervilring-Idempotent: no\r\n";
    client.request("POST", PATH, headers, b"wheel");
    let (ticket, submission) = fixture.submission();
    assert_eq!(submission.service.as_str(), "parts");
    assert_eq!(submission.team.as_str(), "ops");
    assert_eq!(submission.remaining, Some(Micros::from_millis(1_500)));
    assert_eq!(submission.origin, Origin::ClientKey);
    assert!(submission.strict);
    fixture.api.reply(ticket, echo(&submission));
    let answer = client.answer().unwrap();
    assert_eq!((answer.status, &*answer.body), (200, &b"wheel"[..]));
    assert_eq!(answer.header("Content-Type"), Some("text/x"));
    assert_eq!(answer.header("Chervilring-Verdict"), Some("ran"));
    let id = submission.id.to_string();
    assert_eq!(answer.header("Chervilring-Id"), Some(&*id));
}

#[test]
fn large_body_and_answer_are_whole() {
    let fixture = Fixture::start();
    let mut client = fixture.connect();
    let body: Vec<u8> = (0..BODY).map(|i| (i * 7) as u8).collect();
    for _ in 0..3 {
        client.request("POST", PATH, "", &body);
        fixture.echo();
        assert!(client.answer().unwrap().body == body);
    }
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let fixture = Fixture::start();
    let mut first = fixture.connect();
    for index in 0..50_u8 {
        first.request("POST", PATH, "", &[index]);
    }
    // While the first is not answered, others are.
    let (ticket, submission) = fixture.submission();
    assert_eq!(&*submission.bodies[0], [0]);
    let mut second = fixture.connect();
    second.request("POST", PATH, "", b"other");
    fixture.echo();
    assert_eq!(second.answer().unwrap().body, b"other");
    fixture.api.reply(ticket, echo(&submission));
    for index in 0..50_u8 {
        if index > 0 {
            fixture.echo();
        }
        assert_eq!(first.answer().unwrap().body, [index]);
    }
}

#[test]
fn late_and_doubled_replies_reach_nobody_else() {
    let fixture = Fixture::start();
    let mut clients: Vec<_> = (0..8_u8).map(|i| (i, fixture.connect())).collect();
    for (index, client) in &mut clients {
        client.request("POST", PATH, "", &[*index]);
    }
    let mut asked: Vec<_> = (0..8).map(|_| fixture.submission()).collect();
    asked.reverse();
    for (ticket, submission) in &asked {
        fixture.api.reply(*ticket, echo(submission));
        fixture.api.reply(*ticket, Reply::Complete(Vec::new()));
    }
    for (index, client) in &mut clients {
        assert_eq!(client.answer().unwrap().body, [*index]);
    }
}

#[test]
fn failures_are_problem_details() {
    let expected = [
        (Reason::UnknownService, 404),
        (Reason::IdReused, 409),
        (Reason::AnswerGone, 410),
        (Reason::TooLarge, 413),
        (Reason::Quota, 429),
        (Reason::UpstreamLost, 502),
        (Reason::Overload, 503),
        (Reason::Deadline, 504),
    ];
    let fixture = Fixture::start();
    let mut client = fixture.connect();
    for (reason, status) in expected {
        client.request("POST", PATH, "", b"x");
        let failure = Failure {
            verdict: Verdict::MayHaveRun,
            reason,
            retry_after: Some(Micros::from_millis(1_200)),
        };
        let (ticket, submission) = fixture.submission();
        fixture.api.reply(ticket, Reply::Failed(failure));
        let answer = client.answer().unwrap();
        assert_eq!(answer.status, status, "{reason:?}");
        let media = answer.header("Content-Type");
        assert_eq!(media, Some("application/problem+json"));
        assert_eq!(answer.header("Retry-After"), Some("2"));
        let problem = answer.json();
        assert_eq!(problem["verdict"], "may-have-run");
        assert_eq!(problem["status"], status);
        assert_eq!(problem["retry_after_ms"], 1_200);
        assert_eq!(problem["id"], submission.id.to_string());
    }
}
