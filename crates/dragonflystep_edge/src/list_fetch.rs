//! Fetching what is new of a list from one other node, piece by piece.

use {
    crate::{
        limits::{LIST_ANSWERS_KEPT, LIST_PIECE_BYTES, LIST_PIECE_TIMEOUT, LIST_PIECE_TRIES},
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
    tokio::task::spawn_local,
};

/// The lists that nodes fetch.
const LISTS: [ListName; 3] = [ListName::Catalogue, ListName::Registry, ListName::Members];

/// What is under way of each list.
#[derive(Default)]
pub(crate) struct ListFetches {
    pub(crate) catalogue: Fetches,
    registry: Fetches,
    members: Fetches,
}

impl ListFetches {
    fn of(&self, list: ListName) -> &Fetches {
        match list {
            ListName::Catalogue => &self.catalogue,
            ListName::Registry => &self.registry,
            ListName::Members => &self.members,
        }
    }
}

/// What is under way of one list, and what was made ready for others.
#[derive(Default)]
pub(crate) struct Fetches {
    is_under_way: Cell<bool>,
    /// What came of a fetch that broke off; the next one from the same node goes on there.
    partial: RefCell<Option<Partial>>,
    /// The last answers to other nodes; many ask for the same.
    answers: RefCell<VecDeque<Answer>>,
    /// The newest version that another node announced.
    heard_version: Cell<u64>,
    /// Since when nothing came of a newer version that another node announced.
    waits_since: Cell<Option<MonotonicTime>>,
}

/// Changes made ready for other nodes.
struct Answer {
    base_version: u64,
    target_version: u64,
    bytes: Vec<u8>,
}

/// Pieces that came so far.
#[derive(Default)]
struct Partial {
    source: NodeName,
    base_version: u64,
    target_version: u64,
    bytes: Vec<u8>,
}

impl Fetches {
    /// Notes which version another node has.
    fn note_heard(&self, now: MonotonicTime, version: u64) {
        if version > self.heard_version.get() {
            self.heard_version.set(version);
        }
        if self.waits_since.get().is_none() {
            self.waits_since.set(Some(now));
        }
    }

    /// Notes that something of a newer version came.
    fn note_progress(&self, now: MonotonicTime) {
        self.waits_since.set(Some(now));
    }

    /// Notes which version is in force.
    pub(crate) fn note_in_force(&self, version: u64) {
        if version >= self.heard_version.get() {
            self.waits_since.set(None);
        }
    }

    /// How long nothing has come of a newer version that another node announced.
    pub(crate) fn waits_for(&self, now: MonotonicTime) -> MonotonicTime {
        let since = self.waits_since.get();
        since.map_or(MonotonicTime::ZERO, |since| now.saturating_sub(since))
    }
}

impl Node {
    /// A piece of what a node is missing that has a version of a list.
    pub(crate) fn list_piece(&self, request: ListPieceRequest) -> ListPiece {
        let mut answers = self.list_fetches.of(request.list).answers.borrow_mut();
        let is_kept = |answer: &Answer, target_version: u64| {
            (answer.base_version, answer.target_version) == (request.version, target_version)
        };
        // A fetch that began before the last change goes on with what it began with.
        let begun = answers
            .iter()
            .position(|answer| is_kept(answer, request.target_version));
        let newest = self.with_list(request.list, |known| known.version());
        let kept = begun.or_else(|| answers.iter().position(|answer| is_kept(answer, newest)));
        if let Some(index) = kept {
            return answers[index].piece(request);
        }
        let Some(answer) = self.new_answer(request.list, request.version) else {
            return ListPiece::default();
        };
        let piece = answer.piece(request);
        answers.truncate(LIST_ANSWERS_KEPT - 1);
        answers.push_front(answer);
        piece
    }

    fn new_answer(&self, list: ListName, base_version: u64) -> Option<Answer> {
        let (encoded, target_version) = self.with_list(list, |known| {
            (known.encoded_since(base_version), known.version())
        });
        match encoded? {
            Ok(bytes) => Some(Answer {
                base_version,
                target_version,
                bytes,
            }),
            Err(error) => {
                log::error!(list = list_label(list), version = target_version, error:%; "a list can't be written for another node");
                None
            }
        }
    }

    fn with_list<R>(&self, list: ListName, look: impl FnOnce(&dyn FetchedList) -> R) -> R {
        match list {
            ListName::Catalogue => look(&*self.views.catalogue_list()),
            ListName::Registry => look(&*self.views.registry_list()),
            ListName::Members => look(&*self.members.list()),
        }
    }

    fn learn_fetched(
        &self,
        list: ListName,
        bytes: &[u8],
        source: &str,
    ) -> Result<(), ChangesError> {
        match list {
            ListName::Catalogue => self.learn_catalogue_changes(Changes::decode(bytes)?, source),
            ListName::Registry => self.learn_registry_changes(Changes::decode(bytes)?, source),
            ListName::Members => self.learn_member_changes(Changes::decode(bytes)?, source),
        }
        Ok(())
    }
}

/// A list of any entries, as far as a fetch is concerned.
trait FetchedList {
    fn version(&self) -> u64;

    /// The version to tell other nodes.
    fn announced_version(&self) -> u64;

    /// Whether a list of `their_version` holds something new.
    fn is_stale_against(&self, their_version: u64) -> bool;

    /// What a node is missing that has a version; none if it is up to date, or this list is not whole itself.
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
        let changes = self.is_whole().then(|| self.changes_since(version))?;
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

impl Answer {
    /// The piece that is asked for; the first one when the asking node began with another answer.
    fn piece(&self, request: ListPieceRequest) -> ListPiece {
        let is_begun = request.target_version == self.target_version;
        let from = if is_begun {
            request.offset_bytes as usize
        } else {
            0
        };
        let from = from.min(self.bytes.len());
        let to = (from + LIST_PIECE_BYTES).min(self.bytes.len());
        ListPiece {
            target_version: self.target_version,
            // An answer is far below 4 GB; one that is not can't be asked for further than that.
            total_bytes: u32::try_from(self.bytes.len()).unwrap_or(u32::MAX),
            bytes: self.bytes[from..to].to_vec(),
        }
    }
}

/// Fetches each list from the node that sent `theirs` if it has a newer one, unless a fetch of that list is under way.
///
/// Passed on with each exchange of views, a large list would come to a node from all its partners at once and fill its link;
/// exchanges behind it would be late, and owners called gone. Fetched whole within a fixed time, it would never come where
/// requests leave little of a link.
pub(crate) fn fetch_if_newer(node: &Rc<Node>, theirs: &Digest) {
    for list in LISTS {
        let version = version_of(theirs, list);
        if !node.with_list(list, |known| known.is_stale_against(version)) {
            continue;
        }
        let fetches = node.list_fetches.of(list);
        fetches.note_heard(node.owner.now(), version);
        if fetches.is_under_way.get() {
            continue;
        }
        let Some(link) = node.members.transfer_link(&theirs.node) else {
            return;
        };
        fetches.is_under_way.set(true);
        let (node, source) = (node.clone(), theirs.node.clone());
        spawn_local(async move {
            if let Err(error) = fetch(&node, &link, list, &source).await {
                log::info!(peer:% = source, list = list_label(list), error:%; "a list was not fetched");
            }
            node.list_fetches.of(list).is_under_way.set(false);
        });
    }
}

async fn fetch(
    node: &Rc<Node>,
    link: &PeerLink,
    list: ListName,
    source: &NodeName,
) -> Result<(), PeerError> {
    let fetches = node.list_fetches.of(list);
    let began_at = node.owner.now();
    let base_version = node.with_list(list, |known| known.announced_version());
    let begun = fetches.partial.take();
    let begun = begun.filter(|begun| begun.source == *source && begun.base_version == base_version);
    let mut partial = begun.unwrap_or_else(|| Partial {
        source: source.clone(),
        base_version,
        ..Partial::default()
    });
    loop {
        let piece = match next_piece(link, list, &partial).await {
            Ok(piece) => piece,
            Err(error) => {
                fetches.partial.replace(Some(partial));
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
        fetches.note_progress(node.owner.now());
        if partial.bytes.len() >= piece.total_bytes as usize {
            break;
        }
    }
    let took_ms = node.owner.now().saturating_sub(began_at).as_millis() as u64;
    log::info!(peer:% = source, list = list_label(list), base_version, version = partial.target_version, bytes = partial.bytes.len(), took_ms; "list fetched");
    if let Err(error) = node.learn_fetched(list, &partial.bytes, source) {
        log::warn!(peer:% = source, list = list_label(list), error:%; "a fetched list is not understood");
    }
    Ok(())
}

/// Asks for the piece after those that came, twice if need be; what came is never asked for again.
async fn next_piece(
    link: &PeerLink,
    list: ListName,
    partial: &Partial,
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
            Err(error) if tries < LIST_PIECE_TRIES => {
                log::debug!(error:%; "a piece of a list is asked for again");
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
