//! A node put together from its parts.

use {
    crate::{
        clock::{NodeClock, unix_time_s},
        error::NodeError,
        observe::Observer,
        runtime::{Drivers, Runtime},
        timers::Timers,
        view::ViewPublisher,
        vm_watch::watch_vms,
    },
    dragonflystep_config::NodeSettings,
    dragonflystep_core::{Event, NodeIdentity, State, ids::Incarnation},
    dragonflystep_gateway::{Gateway, GatewaySettings, GatewayView},
    dragonflystep_mesh::{Mesh, MeshSettings},
    dragonflystep_platform::{PlatformClient, PlatformSettings},
    dragonflystep_report::{Counts, Metrics},
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        sync::{
            mpsc::{self, UnboundedSender},
            watch,
        },
        task::JoinHandle,
    },
};

/// Longest time for one batch of messages to another node.
const MESH_CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest time to open a connection to another node or to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Messages that may wait for one other node.
const MAX_QUEUED_MESSAGES: usize = 10_000;
/// Time between two readings of an upstream's reports.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// A running node.
#[derive(Debug)]
pub struct Node {
    caller_address: SocketAddr,
    mesh_address: SocketAddr,
    admin_address: SocketAddr,
    events: UnboundedSender<Event>,
    runtime: JoinHandle<()>,
    servers: Vec<JoinHandle<()>>,
}

/// Begins the planned stop of a node from elsewhere, for example from a signal handler.
#[derive(Clone, Debug)]
pub struct Stopper {
    events: UnboundedSender<Event>,
}

impl Stopper {
    /// Begins the planned stop; [`Node::wait`] returns when it is done.
    pub fn stop(&self) {
        // The receiver is gone only when the node has ended already.
        let _ = self.events.send(Event::StopRequested);
    }
}

/// The listeners of a node; binding them first gives a clear error before anything else starts.
struct Listeners {
    caller: TcpListener,
    admin: TcpListener,
    caller_address: SocketAddr,
    admin_address: SocketAddr,
}

impl Node {
    /// Starts a node. It starts without the platform too, and says what it lacks in its log.
    ///
    /// # Errors
    /// When an address can't be listened on, or a part can't start.
    pub async fn start(settings: &NodeSettings) -> Result<Self, NodeError> {
        let listeners = Listeners::bind(settings).await?;
        let clock = NodeClock::start();
        let incarnation = unix_time_s() << 20 | u64::from(std::process::id()) & 0xf_ffff;
        let (event_sender, events) = mpsc::unbounded_channel();
        let (mesh_sender, mesh_events) = mpsc::unbounded_channel();
        let (mesh, mesh_address) = Mesh::start(mesh_settings(settings)?, mesh_sender)?;
        let platform = PlatformClient::new(platform_settings(settings))?;

        let identity = identity(settings, incarnation, &listeners, mesh_address);
        let state = State::new(identity, settings.tuning(), incarnation);
        let (publisher, view) = ViewPublisher::new(&state);
        let started_at_s = unix_time_s();
        let counts = Arc::new(Mutex::new(Counts::new(
            &settings.node,
            incarnation,
            started_at_s,
        )));
        let vm_view = view.clone();
        let gateway = Gateway::new(
            gateway_settings(settings, incarnation),
            clock.as_function(),
            event_sender.clone(),
            view.clone(),
            report_function(counts.clone(), view),
        )?;
        let observer = Observer::new(counts, metrics(settings)?);

        let mut servers = serve(&gateway, listeners.caller, listeners.admin);
        servers.push(tokio::spawn(watch_vms(
            platform.clone(),
            event_sender.clone(),
            vm_view,
            settings.node.clone(),
        )));
        let runtime = Runtime {
            state,
            clock,
            drivers: Drivers {
                gateway,
                mesh,
                platform,
                observer,
            },
            publisher,
            events,
            event_sender: event_sender.clone(),
            mesh_events,
            timers: Timers::default(),
        };
        log::info!(
            caller_address:% = listeners.caller_address,
            mesh_address:% = mesh_address,
            admin_address:% = listeners.admin_address;
            "node started"
        );
        Ok(Self {
            caller_address: listeners.caller_address,
            mesh_address,
            admin_address: listeners.admin_address,
            events: event_sender,
            runtime: tokio::spawn(runtime.run()),
            servers,
        })
    }

    /// Where callers reach the node.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Where other nodes reach the node.
    pub fn mesh_address(&self) -> SocketAddr {
        self.mesh_address
    }

    /// Where operators reach the node.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Something that can begin the planned stop of this node.
    pub fn stopper(&self) -> Stopper {
        Stopper {
            events: self.events.clone(),
        }
    }

    /// Waits until the node has ended.
    pub async fn wait(self) {
        if let Err(error) = self.runtime.await {
            log::error!("the node ended by a fault: {error}");
        }
        for server in self.servers {
            server.abort();
        }
    }
}

impl Listeners {
    async fn bind(settings: &NodeSettings) -> Result<Self, NodeError> {
        let (caller, caller_address) = bind("caller_address", &settings.caller_address).await?;
        let (admin, admin_address) = bind("admin_address", &settings.admin_address).await?;
        Ok(Self {
            caller,
            admin,
            caller_address,
            admin_address,
        })
    }
}

async fn bind(
    field: &'static str,
    address: &Arc<str>,
) -> Result<(TcpListener, SocketAddr), NodeError> {
    let failed = |source| NodeError::Listen {
        field,
        address: address.clone(),
        source,
    };
    let wanted: SocketAddr = address
        .parse()
        .map_err(|_| failed(io::ErrorKind::InvalidInput.into()))?;
    let socket = match wanted {
        SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4(),
        SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6(),
    };
    let socket = socket.map_err(failed)?;
    socket.set_reuseaddr(true).map_err(failed)?;
    // Accepted connections take this over: the last part of an answer must not wait for the caller.
    socket.set_nodelay(true).map_err(failed)?;
    socket.bind(wanted).map_err(failed)?;
    let listener = socket.listen(1024).map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound))
}

/// Reads an address of the settings, which were checked before.
fn socket_address(field: &'static str, address: &Arc<str>) -> Result<SocketAddr, NodeError> {
    address.parse().map_err(|_| NodeError::Listen {
        field,
        address: address.clone(),
        source: io::ErrorKind::InvalidInput.into(),
    })
}

fn serve(gateway: &Gateway, caller: TcpListener, admin: TcpListener) -> Vec<JoinHandle<()>> {
    let callers = gateway.clone();
    let operators = gateway.clone();
    vec![
        tokio::spawn(async move {
            if let Err(error) = callers.serve_callers(caller).await {
                log::error!("callers are no longer served: {error}");
            }
        }),
        tokio::spawn(async move {
            if let Err(error) = operators.serve_operators(admin).await {
                log::error!("operators are no longer served: {error}");
            }
        }),
    ]
}

fn identity(
    settings: &NodeSettings,
    incarnation: Incarnation,
    listeners: &Listeners,
    mesh_address: SocketAddr,
) -> NodeIdentity {
    NodeIdentity {
        id: settings.node.clone(),
        incarnation,
        data_centre: settings.data_centre.clone(),
        mesh_address: mesh_address.to_string().into(),
        caller_address: listeners.caller_address.to_string().into(),
        vm: settings.vm.clone(),
    }
}

fn mesh_settings(settings: &NodeSettings) -> Result<MeshSettings, NodeError> {
    Ok(MeshSettings {
        node: settings.node.clone(),
        listen_address: socket_address("mesh_address", &settings.mesh_address)?,
        key: settings.mesh_key.reveal().clone(),
        call_timeout: MESH_CALL_TIMEOUT,
        connect_timeout: CONNECT_TIMEOUT,
        max_queued_messages: MAX_QUEUED_MESSAGES,
    })
}

fn platform_settings(settings: &NodeSettings) -> PlatformSettings {
    PlatformSettings {
        address: settings.platform.address.clone(),
        key: settings.platform.key.reveal().clone(),
        timeout: settings.platform.timeout,
    }
}

fn gateway_settings(settings: &NodeSettings, incarnation: Incarnation) -> GatewaySettings {
    GatewaySettings {
        node: settings.node.clone(),
        incarnation,
        max_header_bytes: as_size(settings.limits.max_header_bytes),
        max_body_bytes: as_size(settings.limits.max_body_bytes),
        max_answer_bytes: as_size(settings.limits.max_answer_bytes),
        max_open_requests: as_size(settings.limits.max_open_requests),
        read_key: settings.admin_keys.read.reveal().clone(),
        edit_key: settings.admin_keys.edit.reveal().clone(),
        connect_timeout: CONNECT_TIMEOUT,
        watch_interval: WATCH_INTERVAL,
    }
}

fn as_size(limit: u64) -> usize {
    usize::try_from(limit).unwrap_or(usize::MAX)
}

fn metrics(settings: &NodeSettings) -> Result<Metrics, NodeError> {
    let prefix = &settings.metrics.prefix;
    let Some(address) = &settings.metrics.address else {
        return Ok(Metrics::discarded(prefix));
    };
    let address = socket_address("metrics.address", address)?;
    Metrics::to_address(prefix, address).map_err(NodeError::Metrics)
}

fn report_function(
    counts: Arc<Mutex<Counts>>,
    view: watch::Receiver<Arc<GatewayView>>,
) -> Arc<dyn Fn() -> serde_json::Value + Send + Sync> {
    Arc::new(move || {
        let catalogue = view.borrow().catalogue.clone();
        let counts = counts.lock().unwrap_or_else(PoisonError::into_inner);
        let report = counts.report(&catalogue, unix_time_s());
        serde_json::to_value(report).unwrap_or_default()
    })
}
