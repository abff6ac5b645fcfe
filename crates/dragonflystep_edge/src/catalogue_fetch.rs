//! Fetching what is new of the catalogue from one other node.

use {
    crate::{
        catalogue_list::{decode, encode},
        limits::CATALOGUE_FETCH_TIMEOUT,
        node::Node,
    },
    dragonflystep_peer::{Digest, PeerError, PeerLink},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
    },
    tokio::task::spawn_local,
};

/// What is under way, and what was made ready for others.
#[derive(Default)]
pub(crate) struct CatalogueFetches {
    is_under_way: Cell<bool>,
    /// The last answer to another node; many ask for the same.
    answer: RefCell<Option<Answer>>,
}

struct Answer {
    base_version: u64,
    version: u64,
    bytes: Vec<u8>,
}

impl Node {
    /// What a node lacks that has a version of the catalogue; empty if that is as new.
    pub(crate) fn catalogue_since(&self, base_version: u64) -> Vec<u8> {
        let version = self.views.catalogue_version();
        let mut answer = self.catalogue_fetches.answer.borrow_mut();
        if let Some(answer) = &*answer
            && (answer.base_version, answer.version) == (base_version, version)
        {
            return answer.bytes.clone();
        }
        let Some(changes) = self.views.catalogue_since(base_version) else {
            return Vec::new();
        };
        match encode(&changes) {
            Ok(bytes) => {
                *answer = Some(Answer {
                    base_version,
                    version,
                    bytes: bytes.clone(),
                });
                bytes
            }
            Err(error) => {
                log::error!(version, error:%; "the catalogue can't be written for another node");
                Vec::new()
            }
        }
    }
}

/// Fetches the catalogue from the node that told `theirs` if it has a newer one, unless a fetch is under way.
///
/// Passed on with each exchange of views, a document of 0.5 MB came to a node from up to eight others at once. Its
/// link was full for seconds, exchanges behind it were late, and owners were called gone.
pub(crate) fn fetch_if_newer(node: &Rc<Node>, theirs: &Digest) {
    let known_version = node.views.told_catalogue_version();
    if theirs.catalogue_version <= known_version || node.catalogue_fetches.is_under_way.get() {
        return;
    }
    let Some(link) = node.members.link(&theirs.node) else {
        return;
    };
    node.catalogue_fetches.is_under_way.set(true);
    let (node, source) = (node.clone(), theirs.node.clone());
    spawn_local(async move {
        if let Err(error) = fetch(&node, &link, &source).await {
            log::info!(peer:% = source, error:%; "the catalogue was not fetched");
        }
        node.catalogue_fetches.is_under_way.set(false);
    });
}

async fn fetch(node: &Rc<Node>, link: &PeerLink, source: &str) -> Result<(), PeerError> {
    let version = node.views.told_catalogue_version();
    let bytes = link
        .catalogue_since(version, CATALOGUE_FETCH_TIMEOUT)
        .await?;
    if bytes.is_empty() {
        return Ok(());
    }
    node.metrics
        .count_by("catalogue_fetched_bytes_total", "", bytes.len() as u64);
    match decode(&bytes) {
        Ok(changes) => node.learn_catalogue_changes(changes, source),
        Err(error) => {
            log::warn!(peer = source, error:%; "a fetched catalogue is not understood");
        }
    }
    Ok(())
}
