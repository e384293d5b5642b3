//! Output of `explain`.

use serde::Serialize;
use serde_json::{Value, json};
use shallotdrum_engine::CandidateTarget;
use shallotdrum_rpc::{ExplainedOutcome, Explanation};

use crate::output::Format;

/// Prints an explanation as a JSON value or as one table for each part.
pub(crate) fn print(format: Format, explanation: &Explanation) -> anyhow::Result<()> {
    if format == Format::Json {
        return format.print_value(explanation);
    }
    println!("outcome: {}", outcome(&explanation.outcome));
    let Explanation { table, route, customer, place, owner_error, .. } = explanation;
    let confirmed = table.confirmed_ms.map_or("never confirmed".to_owned(), |ms| {
        format!("confirmed {ms} ms ago at index {}", table.confirmed_index.unwrap_or_default())
    });
    println!("table: revision {}, {confirmed}", table.revision);
    if let Some(error) = owner_error {
        println!("owner: {error}");
    }
    if let Some(place) = place {
        let wait = place.group_wait_ms.map_or("-".to_owned(), |ms| format!("{ms} ms"));
        let by = if place.is_by_urgency { "urgency and pace" } else { "fair shares" };
        println!("group: {} requests queued, expected wait {wait}, by {by}", place.queued);
    }
    let columns = ["route", "host", "prefix", "rank", "timeout_ms", "is_public"];
    print_table(&columns, route.as_slice())?;
    print_table(&["customer", "rank", "units", "rate", "burst"], customer.as_slice())?;
    let columns = ["group", "owner", "level", "age_ms", "is_asked", "has_room"];
    print_table(&columns, &explanation.shares)?;
    print_table(&["pool", "weight", "is_chosen"], &explanation.pools)?;
    let columns = ["group", "owner", "wait_ms", "wait_age_ms", "is_chosen"];
    print_table(&columns, &explanation.groups)?;
    let rows: Vec<Value> =
        place.iter().flat_map(|place| &place.candidates).map(candidate).collect();
    let columns = [
        "target",
        "is_chosen",
        "is_free",
        "adapter",
        "score",
        "pace",
        "running",
        "foreign",
        "capacity",
        "stated",
        "stated_age_ms",
        "report_age_ms",
        "adapters",
    ];
    print_table(&columns, &rows)
}

/// Prints a table under an empty line, if it has rows.
fn print_table<T: Serialize>(columns: &[&str], rows: &[T]) -> anyhow::Result<()> {
    if rows.is_empty() {
        return Ok(());
    }
    println!();
    Format::Table.print_rows(columns, rows)
}

fn outcome(outcome: &ExplainedOutcome) -> String {
    match outcome {
        ExplainedOutcome::Sent { target, by_owner: true } => {
            format!("sent to {target}, chosen by the owner of its group")
        }
        ExplainedOutcome::Sent { target, by_owner: false } => {
            format!("sent to {target}, chosen without an owner")
        }
        ExplainedOutcome::Waits { lacks, wait_ms } => {
            let lacks = serde_json::to_value(lacks).unwrap_or_default();
            let wait = wait_ms.map_or(String::new(), |ms| format!(", about {ms} ms"));
            format!("waits for: {}{wait}", lacks.as_str().unwrap_or_default())
        }
        ExplainedOutcome::Refused { error } => {
            let retry = error.retry_after.map_or(String::new(), |after| {
                format!(", Retry-After {:.3} s", after.as_secs_f64())
            });
            format!("refused: {}: {}{retry}", error.kind, error.detail)
        }
    }
}

/// Row of a target; a score that is a time has a unit.
fn candidate(candidate: &CandidateTarget) -> Value {
    let mut row = json!(candidate);
    let unit = if candidate.is_score_ms { " ms" } else { "" };
    if let Some(score) = candidate.score {
        row["score"] = format!("{score:.2}{unit}").into();
    }
    if let Some(pace) = candidate.pace {
        row["pace"] = format!("{pace:.2}").into();
    }
    row
}
