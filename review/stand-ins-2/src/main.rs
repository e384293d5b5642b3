//! Stand-ins and cases of the second review. Usage: `review-2 CASE`, with `TROUBLE=0` without the disruption.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. `TROUBLE=kill` leaves in cases 6
//! and 10 the kill and takes out the rest.

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
    // A panic, such as that of a program that isn't built, says nothing of the rule.
    let run = || cases::run(&case, has_trouble, record.clone());
    let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run));
    let outcome = outcome.unwrap_or_else(|_| Err("the case panicked".to_owned()));
    record.line(format!("outcome: {outcome:?}"));
    println!("{case}: {outcome:?}");
    std::process::exit(match outcome {
        Ok(false) => 0,
        Ok(true) => 1,
        Err(_) => 2,
    });
}
