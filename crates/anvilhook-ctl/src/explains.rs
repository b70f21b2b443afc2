//! `explain`: the history of one request, from the logs of the instances.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};

use serde::Serialize;
use serde_json::{Map, Value};

use crate::arguments::{ExplainArgs, Output};
use crate::exits::{Exit, Failure, Result};

/// The fields that stand at the front of a line of the history.
const HEAD_FIELDS: [&str; 5] = ["time_ms", "instance", "level", "event", "request"];

/// The events that tell what an instance believes, by the name under which the newest is kept.
const BELIEFS: [(&str, &str); 7] = [
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

/// `Belief` is what an instance believed when the request came to its end there.
#[derive(Clone, Debug, Serialize)]
struct Belief {
    instance: String,
    belief: &'static str,
    event: String,
    age_ms: u64,
    fields: Map<String, Value>,
}

/// `RequestHistory` is all that the logs tell of a request.
#[derive(Clone, Debug, Serialize)]
struct RequestHistory {
    request: String,
    lines: Vec<LogLine>,
    beliefs: Vec<Belief>,
}

/// Runs the subcommand.
pub(crate) fn run(args: &ExplainArgs, output: Output, out: &mut impl Write) -> Result<()> {
    let lines = read_all(&args.files)?;
    let history = tell(&args.request, &lines);
    if history.lines.is_empty() {
        let message = format!("{}: no line of the logs names this request", args.request);
        return Err(Failure::new(Exit::NotFound, message));
    }
    let text = match output {
        Output::Json => serde_json::to_string_pretty(&history).map_err(Failure::output)?,
        Output::Table => in_words(&history),
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
    // Instances' clocks differ a little; lines of one instance keep their order.
    lines.sort_by_key(|line| line.time_ms);
    Ok(lines)
}

/// Reads the lines that are events. Whoever collects logs may put something before each line, and
/// other programs' lines may stand between them.
fn read_from(source: impl Read, lines: &mut Vec<LogLine>) {
    for text in BufReader::new(source).split(b'\n') {
        let Ok(text) = text else { return };
        let text = String::from_utf8_lossy(&text);
        lines.extend(text.find('{').and_then(|at| parse(&text[at..])));
    }
}

fn parse(text: &str) -> Option<LogLine> {
    let fields: Map<String, Value> = serde_json::from_str(text).ok()?;
    let word = |name: &str| fields.get(name).and_then(Value::as_str).map(str::to_owned);
    Some(LogLine {
        time_ms: fields.get("time_ms")?.as_u64()?,
        instance: word("instance")?,
        event: word("event")?,
        fields,
    })
}

fn tell(request: &str, lines: &[LogLine]) -> RequestHistory {
    let own: Vec<LogLine> =
        lines.iter().filter(|line| names(line, "request", request)).cloned().collect();
    let upstreams: BTreeSet<&str> =
        own.iter().filter_map(|line| line.fields.get("upstream")?.as_str()).collect();
    let beliefs = own
        .iter()
        .filter(|line| line.event == "concluded")
        .flat_map(|end| beliefs_at(lines, end, &upstreams))
        .collect();
    RequestHistory { request: request.to_owned(), lines: own, beliefs }
}

fn names(line: &LogLine, field: &str, value: &str) -> bool {
    line.fields.get(field).and_then(Value::as_str) == Some(value)
}

/// Returns the newest line of each belief before the request's end at an instance, and what the
/// logs say of its upstreams.
fn beliefs_at(lines: &[LogLine], end: &LogLine, upstreams: &BTreeSet<&str>) -> Vec<Belief> {
    let mut newest: BTreeMap<(&'static str, String), &LogLine> = BTreeMap::new();
    for line in lines.iter().take_while(|line| line.time_ms <= end.time_ms) {
        let of_upstream = line.fields.get("upstream").and_then(Value::as_str);
        let is_about_upstream = matches!(line.event.as_str(), "order_given" | "upstream_gone")
            && of_upstream.is_some_and(|upstream| upstreams.contains(upstream));
        if is_about_upstream {
            let upstream = of_upstream.unwrap_or_default().to_owned();
            newest.insert(("upstream", upstream), line);
        } else if line.instance == end.instance
            && let Some((_, belief)) = BELIEFS.iter().find(|(event, _)| *event == line.event)
        {
            let of = line.fields.get("dependency").and_then(Value::as_str).unwrap_or_default();
            newest.insert((belief, of.to_owned()), line);
        }
    }
    let belief = |((belief, _), line): ((&'static str, String), &LogLine)| Belief {
        instance: line.instance.clone(),
        belief,
        event: line.event.clone(),
        age_ms: end.time_ms - line.time_ms,
        fields: line.fields.clone(),
    };
    newest.into_iter().map(belief).collect()
}

fn in_words(history: &RequestHistory) -> String {
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
    for belief in &history.beliefs {
        let rest = details(&belief.fields);
        let age = belief.age_ms;
        let (name, event) = (belief.belief, &belief.event);
        let _ = writeln!(text, "  {name}  {age} ms old  {}  {event}  {rest}", belief.instance);
    }
    text.pop();
    text
}

fn details(fields: &Map<String, Value>) -> String {
    let told = fields.iter().filter(|(name, value)| {
        !HEAD_FIELDS.contains(&name.as_str()) && !value.is_null() && **value != ""
    });
    let words = told.map(|(name, value)| match value {
        Value::String(text) => format!("{name}={text}"),
        other => format!("{name}={other}"),
    });
    words.collect::<Vec<_>>().join(" ")
}
