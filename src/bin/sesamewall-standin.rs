//! Entry point of `sesamewall-standin`.

fn main() {}
