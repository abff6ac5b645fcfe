//! Plays one scenario of the review: `dragonflystep_review CASE NODE_PROGRAM RECORD_FILE`.
//!
//! Exits with 1 if a rule was broken, 0 if all held, and 2 if the scenario could not be played. With `TROUBLE=0` in the
//! environment, the same is played without the disruption.

mod client;
mod record;
mod slow_reader;
mod stale_rejection;
mod system;

use {
    record::Record,
    std::{path::PathBuf, process::ExitCode, time::Duration},
    tokio::{
        signal::{
            ctrl_c,
            unix::{SignalKind, signal},
        },
        task::LocalSet,
        time::timeout,
    },
};

/// Longest time for a scenario. The nodes are killed when it ends.
const TIME_LIMIT: Duration = Duration::from_secs(100);

/// Whether the rules held in a scenario.
enum Verdict {
    Held,
    Broken,
}

type Outcome = Result<Verdict, Box<dyn std::error::Error>>;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(program), Some(record_file)) =
        (arguments.next(), arguments.next(), arguments.next())
    else {
        eprintln!("usage: dragonflystep_review CASE NODE_PROGRAM RECORD_FILE");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    match play(&case, &PathBuf::from(program), &record_file, has_trouble) {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not be played: {error}");
            ExitCode::from(2)
        }
    }
}

fn play(case: &str, program: &std::path::Path, record_file: &str, has_trouble: bool) -> Outcome {
    let record = Record::create(record_file)?;
    record.line(&format!("case {case}, trouble {has_trouble}"));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        let scenario = async {
            match case {
                "stale_rejection" => stale_rejection::play(program, &record, has_trouble).await,
                "slow_reader" => slow_reader::play(program, &record, has_trouble).await,
                other => Err(format!("unknown case {other}").into()),
            }
        };
        let mut terminate = signal(SignalKind::terminate())?;
        tokio::select! {
            outcome = timeout(TIME_LIMIT, scenario) => outcome?,
            // The nodes are killed when the scenario is dropped.
            _ = terminate.recv() => Err("stopped by a signal".into()),
            _ = ctrl_c() => Err("stopped by a signal".into()),
        }
    })
}
