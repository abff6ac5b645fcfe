//! Server side of the calls between nodes.

use {
    crate::{
        Digest, ListPiece, ListPieceRequest, NetworkStream, PeerError, RequestedTunnel,
        TunnelFuture, TunnelTarget,
        codec::{
            decode_active_run, decode_digest, decode_list_piece_request, decode_load,
            decode_run_report, decode_slot_request, decode_usage, encode_digest, encode_list_piece,
            encode_slot_decision,
        },
        crash_codec::decode_evidence,
        notice_codec::decode_notices,
        peer_capnp::peer,
        stream_codec::decode_streams,
        tunnel::PREAMBLE,
    },
    capnp::capability::Promise,
    capnp_rpc::{RpcSystem, new_client, pry, rpc_twoparty_capnp::Side, twoparty::VatNetwork},
    dragonflystep_dispatch::{
        ActiveRun, CrashEvidence, RunReport, SlotDecision, SlotRequest, StreamVersion,
        UpstreamLoad, UpstreamNotice, UsageReport,
    },
    futures::io::{BufReader, BufWriter},
    std::{
        future::Future,
        io::{self, Cursor},
        pin::Pin,
        rc::Rc,
    },
    tokio::io::{AsyncReadExt, Chain, ReadHalf, WriteHalf, split},
    tokio_util::compat::{Compat, TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt},
};

/// Resolves once a slot is granted or refused; dropping it withdraws the request.
pub type SlotDecisionFuture = Pin<Box<dyn Future<Output = SlotDecision>>>;

/// Handles the calls that arrive on one connection from another node; dropped when that connection ends.
pub trait PeerHandler {
    /// Requests a slot at an upstream.
    fn request_slot(&self, request: SlotRequest) -> SlotDecisionFuture;

    /// Takes the report of a run that has ended.
    fn report_run_end(&self, report: RunReport);

    /// Takes over active runs that an earlier owner granted, or that were known from an earlier connection.
    fn adopt_runs(&self, runs: Vec<ActiveRun>);

    /// Takes the report of what accounts spent through the calling node, which arrives before its first slot request.
    fn report_usage(&self, report: UsageReport);

    /// Takes the load that an upstream reported.
    fn report_load(&self, load: UpstreamLoad);

    /// Takes the notices of upstreams about themselves that the calling node knows of.
    fn share_notices(&self, notices: Vec<UpstreamNotice>);

    /// Takes what the calling node knows of content that crashes upstreams.
    fn report_crashes(&self, evidence: CrashEvidence);

    /// Takes reports of the software versions at which streams began.
    fn report_streams(&self, streams: Vec<StreamVersion>);

    /// Returns one piece of the changes that the calling node lacks of a list.
    fn fetch_list_piece(&self, request: ListPieceRequest) -> ListPiece;

    /// Takes the calling node's digest and returns the digest of this node.
    fn exchange(&self, digest: Digest) -> Digest;

    /// Opens or refuses a tunnel, and serves it until it ends.
    fn serve_tunnel(&self, target: TunnelTarget, tunnel: RequestedTunnel) -> TunnelFuture;
}

/// Buffer size for each direction of a connection, in bytes; a call takes a few hundred.
pub(crate) const BUFFER_BYTES: usize = 2048;

/// Serves one connection from another node until it ends: calls, or a tunnel.
pub async fn serve_peer(mut stream: Box<dyn NetworkStream>, handler: Rc<dyn PeerHandler>) {
    // A connection for calls begins with a message that is longer than the preamble of a tunnel.
    let mut first_bytes = [0; PREAMBLE.len()];
    let result = match stream.read_exact(&mut first_bytes).await {
        Ok(_) if first_bytes == PREAMBLE => serve_tunnel(stream, handler).await,
        Ok(_) => serve_calls(first_bytes.to_vec(), stream, handler).await,
        Err(error) => Err(error),
    };
    if let Err(error) = result {
        log::debug!("a connection from another node ended: {error}");
    }
}

async fn serve_tunnel(
    stream: Box<dyn NetworkStream>,
    handler: Rc<dyn PeerHandler>,
) -> io::Result<()> {
    let (tunnel, target) = RequestedTunnel::receive(stream).await?;
    handler.serve_tunnel(target, tunnel).await;
    Ok(())
}

async fn serve_calls(
    first_bytes: Vec<u8>,
    stream: Box<dyn NetworkStream>,
    handler: Rc<dyn PeerHandler>,
) -> io::Result<()> {
    let network = vat_network(first_bytes, stream, Side::Server);
    let client: peer::Client = new_client(RpcService { handler });
    let system = RpcSystem::new(network, Some(client.client));
    system.await.map_err(io::Error::other)
}

/// Buffered reading half of a connection, after the bytes of it that were read before.
type StreamReader = BufReader<Compat<Chain<Cursor<Vec<u8>>, ReadHalf<Box<dyn NetworkStream>>>>>;

/// Sets up the Cap'n Proto RPC transport over a connection of which `first_bytes` were read already.
pub(crate) fn vat_network(
    first_bytes: Vec<u8>,
    stream: Box<dyn NetworkStream>,
    side: Side,
) -> Box<VatNetwork<StreamReader>> {
    let (read, write): (_, WriteHalf<_>) = split(stream);
    let read = Cursor::new(first_bytes).chain(read);
    Box::new(VatNetwork::new(
        BufReader::with_capacity(BUFFER_BYTES, read.compat()),
        BufWriter::with_capacity(BUFFER_BYTES, write.compat_write()),
        side,
        capnp::message::ReaderOptions::new(),
    ))
}

/// Decodes the calls of one connection and passes them to its handler.
struct RpcService {
    handler: Rc<dyn PeerHandler>,
}

impl peer::Server for RpcService {
    fn ask(
        &mut self,
        params: peer::AskParams,
        mut results: peer::AskResults,
    ) -> Promise<(), capnp::Error> {
        let message = pry!(pry!(params.get()).get_ask());
        let request = pry!(decode_slot_request(message).map_err(|error| to_rpc_error(&error)));
        let decision = self.handler.request_slot(request);
        Promise::from_future(async move {
            let decision = decision.await;
            encode_slot_decision(&decision, results.get().init_verdict());
            Ok(())
        })
    }

    fn ended(
        &mut self,
        params: peer::EndedParams,
        _: peer::EndedResults,
    ) -> Promise<(), capnp::Error> {
        let message = pry!(pry!(params.get()).get_ended());
        self.handler.report_run_end(pry!(
            decode_run_report(message).map_err(|error| to_rpc_error(&error))
        ));
        Promise::ok(())
    }

    fn adopt(
        &mut self,
        params: peer::AdoptParams,
        _: peer::AdoptResults,
    ) -> Promise<(), capnp::Error> {
        let messages = pry!(pry!(params.get()).get_runs());
        let runs: Result<Vec<_>, _> = messages.iter().map(decode_active_run).collect();
        self.handler
            .adopt_runs(pry!(runs.map_err(|error| to_rpc_error(&error))));
        Promise::ok(())
    }

    fn spent(
        &mut self,
        params: peer::SpentParams,
        _: peer::SpentResults,
    ) -> Promise<(), capnp::Error> {
        let message = pry!(pry!(params.get()).get_report());
        let report = pry!(decode_usage(message).map_err(|error| to_rpc_error(&error)));
        self.handler.report_usage(report);
        Promise::ok(())
    }

    fn load_observed(
        &mut self,
        params: peer::LoadObservedParams,
        _: peer::LoadObservedResults,
    ) -> Promise<(), capnp::Error> {
        let message = pry!(pry!(params.get()).get_load());
        self.handler.report_load(pry!(
            decode_load(message).map_err(|error| to_rpc_error(&error))
        ));
        Promise::ok(())
    }

    fn noticed(
        &mut self,
        params: peer::NoticedParams,
        _: peer::NoticedResults,
    ) -> Promise<(), capnp::Error> {
        let params = pry!(params.get());
        let notices = decode_notices(pry!(params.get_notices()));
        self.handler
            .share_notices(pry!(notices.map_err(|error| to_rpc_error(&error))));
        let crashes = decode_evidence(pry!(params.get_crashes()));
        let crashes = pry!(crashes.map_err(|error| to_rpc_error(&error)));
        if !crashes.is_empty() {
            self.handler.report_crashes(crashes);
        }
        Promise::ok(())
    }

    fn streams_began(
        &mut self,
        params: peer::StreamsBeganParams,
        _: peer::StreamsBeganResults,
    ) -> Promise<(), capnp::Error> {
        let messages = pry!(pry!(params.get()).get_versions());
        let streams = decode_streams(messages);
        self.handler
            .report_streams(pry!(streams.map_err(|error| to_rpc_error(&error))));
        Promise::ok(())
    }

    fn list_since(
        &mut self,
        params: peer::ListSinceParams,
        mut results: peer::ListSinceResults,
    ) -> Promise<(), capnp::Error> {
        let request = pry!(pry!(params.get()).get_piece());
        let request =
            pry!(decode_list_piece_request(request).map_err(|error| to_rpc_error(&error)));
        let piece = self.handler.fetch_list_piece(request);
        encode_list_piece(&piece, results.get().init_piece());
        Promise::ok(())
    }

    fn exchange(
        &mut self,
        params: peer::ExchangeParams,
        mut results: peer::ExchangeResults,
    ) -> Promise<(), capnp::Error> {
        let message = pry!(pry!(params.get()).get_digest());
        let peer_digest = pry!(decode_digest(message).map_err(|error| to_rpc_error(&error)));
        let own_digest = self.handler.exchange(peer_digest);
        encode_digest(&own_digest, results.get().init_digest());
        Promise::ok(())
    }
}

fn to_rpc_error(error: &PeerError) -> capnp::Error {
    capnp::Error::failed(error.to_string())
}
