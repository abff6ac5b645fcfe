//! Cutting of callers' connections that make no progress.

use {
    crate::registry::lock,
    async_trait::async_trait,
    salvo::{
        conn::SocketAddr,
        fuse::{FuseEvent, Fusewire},
    },
    std::{
        collections::HashMap,
        net,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        sync::{Notify, watch},
        time::timeout,
    },
};

/// One connection of a caller.
pub(crate) struct Connection {
    cut: Notify,
    activity: watch::Sender<Activity>,
}

#[derive(Clone, Copy, Default)]
struct Activity {
    /// Answers that are being made on this connection.
    open_answers: usize,
    /// Changes with each written piece.
    written: u64,
    /// Whether anything was ever read.
    used: bool,
}

/// Marks a connection as busy with an answer.
pub(crate) struct Busy {
    connection: Arc<Connection>,
}

/// All connections by the caller's address.
#[derive(Default)]
pub(crate) struct Connections {
    connections: Mutex<HashMap<net::SocketAddr, Arc<Connection>>>,
}

/// Ends a connection that is cut, or on which nothing happens for too long.
pub(crate) struct ConnectionFuse {
    connection: Arc<Connection>,
    all: Arc<Connections>,
    address: Option<net::SocketAddr>,
    patience: Duration,
}

impl Connection {
    /// Cuts it, whatever is being written.
    pub(crate) fn cut(&self) {
        self.cut.notify_one();
    }

    /// Marks it as busy until the mark is dropped.
    pub(crate) fn busy(self: &Arc<Self>) -> Busy {
        self.activity
            .send_modify(|activity| activity.open_answers += 1);
        Busy {
            connection: self.clone(),
        }
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        let activity = &self.connection.activity;
        activity.send_modify(|activity| activity.open_answers -= 1);
    }
}

impl Connections {
    /// The connection from this address.
    pub(crate) fn get(&self, address: &SocketAddr) -> Option<Arc<Connection>> {
        let address = address.clone().into_std()?;
        lock(&self.connections).get(&address).cloned()
    }

    /// Cuts those on which no request ever began; they would hold a stop up.
    pub(crate) fn cut_unused(&self) {
        let connections = lock(&self.connections);
        connections
            .values()
            .filter(|connection| !connection.activity.borrow().used)
            .for_each(|connection| connection.cut());
    }
}

impl ConnectionFuse {
    /// A fuse for a new connection; it blows after `patience` without an answer in work and without a
    /// written byte.
    ///
    /// Bytes that are read do not count, or a caller could hold a connection by one byte now and then.
    pub(crate) fn new(all: &Arc<Connections>, address: SocketAddr, patience: Duration) -> Self {
        let connection = Arc::new(Connection {
            cut: Notify::new(),
            activity: watch::Sender::new(Activity::default()),
        });
        let address = address.into_std();
        if let Some(address) = address {
            lock(&all.connections).insert(address, connection.clone());
        }
        Self {
            connection,
            all: all.clone(),
            address,
            patience,
        }
    }

    async fn idle_too_long(&self) {
        let mut activity = self.connection.activity.subscribe();
        loop {
            let busy = activity.borrow_and_update().open_answers > 0;
            let change = activity.changed();
            if busy {
                let _ = change.await;
            } else if timeout(self.patience, change).await.is_err() {
                return;
            }
        }
    }
}

#[async_trait]
impl Fusewire for ConnectionFuse {
    fn event(&self, event: FuseEvent) {
        let activity = &self.connection.activity;
        match event {
            FuseEvent::WriteData(_) => activity.send_modify(|activity| activity.written += 1),
            FuseEvent::ReadData(_) => {
                // No change that the idle time should start again for.
                activity.send_if_modified(|activity| {
                    activity.used = true;
                    false
                });
            }
            _ => {}
        }
    }

    async fn fused(&self) {
        tokio::select! {
            () = self.connection.cut.notified() => {}
            () = self.idle_too_long() => {}
        }
    }
}

impl Drop for ConnectionFuse {
    fn drop(&mut self) {
        let Some(address) = self.address else {
            return;
        };
        let mut connections = lock(&self.all.connections);
        // A later connection may have the same address by now.
        let same = connections
            .get(&address)
            .is_some_and(|present| Arc::ptr_eq(present, &self.connection));
        if same {
            connections.remove(&address);
        }
    }
}
