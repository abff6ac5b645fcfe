//! Builds the digests that this node sends in gossip exchanges, and applies those of other nodes.

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
    /// A digest without list entries, suspicions and notices; it asks only for an answer.
    pub(crate) fn empty_digest(&self) -> Digest {
        Digest {
            node: self.settings.node.clone(),
            catalogue_version: self.views.catalogue_list().announced_version(),
            registry_version: self.views.registry_list().announced_version(),
            evacuations: self.evacuations_for(None),
            is_leaving: self.stop.is_stopping(),
            members_version: self.members.list().announced_version(),
            platform_silence: self.platform_silence(),
            platform_up_for: self.platform_up_for(),
            rollouts: self.encoded_rollouts(),
            crashes_version: self.owner.crash_evidence_version(),
            ..Digest::default()
        }
    }

    /// Builds a digest for the node that sent `theirs`, with the list changes that it lacks if they are few.
    ///
    /// A node that lacks more fetches it from one node. After a start of all nodes, each would otherwise get the
    /// whole registry from every node with which it exchanges digests.
    pub(crate) fn digest_for(&self, theirs: &Digest, unavailable: Vec<NodeName>) -> Digest {
        let mut digest = self.empty_digest();
        digest.unavailable = unavailable;
        digest.notices = self.owner.notices();
        digest.evacuations = self.evacuations_for(Some(theirs));
        if digest.crashes_version != theirs.crashes_version {
            digest.crashes = self.owner.crash_evidence();
        }
        let catalogue = self.views.catalogue_list();
        if let Some(changes) =
            catalogue.few_changes_since(theirs.catalogue_version, MAX_PIGGYBACKED)
        {
            digest.catalogue = to_json(&changes, "catalogue");
        }
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

    /// Builds a digest with what the node that answered with `theirs` lacks, to be pushed to it.
    ///
    /// A node that knows no other node has none to fetch from, so nodes whose neighbour it is send it their whole
    /// list of nodes.
    pub(crate) fn push_digest(&self, theirs: &Digest) -> Digest {
        let mut digest = self.digest_for(theirs, Vec::new());
        if theirs.members_version == 0 && self.members.neighbours().contains(&theirs.node) {
            let changes = self.members.list().changes_since(0);
            digest.members =
                changes.map_or(Vec::new(), |changes| to_json(&changes, "list of nodes"));
        }
        digest
    }

    /// Whether this node has a newer list than the one that answered with `theirs`.
    pub(crate) fn has_newer_lists_than(&self, theirs: &Digest) -> bool {
        self.views.catalogue_list().announced_version() > theirs.catalogue_version
            || self.views.registry_list().announced_version() > theirs.registry_version
            || self.members.list().announced_version() > theirs.members_version
    }

    /// Records that another node answered an exchange. If all were silent before, earlier failures are forgotten.
    pub(crate) fn note_peer_answered(&self) {
        if self.is_cut_off_from_peers() {
            log::info!("another node answers again after all were silent");
            self.members.forget_failures(self.owner.now());
        }
        self.peer_answered_at.set(self.owner.now());
    }

    /// Applies the digest of a node that called this one.
    pub(crate) fn handle_exchange_call(&self, theirs: &Digest) {
        let now = self.owner.now();
        self.members.record_contact(now, &theirs.node);
        let is_called_by_all = self.is_called_by_all();
        self.members
            .apply_caller_suspicions(now, &theirs.unavailable, is_called_by_all);
        self.members
            .record_called_list(now, &theirs.node, &theirs.unavailable);
        self.apply_digest(theirs);
    }

    /// Applies the digest with which a called node answered. `is_owner` says whether all nodes call that node.
    pub(crate) fn handle_exchange_answer(&self, theirs: &Digest, is_owner: bool) {
        // A node that is called by all checks the suspicions of its callers itself and ignores those of other
        // owners.
        if is_owner && !self.is_called_by_all() {
            let now = self.owner.now();
            let (owner, nodes) = (&theirs.node, &theirs.unavailable);
            self.members.apply_owner_suspicions(now, owner, nodes);
        }
        self.members
            .record_answered_list(&theirs.node, &theirs.unavailable);
        self.apply_digest(theirs);
    }

    fn apply_digest(&self, theirs: &Digest) {
        self.members.set_leaving(&theirs.node, theirs.is_leaving);
        self.apply_rollouts(&theirs.rollouts, &theirs.node);
        self.apply_digest_evacuations(theirs);
        if let Some(changes) = from_json(&theirs.catalogue, "catalogue", &theirs.node) {
            self.apply_catalogue_changes(changes, &theirs.node);
        }
        if let Some(changes) = from_json(&theirs.members, "list of nodes", &theirs.node) {
            self.apply_member_changes(changes, &theirs.node);
        }
        if let Some(changes) = from_json(&theirs.registry, "registry", &theirs.node) {
            self.apply_registry_changes(changes, &theirs.node);
        }
    }
}

/// Encodes changes of a list for another node; empty if encoding fails.
fn to_json<T: ListEntry>(changes: &Changes<T>, list: &'static str) -> Vec<u8> {
    serde_json::to_vec(changes).unwrap_or_else(|error| {
        log::error!(list, error:%; "changes of a list can't be encoded for another node");
        Vec::new()
    })
}

/// Decodes changes of a list that another node sent; `None` if it sent none or they can't be decoded.
fn from_json<T: ListEntry>(bytes: &[u8], list: &'static str, peer: &str) -> Option<Changes<T>> {
    if bytes.is_empty() {
        return None;
    }
    serde_json::from_slice(bytes)
        .inspect_err(
            |error| log::warn!(peer, list, error:%; "changes of a list from another node can't be decoded"),
        )
        .ok()
}
