//! Guards against a limit of unacknowledged data that closes silent connections earlier or later than the keepalive
//! probes do.

use {
    dragonflystep_peer::{KeepaliveLimits, Network, TcpNetwork},
    socket2::SockRef,
    std::{
        net::{Ipv4Addr, SocketAddr},
        time::Duration,
    },
    tokio::net::{TcpListener, TcpStream},
};

#[test]
fn probes_and_unacknowledged_data_close_a_silent_connection_at_the_same_time() {
    let limits = KeepaliveLimits::default();
    let by_count = limits.probe_interval * (limits.probes + 1);
    // The first probe that is due after the time for unacknowledged data.
    let unacknowledged = limits.unacknowledged.expect("a limit");
    let intervals = unacknowledged.as_secs_f64() / limits.probe_interval.as_secs_f64();
    let by_time = limits.probe_interval.mul_f64(intervals.ceil());
    assert_eq!(by_count, by_time);
    assert!(
        by_time > Duration::from_secs(2),
        "a silent second ends no connection"
    );
}

#[tokio::test]
async fn both_limits_are_set_on_connections() {
    let limits = KeepaliveLimits::default();
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = TcpListener::bind(any).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let stream = TcpStream::connect(address).await.expect("a connection");
    dragonflystep_peer::configure_stream(&stream, limits).expect("options");
    let socket = SockRef::from(&stream);
    let timeout = socket.tcp_user_timeout().expect("an option");
    assert_eq!(timeout, limits.unacknowledged);
    assert!(socket.keepalive().expect("an option"));
    assert_eq!(
        socket.tcp_keepalive_time().expect("an option"),
        limits.probe_interval
    );
    assert_eq!(
        socket.tcp_keepalive_interval().expect("an option"),
        limits.probe_interval
    );
    assert_eq!(
        socket.tcp_keepalive_retries().expect("an option"),
        limits.probes
    );
    let network = TcpNetwork::default();
    network
        .connect(&address.to_string())
        .await
        .expect("a connection");
}
