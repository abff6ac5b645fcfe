//! The platform and the operator: the table with its outages, the list of VMs, the first catalogue.

use {
    super::{
        World, catalogue,
        heap::{Happening, NodeInput},
    },
    crate::scenario::ms,
    dragonflystep_core::{
        Event,
        admin::AdminCommand,
        table::{TableCall, TableOperation, TableOutcome},
    },
    std::{collections::BTreeSet, sync::Arc, time::Duration},
};

/// One-way delay to the table service, in milliseconds.
const TABLE_DELAY_MS: f64 = 2.0;

/// How long a node waits for an answer of the table service.
const TABLE_TIMEOUT: Duration = Duration::from_secs(1);

/// How often nodes read the list of VMs.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(2);

/// How often the operator tries to send the site's catalogue.
const OFFER_INTERVAL: Duration = Duration::from_secs(1);

impl World {
    pub(super) fn call_table(&mut self, node: usize, call: TableCall, operation: TableOperation) {
        let incarnation = self.nodes[node].incarnation;
        let arrival = self.now + ms(TABLE_DELAY_MS) + self.jitter();
        let happening = Happening::TableCalled {
            node,
            incarnation,
            call,
            operation,
        };
        self.heap.push(arrival, happening);
    }

    pub(super) fn table_called(
        &mut self,
        node: usize,
        incarnation: u64,
        call: TableCall,
        operation: &TableOperation,
    ) {
        let back = ms(TABLE_DELAY_MS) + self.jitter();
        let (after, outcome) = if self.now < self.table_out_until {
            (back, TableOutcome::Unavailable)
        } else if self.now < self.answers_lost_until {
            self.table.apply(operation);
            (TABLE_TIMEOUT, TableOutcome::Unknown)
        } else {
            (back, self.table.apply(operation))
        };
        let event = Event::TableAnswered { call, outcome };
        self.push_node(self.now + after, node, incarnation, NodeInput::Event(event));
    }

    pub(super) fn offer_catalogue(&mut self) {
        if self.catalogue_accepted {
            return;
        }
        self.heap
            .push(self.now + OFFER_INTERVAL, Happening::OfferCatalogue);
        let Some(node) = self.nodes.iter().position(|it| it.is_up()) else {
            return;
        };
        let command = AdminCommand::ChangeCatalogue {
            based_on: 0,
            author: "operator".into(),
            reason: "first catalogue of the site".into(),
            token: "first".into(),
            edits: catalogue::edits(&self.plan, &self.fleet),
        };
        self.feed(node, Event::AdminCalled { call: 1, command });
    }

    pub(super) fn tell_vm_list(&mut self) {
        self.heap
            .push(self.now + VM_LIST_INTERVAL, Happening::VmList);
        let upstreams = self.fleet.iter().filter(|it| it.alive);
        let upstreams = upstreams.filter_map(|it| it.entry.vm.clone());
        let nodes = self.nodes.iter().filter(|it| it.is_up());
        let nodes = nodes.map(|it| -> Arc<str> { format!("vm-{}", it.id).into() });
        let live: BTreeSet<Arc<str>> = upstreams.chain(nodes).collect();
        // The list lags by one interval.
        for node in 0..self.nodes.len() {
            let event = Event::VmListRead {
                live: live.clone(),
                leaving: BTreeSet::new(),
            };
            let incarnation = self.nodes[node].incarnation;
            let at = self.now + VM_LIST_INTERVAL;
            self.push_node(at, node, incarnation, NodeInput::Event(event));
        }
    }
}
