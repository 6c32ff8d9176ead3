//! What was sent, answered and run, with the time since the start of the case.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A task that a worker has begun on an order.
#[derive(Debug, Clone)]
pub struct Start {
    pub task: String,
    pub attempt: u64,
    /// The labels of the worker.
    pub labels: Vec<String>,
}

/// A time in which two runs of one task were at work.
#[derive(Debug, Clone)]
pub struct Overlap {
    pub task: String,
    pub lasted: Duration,
}

/// A run that is at work.
struct Going {
    task: String,
    worker: String,
    since: Instant,
}

/// What workers have run.
#[derive(Default)]
struct Runs {
    starts: Vec<Start>,
    going: Vec<Going>,
    overlaps: Vec<Overlap>,
}

/// A record that several threads write to.
#[derive(Clone)]
pub struct Record {
    begin: Instant,
    file: Arc<Mutex<File>>,
    runs: Arc<Mutex<Runs>>,
}

impl Record {
    /// Creates the file of the record.
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            begin: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
            runs: Arc::default(),
        })
    }

    /// Writes a line.
    pub fn write(&self, text: &str) {
        let time = self.begin.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        // A record that cannot be written shows as a short one.
        drop(writeln!(file, "{time:>7} ms  {text}"));
    }

    /// Adds a start on a worker.
    pub fn add_start(&self, worker: &str, start: Start) {
        let mut runs = self.runs.lock().unwrap();
        runs.going.push(Going {
            task: start.task.clone(),
            worker: worker.to_owned(),
            since: Instant::now(),
        });
        runs.starts.push(start);
    }

    /// Adds the end of a run on a worker.
    pub fn add_end(&self, worker: &str, task: &str) {
        let mut runs = self.runs.lock().unwrap();
        let is_it = |g: &Going| g.task == task && g.worker == worker;
        let Some(place) = runs.going.iter().position(is_it) else {
            return;
        };
        let ended = runs.going.swap_remove(place);
        let others = runs.going.iter().filter(|g| g.task == task);
        let overlaps: Vec<Overlap> = others
            .map(|other| Overlap {
                task: task.to_owned(),
                lasted: other.since.max(ended.since).elapsed(),
            })
            .collect();
        for overlap in &overlaps {
            let text = format!(
                "{task} has run twice at the same time for {:?}",
                overlap.lasted
            );
            self.write(&text);
        }
        runs.overlaps.extend(overlaps);
    }

    /// Returns the times in which two runs of a task were at work.
    pub fn overlaps(&self) -> Vec<Overlap> {
        self.runs.lock().unwrap().overlaps.clone()
    }

    /// Returns the starts of a job so far.
    pub fn starts(&self, job: &str) -> Vec<Start> {
        let runs = self.runs.lock().unwrap();
        let of_job = runs.starts.iter().filter(|s| s.task.starts_with(job));
        of_job.cloned().collect()
    }
}
