//! `dragonflystep explain`: collects the log lines of one request from several nodes, sorted by time.

use {
    super::{Failure, output},
    argh::FromArgs,
    serde_json::Value,
    std::{collections::BTreeSet, path::PathBuf},
};

/// Prints the log lines of one request from several nodes, sorted by time. Before them it prints the latest changes
/// in what each of these nodes knew about the system when the request arrived, and what owners concluded about its content. If the request began or resumed a stream,
/// the lines of all tries of that stream are printed.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "explain")]
pub struct ExplainCommand {
    /// id of the request
    #[argh(option)]
    request: String,
    /// log files of nodes; lines without a JSON object are skipped
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// Log messages about notices that upstreams gave about themselves, each with the topic of the notice.
const NOTICES: [(&str, &str); 6] = [
    ("upstream limits its rate", "rate"),
    ("upstream no longer limits its rate", "rate"),
    ("upstream limits its rejections", "rejections"),
    ("upstream no longer limits its rejections", "rejections"),
    ("upstream leaves", "leaving"),
    ("upstream wants rest", "rest"),
];

/// Log messages of owners about content that crashes upstreams.
const CONTENT_MESSAGES: [&str; 2] = [
    "requests with content that crashed upstreams are refused",
    "requests with content that crashed upstreams are no longer refused",
];

/// Log message of owners about accounts whose requests go behind those of others, or no longer do.
const SHARE_MESSAGE: &str = "an account's share changed";

/// Log messages that record a change of what a node knows about the system, each with its topic.
const STATE_MESSAGES: [(&str, &str); 7] = [
    ("catalogue in force", "catalogue"),
    ("registry in force", "registry"),
    ("majority changed", "majority"),
    ("the store does not answer", "store"),
    ("node does not answer", "nodes"),
    (
        "this node reaches no upstream directly; it connects to them through other nodes",
        "upstreams",
    ),
    ("this node reaches upstreams directly again", "upstreams"),
];

impl ExplainCommand {
    pub fn run(self) -> Result<(), Failure> {
        let mut lines = Vec::new();
        for path in &self.files {
            let text = std::fs::read_to_string(path)
                .map_err(|error| Failure::BadInput(format!("{}: {error}", path.display())))?;
            lines.extend(text.lines().filter_map(parse_line));
        }
        let selected = explain(&self.request, lines);
        if selected.is_empty() {
            return Err(Failure::BadInput(format!(
                "no log line contains the request {}",
                self.request
            )));
        }
        for line in selected {
            output::text(&line.to_string());
        }
        Ok(())
    }
}

/// Parses the JSON object of a log line, in front of which a platform may have put other text.
fn parse_line(line: &str) -> Option<Value> {
    let json = &line[line.find('{')?..];
    serde_json::from_str(json).ok()
}

fn time_ms(line: &Value) -> u64 {
    line["time_ms"].as_u64().unwrap_or(0)
}

/// Returns the subject of a log line that records a state change: its topic, and the upstream if it is a notice. A later line of the same node and subject replaces the earlier one.
fn state_subject(line: &Value) -> Option<(&str, &str)> {
    let message = line["message"].as_str()?;
    if let Some((_, topic)) = NOTICES.iter().find(|(notice, _)| *notice == message) {
        return Some((topic, line["upstream"].as_str()?));
    }
    if CONTENT_MESSAGES.contains(&message) {
        return Some(("content", line["content"].as_str()?));
    }
    if message == SHARE_MESSAGE {
        return Some(("share", line["account"].as_str()?));
    }
    let mut states = STATE_MESSAGES.iter();
    let (_, topic) = states.find(|(state, _)| *state == message)?;
    Some((topic, ""))
}

/// Returns the ids of all tries of the stream that the request began or resumed; only its own id if there are no others.
fn tries_of_stream<'a>(request: &'a str, lines: &'a [Value]) -> BTreeSet<&'a str> {
    let resumes = lines.iter().filter_map(|line| {
        let first = line["resumes"].as_str().filter(|first| !first.is_empty())?;
        Some((line["request"].as_str()?, first))
    });
    let resumes: Vec<_> = resumes.collect();
    // Each try names the one that began the stream.
    let named = resumes.iter().find(|(id, _)| *id == request);
    let first = named.map_or(request, |(_, first)| first);
    let others = resumes.iter().filter(|(_, named)| *named == first);
    let others = others.map(|(id, _)| *id);
    others.chain([first, request]).collect()
}

/// Whether a log line of an owner is about content that a request holds, by the lines of the request.
fn is_about_content_of(line: &Value, request_lines: &[&Value]) -> bool {
    let message = line["message"].as_str();
    let Some(content) = line["content"].as_str() else {
        return false;
    };
    let is_held = |key: &str| {
        let mut held = request_lines
            .iter()
            .filter_map(|line| line["content"].as_str());
        held.any(|held| held.contains(key))
    };
    message.is_some_and(|message| CONTENT_MESSAGES.contains(&message))
        && content.split(',').all(is_held)
}

/// Whether a log line of an owner is about the share of the account and tier of a request, by the lines of the request.
fn is_about_share_of(line: &Value, request_lines: &[&Value]) -> bool {
    let mut request_lines = request_lines.iter();
    line["message"] == SHARE_MESSAGE
        && request_lines.any(|of| of["account"] == line["account"] && of["tier"] == line["tier"])
}

/// Returns the lines of the request, preceded by state changes logged before the first of these lines: the latest one
/// for each subject and each node that handled the request.
fn explain(request: &str, mut lines: Vec<Value>) -> Vec<Value> {
    lines.sort_by_key(time_ms);
    let tries = tries_of_stream(request, &lines);
    let of_request = |line: &Value| {
        line["request"]
            .as_str()
            .is_some_and(|id| tries.contains(id))
    };
    let Some(first) = lines.iter().position(of_request) else {
        return Vec::new();
    };
    let request_lines: Vec<&Value> = lines.iter().filter(|line| of_request(line)).collect();
    let nodes: Vec<&Value> = request_lines.iter().map(|line| &line["node"]).collect();
    let mut state_changes: Vec<&Value> = Vec::new();
    for line in lines[..first].iter().rev() {
        let Some(subject) = state_subject(line) else {
            continue;
        };
        let is_replaced = state_changes
            .iter()
            .any(|later| later["node"] == line["node"] && state_subject(later) == Some(subject));
        let is_of_account = line["message"] == SHARE_MESSAGE;
        let is_relevant = (!is_of_account && nodes.contains(&&line["node"]))
            || is_about_content_of(line, &request_lines)
            || is_about_share_of(line, &request_lines);
        if is_relevant && !is_replaced {
            state_changes.push(line);
        }
    }
    state_changes.reverse();
    state_changes
        .into_iter()
        .chain(request_lines)
        .cloned()
        .collect()
}
