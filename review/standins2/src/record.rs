//! What was sent, answered and run, one line each, with milliseconds since the start of the case.
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<std::fs::File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = std::fs::File::create(path).expect("the record can be written");
        Record { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn note(&self, line: &str) {
        let ms = self.started.elapsed().as_secs_f64() * 1000.0;
        let _ = writeln!(self.file.lock().expect("not poisoned"), "{ms:10.1} ms  {line}");
    }
}
