//! Carries the reducer's calls to the table service and to the object store.

use {
    dragonflystep_core::{
        Event,
        object::{ObjectCall, ObjectOperation},
        table::{TableCall, TableOperation},
    },
    dragonflystep_platform::PlatformClient,
    tokio::sync::mpsc::UnboundedSender,
};

/// Makes one call and hands its answer back as an event.
pub fn call_table(
    client: &PlatformClient,
    events: &UnboundedSender<Event>,
    call: TableCall,
    operation: TableOperation,
) {
    let client = client.clone();
    let events = events.clone();
    tokio::spawn(async move {
        let outcome = client.table(operation).await;
        // The receiver is gone only when the node has ended.
        let _ = events.send(Event::TableAnswered { call, outcome });
    });
}

/// Makes one call to the object store and hands its answer back as an event.
pub fn call_objects(
    client: &PlatformClient,
    events: &UnboundedSender<Event>,
    call: ObjectCall,
    operation: ObjectOperation,
) {
    let client = client.clone();
    let events = events.clone();
    tokio::spawn(async move {
        let outcome = client.objects(operation).await;
        // The receiver is gone only when the node has ended.
        let _ = events.send(Event::ObjectAnswered { call, outcome });
    });
}
