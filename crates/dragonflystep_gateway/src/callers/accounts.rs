//! Which client account a key belongs to.

use {
    crate::registry::lock,
    dragonflystep_core::catalogue::{Catalogue, ClientAccount},
    sha2::{Digest, Sha256},
    std::{
        collections::HashMap,
        sync::{Arc, Mutex},
    },
};

/// SHA-256 of a key.
type KeyHash = [u8; 32];

/// Client accounts by the hash of their key, made anew when an account of the catalogue changes.
///
/// The lookup goes by the hash of the key and not by the key, so its time says nothing about a key.
#[derive(Default)]
pub(crate) struct AccountIndex {
    index: Mutex<Indexed>,
}

#[derive(Clone, Default)]
struct Indexed {
    catalogue: Arc<Catalogue>,
    accounts: Arc<HashMap<KeyHash, Arc<ClientAccount>>>,
}

impl AccountIndex {
    /// The account that this key belongs to.
    pub(crate) fn find(&self, catalogue: &Arc<Catalogue>, key: &str) -> Option<Arc<ClientAccount>> {
        let hash: KeyHash = Sha256::digest(key.as_bytes()).into();
        self.accounts(catalogue).get(&hash).cloned()
    }

    fn accounts(&self, catalogue: &Arc<Catalogue>) -> Arc<HashMap<KeyHash, Arc<ClientAccount>>> {
        let mut index = lock(&self.index);
        if Arc::ptr_eq(&index.catalogue, catalogue) {
            return index.accounts.clone();
        }
        if !same_accounts(&index.catalogue, catalogue) {
            index.accounts = Arc::new(index_accounts(catalogue));
        }
        index.catalogue = catalogue.clone();
        index.accounts.clone()
    }
}

/// Whether no account differs; versions share the items that a change does not touch.
fn same_accounts(before: &Catalogue, after: &Catalogue) -> bool {
    let pairs = before.accounts.values().zip(after.accounts.values());
    before.accounts.len() == after.accounts.len()
        && pairs
            .into_iter()
            .all(|(before, after)| Arc::ptr_eq(&before.item, &after.item))
}

fn index_accounts(catalogue: &Catalogue) -> HashMap<KeyHash, Arc<ClientAccount>> {
    let entries = catalogue.accounts.values();
    entries
        .filter_map(|entry| Some((key_hash(&entry.item)?, entry.item.clone())))
        .collect()
}

/// None for a text that is no SHA-256; no key belongs to such an account.
fn key_hash(account: &ClientAccount) -> Option<KeyHash> {
    let mut hash = KeyHash::default();
    hex::decode_to_slice(account.key_sha256.as_bytes(), &mut hash).ok()?;
    Some(hash)
}
