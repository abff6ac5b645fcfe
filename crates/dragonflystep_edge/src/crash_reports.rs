//! Observes crashes of upstreams and sound content as the entry node of requests, and tells the nodes that may have to decide
//! about requests with that content.

use {
    crate::{
        entry_runs::EntryRun, limits::MAX_OWNERS_ASKED, node::Node, platform::Platform,
        slots::send_notices,
    },
    dragonflystep_dispatch::{
        ContentKey, CrashEvidence, Event, Grant, NodeName, SoundContent, UpstreamCrash,
    },
    std::{rc::Rc, time::Duration},
    tokio::task::spawn_local,
};

impl Node {
    /// Records that an upstream broke off a run after `events` events, and tells the nodes that are first in rank: the owner
    /// may die before it tells others.
    pub(crate) fn report_crash(&self, run: &EntryRun, grant: &Grant, events: u32) {
        let upstream = grant.upstream.clone();
        let crash = UpstreamCrash::of_run(&run.request, upstream, &grant.address, events);
        let evidence = CrashEvidence::from(crash);
        self.owner.apply(Event::CrashesObserved(evidence.clone()));
        for owner in self.ranked_owners(MAX_OWNERS_ASKED) {
            self.send_evidence(&owner, evidence.clone());
        }
    }

    /// Records that an upstream has begun to answer a request, and tells the owner that granted the slot if a segment of the
    /// request is suspected, by what this node knows or as the owner said.
    pub(crate) fn report_begun(&self, run: &EntryRun, is_awaited: bool) {
        let mut content = run.request.shared_content.clone();
        if !is_awaited {
            let suspected = self.owner.suspected_content(&run.request);
            content.retain(|key| suspected.contains(key));
        }
        if !content.is_empty() {
            let evidence = self.record_sound(content);
            self.send_evidence(&run.owner.0, evidence);
        }
    }

    /// Records that a request was answered whole. The owner learns it from the end of the run.
    pub(crate) fn note_completed(&self, run: &EntryRun) {
        let suspected = self.owner.suspected_content(&run.request);
        if suspected.contains(&run.request.fingerprint) {
            self.record_sound(vec![run.request.fingerprint]);
        }
    }

    fn record_sound(&self, content: Vec<ContentKey>) -> CrashEvidence {
        let sound = content.into_iter().map(|content| SoundContent {
            content,
            age: Duration::ZERO,
        });
        let evidence = CrashEvidence {
            crashes: Vec::new(),
            sound: sound.collect(),
        };
        self.owner.apply(Event::CrashesObserved(evidence.clone()));
        evidence
    }

    /// Applies what another node observed.
    pub(crate) fn apply_evidence(&self, evidence: CrashEvidence) {
        if !evidence.is_empty() {
            self.owner.apply(Event::CrashesObserved(evidence));
        }
    }

    fn send_evidence(&self, node: &NodeName, evidence: CrashEvidence) {
        if *node == self.settings.node {
            return;
        }
        if let Some(link) = self.members.link(node) {
            spawn_local(send_notices(link, Vec::new(), evidence));
        }
    }

    /// Applies the crashes of refused content that the platform kept. `age` is the time since they were written.
    pub fn restore_refused_content(&self, mut evidence: CrashEvidence, age: Duration) {
        evidence.add_age(age);
        log::info!(crashes = evidence.crashes.len(); "the platform knows content that crashes upstreams");
        self.apply_evidence(evidence);
    }
}

/// Has the platform keep the crashes of refused content, for as long as the node runs. After a loss of all nodes nobody
/// else knows them.
pub(crate) async fn publish_refused_content(node: Rc<Node>, platform: Rc<dyn Platform>) {
    loop {
        node.owner.refused_content_changed.notified().await;
        if node.is_current_owner() {
            let refused = node.owner.refused_content();
            platform
                .clone()
                .publish_refused_content(node.clone(), refused)
                .await;
        }
    }
}
