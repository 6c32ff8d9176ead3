//! Jobs as JSON documents.

use chervilring_wire::{Kind, Micros, Progress, Reply, SubmissionId};

use crate::fixture::{Fixture, echo};

const ID: &str = "0198f3a2-7c1e-7000-8000-000000000001";

#[test]
fn job_is_answered_whole() {
    let fixture = Fixture::start();
    let mut client = fixture.connect();
    let job = br#"{"service":"parts","team":"ops","timeout_ms":9000,"tasks":[{"a": 1},"b",[2]]}"#;
    client.request("PUT", &format!("/v1/jobs/{ID}"), "Prefer: wait=5\r\n", job);
    let (ticket, submission) = fixture.submission();
    assert_eq!(submission.id, SubmissionId::from_key(ID));
    assert_eq!(submission.kind, Kind::Job);
    assert_eq!(submission.wait, Some(Micros::from_secs(5)));
    assert_eq!(submission.remaining, Some(Micros::from_secs(9)));
    assert_eq!(submission.bodies, [r#"{"a": 1}"#, r#""b""#, "[2]"]);
    fixture.api.reply(ticket, echo(&submission));
    let answer = client.answer().unwrap();
    assert_eq!(answer.status, 200);
    let document = answer.json();
    assert_eq!(document["state"], "complete");
    assert_eq!(document["tasks"][0]["json"]["a"], 1);
    assert_eq!(document["tasks"][2]["json"][0], 2);
}

#[test]
fn job_without_wait_is_accepted() {
    let fixture = Fixture::start();
    let mut client = fixture.connect();
    let job = br#"{"service":"parts","encoding":"base64","tasks":["AAEC"]}"#;
    client.request("PUT", &format!("/v1/jobs/{ID}"), "", job);
    let (ticket, submission) = fixture.submission();
    assert_eq!(submission.wait, Some(Micros(0)));
    assert_eq!(&*submission.bodies[0], [0, 1, 2]);
    let progress = Progress { done: 0, total: 1 };
    fixture.api.reply(ticket, Reply::Pending(progress));
    let answer = client.answer().unwrap();
    assert_eq!(answer.status, 202);
    let location = format!("/v1/jobs/{ID}");
    assert_eq!(answer.header("Location"), Some(&*location));
}

#[test]
fn fingerprint_tells_submissions_apart() {
    let fixture = Fixture::start();
    let mut client = fixture.connect();
    let mut fingerprint = |job: &str| {
        client.request("PUT", "/v1/jobs/j", "", job.as_bytes());
        let (ticket, submission) = fixture.submission();
        fixture.api.reply(ticket, echo(&submission));
        assert_eq!(client.answer().unwrap().status, 200);
        submission.fingerprint
    };
    let first = fingerprint(r#"{"service":"a","tasks":[1,2]}"#);
    assert_eq!(
        first,
        fingerprint(r#"{"service":"a","timeout_ms":5,"tasks":[1,2]}"#)
    );
    let others = [
        r#"{"service":"a","tasks":[12]}"#,
        r#"{"service":"b","tasks":[1,2]}"#,
        r#"{"service":"a","tasks":[2,1]}"#,
        r#"{"service":"a","team":"t","tasks":[1,2]}"#,
        r#"{"service":"a","strict":true,"tasks":[1,2]}"#,
    ];
    for other in others {
        assert_ne!(first, fingerprint(other), "{other}");
    }
}

#[test]
fn bad_documents_are_explained() {
    let fixture = Fixture::start();
    let mut client = fixture.connect();
    let bad = [
        ("{", "EOF"),
        (r#"{"service":"a"}"#, "tasks"),
        (r#"{"service":"a","tasks":[]}"#, "tasks"),
        (r#"{"service":"a","tasks":[1],"dedline":1}"#, "dedline"),
        (
            r#"{"service":"a","tasks":[1],"encoding":"base64"}"#,
            "tasks[0]",
        ),
        (r#"{"service":"a","tasks":[1],"timeout_ms":0}"#, "timeout"),
        (r#"{"service":"a","tasks":[1],"media":"\n"}"#, "media"),
    ];
    for (job, named) in bad {
        let answer = client.call("PUT", "/v1/jobs/j", "", job.as_bytes());
        assert_eq!(answer.status, 400, "{job}");
        let problem = answer.json();
        assert_eq!(problem["verdict"], "not-run");
        let detail = problem["detail"].as_str().unwrap();
        assert!(detail.contains(named), "{detail}");
    }
}
