//! Asking an owner and looking at its verdict.

use {
    super::SERVICE,
    dragonflystep_dispatch::{Ask, Dispatcher, Ended, Event, Refusal, RunId, RunOutcome, Verdict},
    std::time::Duration,
};

pub const AT: Duration = Duration::from_secs(20);

pub fn ask(dispatcher: &mut Dispatcher, at: Duration, ask: Ask) -> Option<Verdict> {
    let run = ask.run;
    let effects = dispatcher.reduce(at, Event::Asked(ask));
    let own = effects.into_iter().find(|effect| effect.run == run);
    own.map(|effect| effect.verdict)
}

pub fn granted_to(verdict: Option<Verdict>) -> String {
    match verdict {
        Some(Verdict::Granted(grant)) => grant.upstream.to_string(),
        other => panic!("no place: {other:?}"),
    }
}

pub fn refusal(verdict: Option<Verdict>) -> Refusal {
    match verdict {
        Some(Verdict::Refused(refusal)) => refusal,
        other => panic!("not refused: {other:?}"),
    }
}

pub fn ended(run: RunId, outcome: RunOutcome) -> Event {
    Event::Ended(Ended {
        run,
        service: SERVICE.into(),
        outcome,
        to_first_event: Some(Duration::from_millis(60)),
        to_end: Duration::from_millis(500),
        events: 30,
    })
}
