//! Receives the gauges that nodes send in the StatsD format.

use {
    eyre::Result,
    std::{
        collections::BTreeMap,
        net::{SocketAddr, UdpSocket},
        sync::{Arc, Mutex, PoisonError},
        thread,
        time::Instant,
    },
};

/// Values of each gauge by its name, with the time of their arrival.
type Samples = Arc<Mutex<BTreeMap<String, Vec<(Instant, u64)>>>>;

const MAX_DATAGRAM_BYTES: usize = 2048;

/// Receives gauges by UDP and stores all samples.
pub struct Gauges {
    /// Address to which nodes send their metrics.
    pub address: SocketAddr,
    samples: Samples,
}

impl Gauges {
    /// Starts a receiving thread, which runs until the process ends.
    pub fn start() -> Result<Self> {
        let socket = UdpSocket::bind(("127.0.0.1", 0))?;
        let address = socket.local_addr()?;
        let samples = Samples::default();
        let received = samples.clone();
        thread::spawn(move || {
            let mut buffer = [0; MAX_DATAGRAM_BYTES];
            while let Ok(length) = socket.recv(&mut buffer) {
                store_samples(&received, &String::from_utf8_lossy(&buffer[..length]));
            }
        });
        Ok(Self { address, samples })
    }

    /// Returns the growth of a gauge per second between its first and last sample from `from` to `until`. Returns
    /// `None` if there are fewer than two samples.
    pub fn rate(&self, name: &str, from: Instant, until: Instant) -> Option<f64> {
        let samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner);
        let in_span: Vec<_> = samples
            .get(name)?
            .iter()
            .filter(|(at, _)| (from..=until).contains(at))
            .collect();
        let (first, last) = (in_span.first()?, in_span.last()?);
        let seconds = last.0.duration_since(first.0).as_secs_f64();
        (seconds > 0.0).then(|| (last.1.saturating_sub(first.1)) as f64 / seconds)
    }
}

fn store_samples(samples: &Samples, text: &str) {
    for line in text.lines() {
        let Some((name, rest)) = line.split_once(':') else {
            continue;
        };
        let Some(value) = rest.strip_suffix("|g").and_then(|value| value.parse().ok()) else {
            continue;
        };
        let mut samples = samples.lock().unwrap_or_else(PoisonError::into_inner);
        let series = samples.entry(name.to_owned()).or_default();
        series.push((Instant::now(), value));
    }
}
