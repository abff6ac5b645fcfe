//! A worker sends a second copy of a rejection late, where the answer to the next request is expected.
//!
//! The copy carries the id of the rejected request, so that it belongs to no other one. A node that takes it for the answer
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

const SERVICE: &str = "shop-app";
const WORKERS: usize = 3;
const SLOTS: u32 = 6;
const NODES: usize = 3;

/// Time that a worker works on a request.
const WORK: Duration = Duration::from_millis(60);

/// Clients, and the pause of each between two requests: about 150 requests a second, half of what the workers bear.
const CLIENTS: usize = 30;
const CLIENT_PAUSE: Duration = Duration::from_millis(130);
const DEADLINE_MS: u64 = 4_000;

/// Time before the first disruption and between two, the length of each, their number, and the time after the last one.
const CALM: Duration = Duration::from_secs(3);
const TROUBLE: Duration = Duration::from_secs(5);
const TROUBLES: u32 = 4;
const SETTLE: Duration = Duration::from_secs(2);

/// Workers that are disturbed: 0.6 of all, rounded down.
const DISTURBED: usize = 1;

/// Of 100 requests to a disturbed worker, it rejects this many (`srv_grey`, `shed`), and of 100 answers it sends this many a
/// second time (`garble`, `extra late`). Those that it sends again are rejections.
const REJECTED_PERCENT: u32 = 40;
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
    /// Requests that arrived and answers that were sent during the disruptions, and answers that are to be sent again.
    arrived: Cell<u32>,
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
            let answer = self.answer(&call, &id).await;
            stream.write_all(&answer).await?;
            if self.is_disturbed.get() {
                let answered = self.answered.replace(self.answered.get() + 1);
                let due = self.repeats_due.get() + u32::from(is_due(answered, REPEATED_PERCENT));
                let is_rejection = answer.starts_with(b"HTTP/1.1 503");
                self.repeats_due
                    .set(due - u32::from(due > 0 && is_rejection));
                late_copy = (due > 0 && is_rejection).then_some((id, answer));
            }
        }
        Ok(())
    }

    /// Runs a request or rejects it; returns the answer.
    async fn answer(&self, call: &ReceivedCall, id: &str) -> Vec<u8> {
        let worker = &self.id;
        if call.header("expect-instance") != *worker {
            return format!(
                "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )
            .into_bytes();
        }
        let is_rejected = self.is_disturbed.get() && {
            let count = self.arrived.replace(self.arrived.get() + 1);
            is_due(count, REJECTED_PERCENT)
        };
        if is_rejected {
            self.record
                .line(&format!("worker {worker} rejects {id}, not executed"));
            return format!(
                "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nServer-Load: {},0,{SLOTS}\r\n\
                 Content-Length: 0\r\n\r\n",
                self.running.get()
            )
            .into_bytes();
        }
        self.record.line(&format!("worker {worker} runs {id}"));
        let mut runs = self.runs.borrow_mut();
        let by_request = runs.by_request.entry(id.to_owned()).or_default();
        by_request.push(worker.clone());
        drop(runs);
        self.running.set(self.running.get() + 1);
        sleep(WORK).await;
        self.running.set(self.running.get() - 1);
        let body = format!("done {id}\n");
        format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: {worker}.{id}\r\nServer-Load: {},0,{SLOTS}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            self.running.get(),
            body.len()
        )
        .into_bytes()
    }
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
            "/once/order"
        } else {
            "/other/order"
        };
        record.line(&format!("client sends {id} to {node}, {path}"));
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
        let bytes = request(path, &id, DEADLINE_MS, "an order");
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
            arrived: Cell::default(),
            answered: Cell::default(),
            repeats_due: Cell::default(),
        });
        spawn_local(worker.clone().accept(listener));
        workers.push(worker);
    }
    let route = |name: &str, prefix: &str, max_attempts: u32| {
        json!({"name": name, "host": crate::system::HOST, "prefix": prefix, "type": "non_idempotent",
            "timeout_ms": 4000, "slo_ms": 300, "priority": 2, "backend": SERVICE,
            "max_attempts": max_attempts, "anonymous": false})
    };
    let routes = [route("r-once", "/once/", 1), route("r-other", "/other/", 2)];
    let system = System::start(program, record, NODES, &config(SERVICE, &routes), entries).await?;
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

/// Checks the rules TWICE and REFUSED; all requests are non-idempotent.
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
