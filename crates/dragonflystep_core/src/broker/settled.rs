//! Answers to asks, remembered so that a repeated ask gets the same answer.

use {
    super::slots::AskKey,
    crate::message::Message,
    std::collections::{BTreeMap, VecDeque},
};

/// Maximum number of answers that are remembered.
const CAPACITY: usize = 4096;

/// Latest answers of one group, the oldest dropped first.
#[derive(Debug, Default)]
pub struct AnsweredAsks {
    answers: BTreeMap<AskKey, Message>,
    order: VecDeque<AskKey>,
}

impl AnsweredAsks {
    /// Records the answer to an ask; a later answer to the same ask replaces it.
    pub fn insert(&mut self, key: AskKey, answer: Message) {
        if self.answers.insert(key.clone(), answer).is_some() {
            return;
        }
        self.order.push_back(key);
        if self.order.len() <= CAPACITY {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.answers.remove(&oldest);
        }
    }

    /// The remembered answer to an ask.
    pub fn get(&self, key: &AskKey) -> Option<&Message> {
        self.answers.get(key)
    }
}
