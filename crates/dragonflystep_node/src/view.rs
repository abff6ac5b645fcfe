//! What the HTTP side sees of the reducer's state.

use {
    dragonflystep_core::{
        State, View,
        ids::{CatalogueVersion, DataCentreId, NodeId},
    },
    dragonflystep_gateway::{EntryAddress, GatewayView},
    std::sync::Arc,
    tokio::sync::watch,
};

/// Publishes the parts of the reducer's state that callers and operators ask for.
#[derive(Debug)]
pub struct ViewPublisher {
    sender: watch::Sender<Arc<GatewayView>>,
    seen: Seen,
}

/// What the last published view was made from; comparing it costs less than making a view.
#[derive(Debug, PartialEq, Eq)]
struct Seen {
    catalogue_version: CatalogueVersion,
    stopping: bool,
    entries: Vec<(NodeId, Arc<str>, DataCentreId, bool)>,
}

impl ViewPublisher {
    /// A publisher and the receiver for the HTTP side.
    pub fn new(state: &State) -> (Self, watch::Receiver<Arc<GatewayView>>) {
        let seen = look(&state.view);
        let (sender, receiver) = watch::channel(Arc::new(make_view(&state.view, &seen)));
        (Self { sender, seen }, receiver)
    }

    /// Publishes a new view when the state differs from the last one.
    pub fn publish(&mut self, state: &State) {
        let seen = look(&state.view);
        if seen == self.seen {
            return;
        }
        self.sender
            .send_replace(Arc::new(make_view(&state.view, &seen)));
        self.seen = seen;
    }
}

fn look(view: &View) -> Seen {
    let own = (
        view.node.id.clone(),
        view.node.caller_address.clone(),
        view.node.data_centre.clone(),
        view.stopping,
    );
    let others = view.members.iter().map(|(id, member)| {
        let gone = member.leaving || member.suspected;
        (
            id.clone(),
            member.caller_address.clone(),
            member.data_centre.clone(),
            gone,
        )
    });
    Seen {
        catalogue_version: view.catalogue.version,
        stopping: view.stopping,
        entries: std::iter::once(own).chain(others).collect(),
    }
}

fn make_view(view: &View, seen: &Seen) -> GatewayView {
    let entries = seen
        .entries
        .iter()
        .map(|(node, address, data_centre, leaving)| EntryAddress {
            node: node.clone(),
            address: address.clone(),
            data_centre: data_centre.clone(),
            leaving: *leaving,
        });
    GatewayView {
        catalogue: view.catalogue.clone(),
        entries: entries.collect(),
        stopping: view.stopping,
        data_centre: view.node.data_centre.clone(),
    }
}
