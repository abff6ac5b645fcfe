//! Structured logs on standard output, one JSON object per line, in bounded memory and without blocking the node.
//!
//! Lines are collected in memory and written by a dedicated thread. Lines are dropped when the output is too slow or
//! the number of lines per second exceeds the limit; a separate line states how many were dropped.

use {
    log::{
        Level, LevelFilter, Record,
        kv::{Key, Value, VisitSource},
    },
    serde_json::{Map, json},
    std::{
        io::Write,
        sync::{
            Arc, Mutex,
            mpsc::{Receiver, SyncSender, sync_channel},
        },
        thread,
        time::{Duration, SystemTime},
    },
    tokio::time::sleep,
};

/// Lines per second beyond which only warnings and errors are logged; a node at its usual load writes a tenth of that.
const MAX_LINES_PER_SECOND: u32 = 300;

/// Time between two writes; short enough to follow the log live.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);

/// Most batches that wait for a slow output; further ones are dropped.
const MAX_WAITING_BATCHES: usize = 8;

/// Longest time for which [`LogBuffer::finish`] waits for a slow output.
const FINISH_TIMEOUT: Duration = Duration::from_millis(200);

/// Prefix of the log targets of this project's crates. Of other crates, only warnings and errors are logged.
const OWN_TARGET_PREFIX: &str = "dragonflystep";

/// Lines that were not yet handed to the writing thread, and the state of the rate limit.
#[derive(Default)]
struct PendingLines {
    text: String,
    /// Lines in `text`.
    count: u32,
    /// The current second, since the Unix epoch.
    second: u64,
    /// Lines logged in the current second, dropped ones included.
    in_second: u32,
    /// Lines dropped since the last batch was handed over.
    dropped: u64,
}

/// What the writing thread is given.
enum Batch {
    Lines(String),
    /// The end of the log; the sender is dropped once all batches before it are written.
    End(SyncSender<()>),
}

/// Collects log lines and hands them to the writing thread in batches.
#[derive(Clone)]
pub struct LogBuffer {
    lines: Arc<Mutex<PendingLines>>,
    batches: SyncSender<Batch>,
}

/// Starts the log of this process; each line contains the name of the node.
///
/// # Errors
/// When the process has a log already, or no thread can be started.
pub fn start_log(node: &str, level: LevelFilter) -> Result<LogBuffer, LogError> {
    let (batches, receiver) = sync_channel(MAX_WAITING_BATCHES);
    thread::Builder::new()
        .name("log".to_owned())
        .stack_size(64 << 10)
        .spawn(move || write_batches(&receiver))
        .map_err(|error| LogError(error.to_string()))?;
    let buffer = LogBuffer {
        lines: Arc::default(),
        batches,
    };
    let sink = buffer.clone();
    let node = node.to_owned();
    fern::Dispatch::new()
        .level(level)
        .filter(|metadata| {
            metadata.target().starts_with(OWN_TARGET_PREFIX) || metadata.level() <= Level::Warn
        })
        .chain(fern::Output::call(move |record| sink.push(&node, record)))
        .apply()
        .map_err(|error| LogError(error.to_string()))?;
    Ok(buffer)
}

/// Why the log can't be started.
#[derive(Debug, thiserror::Error)]
#[error("can't start the log: {0}")]
pub struct LogError(String);

impl LogBuffer {
    /// Periodically hands collected lines to the writing thread, for as long as the node runs.
    pub async fn run(self) {
        loop {
            sleep(WRITE_INTERVAL).await;
            self.flush();
        }
    }

    /// Hands collected lines to the writing thread, or drops them if too many batches already wait.
    pub fn flush(&self) {
        let Ok(mut lines) = self.lines.lock() else {
            return;
        };
        if lines.text.is_empty() && lines.dropped == 0 {
            return;
        }
        let mut batch = std::mem::take(&mut lines.text);
        let count = std::mem::take(&mut lines.count);
        let dropped = std::mem::take(&mut lines.dropped);
        if dropped > 0 {
            batch.push_str(&json!({"message": "log lines left out", "lines": dropped}).to_string());
            batch.push('\n');
        }
        if self.batches.try_send(Batch::Lines(batch)).is_err() {
            lines.dropped = dropped + u64::from(count);
        }
    }

    /// Hands collected lines to the writing thread and waits until they are written, for a limited time. Blocks the
    /// thread; to be called when the process ends, as lines that the writing thread still holds are lost then.
    pub fn finish(&self) {
        self.flush();
        let (end, ended) = sync_channel(0);
        if self.batches.try_send(Batch::End(end)).is_ok() {
            // Both the end and the timeout let the process go on to exit.
            let _ = ended.recv_timeout(FINISH_TIMEOUT);
        }
    }

    fn push(&self, node: &str, record: &Record<'_>) {
        let now = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let Ok(mut lines) = self.lines.lock() else {
            return;
        };
        if lines.second != now.as_secs() {
            lines.second = now.as_secs();
            lines.in_second = 0;
        }
        lines.in_second += 1;
        if lines.in_second > MAX_LINES_PER_SECOND && record.level() > Level::Warn {
            lines.dropped += 1;
            return;
        }
        let line = json_line(node, now, record);
        lines.text.push_str(&line);
        lines.text.push('\n');
        lines.count += 1;
    }
}

fn write_batches(batches: &Receiver<Batch>) {
    let mut output = std::io::stdout();
    while let Ok(batch) = batches.recv() {
        match batch {
            Batch::Lines(lines) => {
                // Lines are lost if the output is closed; the node keeps running.
                let _ = output.write_all(lines.as_bytes());
                let _ = output.flush();
            }
            Batch::End(ended) => drop(ended),
        }
    }
}

fn json_line(node: &str, now: Duration, record: &Record<'_>) -> String {
    let mut fields = Map::new();
    fields.insert("time_ms".to_owned(), json!(now.as_millis() as u64));
    fields.insert("level".to_owned(), json!(record.level().as_str()));
    fields.insert("node".to_owned(), json!(node));
    fields.insert("message".to_owned(), json!(record.args().to_string()));
    let mut visitor = FieldCollector(&mut fields);
    // Collecting into a map can't fail.
    let _ = record.key_values().visit(&mut visitor);
    serde_json::Value::Object(fields).to_string()
}

struct FieldCollector<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldCollector<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let json = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => json!(number),
            (None, Some(flag)) => json!(flag),
            (None, None) => json!(value.to_string()),
        };
        self.0.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}
