//! The regions of data centres, and requests that may be processed only in some regions.

use {
    crate::node::Node,
    dragonflystep_dispatch::{DataCentreName, NodeName, RegionName, SlotRequest},
};

impl Node {
    /// The region of a data centre; `None` if the settings do not name the data centre.
    pub(crate) fn region_of(&self, data_centre: &DataCentreName) -> Option<RegionName> {
        self.regions.borrow().get(data_centre).cloned()
    }

    /// The data centres of the given regions.
    pub(crate) fn data_centres_in(&self, regions: &[RegionName]) -> Vec<DataCentreName> {
        let known = self.regions.borrow();
        let in_regions = known.iter().filter(|(_, region)| regions.contains(region));
        in_regions
            .map(|(data_centre, _)| data_centre.clone())
            .collect()
    }

    /// Removes what describes the content of a request, if another node that receives it runs where the request may not
    /// be processed.
    pub(crate) fn redact_for(&self, receiver: &NodeName, request: &mut SlotRequest) {
        if request.allowed_data_centres.is_some() {
            request.redact_for(self.members.data_centre(receiver).as_ref());
        }
    }
}
