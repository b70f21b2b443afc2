//! The `explain` subcommand: shows the history of one request from the instances' logs.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};

use serde::Serialize;
use serde_json::{Map, Value};

use crate::arguments::{ExplainArgs, Output};
use crate::exits::{Exit, Failure, Result};

/// The fields that are left out of a line's details. Those that matter are shown before the details.
const HEAD_FIELDS: [&str; 5] = ["time_ms", "instance", "level", "event", "request"];

/// The events that record an instance's cached state, each with the name of that state. Only the
/// newest event of each name, and of each dependency, is shown.
const STATE_EVENTS: [(&str, &str); 7] = [
    ("config_adopted", "config"),
    ("fleet_changed", "list"),
    ("dependency_lost", "dependency"),
    ("dependency_regained", "dependency"),
    ("history_gone", "history"),
    ("signalled", "process"),
    ("started", "process"),
];

/// `LogLine` is one event of one instance.
#[derive(Clone, Debug, PartialEq, Serialize)]
struct LogLine {
    time_ms: u64,
    instance: String,
    event: String,
    fields: Map<String, Value>,
}

/// `CachedState` is a part of an instance's cached state at the time when the request ended there.
#[derive(Clone, Debug, Serialize)]
struct CachedState {
    instance: String,
    belief: &'static str,
    event: String,
    age_ms: u64,
    fields: Map<String, Value>,
}

/// `RequestHistory` is the information about a request in the logs.
#[derive(Clone, Debug, Serialize)]
struct RequestHistory {
    request: String,
    lines: Vec<LogLine>,
    beliefs: Vec<CachedState>,
}

/// Runs the subcommand.
pub(crate) fn run(args: &ExplainArgs, output: Output, out: &mut impl Write) -> Result<()> {
    let lines = read_all(&args.files)?;
    let history = collect_history(&args.request, &lines);
    if history.lines.is_empty() {
        let message = format!("{}: no line of the logs names this request", args.request);
        return Err(Failure::new(Exit::NotFound, message));
    }
    let text = match output {
        Output::Json => serde_json::to_string_pretty(&history).map_err(Failure::output)?,
        Output::Table => render(&history),
    };
    writeln!(out, "{text}").map_err(Failure::output)
}

fn read_all(files: &[String]) -> Result<Vec<LogLine>> {
    let mut lines = Vec::new();
    if files.is_empty() {
        read_from(std::io::stdin().lock(), &mut lines);
    }
    for name in files {
        if name == "-" {
            read_from(std::io::stdin().lock(), &mut lines);
            continue;
        }
        let file = std::fs::File::open(name)
            .map_err(|err| Failure::new(Exit::BadInput, format!("{name}: {err}")))?;
        read_from(file, &mut lines);
    }
    // The clocks of instances differ slightly, so the order across instances is approximate. The
    // sort is stable and retains the order of lines with the same time.
    lines.sort_by_key(|line| line.time_ms);
    Ok(lines)
}

/// Reads the lines that are events. Log collectors may add a prefix to each line, and lines of other
/// programs may be mixed in.
fn read_from(source: impl Read, lines: &mut Vec<LogLine>) {
    for text in BufReader::new(source).split(b'\n') {
        let Ok(text) = text else { return };
        let text = String::from_utf8_lossy(&text);
        lines.extend(text.find('{').and_then(|at| parse(&text[at..])));
    }
}

fn parse(text: &str) -> Option<LogLine> {
    let fields: Map<String, Value> = serde_json::from_str(text).ok()?;
    let text_field = |name: &str| fields.get(name).and_then(Value::as_str).map(str::to_owned);
    Some(LogLine {
        time_ms: fields.get("time_ms")?.as_u64()?,
        instance: text_field("instance")?,
        event: text_field("event")?,
        fields,
    })
}

fn collect_history(request: &str, lines: &[LogLine]) -> RequestHistory {
    let own: Vec<LogLine> =
        lines.iter().filter(|line| has_field(line, "request", request)).cloned().collect();
    let upstreams: BTreeSet<&str> =
        own.iter().filter_map(|line| line.fields.get("upstream")?.as_str()).collect();
    let beliefs = own
        .iter()
        .filter(|line| line.event == "concluded")
        .flat_map(|end| cached_state_at(lines, end, &upstreams))
        .collect();
    RequestHistory { request: request.to_owned(), lines: own, beliefs }
}

fn has_field(line: &LogLine, field: &str, value: &str) -> bool {
    line.fields.get(field).and_then(Value::as_str) == Some(value)
}

/// Returns the cached state of an instance when the request ended there: the newest line of each
/// name in `STATE_EVENTS`, and the newest line about each of the request's upstreams.
fn cached_state_at(
    lines: &[LogLine],
    end: &LogLine,
    upstreams: &BTreeSet<&str>,
) -> Vec<CachedState> {
    let mut newest: BTreeMap<(&'static str, String), &LogLine> = BTreeMap::new();
    for line in lines.iter().take_while(|line| line.time_ms <= end.time_ms) {
        let of_upstream = line.fields.get("upstream").and_then(Value::as_str);
        let is_about_upstream = matches!(line.event.as_str(), "order_given" | "upstream_gone")
            && of_upstream.is_some_and(|upstream| upstreams.contains(upstream));
        if is_about_upstream {
            let upstream = of_upstream.unwrap_or_default().to_owned();
            newest.insert(("upstream", upstream), line);
        } else if line.instance == end.instance
            && let Some((_, name)) = STATE_EVENTS.iter().find(|(event, _)| *event == line.event)
        {
            let of = line.fields.get("dependency").and_then(Value::as_str).unwrap_or_default();
            newest.insert((name, of.to_owned()), line);
        }
    }
    let to_state = |((belief, _), line): ((&'static str, String), &LogLine)| CachedState {
        instance: line.instance.clone(),
        belief,
        event: line.event.clone(),
        age_ms: end.time_ms - line.time_ms,
        fields: line.fields.clone(),
    };
    newest.into_iter().map(to_state).collect()
}

fn render(history: &RequestHistory) -> String {
    let mut text = format!("request {}\n", history.request);
    let start = history.lines.first().map_or(0, |line| line.time_ms);
    for line in &history.lines {
        let after = line.time_ms - start;
        let rest = details(&line.fields);
        let _ = writeln!(text, "{after:>7} ms  {}  {}  {rest}", line.instance, line.event);
    }
    if !history.beliefs.is_empty() {
        text.push_str("believed at its end:\n");
    }
    for state in &history.beliefs {
        let rest = details(&state.fields);
        let age = state.age_ms;
        let (name, event) = (state.belief, &state.event);
        let _ = writeln!(text, "  {name}  {age} ms old  {}  {event}  {rest}", state.instance);
    }
    text.pop();
    text
}

fn details(fields: &Map<String, Value>) -> String {
    let shown = fields.iter().filter(|(name, value)| {
        !HEAD_FIELDS.contains(&name.as_str()) && !value.is_null() && **value != ""
    });
    let pairs = shown.map(|(name, value)| match value {
        Value::String(text) => format!("{name}={text}"),
        other => format!("{name}={other}"),
    });
    pairs.collect::<Vec<_>>().join(" ")
}
