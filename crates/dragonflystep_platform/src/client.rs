//! The client, and the calls to the table service and the VM list.

use {
    crate::{
        call::{self, Answer, Body, Call},
        error::PlatformError,
        pool::Pool,
        settings::PlatformSettings,
        vm_list::VmList,
        wire::{CommitBody, ReadBody, RowsBody, ScanBody, VmsBody},
    },
    dragonflystep_core::table::{Row, TableOperation, TableOutcome, Write},
    reqwest::{Method, StatusCode},
    serde::{Serialize, de::DeserializeOwned},
    std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration},
};

/// Client of the platform; clones share their connections.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    address: SocketAddr,
    timeout: Duration,
    pool: Arc<Pool>,
}

impl PlatformClient {
    /// A client; it connects with the first call.
    ///
    /// # Errors
    /// When the address is not an IP number and port, or the key can't be sent in a header.
    ///
    /// # Examples
    /// ```
    /// use dragonflystep_platform::{PlatformClient, PlatformError, PlatformSettings};
    /// use std::time::Duration;
    /// let settings = PlatformSettings {
    ///     address: "platform:80".into(),
    ///     key: "platform-key-0001".into(),
    ///     timeout: Duration::from_millis(800),
    /// };
    /// let fault = PlatformClient::new(settings).expect_err("a name is no IP number");
    /// assert!(matches!(fault, PlatformError::InvalidAddress { .. }));
    /// ```
    pub fn new(settings: PlatformSettings) -> Result<Self, PlatformError> {
        let address = settings.address.parse();
        let address = address.map_err(|_| PlatformError::InvalidAddress {
            address: settings.address.to_string(),
        })?;
        Ok(Self {
            address,
            timeout: settings.timeout,
            pool: Arc::new(Pool::new(settings)?),
        })
    }

    /// Makes one call to the table service and says what became of it.
    ///
    /// A commit whose answer was lost is [`TableOutcome::Unknown`]: it may have taken effect, and it may
    /// even take effect after this returned. A read or scan that failed is always
    /// [`TableOutcome::Unavailable`], since it changes nothing.
    ///
    /// # Examples
    /// ```no_run
    /// use dragonflystep_core::table::{TableOperation, TableOutcome};
    /// # async fn example(client: dragonflystep_platform::PlatformClient) {
    /// let outcome = client.table(TableOperation::Scan { prefix: "node/".into() }).await;
    /// let TableOutcome::Rows(rows) = outcome else {
    ///     return;
    /// };
    /// # }
    /// ```
    pub async fn table(&self, operation: TableOperation) -> TableOutcome {
        let outcome = match &operation {
            TableOperation::Read { keys } => self.read(keys).await,
            TableOperation::Scan { prefix } => self.scan(prefix).await,
            TableOperation::Commit { conditions, writes } => {
                let body = CommitBody::new(conditions, writes);
                self.commit(&body, writes).await
            }
        };
        outcome.unwrap_or_else(|fault| outcome_of_fault(&operation, &fault))
    }

    /// The VM list, which lags behind what happens.
    ///
    /// # Errors
    /// When the platform can't be reached, refuses, or gives no whole list.
    pub async fn vm_list(&self) -> Result<VmList, PlatformError> {
        let call = Call {
            method: Method::GET,
            path: "/vms".into(),
            body: Body::Empty,
        };
        let answer = self.make(call).await?;
        if answer.status != StatusCode::OK {
            return Err(unexpected(&answer));
        }
        let VmsBody { live, leaving } = parse(&answer)?;
        Ok(VmList { live, leaving })
    }

    pub(crate) async fn make(&self, call: Call) -> Result<Answer, PlatformError> {
        self.make_within(1, call).await
    }

    /// Makes a call that may take this many times as long as one to the table.
    pub(crate) async fn make_within(
        &self,
        timeouts: u32,
        call: Call,
    ) -> Result<Answer, PlatformError> {
        let timeout = self.timeout.saturating_mul(timeouts);
        call::make(&self.pool, self.address, timeout, call).await
    }

    async fn read(&self, keys: &[Arc<str>]) -> Result<TableOutcome, PlatformError> {
        let answer = self.post("/table/read", &ReadBody { keys }).await?;
        let rows = rows_of(&answer)?;
        if !rows.iter().all(|row| keys.contains(&row.key)) {
            return Err(garbled("a row that was not asked for"));
        }
        Ok(TableOutcome::Rows(rows))
    }

    async fn scan(&self, prefix: &str) -> Result<TableOutcome, PlatformError> {
        let answer = self.post("/table/scan", &ScanBody { prefix }).await?;
        let rows = rows_of(&answer)?;
        if !rows.iter().all(|row| row.key.starts_with(prefix)) {
            return Err(garbled("a row that was not asked for"));
        }
        Ok(TableOutcome::Rows(rows))
    }

    async fn commit(
        &self,
        body: &CommitBody<'_>,
        writes: &[Write],
    ) -> Result<TableOutcome, PlatformError> {
        let answer = self.post("/table/commit", body).await?;
        if answer.status == StatusCode::CONFLICT {
            let rows = parse::<RowsBody>(&answer)?.into_rows();
            return Ok(TableOutcome::Conflicted(rows));
        }
        let rows = rows_of(&answer)?;
        if !are_the_written(&rows, writes) {
            return Err(garbled("other rows than were written"));
        }
        Ok(TableOutcome::Committed(rows))
    }

    async fn post(&self, path: &str, body: &impl Serialize) -> Result<Answer, PlatformError> {
        let text =
            serde_json::to_vec(body).expect("keys, texts and numbers always have a JSON form");
        let call = Call {
            method: Method::POST,
            path: path.into(),
            body: Body::Json(text),
        };
        self.make(call).await
    }
}

/// What a failed call means for the reducer.
fn outcome_of_fault(operation: &TableOperation, fault: &PlatformError) -> TableOutcome {
    log::debug!(fault:%; "platform table call failed");
    match operation {
        TableOperation::Commit { .. } if !fault.is_without_effect() => TableOutcome::Unknown,
        _ => TableOutcome::Unavailable,
    }
}

fn are_the_written(rows: &[Row], writes: &[Write]) -> bool {
    let kept = writes.iter().filter(|write| write.value.is_some());
    let expected: BTreeSet<&str> = kept.map(|write| write.key.as_ref()).collect();
    let given: BTreeSet<&str> = rows.iter().map(|row| row.key.as_ref()).collect();
    expected == given
}

fn rows_of(answer: &Answer) -> Result<Vec<Row>, PlatformError> {
    if answer.status != StatusCode::OK {
        return Err(unexpected(answer));
    }
    Ok(parse::<RowsBody>(answer)?.into_rows())
}

fn parse<T: DeserializeOwned>(answer: &Answer) -> Result<T, PlatformError> {
    // The parser's words name fields and places, never content of the answer in full.
    serde_json::from_slice(&answer.body).map_err(|fault| garbled(&fault.to_string()))
}

fn garbled(reason: &str) -> PlatformError {
    PlatformError::Garbled {
        reason: reason.into(),
    }
}

fn unexpected(answer: &Answer) -> PlatformError {
    PlatformError::UnexpectedStatus {
        status: answer.status.as_u16(),
    }
}
