//! Guards against operator documentation that disagrees with the code.
//!
//! The page on operations has to list every metric and every refusal code. A node has to answer the example calls of
//! the page on administration as the page shows.

use {
    dragonflystep::{
        config::NodeSettings,
        core::{catalogue::CatalogueChange, request::RefusalCode},
        fakes::platform::PlatformFake,
        node::Node,
        report::{CatalogueDiff, metrics},
    },
    reqwest::{Client, Method},
    serde_json::{Value, json},
    std::{
        fs,
        net::{SocketAddr, TcpListener},
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

const READ_KEY: &str = "pages-read-key-0001";
const EDIT_KEY: &str = "pages-edit-key-0001";
const PLATFORM_KEY: &str = "pages-platform-key";
/// Includes the time that a new node needs to read from the platform and to take its group.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(100);

fn page(name: &str) -> String {
    let path = format!("{}/docs/{name}", env!("CARGO_MANIFEST_DIR"));
    fs::read_to_string(path).expect("the page can be read")
}

#[test]
fn the_page_on_operations_names_each_metric_with_kind_and_unit() {
    let page = page("OPERATIONS.md");
    for metric in metrics::ALL {
        let row = format!("| `{}` | {} | {} |", metric.name, metric.kind, metric.unit);
        assert!(page.contains(&row), "no row {row}");
    }
}

#[test]
fn the_page_on_operations_names_each_refusal_code() {
    use RefusalCode::*;
    let page = page("OPERATIONS.md");
    let codes = [
        Overloaded,
        DeadlineUnreachable,
        DeadlinePassed,
        NotInCatalogue,
        NoUpstream,
        Stopping,
        StoreUnavailable,
        InProgress,
        AlreadyRan,
        Preempted,
        UpstreamFailed,
        UpstreamRefused,
        UpstreamStalled,
        Quarantined,
        CallerLeft,
        Isolated,
    ];
    for code in codes {
        let name = serde_json::to_value(code).expect("a code has a name");
        let row = format!("\n| `{}` |", name.as_str().expect("the name is a text"));
        assert!(page.contains(&row), "no row {row}");
    }
}

/// An example call of the page and the answer that the page shows for it.
struct Example {
    method: Method,
    path: String,
    role: String,
    status: u16,
    body: Option<Value>,
    answer: Value,
}

/// Returns the fenced code blocks of a page, each as its info string and its text.
fn blocks(page: &str) -> Vec<(String, String)> {
    let mut parts = page.split("\n```");
    parts.next();
    let mut blocks = Vec::new();
    while let (Some(block), Some(_)) = (parts.next(), parts.next()) {
        let (words, text) = block
            .split_once('\n')
            .expect("a block has an info string and text");
        blocks.push((words.to_owned(), text.to_owned()));
    }
    blocks
}

fn examples(page: &str) -> Vec<Example> {
    let mut blocks = blocks(page).into_iter();
    let mut examples = Vec::new();
    while let Some((words, text)) = blocks.next() {
        let document: Value = serde_json::from_str(&text).expect("an example is JSON");
        let words: Vec<_> = words.split(' ').collect();
        let ["json", method, path, role, status] = words[..] else {
            panic!("the info string of a block describes no call: {words:?}");
        };
        let (body, answer) = if method == "GET" {
            (None, document)
        } else {
            let (words, answer) = blocks.next().expect("the answer follows");
            assert_eq!(words, "json answer");
            let answer = serde_json::from_str(&answer).expect("an answer is JSON");
            (Some(document), answer)
        };
        examples.push(Example {
            method: method.parse().expect("a method"),
            path: path.to_owned(),
            role: role.to_owned(),
            status: status.parse().expect("a status"),
            body,
            answer,
        });
    }
    examples
}

impl Example {
    async fn ask(&self, client: &Client, node: SocketAddr) -> (u16, Value) {
        let url = format!("http://{node}{}", self.path);
        let mut call = client.request(self.method.clone(), url);
        match self.role.as_str() {
            "read" => call = call.bearer_auth(READ_KEY),
            "edit" => call = call.bearer_auth(EDIT_KEY),
            _ => (),
        }
        if let Some(body) = &self.body {
            call = call.json(body);
        }
        let answer = call.send().await.expect("the node answers");
        let status = answer.status().as_u16();
        let text = answer.text().await.expect("the answer can be read");
        (
            status,
            serde_json::from_str(&text).expect("the answer is JSON"),
        )
    }

    /// Returns true if the node's answer agrees with the page. Values that a node generates may differ.
    fn agrees(&self, status: u16, answer: &Value) -> bool {
        status == self.status && agrees("", &self.answer, answer)
    }

    /// Returns true if a repeated call can still give the expected answer.
    fn may_succeed_later(&self, status: u16) -> bool {
        self.method == Method::GET || status == 503
    }
}

/// Numeric fields that each node generates, so the page can't show their value.
const GENERATED_FIELDS: [&str; 4] = ["incarnation", "started_at_s", "made_at_s", "silent_ms"];

fn agrees(name: &str, shown: &Value, actual: &Value) -> bool {
    match (shown, actual) {
        (Value::Object(shown), Value::Object(actual)) => {
            shown.len() == actual.len()
                && shown.iter().all(|(name, value)| {
                    actual
                        .get(name)
                        .is_some_and(|actual| agrees(name, value, actual))
                })
        }
        (Value::Array(shown), Value::Array(actual)) => {
            // The page may show only the first entries of a long list.
            shown.is_empty() == actual.is_empty()
                && shown
                    .iter()
                    .zip(actual)
                    .all(|(shown, actual)| agrees(name, shown, actual))
        }
        (Value::Number(_), Value::Number(_)) if GENERATED_FIELDS.contains(&name) => true,
        _ => shown == actual,
    }
}

/// Returns different loopback addresses with free ports: all listeners stay open until the last one has its port.
fn free_addresses() -> [SocketAddr; 3] {
    let listeners =
        [(); 3].map(|()| TcpListener::bind(("127.0.0.1", 0)).expect("loopback has a free port"));
    listeners.map(|listener| listener.local_addr().expect("the listener has an address"))
}

fn settings(platform: SocketAddr) -> NodeSettings {
    let [caller, mesh, admin] = free_addresses();
    let settings = json!({
        "node": "entry-1",
        "data_centre": "vasteras",
        "caller_address": caller,
        "mesh_address": mesh,
        "admin_address": admin,
        "platform": {"address": platform.to_string(), "key": PLATFORM_KEY},
        "mesh_key": "pages-mesh-key-0001",
        "admin_keys": {"read": READ_KEY, "edit": EDIT_KEY},
    });
    NodeSettings::parse(&settings.to_string()).expect("the settings have no faults")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_answers_the_examples_of_the_page_on_administration_as_shown() {
    let platform = PlatformFake::start(SocketAddr::from(([127, 0, 0, 1], 0)), PLATFORM_KEY)
        .await
        .expect("the stand-in starts");
    let node = Node::start(&settings(platform.address()))
        .await
        .expect("the node starts");
    let client = Client::builder().no_proxy().build().expect("a client");
    let examples = examples(&page("ADMINISTRATION.md"));
    assert!(examples.len() >= 12, "{} examples", examples.len());
    for example in examples {
        let started_at = Instant::now();
        loop {
            let (status, answer) = example.ask(&client, node.admin_address()).await;
            if example.agrees(status, &answer) {
                break;
            }
            assert!(
                example.may_succeed_later(status) && started_at.elapsed() < ANSWER_TIMEOUT,
                "{} {}: {status} {answer:#}\nthe page shows {} {:#}",
                example.method,
                example.path,
                example.status,
                example.answer
            );
            sleep(ASK_AGAIN_AFTER).await;
        }
    }
    let changes = history(&client, node.admin_address()).await;
    let diff = CatalogueDiff::between(&changes, 1, 3)
        .expect("the examples of the page make three versions");
    let shown: String = diff
        .to_string()
        .lines()
        .map(|line| format!("    {line}\n"))
        .collect();
    assert!(page("ADMINISTRATION.md").contains(&shown), "{shown}");
    node.stopper().stop();
    node.wait().await;
    platform.stop().await;
}

async fn history(client: &Client, node: SocketAddr) -> Vec<CatalogueChange> {
    let url = format!("http://{node}/admin/history?since=0");
    let answer = client.get(url).bearer_auth(READ_KEY).send().await;
    let mut document: Value = answer
        .expect("the node answers")
        .json()
        .await
        .expect("the answer is JSON");
    serde_json::from_value(document["changes"].take()).expect("the history is a list of changes")
}
