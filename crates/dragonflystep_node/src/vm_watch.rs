//! Reads the platform's VM list again and again.

use {
    dragonflystep_core::{Event, ids::NodeId, membership::vm_list_interval},
    dragonflystep_gateway::GatewayView,
    dragonflystep_platform::PlatformClient,
    std::sync::Arc,
    tokio::{
        sync::{mpsc::UnboundedSender, watch::Receiver},
        time::sleep,
    },
};

/// Reads the VM list until the node ends.
pub async fn watch_vms(
    client: PlatformClient,
    events: UnboundedSender<Event>,
    view: Receiver<Arc<GatewayView>>,
    node: NodeId,
) {
    for reading in 0.. {
        match client.vm_list().await {
            Ok(list) => {
                let event = Event::VmListRead {
                    live: list.live.into_iter().collect(),
                    leaving: list.leaving.into_iter().collect(),
                };
                if events.send(event).is_err() {
                    return;
                }
            }
            Err(error) => log::debug!("VM list can't be read: {error}"),
        }
        let nodes = view.borrow().entries.len();
        sleep(vm_list_interval(nodes, &node, reading)).await;
    }
}
