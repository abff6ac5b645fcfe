//! Guards against a `catalogue apply` that loses or repeats edits when a document needs several changes.
//!
//! The document has 2,500 accounts and one change takes at most 1,000 edits, so the command sends three changes. A
//! stand-in for a node refuses one of them, or applies it and hides the result. The command must report how far it
//! came, and running it again must complete the document.

use {
    dragonflystep::core::{
        catalogue::{Catalogue, CatalogueChange, Edit},
        catalogue_sync::{MOST_EDITS, find_faults, split_edits},
    },
    serde_json::{Value, json},
    std::{
        env, fs,
        path::PathBuf,
        process::{Command, Output, id},
        sync::{Arc, Mutex},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

const ACCOUNTS: usize = 2 * MOST_EDITS + 500;

/// How the stand-in node responds to one change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChangeResponse {
    Apply,
    Refuse,
    ApplyAndReportUnsettled,
    ApplyAndCloseConnection,
}

/// A stand-in for the administration API of a node. Responds as listed in `responses`, then applies every change.
#[derive(Default)]
struct Node {
    catalogue: Catalogue,
    responses: Vec<ChangeResponse>,
    changes: usize,
}

impl Node {
    fn answer(&mut self, call: &str, body: &[u8]) -> Option<(u16, Value)> {
        if call.starts_with("GET") {
            let catalogue = serde_json::to_value(&self.catalogue).expect("a catalogue is JSON");
            return Some((200, catalogue));
        }
        let body: Value = serde_json::from_slice(body).expect("the body is JSON");
        assert_eq!(body["based_on"], self.catalogue.version);
        let response = match self.responses.is_empty() {
            true => ChangeResponse::Apply,
            false => self.responses.remove(0),
        };
        if response == ChangeResponse::Refuse {
            let faults = json!([{"fault": "store_unavailable"}]);
            return Some((
                503,
                json!({"current": self.catalogue.version, "faults": faults}),
            ));
        }
        let text = |field: &str| body[field].as_str().expect("the field is a string").into();
        let change = CatalogueChange {
            version: self.catalogue.version + 1,
            token: text("token"),
            author: text("author"),
            reason: text("reason"),
            edits: serde_json::from_value(body["edits"].clone()).expect("the edits are valid"),
        };
        assert_eq!(find_faults(&self.catalogue, &change), Vec::new());
        self.catalogue = self.catalogue.with_change(&change);
        self.changes += 1;
        match response {
            ChangeResponse::ApplyAndCloseConnection => None,
            ChangeResponse::ApplyAndReportUnsettled => {
                Some((503, json!({"unsettled": true, "faults": []})))
            }
            _ => Some((
                200,
                json!({"version": change.version, "unconfirmed_nodes": []}),
            )),
        }
    }
}

async fn serve(mut stream: TcpStream, node: Arc<Mutex<Node>>) {
    let mut received = Vec::new();
    loop {
        let mut buffer = [0; 65_536];
        let Ok(length @ 1..) = stream.read(&mut buffer).await else {
            return;
        };
        received.extend(&buffer[..length]);
        let Some(end) = received.windows(4).position(|four| four == b"\r\n\r\n") else {
            continue;
        };
        let head = String::from_utf8_lossy(&received[..end]).to_lowercase();
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let length = length.map_or(0, |length| length.parse().expect("a number"));
        if received.len() < end + 4 + length {
            continue;
        }
        let call = String::from_utf8_lossy(&received[..end]).into_owned();
        let answer = node
            .lock()
            .expect("no thread panicked with the lock")
            .answer(&call, &received[end + 4..]);
        let Some((status, body)) = answer else {
            return;
        };
        let body = body.to_string();
        let answer = format!(
            "HTTP/1.1 {status} Answer\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
            body.len()
        );
        // An error means that the caller has closed the connection.
        let _sent = stream.write_all(answer.as_bytes()).await;
        return;
    }
}

/// A stand-in node listening on loopback, and a file with a document of many accounts.
struct ApplyTest {
    node: Arc<Mutex<Node>>,
    address: String,
    file: PathBuf,
}

impl ApplyTest {
    async fn start(name: &str, responses: Vec<ChangeResponse>) -> Self {
        let node = Node {
            responses,
            ..Node::default()
        };
        let node = Arc::new(Mutex::new(node));
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = listener
            .local_addr()
            .expect("the listener has an address")
            .to_string();
        let served = node.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, served.clone()));
            }
        });
        let file = env::temp_dir().join(format!("catalogue-apply-{name}-{}.json", id()));
        fs::write(&file, document(ACCOUNTS).to_string()).expect("the file can be written");
        Self {
            node,
            address,
            file,
        }
    }

    async fn apply(&self) -> (bool, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_dragonflystep"));
        command
            .args(["catalogue", "--admin", &self.address, "apply"])
            .args(["--author", "ops", "--reason", "test"])
            .arg(&self.file)
            .env("DRAGONFLYSTEP_ADMIN_KEY", "an-edit-key-for-tests");
        let output = tokio::task::spawn_blocking(move || command.output()).await;
        let output: Output = output
            .expect("the task does not panic")
            .expect("the command starts");
        let text = [output.stdout, output.stderr].concat();
        (
            output.status.success(),
            String::from_utf8_lossy(&text).into_owned(),
        )
    }

    fn state(&self) -> (usize, usize) {
        let node = self.node.lock().expect("no thread panicked with the lock");
        (node.catalogue.accounts.len(), node.changes)
    }
}

impl Drop for ApplyTest {
    fn drop(&mut self) {
        // On failure, the file stays in the temporary directory.
        let _removed = fs::remove_file(&self.file);
    }
}

fn document(accounts: usize) -> Value {
    let account =
        |number| json!({"id": format!("a-{number:05}"), "key_sha256": format!("{number:064x}")});
    let accounts: Vec<Value> = (0..accounts).map(account).collect();
    json!({"accounts": accounts})
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_document_is_applied_in_parts_and_applying_it_again_changes_nothing() {
    let test = ApplyTest::start("parts", Vec::new()).await;
    let (succeeded, text) = test.apply().await;
    assert!(succeeded, "{text}");
    assert!(
        text.contains("all 3 parts are made, the last one is version 3"),
        "{text}"
    );
    assert_eq!(test.state(), (ACCOUNTS, 3));
    let (succeeded, text) = test.apply().await;
    assert!(
        succeeded && text.contains("version 3 says the same already"),
        "{text}"
    );
    assert_eq!(test.state(), (ACCOUNTS, 3));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_interrupted_apply_reports_its_progress_and_the_next_call_completes_it() {
    for (response, is_applied) in [
        (ChangeResponse::Refuse, false),
        (ChangeResponse::ApplyAndReportUnsettled, true),
        (ChangeResponse::ApplyAndCloseConnection, true),
    ] {
        let test = ApplyTest::start(
            &format!("{response:?}"),
            vec![ChangeResponse::Apply, response],
        )
        .await;
        let (succeeded, text) = test.apply().await;
        assert!(!succeeded, "{response:?}: {text}");
        let progress = "stopped at part 2 of 3: version 1 was reached with 1000 edits, 1500 are missing, \
                    from accounts/a-01000 on";
        assert!(text.contains(progress), "{response:?}: {text}");
        let is_unknown = text.contains("whether that part was made is not known");
        assert_eq!(is_unknown, is_applied, "{response:?}: {text}");
        let applied = if is_applied { 2 } else { 1 };
        assert_eq!(
            test.state(),
            (applied * MOST_EDITS, applied),
            "{response:?}"
        );
        let (succeeded, text) = test.apply().await;
        assert!(succeeded, "{response:?}: {text}");
        assert_eq!(test.state(), (ACCOUNTS, 3), "{response:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_document_whose_parts_make_an_invalid_version_is_refused_before_the_first_change() {
    let test = ApplyTest::start("refused", Vec::new()).await;
    let tier = |id: &str| {
        json!({"put_tier": {"id": id, "rank": 0, "default_deadline_ms": 1000,
            "objective": {"first_token_ms": 480, "token_gap_ms": 45, "good_share": 0.9}}})
    };
    let edit = |edit| serde_json::from_value::<Edit>(edit).expect("the edit is valid");
    {
        let mut node = test.node.lock().expect("no thread panicked with the lock");
        let change = CatalogueChange {
            version: 1,
            token: "first".into(),
            author: "ops".into(),
            reason: "test".into(),
            edits: vec![edit(tier("old"))],
        };
        node.catalogue = node.catalogue.with_change(&change);
        let few = [edit(tier("new")), edit(json!({"remove": {"tier": "old"}}))];
        assert_eq!(split_edits(&node.catalogue, &few), Ok(vec![few.to_vec()]));
    }
    let mut wanted = document(ACCOUNTS);
    wanted["tiers"] = json!([tier("new")["put_tier"]]);
    fs::write(&test.file, wanted.to_string()).expect("the file can be written");
    let (succeeded, text) = test.apply().await;
    assert!(!succeeded && text.contains("nothing was changed"), "{text}");
    assert!(text.contains("tiers/new/rank"), "{text}");
    assert_eq!(test.state(), (0, 0));
}
