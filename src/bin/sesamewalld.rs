//! Entry point of `sesamewalld`.

fn main() {}
