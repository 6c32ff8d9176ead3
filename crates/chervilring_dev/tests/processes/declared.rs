//! Most entries lost at once, and the operator's word that they are dead.

use std::time::{Duration, Instant};

use chervilring_dev::process::{BOUND, job, wait_for};

use crate::common::{Fixture, LOOKUP, PAUSE, WAIT, id_at_home};

/// Far longer than a home waits before it begins with ids that moved to it.
const LONG: Duration = Duration::from_secs(6);

#[test]
fn the_last_entry_takes_over_lost_ids_on_an_operators_word_only() {
    let mut fixture = Fixture::start(&[1.0]);
    fixture.cluster.entries[1].kill();
    fixture.cluster.entries[2].kill();
    let cluster = &mut fixture.cluster;
    let job = job(LOOKUP, 2, 10);
    let evicted = || {
        let status = cluster.status(&cluster.entries[0]).ok()?;
        status["membership"]["peers"]
            .as_array()?
            .is_empty()
            .then_some(())
    };
    wait_for("the lost entries are out of the ring", BOUND, evicted).unwrap();

    // Alone it cannot know that the others have stopped: whatever time passes, it starts nothing.
    let lost = id_at_home(1);
    let until = Instant::now() + LONG;
    while Instant::now() < until {
        let response = cluster.put_job(0, &lost, &job, WAIT).unwrap();
        assert!(!response.is_success());
        std::thread::sleep(PAUSE * 10);
    }
    assert_eq!(cluster.starts().unwrap().of(&lost), 0);

    for name in ["e2", "e3"] {
        let command = cluster.command("declare-dead").argument(name);
        let command = command.flag("entry", cluster.entries[0].http());
        let (code, output, error) = command.run().unwrap();
        assert_eq!(code, 0, "{output}{error}");
    }
    // An id made after the word is new, and its job is answered in full.
    let answered = || {
        let id = id_at_home(1);
        let response = cluster.put_job(0, &id, &job, WAIT).ok()?;
        response.is_success().then_some(())
    };
    wait_for("new ids are taken over", BOUND, answered).unwrap();
}
