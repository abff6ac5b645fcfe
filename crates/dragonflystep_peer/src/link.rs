//! The side that calls: one link to each node that is called.

use {
    crate::{
        Digest, ListPiece, ListPieceRequest, PeerError, PeerNetwork, TcpNetwork,
        codec::{
            decode_digest, decode_list_piece, decode_slot_decision, encode_active_run,
            encode_digest, encode_list_piece_request, encode_load, encode_run_report,
            encode_slot_request, encode_usage,
        },
        notice_codec::encode_notices,
        peer_capnp::peer,
        server::network,
        since,
    },
    capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side},
    dragonflystep_dispatch::{
        ActiveRun, MonotonicTime, RunReport, SlotDecision, SlotRequest, UpstreamLoad,
        UpstreamNotice, UsageReport,
    },
    std::{
        cell::{Cell, RefCell},
        future::Future,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        sync::Mutex,
        task::{JoinHandle, spawn_local},
        time::{Instant, timeout},
    },
};

/// A link to one node: a connection while there is one, opened when it is needed.
pub struct PeerLink {
    address: String,
    network: Rc<dyn PeerNetwork>,
    start: Instant,
    connection: RefCell<Option<Connection>>,
    opening: Mutex<()>,
    heard_at: Cell<MonotonicTime>,
    /// Connections opened so far.
    generation: Cell<u64>,
}

struct Connection {
    client: peer::Client,
    task: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // The task may wait for a node that has gone silent.
        self.task.abort();
    }
}

impl PeerLink {
    /// A link to the node at `address`, as IP:PORT, over TCP; nothing is opened yet.
    pub fn new(address: String) -> Self {
        Self::with_network(Rc::new(TcpNetwork), address)
    }

    /// A link to the node at `address`, as IP:PORT, over a network; nothing is opened yet.
    pub fn with_network(network: Rc<dyn PeerNetwork>, address: String) -> Self {
        Self {
            address,
            network,
            start: Instant::now(),
            connection: RefCell::new(None),
            opening: Mutex::new(()),
            heard_at: Cell::new(Duration::ZERO),
            generation: Cell::new(0),
        }
    }

    /// Where the node listens.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Time since the node was last heard on this link.
    pub fn silent_for(&self) -> Duration {
        since(self.start).saturating_sub(self.heard_at.get())
    }

    /// Counts the connections that were opened; a new one is a reason to tell the node what runs.
    pub fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Closes the connection; the next call opens a new one, and calls under way fail.
    pub fn reset(&self) {
        self.connection.borrow_mut().take();
    }

    /// Opens the connection if there is none.
    ///
    /// # Errors
    /// When the node can't be reached.
    pub async fn open(&self) -> Result<(), PeerError> {
        self.client().await.map(|_| ())
    }

    /// Asks for a place; waits as long as the node's queue does.
    ///
    /// # Errors
    /// When the node can't be reached or the connection breaks.
    pub async fn request_slot(&self, ask: &SlotRequest) -> Result<SlotDecision, PeerError> {
        let client = self.client().await?;
        let mut request = client.ask_request();
        encode_slot_request(ask, request.get().init_ask());
        let response = self.heard(request.send().promise.await)?;
        decode_slot_decision(response.get()?.get_verdict()?)
    }

    /// Tells of the end of a run.
    ///
    /// # Errors
    /// When the node can't be reached or the connection breaks.
    pub async fn report_run_end(&self, ended: &RunReport) -> Result<(), PeerError> {
        let client = self.client().await?;
        let mut request = client.ended_request();
        encode_run_report(ended, request.get().init_ended());
        self.heard(request.send().promise.await)?;
        Ok(())
    }

    /// Tells of runs that another owner granted.
    ///
    /// # Errors
    /// When the node can't be reached or the connection breaks.
    pub async fn adopt_runs(&self, runs: &[ActiveRun]) -> Result<(), PeerError> {
        let client = self.client().await?;
        let mut request = client.adopt_request();
        let mut list = request.get().init_runs(runs.len() as u32);
        for (index, run) in runs.iter().enumerate() {
            encode_active_run(run, list.reborrow().get(index as u32));
        }
        self.heard(request.send().promise.await)?;
        Ok(())
    }

    /// Tells what accounts spent through this node.
    ///
    /// # Errors
    /// When the node can't be reached or the connection breaks.
    pub async fn report_usage(&self, report: &UsageReport) -> Result<(), PeerError> {
        let client = self.client().await?;
        let mut request = client.spent_request();
        encode_usage(report, request.get().init_report());
        self.heard(request.send().promise.await)?;
        Ok(())
    }

    /// Tells what an upstream said of its load.
    ///
    /// # Errors
    /// When the node can't be reached or the connection breaks.
    pub async fn report_load(&self, load: &UpstreamLoad) -> Result<(), PeerError> {
        let client = self.client().await?;
        let mut request = client.load_observed_request();
        encode_load(load, request.get().init_load());
        self.heard(request.send().promise.await)?;
        Ok(())
    }

    /// Tells what upstreams said of themselves.
    ///
    /// # Errors
    /// When the node can't be reached or the connection breaks.
    pub async fn share_notices(&self, notices: &[UpstreamNotice]) -> Result<(), PeerError> {
        let client = self.client().await?;
        let mut request = client.noticed_request();
        encode_notices(notices, request.get().init_notices(notices.len() as u32));
        self.heard(request.send().promise.await)?;
        Ok(())
    }

    /// Asks for a piece of what this node is missing of a list.
    ///
    /// # Errors
    /// When the node can't be reached, does not answer in time or the connection breaks.
    pub async fn fetch_list_piece(
        &self,
        ask: ListPieceRequest,
        limit: Duration,
    ) -> Result<ListPiece, PeerError> {
        let call = async {
            let client = self.client().await?;
            let mut request = client.list_since_request();
            encode_list_piece_request(ask, request.get().init_piece());
            let response = self.heard(request.send().promise.await)?;
            decode_list_piece(response.get()?.get_piece()?)
        };
        within(limit, call).await
    }

    /// Exchanges views; a node that does not answer within `limit` counts as failed.
    ///
    /// # Errors
    /// When the node can't be reached, does not answer in time or the connection breaks.
    pub async fn exchange(&self, digest: &Digest, limit: Duration) -> Result<Digest, PeerError> {
        let call = async {
            let client = self.client().await?;
            let mut request = client.exchange_request();
            encode_digest(digest, request.get().init_digest());
            let response = self.heard(request.send().promise.await)?;
            decode_digest(response.get()?.get_digest()?)
        };
        within(limit, call).await
    }

    fn heard<T>(&self, result: Result<T, capnp::Error>) -> Result<T, PeerError> {
        match result {
            Ok(value) => {
                self.heard_at.set(since(self.start));
                Ok(value)
            }
            Err(error) => {
                self.reset();
                Err(error.into())
            }
        }
    }

    async fn client(&self) -> Result<peer::Client, PeerError> {
        if let Some(client) = self.open_client() {
            return Ok(client);
        }
        let _guard = self.opening.lock().await;
        if let Some(client) = self.open_client() {
            return Ok(client);
        }
        let stream = self.network.connect(&self.address).await;
        let stream = stream.map_err(|source| PeerError::Connect {
            address: self.address.clone(),
            source,
        })?;
        let mut system = RpcSystem::new(network(stream, Side::Client), None);
        let client: peer::Client = system.bootstrap(Side::Server);
        let task = spawn_local(async move {
            if let Err(error) = system.await {
                log::debug!("a connection to another node ended: {error}");
            }
        });
        self.connection.replace(Some(Connection {
            client: client.clone(),
            task,
        }));
        self.generation.set(self.generation.get() + 1);
        Ok(client)
    }

    fn open_client(&self) -> Option<peer::Client> {
        let connection = self.connection.borrow();
        let open = connection.as_ref()?;
        (!open.task.is_finished()).then(|| open.client.clone())
    }
}

/// The outcome of a call, if it comes within `limit`.
async fn within<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, PeerError>>,
) -> Result<T, PeerError> {
    timeout(limit, call)
        .await
        .unwrap_or(Err(PeerError::Timeout(limit)))
}
