//! Tells other nodes at which software versions streams began, so that a caller can resume a stream at any node after
//! its entry node, the owner or both have died.

use {
    crate::{
        limits::{STREAM_COPIES, STREAM_COPY_DELAY},
        node::Node,
    },
    dragonflystep_dispatch::{Event, NodeName, StreamId, StreamVersion, UpstreamVersion},
    dragonflystep_peer::PeerLink,
    std::{rc::Rc, time::Duration},
    tokio::{task::spawn_local, time::sleep},
    xxhash_rust::xxh3::xxh3_64,
};

/// The id of the stream that the request `request_id` of an account began.
///
/// The account is a part of it, so that no caller can take up the stream of another account.
pub(crate) fn stream_id(account: &str, request_id: &str) -> StreamId {
    // 0 stands for no stream in messages.
    xxh3_64(format!("{account}\n{request_id}").as_bytes()).max(1)
}

impl Node {
    /// Records that this node, as the entry node, was granted a slot for a stream at an upstream of `version`.
    pub(crate) fn record_stream(
        &self,
        stream: StreamId,
        version: UpstreamVersion,
        lifetime: Duration,
    ) {
        self.owner.apply(Event::StreamBegan(StreamVersion {
            stream,
            version,
            lifetime,
        }));
    }

    /// The nodes that are to have copies of what the owner knows of streams: the owner and those that follow it in rank,
    /// without this one.
    fn stream_keepers(&self) -> Vec<NodeName> {
        let mut keepers = self.ranked_owners(STREAM_COPIES + 1);
        keepers.retain(|node| *node != self.settings.node);
        keepers.truncate(STREAM_COPIES);
        keepers
    }

    /// Sends all known streams to nodes that have become keepers, if this node is the owner or was it until now.
    pub(crate) fn update_stream_keepers(&self) {
        // Before it knows a list of nodes, each node takes itself for the owner.
        let is_owner = self.members_version() > 0 && self.is_current_owner();
        let was_owner = self.was_owner.replace(is_owner);
        if is_owner && !was_owner && !self.is_system_starting() {
            self.owner.restoration.request();
        }
        let keepers = self.stream_keepers();
        let before = self.last_stream_keepers.replace(keepers.clone());
        if !self.owner.shares_streams() || !(is_owner || was_owner) {
            return;
        }
        let new_keepers = keepers.iter().filter(|node| !before.contains(node));
        let new_keepers: Vec<_> = new_keepers.collect();
        if new_keepers.is_empty() {
            return;
        }
        let streams = Rc::new(self.owner.streams());
        for keeper in new_keepers {
            log::info!(peer:% = keeper, streams = streams.len(); "sending the versions of all streams to a node");
            self.send_streams(keeper, &streams);
        }
    }

    /// Sends streams to another node in the background.
    pub(crate) fn send_streams(&self, node: &NodeName, streams: &Rc<Vec<StreamVersion>>) {
        if streams.is_empty() {
            return;
        }
        if let Some(link) = self.members.link(node) {
            spawn_local(report_streams(link, streams.clone()));
        }
    }
}

async fn report_streams(link: Rc<PeerLink>, streams: Rc<Vec<StreamVersion>>) {
    if let Err(error) = link.report_streams(&streams).await {
        log::debug!(streams = streams.len(), error:%; "could not report the versions of streams");
    }
}

/// Sends the streams for which this node grants slots to their keepers, for as long as the node runs.
pub(crate) async fn share_granted_streams(node: Rc<Node>) {
    loop {
        node.owner.streams_granted.notified().await;
        sleep(STREAM_COPY_DELAY).await;
        let granted = Rc::new(node.owner.take_granted_streams());
        for keeper in node.stream_keepers() {
            node.send_streams(&keeper, &granted);
        }
    }
}
