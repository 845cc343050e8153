//! The record of a run: one line for each thing that was sent, answered or run, with its time.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

struct Record {
    start: Instant,
    out: Mutex<BufWriter<File>>,
}

static RECORD: OnceLock<Record> = OnceLock::new();

/// Opens the record. Its times count from now.
pub fn open(path: &str) {
    let out = Mutex::new(BufWriter::new(File::create(path).expect("the record can be written")));
    let _ = RECORD.set(Record { start: Instant::now(), out });
}

fn get() -> &'static Record {
    RECORD.get().expect("the record is open")
}

/// Milliseconds from the start of the record to `at`.
pub fn ms_of(at: Instant) -> f64 {
    at.saturating_duration_since(get().start).as_secs_f64() * 1000.0
}

/// Milliseconds since the start of the record.
pub fn now() -> f64 {
    ms_of(Instant::now())
}

/// Writes one line, with the time before it.
pub fn line(text: &str) {
    line_at(now(), text);
}

/// Writes one line for an earlier time.
pub fn line_at(ms: f64, text: &str) {
    let _ = writeln!(get().out.lock().unwrap(), "{ms:10.1} {text}");
}

/// Writes what is buffered.
pub fn flush() {
    let _ = get().out.lock().unwrap().flush();
}
