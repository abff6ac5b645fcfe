//! The list of entries as a caller keeps it.

use {
    rand::Rng,
    rand_pcg::{Pcg64Mcg, rand_core::SeedableRng},
    reqwest::Client,
    serde::Deserialize,
    std::{
        sync::{Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// Time for one question for the list.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// One entry of the list.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Entry {
    /// Name of the node.
    pub node: String,
    /// Where it takes requests.
    pub address: String,
    /// Its data centre.
    pub data_centre: String,
}

#[derive(Debug, Deserialize)]
struct EntryList {
    keep_ms: u64,
    entries: Vec<Entry>,
}

#[derive(Debug)]
struct Kept {
    entries: Vec<Entry>,
    until: Instant,
    random: Pcg64Mcg,
}

/// The list, asked for anew when it is too old.
#[derive(Debug)]
pub(super) struct EntryBook {
    data_centre: String,
    first_addresses: Vec<String>,
    kept: Mutex<Kept>,
}

impl EntryBook {
    pub(super) fn new(first_addresses: Vec<String>, data_centre: String, seed: u64) -> Self {
        let kept = Kept {
            entries: Vec::new(),
            until: Instant::now(),
            random: Pcg64Mcg::seed_from_u64(seed),
        };
        Self {
            data_centre,
            first_addresses,
            kept: Mutex::new(kept),
        }
    }

    /// An entry to send to: one of the own data centre where there is one, and none of `tried` while there are others.
    pub(super) async fn choose(&self, client: &Client, tried: &[String]) -> Option<Entry> {
        if self.lock().until <= Instant::now() {
            self.refresh(client).await;
        }
        let mut kept = self.lock();
        let fresh: Vec<&Entry> = kept
            .entries
            .iter()
            .filter(|entry| !tried.contains(&entry.address))
            .collect();
        let near: Vec<&Entry> = fresh
            .iter()
            .copied()
            .filter(|entry| entry.data_centre == self.data_centre)
            .collect();
        let choice = if !near.is_empty() {
            near
        } else if !fresh.is_empty() {
            fresh
        } else {
            kept.entries.iter().collect()
        };
        let choice: Vec<Entry> = choice.into_iter().cloned().collect();
        if choice.is_empty() {
            return None;
        }
        let index = kept.random.random_range(0..choice.len());
        choice.into_iter().nth(index)
    }

    /// The next choice asks for the list anew.
    pub(super) fn forget(&self) {
        self.lock().until = Instant::now();
    }

    /// Asks one address after the other; the old list stays when none answers.
    async fn refresh(&self, client: &Client) {
        let mut addresses: Vec<String> = self
            .lock()
            .entries
            .iter()
            .map(|entry| entry.address.clone())
            .collect();
        addresses.extend(self.first_addresses.iter().cloned());
        for address in addresses {
            let Ok(list) = self.ask(client, &address).await else {
                continue;
            };
            let mut kept = self.lock();
            kept.until = Instant::now() + Duration::from_millis(list.keep_ms);
            kept.entries = list.entries;
            return;
        }
    }

    async fn ask(&self, client: &Client, address: &str) -> reqwest::Result<EntryList> {
        let url = format!(
            "http://{address}/v1/entries?data_centre={}",
            self.data_centre
        );
        let answer = client.get(url).timeout(LIST_TIMEOUT).send().await?;
        answer.error_for_status()?.json().await
    }

    fn lock(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
