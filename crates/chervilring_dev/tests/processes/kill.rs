//! Entries that die or are paused in the middle of a job.

use std::thread;

use chervilring_dev::process::{BOUND, job, wait_for};

use crate::common::{Fixture, LOOKUP, WAIT, id_at_home};

const TASKS: usize = 24;
const TASK_MS: u64 = 400;

#[test]
fn entry_killed_mid_job_and_the_job_resubmitted_elsewhere() {
    let mut fixture = Fixture::start(&[1.0, 1.0, 0.5]);
    let job = job(LOOKUP, TASKS, TASK_MS);
    // Two of the ids have the entry that dies as their home, one comes in there.
    let ids = [(0, 1), (2, 1), (1, 2)].map(|(at, home)| (at, id_at_home(home)));
    let cluster = &fixture.cluster;
    thread::scope(|scope| {
        for (at, id) in &ids {
            let job = &job;
            scope.spawn(move || {
                // What the caller gets, if anything, is checked when it submits again.
                let _ = cluster.put_job(*at, id, job, WAIT);
            });
        }
        let started = || {
            let counts = (0..3).map(|i| cluster.starts_at(i).unwrap());
            let counts: Vec<_> = counts.collect();
            let has_started = |id: &str| counts.iter().any(|c| c.of(id) > 0);
            ids.iter().all(|(_, id)| has_started(id)).then_some(())
        };
        let result = wait_for("all jobs have started", BOUND, started);
        cluster.entries[1].kill_soon();
        result.unwrap();
    });
    for (_, id) in &ids {
        let response = fixture.settle(0, id, &job);
        fixture.check_job(id, TASKS as u64, &response);
        let again = fixture.settle(2, id, &job);
        assert_eq!(response.is_success(), again.is_success());
        fixture.check_job(id, TASKS as u64, &again);
    }
    // The job whose home lived is answered in full.
    assert!(fixture.settle(0, &ids[2].1, &job).is_success());
}

#[test]
fn home_paused_across_its_eviction_starts_nothing_twice() {
    let mut fixture = Fixture::start(&[1.0, 0.5]);
    let job = job(LOOKUP, TASKS, TASK_MS);
    let id = id_at_home(1);
    let cluster = &fixture.cluster;
    thread::scope(|scope| {
        let caller = scope.spawn(|| cluster.put_job(0, &id, &job, WAIT));
        let started = || {
            let counts = (0..2).map(|i| cluster.starts_at(i).unwrap().of(&id));
            (counts.sum::<u64>() > 0).then_some(())
        };
        let result = wait_for("the job has started", BOUND, started);
        cluster.entries[1].pause();
        result.unwrap();
        let evicted = || {
            let status = cluster.status(&cluster.entries[0]).ok()?;
            (status["membership"]["peers"].as_array()?.len() == 1).then_some(())
        };
        let result = wait_for("the paused entry is evicted", BOUND, evicted);
        // Submitted again while the old home still believes in itself.
        let again = cluster.put_job(2, &id, &job, WAIT);
        cluster.entries[1].resume();
        result.unwrap();
        drop((again, caller.join().unwrap()));
    });
    if let Err(error) = fixture.cluster.wait_ready() {
        panic!("{error}\n{}", fixture.cluster.report());
    }
    for entry in 0..3 {
        let response = fixture.settle(entry, &id, &job);
        fixture.check_job(&id, TASKS as u64, &response);
    }
}
