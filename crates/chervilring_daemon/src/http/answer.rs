//! Turns replies into HTTP answers.

use chervilring_wire::{Reply, SubmissionId, TaskOutput};

use super::call::Answer;
use super::job;
use super::problem::Problem;
use super::route::Layout;

/// Returns the answer to a caller who asked for a submission in a layout.
pub(super) fn of_reply(reply: Reply, id: SubmissionId, layout: Layout) -> Answer {
    let answer = match (reply, layout) {
        (Reply::Failed(failure), _) => Problem::of_failure(&failure, id).answer(),
        (Reply::Pending(progress), _) => Answer::json(202, job::write_progress(id, progress))
            .header("Location", &path(id, layout)),
        (Reply::Complete(outputs), Layout::Job) => {
            Answer::json(200, job::write_complete(id, &outputs)).header(VERDICT, RAN)
        }
        (Reply::Complete(outputs), Layout::Request) => of_outputs(outputs, id),
    };
    answer.header("Chervilring-Id", &id.to_string())
}

const VERDICT: &str = "Chervilring-Verdict";
const RAN: &str = "ran";

/// Returns the upstream's own answer to a request.
fn of_outputs(mut outputs: Vec<TaskOutput>, id: SubmissionId) -> Answer {
    if outputs.len() != 1 {
        // The id belongs to a job.
        let location = path(id, Layout::Job);
        return Problem::new(409, "is-a-job", "The id belongs to a job")
            .detail(format!("Ask for {location}"))
            .answer();
    }
    let output = outputs.remove(0);
    let status = if (200..=599).contains(&output.status) {
        output.status
    } else {
        502
    };
    Answer::new(status, &output.media, output.body).header(VERDICT, RAN)
}

fn path(id: SubmissionId, layout: Layout) -> String {
    match layout {
        Layout::Request => format!("/v1/requests/{id}"),
        Layout::Job => format!("/v1/jobs/{id}"),
    }
}
