//! Ids that are used again, and refusals.

use chervilring_dev::process::job;
use chervilring_wire::{SubmissionId, Verdict};

use crate::common::{BOOKING, Fixture, LOOKUP, WAIT};

#[test]
fn id_used_for_another_body_is_refused() {
    let mut fixture = Fixture::start(&[1.0, 1.0]);
    let id = SubmissionId::generate().to_string();
    let headers = [("Idempotency-Key", id.clone())];
    let first = fixture
        .cluster
        .post(0, BOOKING, &headers, b"bay 4")
        .unwrap();
    assert_eq!((first.status, &*first.body), (200, &b"bay 4"[..]));
    for entry in 0..3 {
        let other = fixture
            .cluster
            .post(entry, BOOKING, &headers, b"bay 5")
            .unwrap();
        assert_eq!(other.status, 409);
        assert_eq!(other.verdict, Some(Verdict::NotRun));
        let same = fixture
            .cluster
            .post(entry, BOOKING, &headers, b"bay 4")
            .unwrap();
        assert_eq!((same.status, &*same.body), (200, &b"bay 4"[..]));
        let job = job(BOOKING, 2, 0);
        let as_job = fixture.cluster.put_job(entry, &id, &job, WAIT).unwrap();
        assert_eq!(as_job.status, 409);
    }
    assert_eq!(fixture.cluster.starts().unwrap().of(&id), 1);
}

#[test]
fn refused_work_is_not_started() {
    let mut fixture = Fixture::start(&[1.0]);
    let id = SubmissionId::generate().to_string();
    let headers = [("Idempotency-Key", id.clone())];
    let unknown = fixture.cluster.post(0, "nowhere", &headers, b"x").unwrap();
    assert_eq!(
        (unknown.status, unknown.verdict),
        (404, Some(Verdict::NotRun))
    );
    let large = job(LOOKUP, 100_000, 0);
    let large = fixture.cluster.put_job(1, &id, &large, WAIT).unwrap();
    assert_eq!((large.status, large.verdict), (413, Some(Verdict::NotRun)));
    assert_eq!(fixture.cluster.starts().unwrap().total(), 0);
}
