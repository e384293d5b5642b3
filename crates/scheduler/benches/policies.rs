//! Comparison of the policies.

fn main() {}
