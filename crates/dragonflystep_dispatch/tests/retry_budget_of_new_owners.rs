//! Retries that owners permit which follow one another, as after a loss of all nodes.

mod support;

use {
    dragonflystep_dispatch::{RunId, SlotDecision, SlotRequest},
    std::time::Duration,
    support::{
        dispatcher, plain_request,
        slot_requests::{START, request_slot},
    },
};

const SLOTS: u32 = 2;

/// The budget is that of all nodes together.
#[test]
fn an_owner_that_has_just_started_does_not_take_the_retry_budget_for_unspent() {
    const PERMITTED: usize = 50;
    let retried = |first_run: RunId| {
        let mut owner = dispatcher(50, SLOTS);
        let granted = (0..100).filter(|number| {
            let request = SlotRequest {
                previous_attempts: 1,
                ..plain_request(first_run + number, 0)
            };
            let at = START + Duration::from_millis(10 * number);
            let decision = request_slot(&mut owner, at, request);
            matches!(decision, Some(SlotDecision::Granted(_)))
        });
        granted.count()
    };
    let granted = retried(1_000) + retried(2_000);
    assert!(granted <= PERMITTED, "{granted} retries in 3 s");
}
