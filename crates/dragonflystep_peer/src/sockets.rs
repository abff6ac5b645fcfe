//! Options of TCP sockets that detect a connection whose peer no longer responds.
//!
//! A peer that lost power or is behind a network partition sends nothing, not even a reset, and a network device
//! may drop the state of a connection while new connections still work. Neither is noticed without probes.
//!
//! On Linux, the time for which sent data may stay unacknowledged (`TCP_USER_TIMEOUT`) also decides when keepalive probes
//! give up, whatever their number: at the first probe that is due after that time. So both limits are set together, and a
//! library that sets only one of them gets the default of the other.

use {
    socket2::{SockRef, TcpKeepalive},
    std::{io, time::Duration},
    tokio::net::TcpStream,
};

/// Limits after which a connection that receives nothing is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeepaliveLimits {
    /// Time without data until the first probe, and between two probes, in whole seconds.
    pub probe_interval: Duration,
    /// Number of unanswered probes after which the connection is closed.
    pub probes: u32,
    /// Time for which sent data may stay unacknowledged, or a peer may take none; none to leave it to the operating system.
    pub unacknowledged: Option<Duration>,
}

impl Default for KeepaliveLimits {
    /// The shortest probe interval that the operating system offers. A connection that receives nothing is closed after
    /// three seconds by either limit, and one whose peer is silent for two seconds is kept.
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_secs(1),
            probes: 2,
            unacknowledged: Some(Duration::from_millis(2_500)),
        }
    }
}

impl KeepaliveLimits {
    /// Limits for connections of callers, which may read nothing for a while. The operating system counts a peer that takes no
    /// data like one that does not acknowledge any, so that there is no limit for it.
    pub fn for_callers() -> Self {
        Self {
            unacknowledged: None,
            ..Self::default()
        }
    }
}

/// Disables Nagle's algorithm, since messages are short, and enables keepalive probes.
///
/// # Errors
/// When the operating system rejects a socket option.
pub fn configure_stream(stream: &TcpStream, limits: KeepaliveLimits) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(limits.probe_interval)
        .with_interval(limits.probe_interval)
        .with_retries(limits.probes);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(limits.unacknowledged)
}
