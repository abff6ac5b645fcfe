//! Starts an engine stand-in, cuts the connection of a stream, and takes the stream up where it broke.
//!
//! `cargo run -p dragonflystep_fakes --example resume_a_stream`

use {
    dragonflystep_fakes::{
        engine::{EngineFake, EngineFakeSettings, EngineFault},
        engine_model::EngineShape,
        event_stream::{EventParser, ServerEvent},
    },
    reqwest::{Client, Response},
    serde_json::json,
    std::{
        error::Error,
        io::{self, Write},
        time::Duration,
    },
};

const STREAM: &str = "model-1:1:1";

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let shape = EngineShape {
        prefill_tokens_per_s: 10_000.0,
        decode_step: Duration::from_millis(20),
        decode_step_per_stream: Duration::from_millis(1),
        max_batch: 8,
        cache_blocks: 1_000,
        load_lag: Duration::from_millis(200),
    };
    let engine =
        EngineFake::start(([127, 0, 0, 1], 0).into(), EngineFakeSettings::new(shape)).await?;
    engine.fault(EngineFault::CloseAfter { tokens: Some(4) });
    let client = Client::builder().no_proxy().build()?;
    let body = json!({"model": "m", "prompt": "Quote a rewind.", "max_tokens": 10, "stream": true});
    let first = client
        .post(format!("http://{}/v1/completions", engine.address()))
        .header("X-Request-Id", STREAM)
        .header("X-Fencing-Number", 1)
        .json(&body)
        .send()
        .await?;
    let seen = read(first).await;
    tell("before the break", &seen)?;
    let last_seen = seen
        .iter()
        .filter_map(|event| event.id)
        .max()
        .unwrap_or_default();
    let second = client
        .get(format!("http://{}/v1/streams/{STREAM}", engine.address()))
        .header("Last-Event-ID", last_seen)
        .send()
        .await?;
    tell("after it", &read(second).await)?;
    writeln!(
        io::stdout(),
        "dispatches: {}",
        engine.records().dispatches.len()
    )?;
    engine.stop().await;
    Ok(())
}

/// All events up to the end of the answer or of the connection.
async fn read(mut response: Response) -> Vec<ServerEvent> {
    let mut parser = EventParser::default();
    let mut events = Vec::new();
    while let Ok(Some(bytes)) = response.chunk().await {
        events.extend(parser.push(&bytes));
    }
    events
}

fn tell(when: &str, events: &[ServerEvent]) -> io::Result<()> {
    for event in events {
        writeln!(io::stdout(), "{when}: {:?} {}", event.id, event.data)?;
    }
    Ok(())
}
