//! A model worker sends a second copy of a rejection late, where the answer to the next request is expected.
//!
//! It rejects requests that are larger than its memory, as the protocol's page says. The copy carries the id of the rejected request, so that it belongs to no other one. A node that takes it for the answer
//! to the next request believes that this one did not run, although the worker is running it.

use {
    crate::{
        Outcome, Verdict,
        client::{call, request},
        record::Record,
        system::{Entry, Shared, System, config},
    },
    dragonflystep_standins::{ReceivedCall, read_call},
    serde_json::json,
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, BTreeSet},
        io,
        net::SocketAddr,
        path::Path,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        io::AsyncWriteExt,
        net::{TcpListener, TcpStream},
        task::spawn_local,
        time::{Instant, sleep, timeout},
    },
};

const SERVICE: &str = "lm-servers";
const WORKERS: usize = 3;
const SLOTS: u32 = 5;
const NODES: usize = 3;

/// Memory of a worker, in tokens.
const MEMORY_TOKENS: u32 = 697_024;

/// Time to the first event of a stream and between two events, and their number.
const EVENT_GAP: Duration = Duration::from_millis(15);
const EVENTS: u32 = 4;

/// Prompt tokens and most output tokens of a request, and of one that no worker's memory holds. Of each client's requests,
/// every sixth is of that size.
const TOKENS: (u32, u32) = (1_460, 80);
const OVERSIZED_TOKENS: (u32, u32) = (700_000, 80);
const OVERSIZED_PERIOD: u32 = 6;

/// Clients, and the pause of each between two requests: about 100 requests a second.
const CLIENTS: usize = 24;
const CLIENT_PAUSE: Duration = Duration::from_millis(170);
const DEADLINE_MS: u64 = 4_000;

/// Time before the first disruption and between two, the length of each, their number, and the time after the last one.
const CALM: Duration = Duration::from_secs(3);
const TROUBLE: Duration = Duration::from_secs(5);
const TROUBLES: u32 = 7;
const SETTLE: Duration = Duration::from_secs(2);

/// Workers that are disturbed: 0.6 of all, rounded down.
const DISTURBED: usize = 1;

/// Of 100 answers of a disturbed worker, this many come a second time (`garble`, `extra late`): rejections, which are a part
/// of all answers.
const REPEATED_PERCENT: u32 = 3;

/// What the workers did.
#[derive(Default)]
struct Runs {
    /// The workers that began to work on each request.
    by_request: BTreeMap<String, Vec<String>>,
}

struct Worker {
    id: String,
    record: Record,
    runs: Shared<Runs>,
    running: Cell<u32>,
    is_disturbed: Cell<bool>,
    /// Answers that were sent during the disruptions, and answers that are to be sent again.
    answered: Cell<u32>,
    repeats_due: Cell<u32>,
}

/// Whether the `count`-th of something is among `percent` in a hundred, spread evenly.
fn is_due(count: u32, percent: u32) -> bool {
    count * percent / 100 != (count + 1) * percent / 100
}

impl Worker {
    async fn accept(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let worker = self.clone();
            spawn_local(async move {
                // The node may close its connections at any time.
                let _ = worker.serve(stream).await;
            });
        }
    }

    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut buffered = Vec::new();
        // A second copy of the last answer, to be sent where the next answer is expected.
        let mut late_copy: Option<(String, Vec<u8>)> = None;
        while let Some(call) = read_call(&mut stream, &mut buffered).await? {
            if call.path() == "/healthz" {
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nServer-Load: {},0,{SLOTS}\r\nContent-Length: 0\r\n\r\n",
                    self.id,
                    self.running.get()
                );
                stream.write_all(answer.as_bytes()).await?;
                continue;
            }
            let id = call.header("request-id").to_owned();
            if let Some((other, copy)) = late_copy.take() {
                let worker = &self.id;
                self.record.line(&format!(
                    "worker {worker} sends its answer to {other} a second time; {id} has just arrived on that connection"
                ));
                stream.write_all(&copy).await?;
            }
            let answer = self.answer(&mut stream, &call, &id).await?;
            if self.is_disturbed.get() {
                let answered = self.answered.replace(self.answered.get() + 1);
                let due = self.repeats_due.get() + u32::from(is_due(answered, REPEATED_PERCENT));
                late_copy = answer.filter(|_| due > 0).map(|answer| (id, answer));
                self.repeats_due.set(due - u32::from(late_copy.is_some()));
            }
        }
        Ok(())
    }

    /// Runs a request or rejects it. Returns the answer if it is a rejection.
    async fn answer(
        &self,
        stream: &mut TcpStream,
        call: &ReceivedCall,
        id: &str,
    ) -> io::Result<Option<Vec<u8>>> {
        let worker = &self.id;
        let load = format!("Server-Load: {},0,{SLOTS}", self.running.get());
        let status = if call.header("expect-instance") != *worker {
            Some("421 Misdirected Request")
        } else if tokens_of(call) > MEMORY_TOKENS {
            Some("503 Service Unavailable")
        } else {
            None
        };
        if let Some(status) = status {
            self.record.line(&format!(
                "worker {worker} answers {id} with {status}, not executed"
            ));
            let rejection = format!(
                "HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n{load}\r\nContent-Length: 0\r\n\r\n"
            );
            stream.write_all(rejection.as_bytes()).await?;
            return Ok(Some(rejection.into_bytes()));
        }
        self.record.line(&format!("worker {worker} runs {id}"));
        self.runs
            .borrow_mut()
            .by_request
            .entry(id.to_owned())
            .or_default()
            .push(worker.clone());
        self.running.set(self.running.get() + 1);
        let result = self.stream_events(stream, id, &load).await;
        self.running.set(self.running.get() - 1);
        result.map(|()| None)
    }

    async fn stream_events(&self, stream: &mut TcpStream, id: &str, load: &str) -> io::Result<()> {
        let worker = &self.id;
        sleep(EVENT_GAP).await;
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: {worker}.{id}\r\n{load}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await?;
        for number in 1..=EVENTS {
            let event = format!("id: {number}\ndata: {id} {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes()).await?;
            sleep(EVENT_GAP).await;
        }
        stream.write_all(b"0\r\n\r\n").await
    }
}

/// Tokens of a request's prompt and of its longest answer.
fn tokens_of(call: &ReceivedCall) -> u32 {
    let counts = call.header("token-counts").split(',');
    counts.filter_map(|count| count.parse::<u32>().ok()).sum()
}

/// Statuses that clients received, by the id of the request; 0 if the connection ended without an answer.
type Answers = Shared<BTreeMap<String, u16>>;

/// Sends requests one after the other on a kept connection until `until`.
async fn run_client(
    number: usize,
    node: SocketAddr,
    until: Instant,
    record: Record,
    answers: Answers,
) {
    let mut connection = None;
    sleep(CLIENT_PAUSE * number as u32 / CLIENTS as u32).await;
    for count in 0.. {
        if Instant::now() >= until {
            return;
        }
        let id = format!("{number:04x}{count:08x}");
        let path = if count % 2 == 0 {
            "/once/2f"
        } else {
            "/other/2f"
        };
        let mut stream = match connection.take() {
            Some(stream) => stream,
            None => match TcpStream::connect(node).await {
                Ok(stream) => stream,
                Err(error) => {
                    record.line(&format!("client can't connect: {error}"));
                    continue;
                }
            },
        };
        let (prompt, output) = if count % OVERSIZED_PERIOD == OVERSIZED_PERIOD - 1 {
            OVERSIZED_TOKENS
        } else {
            TOKENS
        };
        let headers = format!("Model: m\r\nToken-Counts: {prompt},{output}\r\n");
        let bytes = request(path, &id, DEADLINE_MS, &headers, "a prompt");
        record.line(&format!(
            "client sends {id} to {node}, {path}, {prompt} tokens"
        ));
        let limit = Duration::from_millis(DEADLINE_MS + 1_000);
        let status = match timeout(limit, call(&mut stream, &bytes)).await {
            Ok(Ok((head, _))) => {
                if !head.closes() {
                    connection = Some(stream);
                }
                head.status
            }
            _ => 0,
        };
        record.line(&format!("client gets {status} for {id}"));
        answers.borrow_mut().insert(id, status);
        sleep(CLIENT_PAUSE).await;
    }
}

pub async fn play(program: &Path, record: &Record, has_trouble: bool) -> Outcome {
    let runs: Shared<Runs> = Rc::default();
    let (mut workers, mut entries) = (Vec::new(), Vec::new());
    for number in 0..WORKERS {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let id = format!("i-{number}");
        entries.push(Entry {
            id: id.clone(),
            service: SERVICE,
            address: listener.local_addr()?.to_string(),
            slots: SLOTS,
        });
        let worker = Rc::new(Worker {
            id,
            record: record.clone(),
            runs: runs.clone(),
            running: Cell::default(),
            is_disturbed: Cell::default(),
            answered: Cell::default(),
            repeats_due: Cell::default(),
        });
        spawn_local(worker.clone().accept(listener));
        workers.push(worker);
    }
    let route = |name: &str, prefix: &str, max_attempts: u32| {
        json!({"name": name, "host": crate::system::HOST, "prefix": prefix, "type": "stream", "timeout_ms": 4000,
            "slo_ms": 1000, "priority": 1, "backend": SERVICE, "max_attempts": max_attempts, "anonymous": false,
            "session_affinity": true, "resumable": false, "gap_target_ms": 250})
    };
    let engine = json!({"batch_slots": SLOTS, "kv_capacity": MEMORY_TOKENS, "stride": 4, "models": [{"name": "m"}]});
    let routes = [route("r-once", "/once/", 1), route("r-other", "/other/", 2)];
    let system = System::start(
        program,
        record,
        NODES,
        &config(SERVICE, &engine, &routes),
        entries,
    )
    .await?;
    let answers: Answers = Rc::new(RefCell::default());
    let until = Instant::now() + (CALM + TROUBLE) * TROUBLES + SETTLE;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let node = system.nodes[number % NODES].ingress;
            let (record, answers) = (record.clone(), answers.clone());
            spawn_local(run_client(number, node, until, record, answers))
        })
        .collect();
    for _ in 0..TROUBLES {
        sleep(CALM).await;
        set_disturbed(record, &workers[..DISTURBED], has_trouble);
        sleep(TROUBLE).await;
        set_disturbed(record, &workers[..DISTURBED], false);
    }
    for client in clients {
        client.await?;
    }
    sleep(SETTLE).await;
    Ok(judge(record, &runs.borrow(), &answers.borrow()))
}

fn set_disturbed(record: &Record, workers: &[Rc<Worker>], is_disturbed: bool) {
    for worker in workers {
        worker.is_disturbed.set(is_disturbed);
        record.line(&format!("worker {} disturbed: {is_disturbed}", worker.id));
    }
}

/// Checks the rules TWICE and REFUSED. No stream may be resumed, so that all count as non-idempotent.
fn judge(record: &Record, runs: &Runs, answers: &BTreeMap<String, u16>) -> Verdict {
    let twice: Vec<_> = runs
        .by_request
        .iter()
        .filter(|(_, workers)| workers.len() > 1)
        .collect();
    for (id, workers) in &twice {
        record.line(&format!("TWICE: {id} ran at {}", workers.join(" and ")));
    }
    let promises = BTreeSet::from([408, 421, 429, 503]);
    let refused: Vec<_> = answers
        .iter()
        .filter(|(id, status)| promises.contains(status) && runs.by_request.contains_key(*id))
        .collect();
    for (id, status) in &refused {
        record.line(&format!("REFUSED: {id} was answered {status} and has run"));
    }
    let mut statuses: BTreeMap<u16, u32> = BTreeMap::new();
    for status in answers.values() {
        *statuses.entry(*status).or_default() += 1;
    }
    record.line(&format!(
        "{} requests, answers by status {statuses:?}, {} ran twice, {} refused that ran",
        answers.len(),
        twice.len(),
        refused.len()
    ));
    if twice.is_empty() && refused.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
