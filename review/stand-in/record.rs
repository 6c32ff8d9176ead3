//! What was sent, answered and run, with the time since the start of the case.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A task that a worker has begun on an order.
#[derive(Debug, Clone)]
pub struct Start {
    pub task: String,
    pub attempt: u64,
    /// The labels of the worker.
    pub labels: Vec<String>,
}

/// A record that several threads write to.
#[derive(Clone)]
pub struct Record {
    begin: Instant,
    file: Arc<Mutex<File>>,
    starts: Arc<Mutex<Vec<Start>>>,
}

impl Record {
    /// Creates the file of the record.
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            begin: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
            starts: Arc::default(),
        })
    }

    /// Writes a line.
    pub fn write(&self, text: &str) {
        let time = self.begin.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        // A record that cannot be written shows as a short one.
        drop(writeln!(file, "{time:>7} ms  {text}"));
    }

    /// Adds a start.
    pub fn add_start(&self, start: Start) {
        self.starts.lock().unwrap().push(start);
    }

    /// Returns the starts of a job so far.
    pub fn starts(&self, job: &str) -> Vec<Start> {
        let starts = self.starts.lock().unwrap();
        let of_job = starts.iter().filter(|s| s.task.starts_with(job));
        of_job.cloned().collect()
    }
}
