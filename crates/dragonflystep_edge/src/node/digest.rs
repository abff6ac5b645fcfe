//! What a node tells other nodes of its view, and what it takes from theirs.

use {
    super::Node,
    crate::{
        limits::MAX_PIGGYBACKED,
        versioned_list::{Changes, ListEntry},
    },
    dragonflystep_dispatch::NodeName,
    dragonflystep_peer::Digest,
};

impl Node {
    /// A digest that asks for nothing but an answer.
    pub(crate) fn empty_digest(&self) -> Digest {
        Digest {
            node: self.settings.node.clone(),
            catalogue_version: self.views.catalogue_list().announced_version(),
            registry_version: self.views.registry_list().announced_version(),
            is_leaving: self.stop.is_stopping(),
            members_version: self.members.list().announced_version(),
            platform_silence: self.platform_silence(),
            platform_up_for: self.platform_up_for(),
            rollouts: self.encoded_rollouts(),
            ..Digest::default()
        }
    }

    /// What this node knows, with the changes of lists that `theirs` is missing where they are few.
    ///
    /// A node that is missing more fetches it, once: after a start of all nodes each would be sent the whole registry by all
    /// that it exchanges views with.
    pub(crate) fn digest_for(&self, theirs: &Digest, unavailable: Vec<NodeName>) -> Digest {
        let mut digest = self.empty_digest();
        digest.unavailable = unavailable;
        digest.notices = self.owner.notices();
        let registry = self.views.registry_list();
        if let Some(changes) = registry.few_changes_since(theirs.registry_version, MAX_PIGGYBACKED)
        {
            digest.registry = to_json(&changes, "registry");
        }
        let members = self.members.list();
        if let Some(changes) = members.few_changes_since(theirs.members_version, MAX_PIGGYBACKED) {
            digest.members = to_json(&changes, "list of nodes");
        }
        digest
    }

    /// What a node is missing that answered `theirs`, to send it unasked.
    ///
    /// Who knows no other node can fetch nothing; those whose neighbour it is tell it of all.
    pub(crate) fn digest_to_tell(&self, theirs: &Digest) -> Digest {
        let mut digest = self.digest_for(theirs, Vec::new());
        if theirs.members_version == 0 && self.members.neighbours().contains(&theirs.node) {
            let changes = self.members.list().changes_since(0);
            digest.members =
                changes.map_or(Vec::new(), |changes| to_json(&changes, "list of nodes"));
        }
        digest
    }

    /// Whether a node that answered `theirs` is missing something that this one knows.
    pub(crate) fn knows_more_than(&self, theirs: &Digest) -> bool {
        self.views.registry_list().announced_version() > theirs.registry_version
            || self.members.list().announced_version() > theirs.members_version
    }

    /// Notes that another node answered an exchange.
    pub(crate) fn note_exchange(&self) {
        if self.is_cut_off() {
            log::info!("another node answers again after all were silent");
            self.members.forget_failures(self.owner.now());
        }
        self.exchanged_at.set(self.owner.now());
    }

    /// Applies the digest of a calling node.
    pub(crate) fn called_by(&self, theirs: &Digest) {
        let now = self.owner.now();
        self.members.heard(now, &theirs.node);
        let is_called_by_all = self.is_called_by_all();
        self.members
            .accused(now, &theirs.unavailable, is_called_by_all);
        self.apply_digest(theirs);
    }

    /// Applies the digest of a node that was called; `is_owner` says whether all nodes call it.
    pub(crate) fn answered_by(&self, theirs: &Digest, is_owner: bool) {
        // Who is called by all weighs what callers say itself.
        if is_owner && !self.is_called_by_all() {
            let now = self.owner.now();
            let (owner, nodes) = (&theirs.node, &theirs.unavailable);
            self.members.suspected_by_owner(now, owner, nodes);
        }
        self.apply_digest(theirs);
    }

    fn apply_digest(&self, theirs: &Digest) {
        self.members.set_leaving(&theirs.node, theirs.is_leaving);
        self.members
            .set_misses_us(&theirs.node, &theirs.unavailable);
        self.learn_rollouts(&theirs.rollouts, &theirs.node);
        if let Some(changes) = from_json(&theirs.members, "list of nodes", &theirs.node) {
            self.learn_member_changes(changes, &theirs.node);
        }
        if let Some(changes) = from_json(&theirs.registry, "registry", &theirs.node) {
            self.learn_registry_changes(changes, &theirs.node);
        }
    }
}

/// Changes of a list for another node; empty when they can't be written.
fn to_json<T: ListEntry>(changes: &Changes<T>, list: &'static str) -> Vec<u8> {
    serde_json::to_vec(changes).unwrap_or_else(|error| {
        log::error!(list, error:%; "changes can't be written for another node");
        Vec::new()
    })
}

/// Changes of a list that another node sent; none when it sent none, or they are not understood.
fn from_json<T: ListEntry>(bytes: &[u8], list: &'static str, peer: &str) -> Option<Changes<T>> {
    if bytes.is_empty() {
        return None;
    }
    serde_json::from_slice(bytes)
        .inspect_err(
            |error| log::warn!(peer, list, error:%; "changes of another node are not understood"),
        )
        .ok()
}
