//! Fetches the changes of a list from another node, piece by piece, and serves the fetches of other nodes.

use {
    crate::{
        limits::{
            LIST_PIECE_BYTES, LIST_PIECE_TIMEOUT, MAX_CACHED_CHANGES, MAX_LIST_PIECE_TRIES,
            PUSH_WAIT,
        },
        node::Node,
        versioned_list::{Changes, ChangesError, ListEntry, VersionedList},
    },
    dragonflystep_dispatch::{MonotonicTime, NodeName},
    dragonflystep_peer::{Digest, ListName, ListPiece, ListPieceRequest, PeerError, PeerLink},
    std::{
        cell::{Cell, RefCell},
        collections::VecDeque,
        rc::Rc,
    },
    tokio::{task::spawn_local, time::sleep},
};

/// The lists that nodes fetch from one another.
const LISTS: [ListName; 3] = [ListName::Catalogue, ListName::Registry, ListName::Members];

/// The state of the fetches of all lists.
#[derive(Default)]
pub(crate) struct ListFetches {
    pub(crate) catalogue: ListFetch,
    registry: ListFetch,
    members: ListFetch,
}

impl ListFetches {
    fn of(&self, list: ListName) -> &ListFetch {
        match list {
            ListName::Catalogue => &self.catalogue,
            ListName::Registry => &self.registry,
            ListName::Members => &self.members,
        }
    }
}

/// The state of the fetches of one list, and the encoded changes that are cached for other nodes.
#[derive(Default)]
pub(crate) struct ListFetch {
    is_running: Cell<bool>,
    /// The pieces received by a fetch that broke off. The next fetch from the same node continues there.
    partial: RefCell<Option<PartialFetch>>,
    /// The changes last prepared for other nodes, newest first; many nodes ask for the same ones.
    prepared_changes: RefCell<VecDeque<PreparedChanges>>,
    /// The newest version that another node announced.
    newest_announced: Cell<u64>,
    /// Since when no progress has been made towards a newer version that another node announced; `None` if there is
    /// none.
    no_progress_since: Cell<Option<MonotonicTime>>,
}

/// Encoded changes of a list from one version to another.
struct PreparedChanges {
    base_version: u64,
    target_version: u64,
    bytes: Vec<u8>,
}

/// The pieces of a fetch that have been received so far.
#[derive(Default)]
struct PartialFetch {
    source: NodeName,
    base_version: u64,
    target_version: u64,
    bytes: Vec<u8>,
}

impl ListFetch {
    /// Records that another node announced a newer version.
    fn note_announced(&self, now: MonotonicTime, version: u64) {
        if version > self.newest_announced.get() {
            self.newest_announced.set(version);
        }
        if self.no_progress_since.get().is_none() {
            self.no_progress_since.set(Some(now));
        }
    }

    /// Records that a piece of a newer version was received.
    fn note_progress(&self, now: MonotonicTime) {
        self.no_progress_since.set(Some(now));
    }

    /// Records which version is in force; the fetch is done if no newer one was announced.
    pub(crate) fn note_in_force(&self, version: u64) {
        if version >= self.newest_announced.get() {
            self.no_progress_since.set(None);
        }
    }

    /// Time without progress towards a newer version that another node announced; 0 if there is none.
    pub(crate) fn time_without_progress(&self, now: MonotonicTime) -> MonotonicTime {
        let since = self.no_progress_since.get();
        since.map_or(MonotonicTime::ZERO, |since| now.saturating_sub(since))
    }
}

impl Node {
    /// Returns the requested piece of the changes since the requester's version of a list; an empty one if there
    /// are none.
    pub(crate) fn list_piece(&self, request: ListPieceRequest) -> ListPiece {
        let mut prepared_changes = self
            .list_fetches
            .of(request.list)
            .prepared_changes
            .borrow_mut();
        let is_match = |prepared: &PreparedChanges, target_version: u64| {
            (prepared.base_version, prepared.target_version) == (request.version, target_version)
        };
        // A fetch that began before the last change continues with the changes with which it began.
        let begun = prepared_changes
            .iter()
            .position(|prepared| is_match(prepared, request.target_version));
        let newest = self.with_list(request.list, |known| known.version());
        let cached = begun.or_else(|| {
            prepared_changes
                .iter()
                .position(|prepared| is_match(prepared, newest))
        });
        if let Some(index) = cached {
            return prepared_changes[index].piece(request);
        }
        let Some(prepared) = self.prepare_changes(request.list, request.version) else {
            return ListPiece::default();
        };
        let piece = prepared.piece(request);
        prepared_changes.truncate(MAX_CACHED_CHANGES - 1);
        prepared_changes.push_front(prepared);
        piece
    }

    fn prepare_changes(&self, list: ListName, base_version: u64) -> Option<PreparedChanges> {
        let (encoded, target_version) = self.with_list(list, |known| {
            (known.encoded_since(base_version), known.version())
        });
        match encoded? {
            Ok(bytes) => Some(PreparedChanges {
                base_version,
                target_version,
                bytes,
            }),
            Err(error) => {
                log::error!(list = list_label(list), version = target_version, error:%; "changes of a list can't be encoded for another node");
                None
            }
        }
    }

    fn with_list<R>(&self, list: ListName, read: impl FnOnce(&dyn FetchedList) -> R) -> R {
        match list {
            ListName::Catalogue => read(&*self.views.catalogue_list()),
            ListName::Registry => read(&*self.views.registry_list()),
            ListName::Members => read(&*self.members.list()),
        }
    }

    fn apply_fetched(
        &self,
        list: ListName,
        bytes: &[u8],
        source: &str,
    ) -> Result<(), ChangesError> {
        match list {
            ListName::Catalogue => self.apply_catalogue_changes(Changes::decode(bytes)?, source),
            ListName::Registry => self.apply_registry_changes(Changes::decode(bytes)?, source),
            ListName::Members => self.apply_member_changes(Changes::decode(bytes)?, source),
        }
        Ok(())
    }
}

/// A list with entries of any type, with the operations that a fetch needs.
trait FetchedList {
    fn version(&self) -> u64;

    /// The version to announce to other nodes.
    fn announced_version(&self) -> u64;

    /// Whether a list of `their_version` is to replace this one.
    fn is_stale_against(&self, their_version: u64) -> bool;

    /// Encodes what a node with the given version lacks; `None` if it is up to date or this list is not known to be
    /// complete.
    fn encoded_since(&self, version: u64) -> Option<Result<Vec<u8>, ChangesError>>;
}

impl<T: ListEntry> FetchedList for VersionedList<T> {
    fn version(&self) -> u64 {
        self.version()
    }

    fn announced_version(&self) -> u64 {
        self.announced_version()
    }

    fn is_stale_against(&self, their_version: u64) -> bool {
        self.is_stale_against(their_version)
    }

    fn encoded_since(&self, version: u64) -> Option<Result<Vec<u8>, ChangesError>> {
        let changes = self.is_complete().then(|| self.changes_since(version))?;
        changes.map(|changes| changes.encode())
    }
}

fn version_of(digest: &Digest, list: ListName) -> u64 {
    match list {
        ListName::Catalogue => digest.catalogue_version,
        ListName::Registry => digest.registry_version,
        ListName::Members => digest.members_version,
    }
}

impl PreparedChanges {
    /// Returns the requested piece, or the first one if the requester began with changes to another version.
    fn piece(&self, request: ListPieceRequest) -> ListPiece {
        let is_continued = request.target_version == self.target_version;
        let from = if is_continued {
            request.offset_bytes as usize
        } else {
            0
        };
        let from = from.min(self.bytes.len());
        let to = (from + LIST_PIECE_BYTES).min(self.bytes.len());
        ListPiece {
            target_version: self.target_version,
            // Encoded changes are far below 4 GB. Bytes beyond that could not be requested.
            total_bytes: u32::try_from(self.bytes.len()).unwrap_or(u32::MAX),
            bytes: self.bytes[from..to].to_vec(),
        }
    }
}

impl Node {
    /// The newest version of the catalogue that another node announced; 0 if there is none.
    pub fn announced_catalogue_version(&self) -> u64 {
        self.list_fetches.catalogue.newest_announced.get()
    }

    /// Records which newer lists the node that sent `theirs` has; returns whether there are any.
    fn note_newer_lists(&self, theirs: &Digest) -> bool {
        let mut is_stale = false;
        for list in LISTS {
            let version = version_of(theirs, list);
            if self.with_list(list, |known| known.is_stale_against(version)) {
                let now = self.owner.now();
                self.list_fetches.of(list).note_announced(now, version);
                is_stale = true;
            }
        }
        is_stale
    }

    /// Time without progress towards a newer catalogue that another node announced; zero if there is none.
    pub fn catalogue_stall(&self) -> MonotonicTime {
        let now = self.owner.now();
        self.list_fetches.catalogue.time_without_progress(now)
    }
}

/// Fetches each list from the node that called with `theirs` if it has a newer one and has not pushed the changes after
/// [`PUSH_WAIT`].
///
/// A small change is known to all nodes within one round of exchanges. If each of them opened a connection to fetch it,
/// the preferred owners, which all nodes call, would serve as many fetches as there are nodes.
pub(crate) async fn fetch_unless_pushed(node: Rc<Node>, theirs: Digest) {
    if node.note_newer_lists(&theirs) {
        sleep(PUSH_WAIT).await;
        fetch_if_newer(&node, &theirs);
    }
}

/// Fetches each list from the node that sent `theirs` if that node has a newer one and no fetch of the list is
/// running.
///
/// Sent with each gossip exchange, a large list would reach a node from all its partners at once and fill its link.
/// The exchanges queued behind it would time out, and owners would be taken for failed. With a fixed timeout for
/// the whole list, it would never arrive where requests leave little of a link.
pub(crate) fn fetch_if_newer(node: &Rc<Node>, theirs: &Digest) {
    for list in LISTS {
        let version = version_of(theirs, list);
        if !node.with_list(list, |known| known.is_stale_against(version)) {
            continue;
        }
        let list_fetch = node.list_fetches.of(list);
        list_fetch.note_announced(node.owner.now(), version);
        if list_fetch.is_running.get() {
            continue;
        }
        let Some(link) = node.members.transfer_link(&theirs.node) else {
            return;
        };
        list_fetch.is_running.set(true);
        let (node, source) = (node.clone(), theirs.node.clone());
        spawn_local(async move {
            if let Err(error) = fetch(&node, &link, list, &source).await {
                log::info!(peer:% = source, list = list_label(list), error:%; "a list was not fetched");
            }
            node.list_fetches.of(list).is_running.set(false);
        });
    }
}

async fn fetch(
    node: &Rc<Node>,
    link: &PeerLink,
    list: ListName,
    source: &NodeName,
) -> Result<(), PeerError> {
    let list_fetch = node.list_fetches.of(list);
    let began_at = node.owner.now();
    let base_version = node.with_list(list, |known| known.announced_version());
    let begun = list_fetch.partial.take();
    let begun = begun.filter(|begun| begun.source == *source && begun.base_version == base_version);
    let mut partial = begun.unwrap_or_else(|| PartialFetch {
        source: source.clone(),
        base_version,
        ..PartialFetch::default()
    });
    loop {
        let piece = match next_piece(link, list, &partial).await {
            Ok(piece) => piece,
            Err(error) => {
                list_fetch.partial.replace(Some(partial));
                return Err(error);
            }
        };
        if piece.bytes.is_empty() {
            return Ok(());
        }
        if piece.target_version != partial.target_version {
            partial.target_version = piece.target_version;
            partial.bytes.clear();
        }
        let bytes = piece.bytes.len() as u64;
        let metrics = &node.metrics;
        metrics.count_by("list_fetched_bytes_total", list_label(list), bytes);
        partial.bytes.extend_from_slice(&piece.bytes);
        list_fetch.note_progress(node.owner.now());
        if partial.bytes.len() >= piece.total_bytes as usize {
            break;
        }
    }
    let took_ms = node.owner.now().saturating_sub(began_at).as_millis() as u64;
    log::info!(peer:% = source, list = list_label(list), base_version, version = partial.target_version, bytes = partial.bytes.len(), took_ms; "list fetched");
    if let Err(error) = node.apply_fetched(list, &partial.bytes, source) {
        log::warn!(peer:% = source, list = list_label(list), error:%; "a fetched list can't be decoded");
    }
    Ok(())
}

/// Requests the piece after those received, up to [`MAX_LIST_PIECE_TRIES`] times. Received pieces are never
/// requested again.
async fn next_piece(
    link: &PeerLink,
    list: ListName,
    partial: &PartialFetch,
) -> Result<ListPiece, PeerError> {
    let request = ListPieceRequest {
        list,
        version: partial.base_version,
        target_version: partial.target_version,
        offset_bytes: partial.bytes.len() as u32,
    };
    let mut tries = 1;
    loop {
        let piece = link.fetch_list_piece(request, LIST_PIECE_TIMEOUT).await;
        match piece {
            Err(error) if tries < MAX_LIST_PIECE_TRIES => {
                log::debug!(error:%; "requesting a piece of a list again");
                tries += 1;
            }
            outcome => return outcome,
        }
    }
}

fn list_label(list: ListName) -> &'static str {
    match list {
        ListName::Catalogue => "catalogue",
        ListName::Registry => "registry",
        ListName::Members => "members",
    }
}
