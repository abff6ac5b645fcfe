//! Measures how many streams the engine model carries in a second of processor time.
//!
//! `cargo run --release -p dragonflystep_fakes --example engine_model_speed`

use {
    dragonflystep_fakes::engine_model::{EngineModel, EngineShape, StreamSpec},
    rand::Rng,
    rand_pcg::{Pcg64Mcg, rand_core::SeedableRng},
    std::{
        cmp::Reverse,
        collections::BinaryHeap,
        io::{self, Write},
        sync::Arc,
        time::{Duration, Instant},
    },
};

const ENGINES: usize = 18;
const STREAMS: u64 = 100_000;
const SEED: u64 = 7;
const SHARED_PREFIXES: u64 = 200;
const BLOCKS_PER_PREFIX: u64 = 16;
const BETWEEN_ARRIVALS: Duration = Duration::from_millis(12);

fn shape() -> EngineShape {
    EngineShape {
        prefill_tokens_per_s: 8_000.0,
        decode_step: Duration::from_millis(25),
        decode_step_per_stream: Duration::from_micros(400),
        max_batch: 32,
        cache_blocks: 2_000,
        load_lag: Duration::from_secs(1),
    }
}

fn spec(id: u64, random: &mut Pcg64Mcg) -> StreamSpec {
    let prefix = random.random_range(0..SHARED_PREFIXES) * BLOCKS_PER_PREFIX;
    let prefix_blocks: Arc<[u64]> = (prefix..prefix + BLOCKS_PER_PREFIX).collect();
    StreamSpec {
        id,
        prefix_blocks,
        prompt_tokens: random.random_range(1_050..1_400),
        output_tokens: random.random_range(4..400),
    }
}

fn main() -> io::Result<()> {
    let mut random = Pcg64Mcg::seed_from_u64(SEED);
    let mut engines: Vec<EngineModel> = (0..ENGINES).map(|_| EngineModel::new(shape())).collect();
    let mut changes = BinaryHeap::new();
    let mut outputs = 0_u64;
    let mut finished = 0_u64;
    let mut wakes = 0_u64;
    let began = Instant::now();
    let mut run_until = |engines: &mut [EngineModel],
                         changes: &mut BinaryHeap<Reverse<(Duration, usize)>>,
                         until: Duration| {
        while let Some(&Reverse((at, index))) = changes.peek()
            && at <= until
        {
            changes.pop();
            if engines[index].next_change().is_none_or(|next| next > at) {
                continue;
            }
            wakes += 1;
            for output in engines[index].advance(at) {
                outputs += 1;
                finished += u64::from(output.finished);
            }
            engines[index].take_cache_events();
            if let Some(next) = engines[index].next_change() {
                changes.push(Reverse((next, index)));
            }
        }
    };
    for id in 0..STREAMS {
        let now = BETWEEN_ARRIVALS * u32::try_from(id).expect("the count of streams is small");
        run_until(&mut engines, &mut changes, now);
        let index = random.random_range(0..ENGINES);
        engines[index].admit(now, spec(id, &mut random));
        if let Some(next) = engines[index].next_change() {
            changes.push(Reverse((next, index)));
        }
    }
    run_until(&mut engines, &mut changes, Duration::MAX);
    let took = began.elapsed();
    let rate = finished as f64 / took.as_secs_f64();
    writeln!(
        io::stdout(),
        "{finished} streams on {ENGINES} engines, {outputs} outputs, {wakes} wakes: {took:?}, {rate:.0} streams a second"
    )
}
