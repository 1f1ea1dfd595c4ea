//! The record of a run: what was sent, answered and run, with times since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            started_at: Instant::now(),
        }
    }

    pub fn note(&self, text: &str) {
        let at = self.started_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("lock");
        writeln!(file, "{at:8.3} s  {text}").expect("the record can be written");
    }
}
