//! Guards against an answer that ends with its connection looking complete although the tunnel broke.

use {
    dragonflystep_dispatch::{
        ActiveRun, CrashEvidence, RunReport, SlotRequest, StreamVersion, UpstreamLoad,
        UpstreamNotice, UsageReport,
    },
    dragonflystep_peer::{
        Digest, ListPiece, ListPieceRequest, Network, PeerHandler, RequestedTunnel,
        SlotDecisionFuture, TcpNetwork, TunnelError, TunnelFuture, TunnelRefusal, TunnelTarget,
        open_tunnel, serve_peer,
    },
    std::{
        cell::Cell,
        io,
        net::{Ipv4Addr, SocketAddr},
        rc::Rc,
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
        task::{JoinHandle, LocalSet, spawn_local},
    },
};

const LIMIT: Duration = Duration::from_secs(5);

/// What the upstream does after it has read a line.
#[derive(Clone, Copy)]
enum Upstream {
    /// It answers and closes the connection.
    Closes,
    /// It answers and keeps the connection open.
    KeepsOpen,
    /// It answers and resets the connection.
    Resets,
}

/// Serves tunnels only.
struct Forwarder {
    refusal: Option<TunnelRefusal>,
    opened: Cell<u32>,
}

impl PeerHandler for Forwarder {
    fn request_slot(&self, _: SlotRequest) -> SlotDecisionFuture {
        unreachable!("no calls are made")
    }

    fn report_run_end(&self, _: RunReport) {}

    fn adopt_runs(&self, _: Vec<ActiveRun>) {}

    fn report_usage(&self, _: UsageReport) {}

    fn report_load(&self, _: UpstreamLoad) {}

    fn report_crashes(&self, _: CrashEvidence) {}

    fn report_streams(&self, _: Vec<StreamVersion>) {}

    fn share_notices(&self, _: Vec<UpstreamNotice>) {}

    fn fetch_list_piece(&self, _: ListPieceRequest) -> ListPiece {
        ListPiece::default()
    }

    fn exchange(&self, digest: Digest) -> Digest {
        digest
    }

    fn serve_tunnel(&self, target: TunnelTarget, tunnel: RequestedTunnel) -> TunnelFuture {
        assert_eq!(&*target.opener, "opener");
        self.opened.set(self.opened.get() + 1);
        let refusal = self.refusal;
        Box::pin(async move {
            if let Some(refusal) = refusal {
                tunnel.refuse(refusal).await.expect("the opener reads it");
                return;
            }
            let upstream = TcpNetwork::default().connect(&target.upstream).await;
            // A tunnel that breaks is what some of the tests are about.
            let _ = tunnel
                .forward(upstream.expect("the upstream listens"), |_| {})
                .await;
        })
    }
}

async fn start_upstream(behaviour: Upstream) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a port");
    let address = listener.local_addr().expect("an address");
    spawn_local(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 5];
        stream.read_exact(&mut request).await.expect("the request");
        stream.write_all(b"answer").await.expect("the tunnel reads");
        match behaviour {
            Upstream::Closes => {}
            Upstream::KeepsOpen => std::future::pending().await,
            Upstream::Resets => {
                // The answer arrives before the reset.
                tokio::time::sleep(Duration::from_millis(50)).await;
                stream.set_zero_linger().expect("a socket option");
            }
        }
    });
    address
}

/// Starts a forwarder for one connection; aborting the task kills it.
async fn start_forwarder(refusal: Option<TunnelRefusal>) -> (String, JoinHandle<()>) {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = TcpListener::bind(any).await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let task = spawn_local(async move {
        let (stream, _) = listener.accept().await.expect("a connection");
        let forwarder = Rc::new(Forwarder {
            refusal,
            opened: Cell::new(0),
        });
        serve_peer(Box::new(stream), forwarder).await;
    });
    (address, task)
}

/// Sends a request through a tunnel and reads until the end; `kill` kills the forwarder once the answer has arrived.
async fn exchange(behaviour: Upstream, kill: bool) -> (Vec<u8>, io::Result<usize>) {
    let upstream = start_upstream(behaviour).await.to_string();
    let (forwarder, task) = start_forwarder(None).await;
    let tunnel = open_tunnel(
        &TcpNetwork::default(),
        &forwarder,
        "opener",
        &upstream,
        LIMIT,
    )
    .await;
    let mut tunnel = tunnel.expect("a tunnel");
    tunnel
        .write_all(b"hello")
        .await
        .expect("the tunnel is open");
    let mut answer = vec![0; 6];
    tunnel.read_exact(&mut answer).await.expect("the answer");
    if kill {
        task.abort();
    }
    let mut rest = Vec::new();
    let end = tunnel.read_to_end(&mut rest).await;
    (answer, end)
}

fn in_local_set(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

#[test]
fn a_connection_that_the_upstream_closes_ends_cleanly() {
    in_local_set(async {
        let (answer, end) = exchange(Upstream::Closes, false).await;
        assert_eq!(answer, b"answer");
        assert_eq!(end.expect("a clean end"), 0);
    });
}

#[test]
fn a_connection_that_the_upstream_resets_ends_with_an_error() {
    in_local_set(async {
        let (_, end) = exchange(Upstream::Resets, false).await;
        end.expect_err("the connection was reset");
    });
}

#[test]
fn a_tunnel_whose_forwarder_is_killed_ends_with_an_error() {
    in_local_set(async {
        let (_, end) = exchange(Upstream::KeepsOpen, true).await;
        end.expect_err("the forwarder was killed");
    });
}

#[test]
fn a_refusal_reaches_the_opener() {
    in_local_set(async {
        for refusal in [
            TunnelRefusal::Unreachable,
            TunnelRefusal::NoPath,
            TunnelRefusal::Busy,
            TunnelRefusal::UnknownUpstream,
        ] {
            let (forwarder, _task) = start_forwarder(Some(refusal)).await;
            let tunnel = open_tunnel(
                &TcpNetwork::default(),
                &forwarder,
                "opener",
                "10.0.0.1:1",
                LIMIT,
            )
            .await;
            let error = tunnel.err().expect("a refusal");
            assert!(
                matches!(error, TunnelError::Refused(received) if received == refusal),
                "{error}"
            );
        }
    });
}

/// Lets a forwarder send these bytes after it has opened a tunnel, and close its connection in order. Returns how the tunnel
/// ends.
async fn end_after(frames: &'static [u8]) -> io::Result<usize> {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = TcpListener::bind(any).await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let _forwarder = spawn_local(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 64];
        // An unread request would make the close a reset.
        let _ = stream.read(&mut request).await;
        stream.write_all(b"\0\x01\0").await.expect("it is opened");
        stream.write_all(frames).await.expect("the frames are sent");
        stream.shutdown().await.expect("it is closed");
        while stream.read(&mut request).await.is_ok_and(|count| count > 0) {}
    });
    let network = TcpNetwork::default();
    let tunnel = open_tunnel(&network, &address, "opener", "10.0.0.1:80", LIMIT).await;
    let mut rest = Vec::new();
    tunnel.expect("a tunnel").read_to_end(&mut rest).await
}

#[test]
fn a_tunnel_whose_connection_is_closed_in_order_ends_only_with_the_frame_that_ends_it() {
    in_local_set(async {
        let without_end: [&[u8]; 6] = [
            b"",
            b"\0\x06answer",
            b"\0\x06ans",
            b"\0\x02\0\0",
            b"\0\x06answer\0",
            b"HTTP/1.1 200 OK\r\n\r\n\0\0",
        ];
        for frames in without_end {
            let end = end_after(frames).await;
            end.expect_err("the upstream did not close the connection");
        }
        let end = end_after(b"\0\x06answer\0\0").await;
        assert_eq!(end.expect("a clean end"), 6);
    });
}
