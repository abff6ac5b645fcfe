//! Renewal of this node's own row, which renews all leases that the node holds.
//!
//! The validity of a lease is counted from a time read before the renewal was sent. A renewal whose answer was
//! lost counts only once the row has been read with that renewal's number. Renewals are numbered and their send
//! times are kept, so that a renewal that takes effect late is counted from its own send time and not from a
//! later one.

use {
    super::{
        rows::{NodeRow, node_key, read_node_row, to_value},
        timing::{drift_margin, jittered, lease_duration, renewal_interval},
    },
    crate::{
        context::Context,
        effect::{Effect, LogLevel},
        ids::RowVersion,
        table::{Condition, Row, TableCall, TableOperation, TableOutcome, Write},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Number of recent renewals whose send times are kept.
const REMEMBERED_RENEWALS: usize = 16;

/// What this node knows about its own row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum KnownRow {
    /// Not known; the row must be read before it is written.
    #[default]
    Unread,
    /// The row does not exist.
    Absent,
    /// The row was written by this incarnation, or is fenced and may be overwritten.
    Present(RowVersion),
    /// Another incarnation wrote the row and may still renew it.
    OtherIncarnation {
        /// Version of the row.
        version: RowVersion,
        /// When this version was first seen.
        since: Duration,
        /// How long the row must stay unchanged before it may be overwritten.
        wait: Duration,
    },
}

/// Effect that reading the own row has on the leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnRowChange {
    /// Nothing changed.
    Unchanged,
    /// A newer renewal is now known to be committed.
    Renewed,
    /// The row is fenced, absent or written by another incarnation: all leases are lost.
    Lost,
}

/// Send time of a renewal and the lease duration that it asked for.
#[derive(Clone, Copy, Debug)]
struct SentRenewal {
    sent_at: Duration,
    lease_duration: Duration,
}

/// State of this node's own row and its renewals.
#[derive(Debug, Default)]
pub struct OwnRow {
    known: KnownRow,
    newest_version: RowVersion,
    voided_version: RowVersion,
    last_number: u64,
    sent: BTreeMap<u64, SentRenewal>,
    confirmed: Option<SentRenewal>,
    joined_at: Option<Duration>,
    in_flight: bool,
    next_at: Duration,
    retirement: Retirement,
}

/// Progress of the final write, by which a stopping node fences its own row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Retirement {
    /// The final write has not been sent.
    #[default]
    NotDue,
    /// The final write was sent and is not answered yet.
    Sent,
    /// The final write was answered or is not possible; it is not retried.
    Ended,
}

impl OwnRow {
    /// Time until which the last committed renewal is valid; `None` when there is none.
    pub fn valid_until(&self) -> Option<Duration> {
        let renewal = self.confirmed?;
        Some(renewal.sent_at + renewal.lease_duration)
    }

    /// Whether the last committed renewal is valid at `now`.
    pub fn is_valid(&self, now: Duration) -> bool {
        self.valid_until().is_some_and(|until| now < until)
    }

    /// Send time of the last renewal that is known to be committed.
    pub fn renewed_at(&self) -> Option<Duration> {
        self.confirmed.map(|renewal| renewal.sent_at)
    }

    /// Version of the own row that last voided all leases of this node; 0 when none did.
    ///
    /// Leases that group rows older than this version assign to this node are void too, even if the node reads
    /// those rows only later.
    pub fn voided_version(&self) -> RowVersion {
        self.voided_version
    }

    /// When this incarnation first read its own row in the table. From then on no earlier incarnation can renew.
    pub fn joined_at(&self) -> Option<Duration> {
        self.joined_at
    }

    /// Lease duration of the last committed renewal.
    pub fn lease_duration(&self) -> Option<Duration> {
        self.confirmed.map(|renewal| renewal.lease_duration)
    }

    /// Fences the own row; this incarnation never renews afterwards.
    pub fn retire(&mut self, context: &mut Context<'_>) {
        if !self.is_retiring() || self.in_flight {
            return;
        }
        let KnownRow::Present(version) = self.known else {
            self.retirement = Retirement::Ended;
            return;
        };
        self.retirement = Retirement::Sent;
        self.in_flight = true;
        self.renew(context, Some(version));
    }

    /// Whether this incarnation has a committed row and the final write that fences it is not done.
    pub fn is_retiring(&self) -> bool {
        self.confirmed.is_some() && self.retirement != Retirement::Ended
    }

    /// Makes the next round send a renewal, because the row's content has changed.
    pub fn renew_soon(&mut self) {
        self.next_at = Duration::ZERO;
    }

    /// Sends the next renewal when it is due, or the read that must precede it.
    pub fn round_due(&mut self, context: &mut Context<'_>) {
        let is_retired = self.retirement != Retirement::NotDue;
        if is_retired || self.in_flight || context.now < self.next_at {
            return;
        }
        let interval = renewal_interval(context.view);
        self.next_at = context.now + jittered(context.random, interval);
        self.in_flight = true;
        match self.known {
            KnownRow::Unread => self.read(context),
            KnownRow::Absent => self.renew(context, None),
            KnownRow::Present(version) => self.renew(context, Some(version)),
            KnownRow::OtherIncarnation {
                version,
                since,
                wait,
            } if context.now >= since + wait => self.renew(context, Some(version)),
            KnownRow::OtherIncarnation { .. } => self.read(context),
        }
    }

    fn read(&mut self, context: &mut Context<'_>) {
        context.effect(Effect::CallTable {
            call: TableCall::NodeRead,
            operation: TableOperation::Read {
                keys: vec![node_key(&context.view.node.id)],
            },
        });
    }

    fn renew(&mut self, context: &mut Context<'_>, version: Option<RowVersion>) {
        let lease_duration = lease_duration(context.view);
        self.last_number += 1;
        let sent = SentRenewal {
            sent_at: context.now,
            lease_duration,
        };
        self.sent.insert(self.last_number, sent);
        while self.sent.len() > REMEMBERED_RENEWALS {
            self.sent.pop_first();
        }
        let node = &context.view.node;
        let key = node_key(&node.id);
        let row = NodeRow {
            incarnation: node.incarnation,
            data_centre: node.data_centre.clone(),
            mesh_address: node.mesh_address.clone(),
            caller_address: node.caller_address.clone(),
            vm: node.vm.clone(),
            leaving: context.view.stopping,
            lease_duration_ms: u64::try_from(lease_duration.as_millis()).unwrap_or(u64::MAX),
            renewal: self.last_number,
            catalogue_version: context.view.catalogue.version,
            fenced: self.retirement == Retirement::Sent,
        };
        context.effect(Effect::CallTable {
            call: TableCall::NodeRenewal,
            operation: TableOperation::Commit {
                conditions: vec![Condition {
                    key: key.clone(),
                    version,
                }],
                writes: vec![Write {
                    key,
                    value: Some(to_value(&row)),
                }],
            },
        });
    }

    /// Handles the answer to a renewal or to a read of the own row.
    pub fn answered(&mut self, context: &mut Context<'_>, outcome: &TableOutcome) -> OwnRowChange {
        self.in_flight = false;
        if self.retirement == Retirement::Sent {
            self.retirement = Retirement::Ended;
        }
        match outcome {
            TableOutcome::Rows(rows)
            | TableOutcome::Committed(rows)
            | TableOutcome::Conflicted(rows) => match rows.first() {
                Some(row) => self.seen(context, row),
                None => self.absent(),
            },
            TableOutcome::Unavailable => OwnRowChange::Unchanged,
            TableOutcome::Unknown => {
                // A renewal with an unknown outcome counts only if the row, when read, shows that it took
                // effect.
                if self.known != KnownRow::Unread {
                    self.known = KnownRow::Unread;
                    self.next_at = context.now;
                }
                OwnRowChange::Unchanged
            }
        }
    }

    fn absent(&mut self) -> OwnRowChange {
        self.known = KnownRow::Absent;
        self.void()
    }

    /// Processes the own row from any table answer.
    pub fn seen(&mut self, context: &mut Context<'_>, row: &Row) -> OwnRowChange {
        if row.version < self.newest_version {
            return OwnRowChange::Unchanged;
        }
        let Some((node, content)) = read_node_row(row) else {
            return OwnRowChange::Unchanged;
        };
        if node != context.view.node.id {
            return OwnRowChange::Unchanged;
        }
        let is_new = row.version > self.newest_version;
        self.newest_version = row.version;
        if content.fenced {
            self.known = KnownRow::Present(row.version);
            self.next_at = context.now;
            return self.void();
        }
        if content.incarnation != context.view.node.incarnation {
            self.seen_other_incarnation(context, row.version, is_new, &content);
            return self.void();
        }
        self.known = KnownRow::Present(row.version);
        self.confirm(context.now, content.renewal)
    }

    fn seen_other_incarnation(
        &mut self,
        context: &mut Context<'_>,
        version: RowVersion,
        is_new: bool,
        content: &NodeRow,
    ) {
        if !is_new && matches!(self.known, KnownRow::OtherIncarnation { .. }) {
            return;
        }
        let lease_duration = content.lease_duration();
        context.log(
            LogLevel::Info,
            "waiting until the lease of another incarnation has run out",
            vec![("incarnation", content.incarnation.to_string())],
        );
        self.known = KnownRow::OtherIncarnation {
            version,
            since: context.now,
            wait: lease_duration + drift_margin(&context.view.tuning, lease_duration),
        };
    }

    fn confirm(&mut self, now: Duration, number: u64) -> OwnRowChange {
        let Some(renewal) = self.sent.get(&number).copied() else {
            return OwnRowChange::Unchanged;
        };
        if self
            .confirmed
            .is_some_and(|known| known.sent_at >= renewal.sent_at)
        {
            return OwnRowChange::Unchanged;
        }
        self.confirmed = Some(renewal);
        self.joined_at.get_or_insert(now);
        OwnRowChange::Renewed
    }

    fn void(&mut self) -> OwnRowChange {
        self.voided_version = self.newest_version;
        match self.confirmed.take() {
            Some(_) => OwnRowChange::Lost,
            None => OwnRowChange::Unchanged,
        }
    }
}
