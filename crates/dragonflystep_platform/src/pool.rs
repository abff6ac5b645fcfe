//! Connections to the platform, replaced as a whole when one of them went silent.

use {
    crate::{error::PlatformError, settings::PlatformSettings},
    reqwest::{
        Client,
        header::{AUTHORIZATION, HeaderMap, HeaderValue},
        redirect::Policy,
    },
    std::{
        sync::{PoisonError, RwLock},
        time::Duration,
    },
};

/// How long a connection without calls is kept.
///
/// The lookups of a node come every second or so; what is idle for longer is more likely to have been
/// forgotten by something between the two ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Part of a call's time that a connection attempt may take.
///
/// An attempt that fails leaves it certain that nothing was sent, so it ends before the call does.
const CONNECT_SHARE: u32 = 2;

/// One set of connections.
#[derive(Clone, Debug)]
pub(crate) struct Connections {
    pub(crate) client: Client,
    number: u64,
}

/// The set of connections in use.
#[derive(Debug)]
pub(crate) struct Pool {
    settings: PlatformSettings,
    current: RwLock<Connections>,
}

impl Pool {
    pub(crate) fn new(settings: PlatformSettings) -> Result<Self, PlatformError> {
        let client = build_client(&settings)?;
        Ok(Self {
            settings,
            current: RwLock::new(Connections { client, number: 0 }),
        })
    }

    pub(crate) fn connections(&self) -> Connections {
        let current = self.current.read().unwrap_or_else(PoisonError::into_inner);
        current.clone()
    }

    /// Replaces `silent`, unless another call did so before.
    ///
    /// One silent connection says that something between the two ends has lost track of it, and the
    /// others of the set as well; calls that run on them go on to their own end.
    pub(crate) fn replace(&self, silent: &Connections) {
        let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
        if current.number != silent.number {
            return;
        }
        let Ok(client) = build_client(&self.settings) else {
            // The same settings made a client before; the old set is better than none.
            return;
        };
        let number = current.number + 1;
        *current = Connections { client, number };
        log::info!(number; "platform connections replaced");
    }
}

fn build_client(settings: &PlatformSettings) -> Result<Client, PlatformError> {
    Client::builder()
        .default_headers(authorization(settings)?)
        // The address is a plain IP number; settings of the environment must not divert the calls.
        .no_proxy()
        .http1_only()
        .redirect(Policy::none())
        .connect_timeout(settings.timeout / CONNECT_SHARE)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
        .tcp_nodelay(true)
        .build()
        .map_err(|fault| PlatformError::Setup {
            reason: fault.without_url().to_string(),
        })
}

fn authorization(settings: &PlatformSettings) -> Result<HeaderMap, PlatformError> {
    let text = format!("Bearer {}", settings.key);
    let mut value = HeaderValue::from_str(&text).map_err(|_| PlatformError::InvalidKey)?;
    // A sensitive value is left out of debug output.
    value.set_sensitive(true);
    Ok(HeaderMap::from_iter([(AUTHORIZATION, value)]))
}
