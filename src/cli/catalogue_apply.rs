//! `dragonflystep catalogue apply`: makes the catalogue equal to a document, split into as many changes as needed.

use {
    super::{Failure, admin_client::AdminClient, check::read_catalogue, output},
    argh::FromArgs,
    dragonflystep::core::{
        catalogue::{Catalogue, ChangeFault, Edit},
        catalogue_sync::split_edits,
    },
    eyre::eyre,
    reqwest::StatusCode,
    serde_json::{Value, json},
    std::{
        path::PathBuf,
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// Makes the catalogue equal to a document.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// catalogue document in JSON
    #[argh(positional)]
    file: PathBuf,
    /// who makes the change
    #[argh(option)]
    author: String,
    /// reason for the change
    #[argh(option)]
    reason: String,
}

/// Progress of applying a document that was split into several changes.
struct Progress<'a> {
    /// Edits of each change, in the order in which the changes are sent.
    parts: &'a [Vec<Edit>],
    /// Number of parts that are known to be applied.
    applied: usize,
    /// Catalogue version after the last applied part.
    version: u64,
}

impl Apply {
    pub async fn run(self, client: &AdminClient) -> Result<(), Failure> {
        let document = read_catalogue(&self.file)?;
        let current: Catalogue = serde_json::from_value(client.get("/admin/catalogue").await?)?;
        let edits = document
            .edits_against(&current)
            .map_err(|faults| Failure::BadInput(faults.to_string()))?;
        let parts = split_edits(&current, &edits).map_err(|faults| split_error(&faults))?;
        match &*parts {
            [] => output::text(&format!(
                "version {} says the same already",
                current.version
            )),
            [edits] => {
                let change = self.change(current.version, edits)?;
                let (status, answer) = client.post("/admin/catalogue", &change).await?;
                print_outcome(status, &answer)?;
            }
            parts => self.send_parts(client, current.version, parts).await?,
        }
        Ok(())
    }

    async fn send_parts(
        &self,
        client: &AdminClient,
        version: u64,
        parts: &[Vec<Edit>],
    ) -> Result<(), Failure> {
        let mut progress = Progress {
            parts,
            applied: 0,
            version,
        };
        for edits in parts {
            let change = self.change(progress.version, edits)?;
            let result = client.post("/admin/catalogue", &change).await;
            let (status, answer) =
                result.map_err(|failure| progress.interrupted(&failure, true))?;
            let is_unsettled = status == StatusCode::GATEWAY_TIMEOUT || answer["unsettled"] == true;
            print_outcome(status, &answer)
                .map_err(|failure| progress.interrupted(&failure, is_unsettled))?;
            progress.applied += 1;
            progress.version = answer["version"].as_u64().unwrap_or(progress.version);
        }
        output::text(&format!(
            "all {} parts are made, the last one is version {}",
            parts.len(),
            progress.version
        ));
        Ok(())
    }

    fn change(&self, based_on: u64, edits: &[Edit]) -> Result<Value, Failure> {
        Ok(json!({
            "based_on": based_on,
            "author": self.author,
            "reason": self.reason,
            "token": change_token(),
            "edits": serde_json::to_value(edits)?,
        }))
    }
}

impl Progress<'_> {
    /// Describes how many edits were applied and which are missing; `is_unsettled` if the outcome of the failed part
    /// is unknown.
    fn interrupted(&self, failure: &Failure, is_unsettled: bool) -> Failure {
        let (applied, missing) = self.parts.split_at(self.applied);
        let count = |parts: &[Vec<Edit>]| parts.iter().map(Vec::len).sum::<usize>();
        let first = missing.first().and_then(|part| part.first());
        let first = first.map_or_else(String::new, |edit| edit.item().to_string());
        let cause = match failure {
            Failure::BadInput(faults) => faults.clone(),
            Failure::Failed(report) => format!("{report:#}"),
        };
        let unsettled = match is_unsettled {
            true => "; whether that part was made is not known",
            false => "",
        };
        eyre!(
            "stopped at part {} of {}: version {} was reached with {} edits, {} are missing, from {first} on{unsettled}; \
             apply the document again to continue from the version in force\n{cause}",
            self.applied + 1,
            self.parts.len(),
            self.version,
            count(applied),
            count(missing),
        )
        .into()
    }
}

fn split_error(faults: &[ChangeFault]) -> Failure {
    let shown = serde_json::to_string_pretty(faults).unwrap_or_default();
    Failure::BadInput(format!(
        "the document has to be split into several changes, one of which would be refused; nothing was changed:\n{shown}"
    ))
}

fn print_outcome(status: StatusCode, answer: &Value) -> Result<(), Failure> {
    let shown = serde_json::to_string_pretty(answer)?;
    match status {
        status if status.is_success() => output::text(&shown),
        StatusCode::UNPROCESSABLE_ENTITY => return Err(Failure::BadInput(shown)),
        StatusCode::CONFLICT => {
            return Err(eyre!(
                "someone else changed the same items; this change was not made:\n{shown}"
            )
            .into());
        }
        status => return Err(eyre!("{status}: {shown}").into()),
    }
    Ok(())
}

/// Returns a token that no other call uses, by which nodes determine whether a change was made if an answer is lost.
fn change_token() -> String {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    format!("cli-{:x}-{:x}", std::process::id(), now.as_nanos())
}
