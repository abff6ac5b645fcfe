//! `dragonflystep explain`: collects all log lines of one request from several nodes, in order of time.

use {
    super::{Failure, output},
    argh::FromArgs,
    serde_json::Value,
    std::path::PathBuf,
};

/// Prints what the logs of several nodes say of one request, in order of time, with the last change of
/// each node's beliefs before it.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "explain")]
pub struct ExplainCommand {
    /// id of the request
    #[argh(option)]
    request: String,
    /// log files of nodes; lines that are not JSON are passed over
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// Messages that tell what an upstream said of itself, and of what.
const NOTICES: [(&str, &str); 4] = [
    ("upstream limits its rate", "rate"),
    ("upstream no longer limits its rate", "rate"),
    ("upstream leaves", "leaving"),
    ("upstream wants rest", "rest"),
];

/// Messages that tell a change of what a node believes.
const BELIEFS: [&str; 5] = [
    "catalogue in force",
    "registry in force",
    "majority changed",
    "the store does not answer",
    "node does not answer",
];

impl ExplainCommand {
    pub fn run(self) -> Result<(), Failure> {
        let mut lines = Vec::new();
        for path in &self.files {
            let text = std::fs::read_to_string(path)
                .map_err(|error| Failure::BadInput(format!("{}: {error}", path.display())))?;
            lines.extend(text.lines().filter_map(parse_line));
        }
        let story = explain(&self.request, lines);
        if story.is_empty() {
            return Err(Failure::BadInput(format!(
                "no log line names request {}",
                self.request
            )));
        }
        for line in story {
            output::text(&line.to_string());
        }
        Ok(())
    }
}

/// A JSON object of a line; a platform may have put words before it.
fn parse_line(line: &str) -> Option<Value> {
    let json = &line[line.find('{')?..];
    serde_json::from_str(json).ok()
}

fn time_ms(line: &Value) -> u64 {
    line["time_ms"].as_u64().unwrap_or(0)
}

/// What a line tells a belief of; a later one of the same subject replaces it.
fn belief_subject(line: &Value) -> Option<(&str, &str)> {
    let message = line["message"].as_str()?;
    if let Some((_, topic)) = NOTICES.iter().find(|(notice, _)| *notice == message) {
        return Some((topic, line["upstream"].as_str()?));
    }
    BELIEFS.contains(&message).then_some((message, ""))
}

/// Lines of the request, and before them the last belief of each kind of the nodes that saw it.
fn explain(request: &str, mut lines: Vec<Value>) -> Vec<Value> {
    lines.sort_by_key(time_ms);
    let of_request = |line: &Value| line["request"].as_str() == Some(request);
    let Some(first) = lines.iter().position(of_request) else {
        return Vec::new();
    };
    let nodes: Vec<&Value> = lines
        .iter()
        .filter(|line| of_request(line))
        .map(|line| &line["node"])
        .collect();
    let mut beliefs: Vec<&Value> = Vec::new();
    for line in lines[..first].iter().rev() {
        let Some(subject) = belief_subject(line) else {
            continue;
        };
        let is_known = beliefs
            .iter()
            .any(|known| known["node"] == line["node"] && belief_subject(known) == Some(subject));
        if nodes.contains(&&line["node"]) && !is_known {
            beliefs.push(line);
        }
    }
    beliefs.reverse();
    let own = lines.iter().filter(|line| of_request(line));
    beliefs.into_iter().chain(own).cloned().collect()
}
