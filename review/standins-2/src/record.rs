//! The record of a case: what was sent, answered and run, with times in seconds from its start.

use std::{
    cell::RefCell,
    fs::File,
    io::{self, Write},
    path::Path,
    time::Instant,
};

pub struct Record {
    file: RefCell<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            file: RefCell::new(File::create(path)?),
            started: Instant::now(),
        })
    }

    /// Seconds since the start of the case.
    pub fn now_s(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Writes one line; a line that can't be written is shown on standard error instead.
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}", self.now_s());
        if writeln!(self.file.borrow_mut(), "{line}").is_err() {
            eprintln!("{line}");
        }
    }
}
