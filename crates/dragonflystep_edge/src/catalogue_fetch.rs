//! Fetching what is new of the catalogue from one other node, piece by piece.

use {
    crate::{
        catalogue_list::{decode, encode},
        limits::{
            CATALOGUE_ANSWERS_KEPT, CATALOGUE_PIECE_BYTES, CATALOGUE_PIECE_TIMEOUT,
            CATALOGUE_PIECE_TRIES,
        },
        node::Node,
    },
    dragonflystep_dispatch::{MonotonicTime, NodeName},
    dragonflystep_peer::{CataloguePiece, CataloguePieceAsk, Digest, PeerError, PeerLink},
    std::{
        cell::{Cell, RefCell},
        collections::VecDeque,
        rc::Rc,
    },
    tokio::task::spawn_local,
};

/// What is under way, and what was made ready for others.
#[derive(Default)]
pub(crate) struct CatalogueFetches {
    is_under_way: Cell<bool>,
    /// What came of a fetch that broke off; the next one from the same node goes on there.
    partial: RefCell<Option<Partial>>,
    /// The last answers to other nodes; many ask for the same.
    answers: RefCell<VecDeque<Answer>>,
    /// The newest version that another node told.
    heard_version: Cell<u64>,
    /// Since when nothing came of a newer version that another node told.
    waits_since: Cell<Option<MonotonicTime>>,
}

/// Changes made ready for other nodes.
struct Answer {
    base_version: u64,
    leads_to: u64,
    bytes: Vec<u8>,
}

/// Pieces that came so far.
#[derive(Default)]
struct Partial {
    source: NodeName,
    base_version: u64,
    leads_to: u64,
    bytes: Vec<u8>,
}

impl CatalogueFetches {
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

    /// How long nothing has come of a newer version that another node told.
    pub(crate) fn waits_for(&self, now: MonotonicTime) -> MonotonicTime {
        let since = self.waits_since.get();
        since.map_or(MonotonicTime::ZERO, |since| now.saturating_sub(since))
    }
}

impl Node {
    /// A piece of what a node lacks that has a version of the catalogue.
    pub(crate) fn catalogue_piece(&self, ask: CataloguePieceAsk) -> CataloguePiece {
        let mut answers = self.catalogue_fetches.answers.borrow_mut();
        let is_kept = |answer: &Answer, leads_to: u64| {
            (answer.base_version, answer.leads_to) == (ask.version, leads_to)
        };
        // A fetch that began before the last change goes on with what it began with.
        let begun = answers
            .iter()
            .position(|answer| is_kept(answer, ask.leads_to));
        let newest = self.views.catalogue_version();
        let kept = begun.or_else(|| answers.iter().position(|answer| is_kept(answer, newest)));
        if let Some(index) = kept {
            return answers[index].piece(ask);
        }
        let Some(answer) = self.new_answer(ask.version) else {
            return CataloguePiece::default();
        };
        let piece = answer.piece(ask);
        answers.truncate(CATALOGUE_ANSWERS_KEPT - 1);
        answers.push_front(answer);
        piece
    }

    fn new_answer(&self, base_version: u64) -> Option<Answer> {
        let changes = self.views.catalogue_since(base_version)?;
        let leads_to = self.views.catalogue_version();
        match encode(&changes) {
            Ok(bytes) => Some(Answer {
                base_version,
                leads_to,
                bytes,
            }),
            Err(error) => {
                log::error!(version = leads_to, error:%; "the catalogue can't be written for another node");
                None
            }
        }
    }
}

impl Answer {
    /// The piece that is asked for; the first one when the asking node began with another answer.
    fn piece(&self, ask: CataloguePieceAsk) -> CataloguePiece {
        let is_begun = ask.leads_to == self.leads_to;
        let from = if is_begun {
            ask.offset_bytes as usize
        } else {
            0
        };
        let from = from.min(self.bytes.len());
        let to = (from + CATALOGUE_PIECE_BYTES).min(self.bytes.len());
        CataloguePiece {
            leads_to: self.leads_to,
            // An answer is far below 4 GB; one that is not can't be asked for further than that.
            total_bytes: u32::try_from(self.bytes.len()).unwrap_or(u32::MAX),
            bytes: self.bytes[from..to].to_vec(),
        }
    }
}

/// Fetches the catalogue from the node that told `theirs` if it has a newer one, unless a fetch is under way.
///
/// Passed on with each exchange of views, a document of 0.5 MB came to a node from up to eight others at once. Its
/// link was full for seconds, exchanges behind it were late, and owners were called gone. Fetched whole within a fixed
/// time, it never came where requests leave 3 Mbit/s of a link: nodes were up to 6 s late in virtual time, 0 s with pieces.
pub(crate) fn fetch_if_newer(node: &Rc<Node>, theirs: &Digest) {
    if !node.views.lacks_catalogue(theirs.catalogue_version) {
        return;
    }
    let fetches = &node.catalogue_fetches;
    fetches.note_heard(node.owner.now(), theirs.catalogue_version);
    if fetches.is_under_way.get() {
        return;
    }
    let Some(link) = node.members.transfer_link(&theirs.node) else {
        return;
    };
    fetches.is_under_way.set(true);
    let (node, source) = (node.clone(), theirs.node.clone());
    spawn_local(async move {
        if let Err(error) = fetch(&node, &link, &source).await {
            log::info!(peer:% = source, error:%; "the catalogue was not fetched");
        }
        node.catalogue_fetches.is_under_way.set(false);
    });
}

async fn fetch(node: &Rc<Node>, link: &PeerLink, source: &NodeName) -> Result<(), PeerError> {
    let fetches = &node.catalogue_fetches;
    let began_at = node.owner.now();
    let base_version = node.views.told_catalogue_version();
    let begun = fetches.partial.take();
    let begun = begun.filter(|begun| begun.source == *source && begun.base_version == base_version);
    let mut partial = begun.unwrap_or_else(|| Partial {
        source: source.clone(),
        base_version,
        ..Partial::default()
    });
    loop {
        let piece = match next_piece(link, &partial).await {
            Ok(piece) => piece,
            Err(error) => {
                fetches.partial.replace(Some(partial));
                return Err(error);
            }
        };
        if piece.bytes.is_empty() {
            return Ok(());
        }
        if piece.leads_to != partial.leads_to {
            partial.leads_to = piece.leads_to;
            partial.bytes.clear();
        }
        node.metrics.count_by(
            "catalogue_fetched_bytes_total",
            "",
            piece.bytes.len() as u64,
        );
        partial.bytes.extend_from_slice(&piece.bytes);
        fetches.note_progress(node.owner.now());
        if partial.bytes.len() >= piece.total_bytes as usize {
            break;
        }
    }
    let took_ms = node.owner.now().saturating_sub(began_at).as_millis() as u64;
    log::info!(peer:% = source, base_version, version = partial.leads_to, bytes = partial.bytes.len(), took_ms; "catalogue fetched");
    match decode(&partial.bytes) {
        Ok(changes) => node.learn_catalogue_changes(changes, source),
        Err(error) => {
            log::warn!(peer:% = source, error:%; "a fetched catalogue is not understood");
        }
    }
    Ok(())
}

/// Asks for the piece after those that came, twice if need be; what came is never asked for again.
async fn next_piece(link: &PeerLink, partial: &Partial) -> Result<CataloguePiece, PeerError> {
    let ask = CataloguePieceAsk {
        version: partial.base_version,
        leads_to: partial.leads_to,
        offset_bytes: partial.bytes.len() as u32,
    };
    let mut tries = 1;
    loop {
        let piece = link.catalogue_since(ask, CATALOGUE_PIECE_TIMEOUT).await;
        match piece {
            Err(error) if tries < CATALOGUE_PIECE_TRIES => {
                log::debug!(error:%; "a piece of the catalogue is asked for again");
                tries += 1;
            }
            outcome => return outcome,
        }
    }
}
