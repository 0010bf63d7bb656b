//! Entry point of `sesamewall-bench`.

fn main() {}
