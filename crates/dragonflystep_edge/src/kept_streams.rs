//! Has the platform keep at which software versions streams began, and restores it in a node that becomes the owner. After a
//! loss of all nodes the platform is the only one that knows.
//!
//! It is designed for a loss of all nodes while upstreams of several versions serve: thousands of callers come back within a
//! second or two, and what the new owner does not know it has to refuse. With one version in the registry nothing is written
//! for single streams.

use {
    crate::{
        limits::{
            MAX_STREAMS_PER_WRITE, RESTORE_PATIENCE, STREAM_KEEPING_DELAY, VERSION_CHECK_DELAY,
        },
        node::Node,
        platform::Platform,
    },
    dragonflystep_dispatch::{Event, StreamId, StreamVersion, VersionHistory},
    std::{cell::Cell, rc::Rc, time::Duration},
    tokio::{
        sync::Notify,
        time::{sleep, timeout},
    },
};

/// Interval at which a starting node checks whether it knows the list of nodes.
const LIST_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time within which the nodes of a system that starts for the first time find one another.
const SYSTEM_START_TIME: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RestorationPhase {
    /// Nothing was restored since this node started, or since it missed changes of the registry.
    NotBegun,
    /// The platform has been asked and has not answered yet.
    Running,
    /// The platform does not answer; it is asked again and again.
    Failing,
    Done,
}

/// Whether a node has restored what the platform keeps of streams.
#[derive(Debug)]
pub(crate) struct Restoration {
    phase: Cell<RestorationPhase>,
    requested: Notify,
    /// Notified when the first answer, or the first failure, is known.
    answered: Notify,
}

impl Default for Restoration {
    fn default() -> Self {
        Self {
            phase: Cell::new(RestorationPhase::NotBegun),
            requested: Notify::new(),
            answered: Notify::new(),
        }
    }
}

impl Restoration {
    /// Records that nothing has to be restored.
    pub(crate) fn skip(&self) {
        self.phase.set(RestorationPhase::Done);
    }

    /// Records that what was restored is incomplete by now, so that it is restored again once a stream is resumed that this node
    /// does not know.
    pub(crate) fn invalidate(&self) {
        if self.phase.get() == RestorationPhase::Done {
            self.phase.set(RestorationPhase::NotBegun);
        }
    }

    /// Requests that what the platform keeps is restored, again if it was restored before.
    pub(crate) fn request(&self) {
        if self.phase.get() != RestorationPhase::Failing {
            self.phase.set(RestorationPhase::Running);
        }
        self.requested.notify_one();
    }

    fn end(&self, phase: RestorationPhase) {
        self.phase.set(phase);
        self.answered.notify_waiters();
    }

    /// Waits until the platform has answered; not while it is known not to answer, and never longer than
    /// [`RESTORE_PATIENCE`].
    pub(crate) async fn wait(&self) {
        if self.phase.get() == RestorationPhase::NotBegun {
            self.request();
        }
        if self.phase.get() == RestorationPhase::Running {
            let answered = self.answered.notified();
            // The caller is refused if the answer takes longer.
            let _ = timeout(RESTORE_PATIENCE, answered).await;
        }
    }
}

impl Node {
    /// Applies what the platform kept of streams: the software versions at which they began, in the order in which they were
    /// written, and the versions that the upstreams of each service had lately.
    pub fn restore_streams(&self, streams: Vec<StreamVersion>, history: VersionHistory) {
        log::info!(streams = streams.len(), services = history.services.len(), is_complete = history.is_complete; "the versions of streams are restored from the platform");
        let owner = &self.owner;
        owner.apply(Event::VersionHistoryRestored(history));
        owner.apply(Event::StreamsRestored(streams));
    }

    /// Records that no streams began and no upstreams were used before this node started.
    pub(crate) fn skip_restoration(&self) {
        self.owner.restoration.skip();
        let nothing = VersionHistory {
            is_complete: true,
            ..VersionHistory::default()
        };
        self.owner.apply(Event::VersionHistoryRestored(nothing));
    }

    /// Records that the platform can't be asked at the moment what it keeps of streams.
    pub fn record_restore_failure(&self) {
        self.owner.restoration.end(RestorationPhase::Failing);
    }

    /// Marks streams as not kept by the platform, so that they are written again.
    pub fn mark_streams_unkept(&self, streams: impl Iterator<Item = StreamId>) {
        self.owner.mark_streams_unkept(streams);
    }

    /// Records that the platform lost what was written lately, so that all that it has to keep is written again.
    pub fn record_platform_loss(&self) {
        self.owner.mark_all_streams_unkept();
        self.owner.versions_changed.notify_one();
    }

    /// Records that the versions of the upstreams could not be written.
    pub fn record_version_write_failure(&self) {
        self.owner.versions_changed.notify_one();
    }

    /// Whether the whole system started so lately that its nodes may not have found one another. Until they have, each takes
    /// itself for the owner, and the platform keeps nothing yet.
    pub(crate) fn is_system_starting(&self) -> bool {
        self.is_first_start() && self.owner.now() < SYSTEM_START_TIME
    }

    async fn wait_for_node_list(&self) {
        while self.members_version() == 0 || self.is_system_starting() {
            sleep(LIST_CHECK_INTERVAL).await;
        }
    }
}

/// Restores what the platform keeps of streams whenever that is requested, for as long as the node runs.
pub(crate) async fn restore_kept_streams(node: Rc<Node>, platform: Rc<dyn Platform>) {
    let restoration = &node.owner.restoration;
    loop {
        restoration.requested.notified().await;
        platform.clone().restore_streams(node.clone()).await;
        restoration.end(RestorationPhase::Done);
        if node.is_current_owner() {
            // The platform has to know the versions that this node sees.
            node.owner.versions_changed.notify_one();
        }
    }
}

/// Has the platform keep the streams for which this node grants slots, for as long as the node runs.
pub(crate) async fn keep_granted_streams(node: Rc<Node>, platform: Rc<dyn Platform>) {
    let owner = &node.owner;
    loop {
        owner.streams_unkept.notified().await;
        tokio::select! {
            () = sleep(STREAM_KEEPING_DELAY) => {}
            () = owner.streams_replaced.notified() => {}
        }
        loop {
            let streams = owner.take_unkept_streams(MAX_STREAMS_PER_WRITE);
            if streams.is_empty() {
                break;
            }
            node.metrics.count("kept_streams_writes_total", "streams");
            platform.clone().keep_streams(node.clone(), streams).await;
        }
    }
}

/// Has the platform keep which software versions the upstreams had lately, for as long as the node runs.
///
/// The owner writes them at once. The other nodes that follow the platform check a moment later that they are written, as the
/// platform may refuse the owner alone; the upstreams of a new version get no requests before that.
pub(crate) async fn keep_version_history(node: Rc<Node>, platform: Rc<dyn Platform>) {
    loop {
        node.owner.versions_changed.notified().await;
        // Until then each node takes itself for the owner.
        node.wait_for_node_list().await;
        if !node.is_current_owner() {
            if !node.follows_platform() {
                continue;
            }
            sleep(node.jittered(VERSION_CHECK_DELAY, 0.7..1.3)).await;
        }
        let history = node.owner.version_history();
        platform
            .clone()
            .keep_version_history(node.clone(), history)
            .await;
    }
}
