//! The store as one node reaches it: it may turn that node away with 503 while it serves the others.

use {
    dragonflystep_standins::{Answer, ReceivedCall, read_call, send},
    std::{cell::Cell, io, net::SocketAddr, rc::Rc},
    tokio::{
        io::AsyncWriteExt,
        net::{TcpListener, TcpStream},
        sync::Notify,
        task::spawn_local,
    },
};

#[derive(Clone)]
pub struct StoreProxy(Rc<Shared>);

struct Shared {
    address: SocketAddr,
    store: SocketAddr,
    turns_away: Cell<bool>,
    changed: Notify,
}

impl StoreProxy {
    pub async fn start(store: String) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let proxy = Self(Rc::new(Shared {
            address: listener.local_addr()?,
            store: store.parse().map_err(io::Error::other)?,
            turns_away: Cell::new(false),
            changed: Notify::new(),
        }));
        let accepting = proxy.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let proxy = accepting.clone();
                spawn_local(async move { proxy.serve(stream).await });
            }
        });
        Ok(proxy)
    }

    pub fn address(&self) -> String {
        self.0.address.to_string()
    }

    /// Calls that wait for a change are turned away at once.
    pub fn turn_away(&self, turns_away: bool) {
        self.0.turns_away.set(turns_away);
        self.0.changed.notify_waiters();
    }

    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut buffered = Vec::new();
        while let Some(call) = read_call(&mut stream, &mut buffered).await? {
            let changed = self.0.changed.notified();
            let answer = if self.0.turns_away.get() {
                None
            } else {
                tokio::select! {
                    answer = self.forward(&call) => Some(answer?),
                    () = changed => None,
                }
            };
            let bytes = match answer {
                Some(answer) => answer_bytes(&answer),
                None => b"HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n".to_vec(),
            };
            stream.write_all(&bytes).await?;
        }
        Ok(())
    }

    async fn forward(&self, call: &ReceivedCall) -> io::Result<Answer> {
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: store\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            call.method,
            call.target,
            call.body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&call.body);
        send(self.0.store, &bytes).await
    }
}

fn answer_bytes(answer: &Answer) -> Vec<u8> {
    let era = answer.header("store-era").unwrap_or("0");
    let head = format!(
        "HTTP/1.1 {} Answer\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n",
        answer.status,
        answer.body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&answer.body);
    bytes
}
