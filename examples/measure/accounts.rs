//! Measures the memory of a node by the number of client accounts in the catalogue, and the time of a change that adds
//! a thousand accounts.

use {
    super::{
        print_result,
        process::Process,
        system::{ENGINES, System, UpstreamSpec},
    },
    argh::FromArgs,
    eyre::{Result, ensure},
    serde_json::{Value, json},
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// Measures the memory of nodes with many client accounts.
#[derive(FromArgs)]
#[argh(subcommand, name = "accounts")]
pub struct Accounts {
    /// thousands of accounts
    #[argh(option, default = "20")]
    thousands: u64,
}

/// Number of accounts in a change: the most edits that nodes accept in one.
const ACCOUNTS_PER_CHANGE: u64 = 1000;
const CHANGES_PER_REPORT: u64 = 5;
/// Time for the nodes to apply a change before their memory is read.
const SETTLE_TIME: Duration = Duration::from_secs(3);

impl Accounts {
    /// Adds the accounts in changes of a thousand and reports after every fifth change.
    pub async fn run(self) -> Result<()> {
        let (_engine, address) = Process::stand_in(&["engine"])?;
        let system = System::start(2, None)?;
        let upstream = UpstreamSpec {
            service: ENGINES,
            address,
            running_requests: 8,
        };
        system.apply_first_catalogue(&[upstream]).await?;
        sleep(SETTLE_TIME).await;
        report(&system, 0, Duration::ZERO)?;
        for thousand in 0..self.thousands {
            let edits: Vec<Value> = (0..ACCOUNTS_PER_CHANGE)
                .map(|number| account(thousand * ACCOUNTS_PER_CHANGE + number))
                .collect();
            let started_at = Instant::now();
            let token = format!("accounts-{thousand}");
            let accepted = system.change(1 + thousand, &token, &json!(edits)).await?;
            ensure!(accepted, "change {thousand} was not accepted");
            let took = started_at.elapsed();
            if (thousand + 1) % CHANGES_PER_REPORT == 0 {
                sleep(SETTLE_TIME).await;
                report(&system, thousand + 1, took)?;
            }
        }
        Ok(())
    }
}

fn report(system: &System, thousands: u64, took: Duration) -> Result<()> {
    let mut resident = Vec::new();
    for node in &system.nodes {
        resident.push(format!("{} KiB", node.process.resident_bytes()? / 1024));
    }
    print_result(&format!(
        "{thousands} thousand accounts: {}; the last change was accepted in {:.3} s",
        resident.join(", "),
        took.as_secs_f64()
    ));
    Ok(())
}

fn account(number: u64) -> Value {
    json!({"put_account": {"id": format!("account-{number:05}"), "key_sha256": format!("{number:064x}"),
        "weight": 1, "tiers": []}})
}
