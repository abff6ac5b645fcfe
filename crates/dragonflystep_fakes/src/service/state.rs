//! Calls, effects and faults of a plain-service stand-in.

use {
    super::{
        ServiceFakeSettings,
        faults::ServiceFault,
        records::{CallRecord, ServiceRecords},
    },
    crate::{
        clock::{millis, unix_millis},
        connection::ConnectionControl,
        engine::content_hash,
    },
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// What to do with a call instead of the usual answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Disturbance {
    SilenceBeforeAnswer,
    CloseBeforeAnswer,
    CloseMidAnswer { chunked: bool },
    Status { status: u16 },
    Fenced { highest: u64 },
    Crash { down: Duration },
}

/// A call that was taken in.
#[derive(Debug)]
pub(super) struct TakenCall {
    /// Place of its record.
    pub(super) record: usize,
    pub(super) latency: Duration,
    pub(super) disturbance: Option<Disturbance>,
}

/// A call as it arrived.
#[derive(Debug, Default)]
pub(super) struct Arrival {
    pub(super) method: String,
    pub(super) path: String,
    pub(super) request_id: Option<String>,
    pub(super) fencing_number: Option<u64>,
    pub(super) idempotency_key: Option<String>,
    pub(super) idempotent: Option<String>,
    pub(super) body: Vec<u8>,
    /// Whether the call orders something, so that running it twice shows.
    pub(super) is_order: bool,
}

#[derive(Debug, Default)]
struct FaultsInForce {
    /// Disturbances of the next calls, the first one first.
    next: Vec<(Disturbance, bool, u32)>,
    crash_on: Option<(String, Duration)>,
}

#[derive(Debug)]
struct ServiceState {
    records: ServiceRecords,
    faults: FaultsInForce,
    latency: Duration,
    checks_fencing: bool,
    running: u32,
}

pub(super) struct Service {
    began: Instant,
    settings: ServiceFakeSettings,
    control: ConnectionControl,
    state: Mutex<ServiceState>,
}

impl Service {
    pub(super) fn new(settings: ServiceFakeSettings, control: ConnectionControl) -> Self {
        let state = ServiceState {
            records: ServiceRecords::default(),
            faults: FaultsInForce::default(),
            latency: settings.latency,
            checks_fencing: settings.checks_fencing,
            running: 0,
        };
        Self {
            began: Instant::now(),
            settings,
            control,
            state: Mutex::new(state),
        }
    }

    pub(super) fn settings(&self) -> &ServiceFakeSettings {
        &self.settings
    }

    pub(super) fn control(&self) -> &ConnectionControl {
        &self.control
    }

    /// Records a call and lets it take effect; the guard ends it.
    pub(super) fn take(self: &Arc<Self>, arrival: &Arrival) -> (TakenCall, RunningCall) {
        let arrived = self.began.elapsed();
        let mut state = self.lock();
        let (disturbance, ran) = state.disturbance(arrival);
        if ran && arrival.is_order {
            state.run_order(arrival);
        }
        state.running += 1;
        state.records.most_running = state.records.most_running.max(state.running);
        let record = state.records.calls.len();
        state.records.calls.push(call_record(arrival, arrived, ran));
        if matches!(disturbance, Some(Disturbance::Crash { .. })) {
            state.records.crashes += 1;
        }
        let latency = state.latency;
        drop(state);
        let call = TakenCall {
            record,
            latency,
            disturbance,
        };
        (call, RunningCall(Arc::clone(self)))
    }

    pub(super) fn answered(&self, record: usize, status: u16) {
        self.lock().records.calls[record].status = Some(status);
    }

    pub(super) fn runs_of(&self, arrival: &Arrival) -> u32 {
        self.lock().records.runs_of(&arrival.body)
    }

    pub(super) fn running(&self) -> u32 {
        self.lock().running
    }

    pub(super) fn records(&self) -> ServiceRecords {
        self.lock().records.clone()
    }

    pub(super) fn go_down(&self, down: Duration) {
        self.control.refuse_for(down);
        self.control.break_all();
    }

    pub(super) fn apply(&self, fault: ServiceFault) {
        let mut state = self.lock();
        let next = &mut state.faults.next;
        match fault {
            ServiceFault::Latency { latency_ms } => {
                state.latency = Duration::from_millis(latency_ms)
            }
            ServiceFault::SilenceExisting => self.control.silence_existing(),
            ServiceFault::SilenceNew { on } => self.control.silence_new(on),
            ServiceFault::SilenceBeforeAnswer { count } => {
                next.push((Disturbance::SilenceBeforeAnswer, true, count));
            }
            ServiceFault::CloseBeforeAnswer { count } => {
                next.push((Disturbance::CloseBeforeAnswer, true, count));
            }
            ServiceFault::CloseMidAnswer { count, chunked } => {
                next.push((Disturbance::CloseMidAnswer { chunked }, true, count));
            }
            ServiceFault::Status { status, count, ran } => {
                next.push((Disturbance::Status { status }, ran, count));
            }
            ServiceFault::Crash { down_ms } => {
                state.records.crashes += 1;
                self.go_down(Duration::from_millis(down_ms));
            }
            ServiceFault::CrashOn { text, down_ms } => {
                let mark = (text, Duration::from_millis(down_ms));
                state.faults.crash_on = Some(mark).filter(|(text, _)| !text.is_empty());
            }
            ServiceFault::Fencing { on } => state.checks_fencing = on,
            ServiceFault::Clear => {
                state.faults = FaultsInForce::default();
                state.latency = self.settings.latency;
                state.checks_fencing = self.settings.checks_fencing;
                self.control.silence_new(false);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ServiceState {
    /// What happens to a call, and whether it takes effect.
    fn disturbance(&mut self, arrival: &Arrival) -> (Option<Disturbance>, bool) {
        let highest = self.records.highest_fencing_number;
        let number = arrival.fencing_number.unwrap_or(highest);
        if self.checks_fencing && number < highest {
            return (Some(Disturbance::Fenced { highest }), false);
        }
        self.records.highest_fencing_number = highest.max(number);
        if let Some((text, down)) = &self.faults.crash_on
            && String::from_utf8_lossy(&arrival.body).contains(text)
        {
            return (Some(Disturbance::Crash { down: *down }), true);
        }
        self.faults.next.retain(|(_, _, count)| *count > 0);
        let Some((disturbance, ran, count)) = self.faults.next.first_mut() else {
            return (None, true);
        };
        *count -= 1;
        (Some(*disturbance), *ran)
    }

    fn run_order(&mut self, arrival: &Arrival) {
        let body_hash = content_hash(&arrival.body);
        *self.records.order_runs.entry(body_hash).or_default() += 1;
        if let Some(request_id) = &arrival.request_id {
            *self
                .records
                .request_id_runs
                .entry(request_id.clone())
                .or_default() += 1;
        }
    }
}

/// Counts a call as running until it is dropped.
pub(super) struct RunningCall(Arc<Service>);

impl Drop for RunningCall {
    fn drop(&mut self) {
        self.0.lock().running -= 1;
    }
}

fn call_record(arrival: &Arrival, arrived: Duration, ran: bool) -> CallRecord {
    CallRecord {
        method: arrival.method.clone(),
        path: arrival.path.clone(),
        request_id: arrival.request_id.clone(),
        fencing_number: arrival.fencing_number,
        idempotency_key: arrival.idempotency_key.clone(),
        idempotent: arrival.idempotent.clone(),
        body_hash: content_hash(&arrival.body),
        arrived_ms: millis(arrived),
        arrived_unix_ms: unix_millis(),
        ran,
        status: None,
    }
}
