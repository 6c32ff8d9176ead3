//! The record of a case: what was sent, answered and run, each with its time.

use std::fmt::Display;
use std::fs;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    pub begin: Instant,
    lines: Arc<Mutex<Vec<(u128, String)>>>,
    path: Arc<PathBuf>,
}

impl Record {
    pub fn new(path: PathBuf) -> Self {
        Self {
            begin: Instant::now(),
            lines: Arc::default(),
            path: Arc::new(path),
        }
    }

    /// Returns the microseconds since the case began.
    pub fn now(&self) -> u64 {
        self.begin.elapsed().as_micros() as u64
    }

    pub fn add(&self, line: impl Display) {
        let at = self.begin.elapsed().as_micros();
        self.lines.lock().unwrap().push((at, line.to_string()));
    }

    /// Writes the file.
    pub fn write(&self) {
        let mut rows = self.lines.lock().unwrap().clone();
        rows.sort_by_key(|(at, _)| *at);
        let line = |(at, text): &(u128, String)| format!("{:>9.3} ms  {text}\n", *at as f64 / 1e3);
        let text: String = rows.iter().map(line).collect();
        if let Err(error) = fs::write(&*self.path, text) {
            eprintln!("record not written: {error}");
        }
    }
}
