//! The record of a run: a line for each thing that was sent, answered or run.

use std::{
    cell::RefCell,
    fs::File,
    io::{self, BufWriter, Write},
    rc::Rc,
    time::Instant,
};

/// The file of the record; clones write to the same file.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Rc<RefCell<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &str) -> io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Rc::new(RefCell::new(BufWriter::new(File::create(path)?))),
        })
    }

    /// Writes a line with the seconds since the start.
    pub fn line(&self, text: &str) {
        let at_s = self.started.elapsed().as_secs_f64();
        let mut file = self.file.borrow_mut();
        if let Err(error) = writeln!(file, "{at_s:8.3} {text}").and_then(|()| file.flush()) {
            eprintln!("the record can't be written: {error}");
        }
    }
}
