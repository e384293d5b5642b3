//! Stand-ins and cases of the second review. Usage: `review-2 CASE`, with `TROUBLE=0` without the disruption.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod client;
mod http;
mod proxy;
mod server;
mod world;

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
    let record = world::Record::create(&path);
    let outcome = cases::run(&case, has_trouble, record.clone());
    record.line(format!("outcome: {outcome:?}"));
    println!("{case}: {outcome:?}");
    std::process::exit(match outcome {
        Ok(false) => 0,
        Ok(true) => 1,
        Err(_) => 2,
    });
}
