//! Guards against signals that end an edge node without a graceful shutdown, and against log lines that are lost at its exit.

mod support;

use {
    rustix::process::{Pid, Signal, kill_process},
    serde_json::{Value, json},
    std::{
        io::Read,
        net::{SocketAddr, TcpStream},
        path::{Path, PathBuf},
        process::{Child, Command, ExitStatus, Stdio},
        thread,
        time::{Duration, Instant},
    },
    support::loopback_address,
    tempfile::TempDir,
};

/// Number of nodes that are started one after the other.
const STARTS: usize = 20;

/// Longest time for a node to listen, and to end.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A node without a store. It serves no requests.
struct EdgeProcess {
    child: Child,
    ingress: SocketAddr,
}

impl EdgeProcess {
    fn start(directory: &Path, index: usize) -> Self {
        let ingress = loopback_address();
        let settings = json!({
            "node": format!("node-{index}"), "data_centre": "a", "cpu_share": 0.25, "max_descriptors": 400,
            "retries": {"ratio": 0.2, "slack": 50, "window_s": 10},
            "quotas": {"window_s": 8.0, "tolerated_share": 0.1, "tolerated_units": 12_000.0},
            "rollouts": {"exposed_share": 0.1, "exposed_slack": 20},
            "stop_grace_s": 8, "address_lifetime_limit_s": 5,
            "listen": {"ingress": ingress, "readiness": loopback_address(),
                "directory": loopback_address(), "peers": loopback_address()},
            "platform": {"store": loopback_address()}
        });
        let path: PathBuf = directory.join(format!("{index}.json"));
        std::fs::write(&path, settings.to_string()).expect("the settings are written");
        let child = Command::new(env!("CARGO_BIN_EXE_dragonflystep"))
            .arg("edge")
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn();
        Self {
            child: child.expect("the built binary starts"),
            ingress,
        }
    }

    /// Waits until the node accepts connections, without a pause between two tries.
    fn wait_until_it_listens(&self) {
        let until = Instant::now() + TIMEOUT;
        while TcpStream::connect(self.ingress).is_err() {
            assert!(Instant::now() < until, "the node does not listen");
        }
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("a child that was not reaped can be signalled");
    }

    /// Waits for the end of the process; returns its status and its log.
    fn wait(mut self) -> (ExitStatus, String) {
        let mut log = String::new();
        let stdout = self.child.stdout.as_mut().expect("a piped output");
        stdout.read_to_string(&mut log).expect("the log is text");
        (self.child.wait().expect("the process ends"), log)
    }
}

impl Drop for EdgeProcess {
    fn drop(&mut self) {
        // Both fail if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn messages(log: &str) -> Vec<String> {
    let lines = log.lines().map(serde_json::from_str::<Value>);
    let messages = lines.map(|line| line.expect("a line of the log")["message"].clone());
    messages
        .map(|message| message.as_str().unwrap_or_default().to_owned())
        .collect()
}

/// Guards against nodes that open connections for callers before they handle SIGTERM, and then end at once.
#[test]
fn a_node_stops_as_planned_if_it_is_asked_to_as_soon_as_it_listens() {
    let directory = TempDir::new().expect("a directory");
    let nodes: Vec<_> = (0..STARTS)
        .map(|index| {
            let node = EdgeProcess::start(directory.path(), index);
            node.wait_until_it_listens();
            node.signal(Signal::TERM);
            node
        })
        .collect();
    let statuses: Vec<_> = nodes.into_iter().map(|node| node.wait().0).collect();
    let failed = statuses.iter().filter(|status| !status.success()).count();
    assert_eq!(failed, 0, "{statuses:?}");
}

/// Guards against nodes that end because their settings are reloaded just after their start.
#[test]
fn a_node_survives_a_reload_as_soon_as_it_listens() {
    let directory = TempDir::new().expect("a directory");
    let nodes: Vec<_> = (0..STARTS)
        .map(|index| {
            let node = EdgeProcess::start(directory.path(), index);
            node.wait_until_it_listens();
            node.signal(Signal::HUP);
            node
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    for node in &nodes {
        node.signal(Signal::TERM);
    }
    let statuses: Vec<_> = nodes.into_iter().map(|node| node.wait().0).collect();
    let failed = statuses.iter().filter(|status| !status.success()).count();
    assert_eq!(failed, 0, "{statuses:?}");
}

/// Guards against log lines that are lost because the process ends before they are written.
#[test]
fn the_last_lines_of_a_log_are_written_before_the_process_ends() {
    let directory = TempDir::new().expect("a directory");
    let nodes: Vec<_> = (0..STARTS)
        .map(|index| EdgeProcess::start(directory.path(), index))
        .collect();
    for node in &nodes {
        node.wait_until_it_listens();
        node.signal(Signal::TERM);
    }
    for (index, node) in nodes.into_iter().enumerate() {
        let (_, log) = node.wait();
        let messages = messages(&log);
        let last = messages.last().map(String::as_str);
        assert_eq!(last, Some("node stopped"), "node {index}: {messages:?}");
    }
}
