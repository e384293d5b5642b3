//! Stand-ins and scripts of the review's cases: `review-stand-in CASE FOLDER`, run in the
//! root of the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.

#[path = "3/bodies.rs"]
mod bodies;
mod deploy;
#[path = "5/first_start.rs"]
mod first_start;
mod http;
#[path = "2/join.rs"]
mod join;
#[path = "4/late_report.rs"]
mod late_report;
mod prompt;
#[path = "1/replace.rs"]
mod replace;
mod target;

use std::{path::PathBuf, process::ExitCode};

use deploy::{Deployment, Record};

/// Whether the rule held; an error says why the case could not run.
type Outcome = Result<bool, String>;

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (case, folder) = (args.next().unwrap_or_default(), args.next().unwrap_or_default());
    if case == "server" {
        late_report::serve(&folder);
    }
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let root = std::env::current_dir().expect("a working folder");
    if !root.join("target/release/shallotdrum-node").exists() {
        println!("build the deploy file first");
        return ExitCode::from(2);
    }
    let record = Record::create(PathBuf::from(folder).join("record.txt"));
    record.line(&format!(
        "case {case}, {} the disruption",
        if has_trouble { "with" } else { "without" }
    ));
    let mut deployment = Deployment::new(root, record.clone());
    let outcome = match case.as_str() {
        "replace" => replace::run(&mut deployment, has_trouble),
        "first-start" => first_start::run(&mut deployment, has_trouble),
        "late-report" => late_report::run(&mut deployment, has_trouble),
        "join" => join::run(&mut deployment, has_trouble),
        "bodies" => bodies::run(&mut deployment, has_trouble),
        "prompt" => prompt::run(&mut deployment, has_trouble),
        _ => Err("no such case".to_owned()),
    };
    drop(deployment);
    let (text, code) = match outcome {
        Ok(true) => ("the rule held".to_owned(), 0),
        Ok(false) => ("the rule was broken".to_owned(), 1),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    record.line(&text);
    ExitCode::from(code)
}
