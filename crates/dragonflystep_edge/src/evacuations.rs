//! The data centres that an operator evacuated. Their upstreams get no requests until the evacuation is taken back.
//!
//! A node learns of evacuations from the platform or, like the versions of lists, in gossip exchanges. The owner grants
//! no slots in an evacuated data centre. Each entry node checks again right before it sends a request, since the slot may
//! have been granted before the evacuation, or by an owner that did not know of it.

use {
    crate::{list_version::supersedes, node::Node},
    dragonflystep_dispatch::{DataCentreName, Event, UpstreamId},
    dragonflystep_peer::{Digest, Evacuations},
    std::{
        cell::{Cell, RefCell},
        collections::BTreeSet,
    },
};

/// The evacuated data centres in force, with the version of the platform's documents that they come from.
#[derive(Default)]
pub(crate) struct KnownEvacuations {
    version: Cell<u64>,
    data_centres: RefCell<BTreeSet<DataCentreName>>,
}

impl Node {
    /// Version of the evacuations in force; 0 if none are known.
    pub fn evacuations_version(&self) -> u64 {
        self.evacuations.version.get()
    }

    /// The evacuated data centres.
    pub fn evacuated_data_centres(&self) -> BTreeSet<DataCentreName> {
        self.evacuations.data_centres.borrow().clone()
    }

    /// Applies a version of the set of evacuated data centres, unless the one in force is as new. `source` names its
    /// origin in the log.
    pub fn apply_evacuations(
        &self,
        version: u64,
        data_centres: BTreeSet<DataCentreName>,
        source: &str,
    ) {
        if !supersedes(version, self.evacuations_version()) {
            return;
        }
        self.evacuations.version.set(version);
        let before = self.evacuations.data_centres.replace(data_centres.clone());
        if before == data_centres {
            return;
        }
        for data_centre in data_centres.difference(&before) {
            let is_known = self.region_of(data_centre).is_some();
            log::info!(source, data_centre:%, is_known, version; "data centre is evacuated");
        }
        for data_centre in before.difference(&data_centres) {
            log::info!(source, data_centre:%, version; "evacuation is taken back");
        }
        self.owner.apply(Event::EvacuationsChanged(data_centres));
    }

    /// The evacuations to send to another node. Usually there are none, and nothing is sent. A node that still knows
    /// evacuations which have been taken back announces them, and gets the empty set in return.
    pub(crate) fn evacuations_for(&self, theirs: Option<&Digest>) -> Option<Evacuations> {
        let known = self.evacuations.data_centres.borrow();
        let is_asked = theirs.is_some_and(|theirs| theirs.evacuations.is_some());
        (!known.is_empty() || is_asked).then(|| Evacuations {
            version: self.evacuations_version(),
            data_centres: known.iter().cloned().collect(),
        })
    }

    /// Applies the evacuations that another node sent.
    pub(crate) fn apply_digest_evacuations(&self, theirs: &Digest) {
        if let Some(evacuations) = &theirs.evacuations {
            let evacuated = evacuations.data_centres.iter().cloned().collect();
            self.apply_evacuations(evacuations.version, evacuated, &theirs.node);
        }
    }

    /// Whether a request may be sent to an upstream as far as its data centre is concerned: the data centre is not
    /// evacuated, and it is among `allowed`, if that is given. An upstream that is not in the registry has no known
    /// data centre.
    pub(crate) fn permits_data_centre_of(
        &self,
        upstream: &UpstreamId,
        allowed: Option<&[DataCentreName]>,
    ) -> bool {
        let evacuated = self.evacuations.data_centres.borrow();
        if evacuated.is_empty() && allowed.is_none() {
            return true;
        }
        let Some(data_centre) = self.views.data_centre_of(upstream) else {
            return false;
        };
        !evacuated.contains(&data_centre)
            && allowed.is_none_or(|allowed| allowed.contains(&data_centre))
    }

    /// Number of this node's active runs in evacuated data centres.
    pub(crate) fn runs_in_evacuated_data_centres(&self) -> usize {
        let evacuated = self.evacuations.data_centres.borrow();
        if evacuated.is_empty() {
            return 0;
        }
        let runs = self.entry_runs.runs.borrow();
        let data_centres = runs
            .values()
            .filter_map(|run| self.views.data_centre_of(&run.upstream));
        data_centres
            .filter(|data_centre| evacuated.contains(data_centre))
            .count()
    }
}
