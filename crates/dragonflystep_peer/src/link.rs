//! Client side of the calls between nodes: one link for each node that is called.

use {
    crate::{
        Digest, ListPiece, ListPieceRequest, Network, PeerError, TcpNetwork,
        codec::{
            decode_digest, decode_list_piece, decode_slot_decision, encode_active_run,
            encode_digest, encode_list_piece_request, encode_load, encode_run_report,
            encode_slot_request, encode_usage,
        },
        crash_codec::encode_evidence,
        elapsed_since,
        notice_codec::encode_notices,
        peer_capnp::peer,
        server::vat_network,
        stream_codec::{encode_streams, group_by_version},
    },
    capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side},
    dragonflystep_dispatch::{
        ActiveRun, CrashEvidence, MonotonicTime, RunReport, SlotDecision, SlotRequest,
        StreamVersion, UpstreamLoad, UpstreamNotice, UsageReport,
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

/// A link to one node, which opens its connection on demand and reopens it after a failure.
pub struct PeerLink {
    address: String,
    network: Rc<dyn Network>,
    start: Instant,
    connection: RefCell<Option<Connection>>,
    /// Held while a connection is being opened, so that concurrent calls share it.
    connect_lock: Mutex<()>,
    /// Time of the last successful response, measured from `start`.
    last_response_at: Cell<MonotonicTime>,
    /// Number of connections opened so far.
    generation: Cell<u64>,
}

struct Connection {
    client: peer::Client,
    task: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // The task would otherwise keep waiting for a node that no longer responds.
        self.task.abort();
    }
}

impl PeerLink {
    /// Creates a link over TCP to the node at `address`, as IP:PORT, without opening a connection.
    pub fn new(address: String) -> Self {
        Self::with_network(Rc::new(TcpNetwork::default()), address)
    }

    /// Creates a link over `network` to the node at `address`, as IP:PORT, without opening a connection.
    pub fn with_network(network: Rc<dyn Network>, address: String) -> Self {
        Self {
            address,
            network,
            start: Instant::now(),
            connection: RefCell::new(None),
            connect_lock: Mutex::new(()),
            last_response_at: Cell::new(Duration::ZERO),
            generation: Cell::new(0),
        }
    }

    /// Address at which the node listens, as IP:PORT.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Time since the last successful response on this link, or since the link was created if there was none.
    pub fn silent_for(&self) -> Duration {
        elapsed_since(self.start).saturating_sub(self.last_response_at.get())
    }

    /// Number of connections opened so far. After it changes, the caller has to report its active runs again: when a
    /// connection ends, the node counts the runs that it learned of over it as cancelled.
    pub fn generation(&self) -> u64 {
        self.generation.get()
    }

    /// Closes the connection. Calls in progress fail, and the next call opens a new connection.
    pub fn reset(&self) {
        self.connection.borrow_mut().take();
    }

    /// Opens a connection if none is open.
    ///
    /// # Errors
    /// When the node can't be reached.
    pub async fn open(&self) -> Result<(), PeerError> {
        self.client().await.map(|_| ())
    }

    /// Requests a slot at an upstream, and waits until the node grants or refuses it.
    ///
    /// # Errors
    /// When the node can't be reached or the connection breaks.
    pub async fn request_slot(
        &self,
        slot_request: &SlotRequest,
    ) -> Result<SlotDecision, PeerError> {
        let client = self.client().await?;
        let mut request = client.ask_request();
        encode_slot_request(slot_request, request.get().init_ask());
        let response = self.record_response(request.send().promise.await)?;
        decode_slot_decision(response.get()?.get_verdict()?)
    }

    /// Reports that a run has ended.
    ///
    /// # Errors
    /// When the node can't be reached or the connection breaks.
    pub async fn report_run_end(&self, report: &RunReport) -> Result<(), PeerError> {
        let client = self.client().await?;
        let mut request = client.ended_request();
        encode_run_report(report, request.get().init_ended());
        self.record_response(request.send().promise.await)?;
        Ok(())
    }

    /// Reports active runs that an earlier owner granted, or that the node knew from an earlier connection, so that the
    /// node counts them at their upstreams.
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
        self.record_response(request.send().promise.await)?;
        Ok(())
    }

    /// Reports what accounts spent through this node.
    ///
    /// # Errors
    /// When the node can't be reached or the connection breaks.
    pub async fn report_usage(&self, report: &UsageReport) -> Result<(), PeerError> {
        let client = self.client().await?;
        let mut request = client.spent_request();
        encode_usage(report, request.get().init_report());
        self.record_response(request.send().promise.await)?;
        Ok(())
    }

    /// Forwards the load that an upstream reported.
    ///
    /// # Errors
    /// When the node can't be reached or the connection breaks.
    pub async fn report_load(&self, load: &UpstreamLoad) -> Result<(), PeerError> {
        let client = self.client().await?;
        let mut request = client.load_observed_request();
        encode_load(load, request.get().init_load());
        self.record_response(request.send().promise.await)?;
        Ok(())
    }

    /// Forwards the notices that upstreams gave about themselves, and what is known of content that crashes them.
    ///
    /// # Errors
    /// When the node can't be reached or the connection breaks.
    pub async fn share_notices(
        &self,
        notices: &[UpstreamNotice],
        crashes: &CrashEvidence,
    ) -> Result<(), PeerError> {
        let client = self.client().await?;
        let mut request = client.noticed_request();
        encode_notices(notices, request.get().init_notices(notices.len() as u32));
        if !crashes.is_empty() {
            encode_evidence(crashes, request.get().init_crashes());
        }
        self.record_response(request.send().promise.await)?;
        Ok(())
    }

    /// Reports at which software versions streams began. A node of an older build does not take such reports.
    ///
    /// # Errors
    /// When the node can't be reached or the connection breaks.
    pub async fn report_streams(&self, streams: &[StreamVersion]) -> Result<(), PeerError> {
        let client = self.client().await?;
        let mut request = client.streams_began_request();
        let groups = group_by_version(streams);
        encode_streams(&groups, request.get().init_versions(groups.len() as u32));
        match request.send().promise.await {
            Err(error) if error.kind == capnp::ErrorKind::Unimplemented => Ok(()),
            result => self.record_response(result).map(|_| ()),
        }
    }

    /// Fetches one piece of the changes that this node lacks of a list.
    ///
    /// # Errors
    /// When the node can't be reached, does not answer in time or the connection breaks.
    pub async fn fetch_list_piece(
        &self,
        piece_request: ListPieceRequest,
        limit: Duration,
    ) -> Result<ListPiece, PeerError> {
        let call = async {
            let client = self.client().await?;
            let mut request = client.list_since_request();
            encode_list_piece_request(piece_request, request.get().init_piece());
            let response = self.record_response(request.send().promise.await)?;
            decode_list_piece(response.get()?.get_piece()?)
        };
        with_timeout(limit, call).await
    }

    /// Exchanges digests. The caller counts a node that does not answer within `limit` as failed.
    ///
    /// # Errors
    /// When the node can't be reached, does not answer in time or the connection breaks.
    pub async fn exchange(&self, digest: &Digest, limit: Duration) -> Result<Digest, PeerError> {
        let call = async {
            let client = self.client().await?;
            let mut request = client.exchange_request();
            encode_digest(digest, request.get().init_digest());
            let response = self.record_response(request.send().promise.await)?;
            decode_digest(response.get()?.get_digest()?)
        };
        with_timeout(limit, call).await
    }

    /// Records the time of a successful response; after an error, closes the connection.
    fn record_response<T>(&self, result: Result<T, capnp::Error>) -> Result<T, PeerError> {
        match result {
            Ok(value) => {
                self.last_response_at.set(elapsed_since(self.start));
                Ok(value)
            }
            Err(error) => {
                self.reset();
                Err(error.into())
            }
        }
    }

    /// Returns the client of the open connection, after opening one if necessary.
    async fn client(&self) -> Result<peer::Client, PeerError> {
        if let Some(client) = self.existing_client() {
            return Ok(client);
        }
        let _guard = self.connect_lock.lock().await;
        if let Some(client) = self.existing_client() {
            return Ok(client);
        }
        let stream = self.network.connect(&self.address).await;
        let stream = stream.map_err(|source| PeerError::Connect {
            address: self.address.clone(),
            source,
        })?;
        let mut system = RpcSystem::new(vat_network(Vec::new(), stream, Side::Client), None);
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

    /// Returns the client of the current connection, if that has not ended.
    fn existing_client(&self) -> Option<peer::Client> {
        let connection = self.connection.borrow();
        let current = connection.as_ref()?;
        (!current.task.is_finished()).then(|| current.client.clone())
    }
}

/// Waits for a call, and fails with [`PeerError::Timeout`] if it takes longer than `limit`.
async fn with_timeout<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, PeerError>>,
) -> Result<T, PeerError> {
    timeout(limit, call)
        .await
        .unwrap_or(Err(PeerError::Timeout(limit)))
}
