//! Runs one scripted case of the review: `review_standins_2 CASE CASE_FOLDER`, from the root of the repository.
//!
//! Exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run. With `TROUBLE=0` in the environment the
//! case runs without its disruption.

mod crashing_request;
mod nodes;
mod record;
mod retries;
mod store_proxy;
mod workers;

use {
    record::Record,
    std::{path::Path, process::ExitCode, rc::Rc},
    tokio::{
        signal::unix::{SignalKind, signal},
        task::LocalSet,
    },
};

/// What a case found: whether the rule held.
pub type Verdict = Result<bool, Box<dyn std::error::Error>>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: review_standins_2 CASE CASE_FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    match run(case, Path::new(folder), has_trouble) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(case: &str, folder: &Path, has_trouble: bool) -> Verdict {
    let record = Rc::new(Record::create(&folder.join("record.txt"))?);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        // Dropping the case kills the processes that it started.
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            verdict = run_case(case, record, has_trouble) => verdict,
            _ = terminate.recv() => Err("stopped by a signal".into()),
            _ = interrupt.recv() => Err("stopped by a signal".into()),
        }
    })
}

async fn run_case(case: &str, record: Rc<Record>, has_trouble: bool) -> Verdict {
    let plan = match case {
        "retries" => return retries::run(record, has_trouble).await,
        "late_crash" => crashing_request::LATE_CRASH,
        "all_killed" => crashing_request::ALL_KILLED,
        "workers_crash" => crashing_request::WORKERS_CRASH,
        "owner_turned_away" => crashing_request::OWNER_TURNED_AWAY,
        other => return Err(format!("no such case: {other}").into()),
    };
    crashing_request::run(record, plan, has_trouble).await
}
