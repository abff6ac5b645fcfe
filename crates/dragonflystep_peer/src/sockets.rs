//! Options of TCP sockets that show a connection which has gone silent.
//!
//! A peer without power, or behind a partition, answers nothing, and a network device may forget a
//! connection while new ones work. Neither shows without probes.

use {
    socket2::{SockRef, TcpKeepalive},
    std::{io, time::Duration},
    tokio::net::TcpStream,
};

/// After how long a silent connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeepaliveLimits {
    /// Time without data until the first probe, and between probes; whole seconds.
    pub probe_interval: Duration,
    /// Probes without an answer.
    pub probes: u32,
    /// Time that sent data may stay without an acknowledgement.
    pub unacknowledged: Duration,
}

impl Default for KeepaliveLimits {
    /// The shortest probes that the system offers: a silent connection ends after three seconds.
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_secs(1),
            probes: 2,
            unacknowledged: Duration::from_millis(2_500),
        }
    }
}

/// Sets a stream up for short messages and for probes.
///
/// # Errors
/// When the system refuses an option.
pub fn configure_stream(stream: &TcpStream, limits: KeepaliveLimits) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(limits.probe_interval)
        .with_interval(limits.probe_interval)
        .with_retries(limits.probes);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(limits.unacknowledged))
}
