//! The models together with the faults in force, shared by the calls.

use {
    super::{
        connections::Connections,
        faults::{CallKind, FaultOrder, FaultPlan, Verdict},
        objects::ObjectModel,
        records::Records,
        table::{Operation, TableAnswer, TableModel},
        vms::{VmListModel, VmNames},
    },
    bytes::Bytes,
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// The shared state of one stand-in.
#[derive(Debug)]
pub(super) struct Platform {
    pub(super) connections: Connections,
    authorization: String,
    started: Instant,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    table: TableModel,
    objects: ObjectModel,
    vms: VmListModel,
    faults: FaultPlan,
    records: Records,
}

impl Platform {
    pub(super) fn new(key: &str) -> Self {
        Self {
            connections: Connections::default(),
            authorization: format!("Bearer {key}"),
            started: Instant::now(),
            inner: Mutex::default(),
        }
    }

    /// Whether the value of the `Authorization` header is the right one.
    pub(super) fn is_authorized(&self, given: Option<&[u8]>) -> bool {
        let authorized = given == Some(self.authorization.as_bytes());
        if !authorized {
            self.record(|records| records.unauthorized += 1);
        }
        authorized
    }

    pub(super) fn records(&self) -> Records {
        self.lock().records
    }

    pub(super) fn record(&self, change: impl FnOnce(&mut Records)) {
        change(&mut self.lock().records);
    }

    pub(super) fn order(&self, order: &FaultOrder) {
        self.lock().faults.order(order);
        if order.silence_open_connections {
            self.connections.silence_all();
        }
    }

    pub(super) fn change_vms(&self, names: VmNames) {
        let now = self.now();
        self.lock().vms.change(now, names);
    }

    pub(super) fn set_vm_lag(&self, lag: Duration) {
        self.lock().vms.set_lag(lag);
    }

    pub(super) fn table(&self) -> TableModel {
        self.lock().table.clone()
    }

    /// Decides on a call, and says how late it is carried out.
    pub(super) fn decide(&self, kind: CallKind) -> (Verdict, Duration) {
        let now = self.now();
        let mut inner = self.lock();
        let verdict = inner.faults.decide(now, kind);
        inner.records.calls += 1;
        match verdict {
            Verdict::TooMany | Verdict::Down => inner.records.refused += 1,
            Verdict::LoseAnswer => inner.records.lost_answers += 1,
            Verdict::Silence => inner.records.silenced += 1,
            Verdict::Serve => {}
        }
        (verdict, inner.faults.delay())
    }

    pub(super) fn apply(&self, operation: Operation) -> TableAnswer {
        let mut inner = self.lock();
        let mut written_rows = 0;
        match &operation {
            Operation::Read { .. } => inner.records.table_reads += 1,
            Operation::Scan { .. } => inner.records.table_scans += 1,
            Operation::Commit { writes, .. } => written_rows = writes.len() as u64,
        }
        let answer = inner.table.apply(operation);
        match &answer {
            TableAnswer::Rows(rows) => inner.records.rows_read += rows.len() as u64,
            TableAnswer::Committed(_) => {
                inner.records.commits += 1;
                inner.records.rows_written += written_rows;
            }
            TableAnswer::Conflicted(_) => inner.records.conflicts += 1,
        }
        answer
    }

    pub(super) fn put_object(&self, name: Arc<str>, content: Bytes) {
        let mut inner = self.lock();
        inner.records.object_puts += 1;
        inner.objects.put(name, content);
    }

    pub(super) fn object(&self, name: &str) -> Option<Bytes> {
        let mut inner = self.lock();
        inner.records.object_gets += 1;
        inner.objects.get(name)
    }

    pub(super) fn vms(&self) -> VmNames {
        let now = self.now();
        let mut inner = self.lock();
        inner.records.vm_list_reads += 1;
        inner.vms.read(now)
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // The models are changed in whole steps, so they stay usable when a holder panics.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
