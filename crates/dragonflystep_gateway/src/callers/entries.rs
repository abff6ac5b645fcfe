//! The list of entries that callers choose from.

use {
    crate::{
        gateway::Shared,
        settings::{EntryAddress, GatewayView},
    },
    async_trait::async_trait,
    salvo::{Depot, FlowCtrl, Handler, Request, Response, writing::Json},
    serde::Serialize,
    std::{
        collections::BTreeMap,
        hash::{DefaultHasher, Hash, Hasher},
        sync::{Arc, atomic::Ordering},
    },
};

/// How long a caller keeps the list, at least.
const SHORTEST_KEEP_MS: u64 = 5000;
/// How long a caller keeps the list, at most.
const LONGEST_KEEP_MS: u64 = 60_000;
/// Most entries in a list; up to as many nodes all of them are listed.
const MOST_LISTED: usize = 32;
/// Most entries of the nearest data centre in a list that does not hold all of them.
const MOST_NEAR: usize = 24;

/// Answers `GET /v1/entries`.
pub(crate) struct Entries {
    shared: Arc<Shared>,
}

/// The list of entries.
#[derive(Serialize)]
pub(crate) struct EntryList {
    keep_ms: u64,
    leaving: bool,
    entries: Vec<EntryLine>,
}

/// One entry.
#[derive(Serialize)]
pub(crate) struct EntryLine {
    /// The node.
    pub(crate) node: Arc<str>,
    address: Arc<str>,
    data_centre: Arc<str>,
}

impl Entries {
    /// The handler.
    pub(crate) fn new(shared: &Arc<Shared>) -> Self {
        Self {
            shared: shared.clone(),
        }
    }
}

#[async_trait]
impl Handler for Entries {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _control: &mut FlowCtrl,
    ) {
        let view = self.shared.view();
        let wanted = request.query::<String>("data_centre");
        let nearest = wanted.as_deref().unwrap_or(&view.data_centre);
        response.render(Json(EntryList {
            keep_ms: keep_ms(view.entries.len()),
            leaving: view.stopping,
            entries: lines(&self.shared, &view, nearest),
        }));
    }
}

/// How long a caller keeps the list: longer with more nodes, so that a node hands out no more bytes for it.
fn keep_ms(nodes: usize) -> u64 {
    let scaled = SHORTEST_KEEP_MS.saturating_mul(nodes as u64) / MOST_LISTED as u64;
    scaled.clamp(SHORTEST_KEEP_MS, LONGEST_KEEP_MS)
}

/// The entries that stay, those of the data centre `nearest` first; some of them when they are many.
///
/// Only the data centre is known of a caller's place, so entries of one data centre are equally near. Each
/// list starts with another one of them, since callers take the first: in one fixed order all callers of a
/// data centre would end up at one node. Of other data centres a long list holds some of each by chance, for
/// callers whose own data centre is out.
pub(crate) fn lines(shared: &Shared, view: &GatewayView, nearest: &str) -> Vec<EntryLine> {
    let is_leaving = |entry: &EntryAddress| {
        entry.leaving || (view.stopping && entry.node == shared.settings.node)
    };
    let staying = view.entries.iter().filter(|entry| !is_leaving(entry));
    let (mut near, far): (Vec<&EntryAddress>, Vec<&EntryAddress>) =
        staying.partition(|entry| *entry.data_centre == *nearest);
    let turn = shared.entry_turn.fetch_add(1, Ordering::Relaxed);
    if !near.is_empty() {
        let start = turn % near.len();
        near.rotate_left(start);
    }
    if near.len() + far.len() > MOST_LISTED {
        near.truncate(MOST_NEAR.max(MOST_LISTED.saturating_sub(far.len())));
    }
    let most_far = MOST_LISTED - near.len().min(MOST_LISTED);
    let far = spread(far, turn).into_iter().take(most_far);
    near.into_iter().chain(far).map(line).collect()
}

/// Takes one entry of each data centre after the other, the data centres and their entries in an order by chance.
fn spread(entries: Vec<&EntryAddress>, turn: usize) -> Vec<&EntryAddress> {
    let mut by_data_centre: BTreeMap<&str, Vec<&EntryAddress>> = BTreeMap::new();
    for entry in entries {
        let listed = by_data_centre.entry(&entry.data_centre).or_default();
        listed.push(entry);
    }
    let mut ranked = Vec::new();
    for (data_centre, mut listed) in by_data_centre {
        listed.sort_by_key(|entry| by_chance(turn, &entry.node));
        let listed = listed.into_iter().enumerate();
        ranked.extend(listed.map(|(rank, entry)| (rank, by_chance(turn, data_centre), entry)));
    }
    ranked.sort_by_key(|(rank, order, _)| (*rank, *order));
    ranked.into_iter().map(|(_, _, entry)| entry).collect()
}

fn by_chance(turn: usize, name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (turn, name).hash(&mut hasher);
    hasher.finish()
}

fn line(entry: &EntryAddress) -> EntryLine {
    EntryLine {
        node: entry.node.clone(),
        address: entry.address.clone(),
        data_centre: entry.data_centre.clone(),
    }
}
