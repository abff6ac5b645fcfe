//! Helpers that request slots from an owner and check its decisions.

use {
    super::SERVICE,
    dragonflystep_dispatch::{
        Dispatcher, Event, Refusal, RunId, RunOutcome, RunReport, SlotDecision, SlotRequest,
    },
    std::time::Duration,
};

/// Virtual time at which the tests of single decisions begin.
pub const START: Duration = Duration::from_secs(20);

/// Requests a slot and returns the decision for this request, or `None` while it waits.
pub fn request_slot(
    dispatcher: &mut Dispatcher,
    at: Duration,
    request: SlotRequest,
) -> Option<SlotDecision> {
    let run = request.run;
    let effects = dispatcher.reduce(at, Event::SlotRequested(request));
    let own_effect = effects.into_iter().find(|effect| effect.run == run);
    own_effect.map(|effect| effect.decision)
}

/// Returns the name of the granted upstream; panics if no slot was granted.
pub fn granted_upstream(decision: Option<SlotDecision>) -> String {
    match decision {
        Some(SlotDecision::Granted(grant)) => grant.upstream.to_string(),
        other => panic!("no slot was granted: {other:?}"),
    }
}

/// Returns the refusal; panics if the request was not refused.
pub fn refusal(decision: Option<SlotDecision>) -> Refusal {
    match decision {
        Some(SlotDecision::Refused(refusal)) => refusal,
        other => panic!("the request was not refused: {other:?}"),
    }
}

/// The end of a streamed run of 30 events after 500 ms.
pub fn run_ended(run: RunId, outcome: RunOutcome) -> Event {
    Event::RunEnded(RunReport {
        run,
        service: SERVICE.into(),
        outcome,
        to_first_event: Some(Duration::from_millis(60)),
        to_end: Duration::from_millis(500),
        events: 30,
    })
}
