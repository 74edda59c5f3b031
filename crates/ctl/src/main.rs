//! Command line for operators of primrosechute.

fn main() {}
