//! Measures what an engine stand-in costs while many streams are read from it.
//!
//! `cargo run --release -p dragonflystep_fakes --example engine_fake_speed`
//!
//! Reader and stand-in share the process, so the figure holds for both together.

use {
    dragonflystep_fakes::{
        caller::{AnswerCheck, Verdict},
        engine::{EngineFake, EngineFakeSettings},
        engine_model::EngineShape,
        event_stream::EventParser,
    },
    futures::future::join_all,
    reqwest::Client,
    serde_json::json,
    std::{
        error::Error,
        fs,
        io::{self, Write},
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

const STREAMS: u32 = 200;
const TOKENS: u32 = 200;

/// Length of a tick in which the kernel counts processor time, on the usual Linux.
const TICK: Duration = Duration::from_millis(10);

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let shape = EngineShape {
        prefill_tokens_per_s: 100_000.0,
        decode_step: Duration::from_millis(25),
        decode_step_per_stream: Duration::ZERO,
        max_batch: STREAMS,
        cache_blocks: 1_000,
        load_lag: Duration::from_millis(200),
    };
    let engine =
        EngineFake::start(([127, 0, 0, 1], 0).into(), EngineFakeSettings::new(shape)).await?;
    let client = Client::builder().no_proxy().build()?;
    let began = Instant::now();
    let busy_before = busy_time()?;
    let reads = (0..STREAMS).map(|number| read(&client, engine.address(), number));
    let verdicts = join_all(reads).await;
    let elapsed = began.elapsed();
    let busy = busy_time()?.saturating_sub(busy_before);
    let complete = verdicts
        .iter()
        .filter(|verdict| matches!(verdict, Ok(Verdict::Complete)))
        .count();
    let tokens = STREAMS * TOKENS;
    let busy_share = busy.as_secs_f64() / elapsed.as_secs_f64();
    writeln!(
        io::stdout(),
        "{complete} of {STREAMS} streams complete, {tokens} tokens in {elapsed:?}; processor time {busy:?}, {busy_share:.2} cores"
    )?;
    engine.stop().await;
    Ok(())
}

async fn read(client: &Client, address: SocketAddr, number: u32) -> reqwest::Result<Verdict> {
    let prompt = format!("Request {number}: quote a rewind.");
    let body = json!({"model": "m", "prompt": prompt, "max_tokens": TOKENS, "stream": true});
    let call = client
        .post(format!("http://{address}/v1/completions"))
        .header("X-Request-Id", format!("model-1:1:{number}"));
    let mut response = call.json(&body).send().await?;
    let mut parser = EventParser::default();
    let mut check = AnswerCheck::new(&prompt, TOKENS);
    while let Some(bytes) = response.chunk().await? {
        for event in parser.push(&bytes) {
            check.push(&event);
        }
    }
    Ok(check.end())
}

/// Processor time of this process, in user and kernel mode.
fn busy_time() -> Result<Duration, Box<dyn Error>> {
    let stat = fs::read_to_string("/proc/self/stat")?;
    let (_, after_name) = stat.rsplit_once(')').ok_or("no process name")?;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let user: u32 = fields.get(11).ok_or("no user time")?.parse()?;
    let system: u32 = fields.get(12).ok_or("no system time")?.parse()?;
    Ok(TICK * (user + system))
}
