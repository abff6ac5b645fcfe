//! Workers as the pages describe them: they register themselves in the store, answer requests with their signature, and are
//! back under a new id and address some seconds after a crash.

use {
    crate::record::Record,
    dragonflystep_standins::{ReceivedCall, StoreStandIn, read_call},
    serde_json::json,
    std::{
        cell::{Cell, RefCell},
        collections::VecDeque,
        io,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        io::AsyncWriteExt,
        net::{TcpListener, TcpStream},
        sync::Notify,
        task::{JoinSet, spawn_local},
        time::{Instant, sleep},
    },
};

/// Time until a crashed worker is back.
const RESTART_TIME: Duration = Duration::from_secs(2);

/// Three heartbeats of silence, after which the entry of a crashed worker is removed.
const ENTRY_LIFETIME: Duration = Duration::from_millis(3_600);

/// Time after which a worker fails a request.
const FAILURE_TIME: Duration = Duration::from_millis(1);

/// An arrival of a request at a worker.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub path: String,
    pub at: Instant,
}

/// All workers of a service, with what they saw.
pub struct Workers {
    service: &'static str,
    store: StoreStandIn,
    record: Rc<Record>,
    work: Duration,
    /// Requests with this path crash the worker that begins to run them.
    crashing_path: &'static str,
    /// Time for which a worker works on such a request before it crashes.
    crash_after: Duration,
    /// Share of the requests that are run and answered with 500.
    pub failing_share: Cell<f64>,
    failures_due: Cell<f64>,
    started: Cell<u32>,
    pub arrivals: RefCell<Vec<Arrival>>,
    /// When requests with the crashing path crashed workers.
    pub content_crashes: RefCell<Vec<Instant>>,
    /// The running workers, each with what crashes it; the longest running first.
    running: RefCell<VecDeque<Rc<Notify>>>,
}

impl Workers {
    pub fn new(
        service: &'static str,
        store: StoreStandIn,
        record: Rc<Record>,
        work: Duration,
        crashing_path: &'static str,
        crash_after: Duration,
    ) -> Rc<Self> {
        Rc::new(Self {
            service,
            store,
            record,
            work,
            crashing_path,
            crash_after,
            failing_share: Cell::new(0.0),
            failures_due: Cell::new(0.0),
            started: Cell::new(0),
            arrivals: RefCell::default(),
            content_crashes: RefCell::default(),
            running: RefCell::default(),
        })
    }

    /// Starts a worker and registers it.
    pub async fn start_one(self: &Rc<Self>) -> io::Result<()> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let number = self.started.get() + 1;
        self.started.set(number);
        let id = format!("i-{}-{number}", self.service);
        let slots = if self.service == "lm-servers" { 5 } else { 6 };
        let entry = json!({"backend": self.service, "address": address.to_string(), "zone": "hall-a", "version": "v1",
            "batch_slots": slots, "state": "ready", "warmup_left_ms": 0, "seq": 1});
        self.store.put("servers", &id, &entry);
        self.record
            .line(&format!("worker {id} starts at {address}"));
        spawn_local(self.clone().serve(id, listener));
        Ok(())
    }

    /// Crashes some of the running workers, those first that have run for longest.
    pub fn crash(&self, count: usize) {
        let running = self.running.borrow();
        for crashed in running.iter().take(count) {
            crashed.notify_one();
        }
    }

    async fn serve(self: Rc<Self>, id: String, listener: TcpListener) {
        let crashed = Rc::new(Notify::new());
        self.running.borrow_mut().push_back(crashed.clone());
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    let (workers, id, crashed) = (self.clone(), id.clone(), crashed.clone());
                    connections.spawn_local(async move {
                        let ended = workers.serve_connection(&id, stream).await;
                        if matches!(ended, Ok(true)) {
                            workers.content_crashes.borrow_mut().push(Instant::now());
                            crashed.notify_one();
                            // The connection stays open until the worker ends.
                            std::future::pending::<()>().await;
                        }
                    });
                }
                () = crashed.notified() => break,
            }
        }
        // All connections end with the worker.
        drop(listener);
        connections.shutdown().await;
        self.running
            .borrow_mut()
            .retain(|other| !Rc::ptr_eq(other, &crashed));
        self.record.line(&format!("worker {id} has crashed"));
        let workers = self.clone();
        spawn_local(async move {
            sleep(ENTRY_LIFETIME).await;
            workers.store.remove("servers", &id);
        });
        sleep(RESTART_TIME).await;
        if let Err(error) = self.start_one().await {
            self.record
                .line(&format!("a worker can't start again: {error}"));
        }
    }

    /// Serves a connection; returns whether a request crashed the worker.
    async fn serve_connection(&self, id: &str, mut stream: TcpStream) -> io::Result<bool> {
        let mut buffered = Vec::new();
        while let Some(call) = read_call(&mut stream, &mut buffered).await? {
            if call.path() == "/healthz" {
                let head =
                    format!("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nInstance-Id: {id}\r\n\r\n");
                stream.write_all(head.as_bytes()).await?;
                continue;
            }
            if self.run(id, &mut stream, &call).await? {
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// Runs a request and answers it; returns whether it crashes the worker.
    async fn run(&self, id: &str, stream: &mut TcpStream, call: &ReceivedCall) -> io::Result<bool> {
        let request = call.header("request-id");
        let expected = call.header("expect-instance");
        if !expected.is_empty() && expected != id {
            let head = format!(
                "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\nRequest-Id: {request}\r\n\r\n"
            );
            stream.write_all(head.as_bytes()).await?;
            return Ok(false);
        }
        self.arrivals.borrow_mut().push(Arrival {
            id: request.to_owned(),
            path: call.path().to_owned(),
            at: Instant::now(),
        });
        if call.path() == self.crashing_path {
            self.record
                .line(&format!("worker {id} begins to run {request}"));
            // The request is dropped when its connection closes.
            let mut next_byte = [0];
            return tokio::select! {
                () = sleep(self.crash_after) => Ok(true),
                closed = stream.peek(&mut next_byte) => match closed {
                    Ok(0) => {
                        self.record.line(&format!("worker {id} drops {request}"));
                        Ok(false)
                    }
                    Ok(_) => Err(io::ErrorKind::InvalidData.into()),
                    Err(error) => Err(error),
                },
            };
        }
        let (status, work) = if self.fails_next() {
            ("500 Internal Server Error", FAILURE_TIME)
        } else {
            ("200 OK", self.work)
        };
        sleep(work).await;
        let head = format!(
            "HTTP/1.1 {status}\r\nContent-Length: 2\r\nRequest-Id: {request}\r\nServer-Seal: {id}.{request}\r\n\r\nok"
        );
        stream.write_all(head.as_bytes()).await?;
        Ok(false)
    }

    /// Whether the next request fails; spreads the failures evenly.
    fn fails_next(&self) -> bool {
        let due = self.failures_due.get() + self.failing_share.get();
        let fails = due >= 1.0;
        self.failures_due.set(if fails { due - 1.0 } else { due });
        fails
    }
}
