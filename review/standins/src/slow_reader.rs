//! A client reads its answer slowly while the node that serves it is stopped as planned.

use {
    crate::{
        Outcome, Verdict,
        client::{find, read_head, request},
        record::Record,
        system::{Entry, Shared, System, config},
    },
    dragonflystep_standins::read_call,
    serde_json::json,
    socket2::{Domain, Socket, Type},
    std::{
        io,
        net::SocketAddr,
        path::Path,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpSocket, TcpStream},
        task::spawn_local,
        time::{sleep, timeout},
    },
};

const SERVICE: &str = "booking-api";
const NODES: usize = 3;
const WORKERS: usize = 2;
const SLOTS: u32 = 6;

/// Time that a worker works on a request.
const WORK: Duration = Duration::from_millis(30);

/// Length of a plain answer, and number and length of the events of a stream.
const PLAIN_BYTES: usize = 2 << 20;
const EVENTS: usize = 43;
const EVENT_BYTES: usize = PLAIN_BYTES / EVENTS;

/// A client reads this many bytes at once, and then waits: 640 KiB a second, so that an answer takes 3.2 s.
const READ_BYTES: usize = 64 << 10;
const READ_PAUSE: Duration = Duration::from_millis(100);

/// Receive buffer of a client, and its segment size, which is that of Ethernet. On loopback the kernel would otherwise take
/// megabytes from the node at once.
const RECEIVE_BUFFER: usize = 32 << 10;
const SEGMENT_BYTES: u32 = 1_460;

/// Time that the clients have, and the timeout of the routes.
const DEADLINE_MS: u64 = 15_000;

/// The clients send their requests this long after SIGTERM. They have not asked for addresses since then, as they keep them
/// for some seconds.
const SENT_AFTER: Duration = Duration::from_millis(2_000);
const GRACE: Duration = Duration::from_secs(8);

async fn serve_worker(id: Rc<str>, record: Record, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let (id, record) = (id.clone(), record.clone());
        spawn_local(async move {
            // The node may close its connections at any time.
            let _ = serve_calls(&id, &record, stream).await;
        });
    }
}

async fn serve_calls(worker: &str, record: &Record, mut stream: TcpStream) -> io::Result<()> {
    let mut buffered = Vec::new();
    while let Some(call) = read_call(&mut stream, &mut buffered).await? {
        if call.path() == "/healthz" {
            let answer =
                format!("HTTP/1.1 200 OK\r\nInstance-Id: {worker}\r\nContent-Length: 0\r\n\r\n");
            stream.write_all(answer.as_bytes()).await?;
            continue;
        }
        let id = call.header("request-id").to_owned();
        record.line(&format!("worker {worker} runs {id}"));
        sleep(WORK).await;
        let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: {worker}.{id}\r\n");
        if call.path().starts_with("/stream/") {
            let head = format!(
                "{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            stream.write_all(head.as_bytes()).await?;
            for number in 1..=EVENTS {
                let event = format!("id: {number}\ndata: {}\n\n", "x".repeat(EVENT_BYTES));
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                stream.write_all(chunk.as_bytes()).await?;
            }
            stream.write_all(b"0\r\n\r\n").await?;
        } else {
            let head = format!("{head}Content-Length: {PLAIN_BYTES}\r\n\r\n");
            stream.write_all(head.as_bytes()).await?;
            stream.write_all(&vec![b'x'; PLAIN_BYTES]).await?;
        }
        record.line(&format!(
            "worker {worker} has sent the whole answer to {id}"
        ));
    }
    Ok(())
}

/// How the answer to a client ended.
struct Reading {
    id: String,
    status: u16,
    bytes: usize,
    is_whole: bool,
}

fn connect_socket() -> io::Result<TcpSocket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
    socket.set_tcp_mss(SEGMENT_BYTES)?;
    Ok(TcpSocket::from_std_stream(socket.into()))
}

/// Sends a request and reads its answer slowly.
async fn read_slowly(
    node: SocketAddr,
    path: &str,
    id: &str,
    record: &Record,
) -> io::Result<Reading> {
    let mut stream = connect_socket()?.connect(node).await?;
    record.line(&format!("client sends {id}, {path}"));
    stream
        .write_all(&request(path, id, DEADLINE_MS, "", "a request"))
        .await?;
    let mut body = Vec::new();
    let head = read_head(&mut stream, &mut body).await?;
    record.line(&format!(
        "client gets the head of the answer to {id}: {}",
        head.status
    ));
    let is_whole = |body: &[u8]| {
        if head.is_chunked() {
            find(&body[body.len().saturating_sub(7)..], b"\r\n0\r\n\r\n").is_some()
        } else {
            Some(body.len()) == head.length()
        }
    };
    let mut piece = vec![0; READ_BYTES];
    while !is_whole(&body) {
        match stream.read(&mut piece).await {
            Ok(0) => {
                record.line(&format!("the connection of {id} ends"));
                break;
            }
            Ok(count) => body.extend_from_slice(&piece[..count]),
            Err(error) => {
                record.line(&format!("the connection of {id} breaks: {error}"));
                break;
            }
        }
        sleep(READ_PAUSE).await;
    }
    let reading = Reading {
        id: id.to_owned(),
        status: head.status,
        bytes: body.len(),
        is_whole: is_whole(&body),
    };
    let kind = if reading.is_whole { "whole" } else { "cut" };
    record.line(&format!(
        "client has read {} bytes of the answer to {id}: {kind}",
        reading.bytes
    ));
    Ok(reading)
}

pub async fn play(program: &Path, record: &Record, has_trouble: bool) -> Outcome {
    let mut entries = Vec::new();
    for number in 0..WORKERS {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let id = format!("i-{number}");
        entries.push(Entry {
            id: id.clone(),
            service: SERVICE,
            address: listener.local_addr()?.to_string(),
            slots: SLOTS,
        });
        spawn_local(serve_worker(id.into(), record.clone(), listener));
    }
    let route = |name: &str, prefix: &str, kind: &str| {
        json!({"name": name, "host": crate::system::HOST, "prefix": prefix, "type": kind,
            "timeout_ms": DEADLINE_MS, "slo_ms": 1000, "priority": 1, "backend": SERVICE, "max_attempts": 1,
            "anonymous": false, "resumable": false, "gap_target_ms": 400})
    };
    let routes = [
        route("r-write", "/write/", "non_idempotent"),
        route("r-stream", "/stream/", "stream"),
    ];
    let mut system = System::start(
        program,
        record,
        NODES,
        &config(SERVICE, &serde_json::Value::Null, &routes),
        entries,
    )
    .await?;
    sleep(Duration::from_secs(1)).await;
    let node = system.nodes[0].ingress;
    let readings: Shared<Vec<Reading>> = Rc::default();
    let stopped_at = Instant::now();
    if has_trouble {
        system.nodes[0].terminate()?;
        record.line("SIGTERM to the node of the clients");
    }
    sleep(SENT_AFTER).await;
    let clients: Vec<_> = [
        ("/write/a", "plain-1"),
        ("/write/b", "plain-2"),
        ("/stream/a", "stream-1"),
        ("/stream/b", "stream-2"),
    ]
    .into_iter()
    .map(|(path, id)| {
        let (record, readings) = (record.clone(), readings.clone());
        spawn_local(async move {
            match read_slowly(node, path, id, &record).await {
                Ok(reading) => readings.borrow_mut().push(reading),
                Err(error) => record.line(&format!("{id} got no answer: {error}")),
            }
        })
    })
    .collect();
    if has_trouble {
        let left = GRACE.saturating_sub(stopped_at.elapsed());
        let ended = timeout(left, system.nodes[0].wait()).await;
        let after_s = stopped_at.elapsed().as_secs_f64();
        match ended {
            Ok(status) => record.line(&format!(
                "the node has ended {after_s:.3} s after SIGTERM: {}",
                status?
            )),
            Err(_) => record.line("the node has not ended within its grace period"),
        }
    }
    for client in clients {
        client.await?;
    }
    Ok(judge(record, &readings.borrow()))
}

/// Checks the rule LOST: all four requests were read whole and passed on, and their workers answered at once.
fn judge(record: &Record, readings: &[Reading]) -> Verdict {
    let mut verdict = Verdict::Held;
    if readings.len() < 4 {
        verdict = Verdict::Broken;
    }
    for reading in readings {
        if !reading.is_whole {
            record.line(&format!(
                "LOST: the answer {} to {} ends after {} bytes",
                reading.status, reading.id, reading.bytes
            ));
            verdict = Verdict::Broken;
        }
    }
    record.line(&format!("{} answers began", readings.len()));
    verdict
}
