//! Entry point of `sesamewall`.

fn main() {}
