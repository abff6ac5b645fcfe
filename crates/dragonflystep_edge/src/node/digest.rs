//! What a node tells other nodes of its view, and what it takes from theirs.

use {super::Node, dragonflystep_dispatch::NodeName, dragonflystep_peer::Digest};

impl Node {
    /// A digest that asks for nothing but an answer.
    pub(crate) fn empty_digest(&self) -> Digest {
        Digest {
            node: self.settings.node.clone(),
            catalogue_version: self.views.catalogue_version(),
            registry_version: self.views.registry().version,
            is_leaving: self.stop.is_stopping(),
            members_version: self.members.version(),
            ..Digest::default()
        }
    }

    /// What this node knows, with the documents where those of `theirs` are older.
    pub(crate) fn digest_for(&self, theirs: &Digest, unavailable: Vec<NodeName>) -> Digest {
        let mut digest = self.empty_digest();
        digest.unavailable = unavailable;
        if digest.catalogue_version > theirs.catalogue_version
            && let Some(view) = self.views.catalogue()
        {
            digest.catalogue = view.document.as_ref().clone();
        }
        if digest.registry_version > theirs.registry_version {
            let registry = self.views.registry();
            match serde_json::to_vec(registry.upstreams.as_ref()) {
                Ok(document) => digest.registry = document,
                Err(error) => log::error!(error:%; "registry can't be written for another node"),
            }
        }
        if digest.members_version > theirs.members_version {
            match serde_json::to_vec(&self.members.records()) {
                Ok(document) => digest.members = document,
                Err(error) => log::error!(error:%; "members can't be written for another node"),
            }
        }
        digest
    }

    /// Whether a node that answered `theirs` lacks something that this one knows.
    pub(crate) fn knows_more_than(&self, theirs: &Digest) -> bool {
        let own = self.empty_digest();
        own.catalogue_version > theirs.catalogue_version
            || own.registry_version > theirs.registry_version
            || own.members_version > theirs.members_version
    }

    /// Notes that another node answered an exchange.
    pub(crate) fn note_exchange(&self) {
        self.exchanged_at.set(self.owner.now());
    }

    /// Takes in what another node told.
    pub(crate) fn exchanged(&self, theirs: &Digest, is_caller: bool) {
        let now = self.owner.now();
        if is_caller {
            self.members.told_by_caller(now, &theirs.unavailable);
        } else {
            self.members.told(now, &theirs.unavailable);
        }
        self.members.set_leaving(&theirs.node, theirs.is_leaving);
        self.members
            .set_misses_us(&theirs.node, &theirs.unavailable);
        self.update_reach();
        if !theirs.members.is_empty() {
            match serde_json::from_slice(&theirs.members) {
                Ok(records) => self.learn_members(theirs.members_version, records, &theirs.node),
                Err(error) => {
                    log::warn!(peer:% = theirs.node, error:%; "members of another node are not understood");
                }
            }
        }
        if !theirs.catalogue.is_empty() {
            self.learn_catalogue(&theirs.catalogue, &theirs.node);
        }
        if !theirs.registry.is_empty() {
            match serde_json::from_slice(&theirs.registry) {
                Ok(upstreams) => {
                    self.learn_registry(theirs.registry_version, upstreams, &theirs.node);
                }
                Err(error) => {
                    log::warn!(peer:% = theirs.node, error:%; "registry of another node is not understood");
                }
            }
        }
    }
}
