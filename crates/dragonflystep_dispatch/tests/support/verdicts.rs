//! Asking an owner and looking at its verdict.

use {
    super::SERVICE,
    dragonflystep_dispatch::{
        Dispatcher, Event, Refusal, RunId, RunOutcome, RunReport, SlotDecision, SlotRequest,
    },
    std::time::Duration,
};

pub const AT: Duration = Duration::from_secs(20);

pub fn ask(dispatcher: &mut Dispatcher, at: Duration, ask: SlotRequest) -> Option<SlotDecision> {
    let run = ask.run;
    let effects = dispatcher.reduce(at, Event::SlotRequested(ask));
    let own = effects.into_iter().find(|effect| effect.run == run);
    own.map(|effect| effect.decision)
}

pub fn granted_to(decision: Option<SlotDecision>) -> String {
    match decision {
        Some(SlotDecision::Granted(grant)) => grant.upstream.to_string(),
        other => panic!("no place: {other:?}"),
    }
}

pub fn refusal(decision: Option<SlotDecision>) -> Refusal {
    match decision {
        Some(SlotDecision::Refused(refusal)) => refusal,
        other => panic!("not refused: {other:?}"),
    }
}

pub fn ended(run: RunId, outcome: RunOutcome) -> Event {
    Event::RunEnded(RunReport {
        run,
        service: SERVICE.into(),
        outcome,
        to_first_event: Some(Duration::from_millis(60)),
        to_end: Duration::from_millis(500),
        events: 30,
    })
}
