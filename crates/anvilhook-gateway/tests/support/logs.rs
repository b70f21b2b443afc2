//! Stores the events that the gateways of a test process log.

use std::sync::Mutex;

use anvilhook_gateway::events::json_of;
use log::{Level, LevelFilter, Log, Metadata, Record};

/// `Lines` stores the events that were logged, with their levels.
struct Lines(Mutex<Vec<(Level, String)>>);

static LINES: Lines = Lines(Mutex::new(Vec::new()));

impl Log for Lines {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let line = json_of(record).map(|line| (record.level(), line));
        self.0.lock().expect("no panic").extend(line);
    }

    fn flush(&self) {}
}

/// Starts to store events.
pub fn store_lines() {
    // Another test of this process may have set the logger already.
    if log::set_logger(&LINES).is_ok() {
        log::set_max_level(LevelFilter::Info);
    }
}

/// Returns the logged lines that contain all of the texts.
pub fn lines_with(texts: &[&str]) -> Vec<(Level, String)> {
    let lines = LINES.0.lock().expect("no panic");
    let has_all = |(_, line): &&(Level, String)| texts.iter().all(|text| line.contains(text));
    lines.iter().filter(has_all).cloned().collect()
}

/// Returns the logged lines with an event of a request, in order.
pub fn lines_of(event: &str, request: &str) -> Vec<(Level, String)> {
    lines_with(&[&format!("\"event\":\"{event}\""), &format!("\"request\":\"{request}\"")])
}

/// Returns the first logged line with an event of a request.
pub fn line_of(event: &str, request: &str) -> String {
    let line = lines_of(event, request).into_iter().next();
    line.unwrap_or_else(|| panic!("no {event} of {request}")).1
}
