//! Development tasks.

fn main() {}
