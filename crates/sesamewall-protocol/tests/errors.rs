//! Guards against a table of result codes that does not match the error type.

use std::collections::BTreeSet;
use std::fmt::Write;

use sesamewall_protocol::Error;

const PAGE_PATH: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/errors.md");

const INTRODUCTION: &str = "\
# Result codes

This page is generated from the error type; `SESAMEWALL_WRITE_DOCS=1 cargo test -p
sesamewall-protocol` writes it anew. Codes 1000 to 1999 are faults of the request, 2000 to 2999 of
credentials, 3000 to 3999 rates, 4000 to 4999 admission, 5000 to 5999 targets, 6000 to 6999 batch,
7000 to 7999 resources and settings, 8000 to 8999 store and peers, 9000 to 9999 the program itself.

The outcome says what is known about the request: `not-run` means that no target ran it, `run` that a
target ran it and answered, `unknown` that it was sent and its end is not known. It is also in the
header `x-sesamewall-outcome`. In the column \"meaning\", `<...>` and 0 stand for values of the case.

| code | name | status | outcome | meaning | what to do |
|---|---|---|---|---|---|
";

fn render_page() -> String {
    let mut page = INTRODUCTION.to_owned();
    for error in Error::all() {
        let (code, name, status) = (error.code(), error.name(), error.status());
        let meaning = error.to_string().replace('`', "").replace('<', "\\<").replace('|', "\\|");
        let (outcome, help) = (error.outcome(), error.help());
        writeln!(page, "| {code} | {name} | {status} | {outcome} | {meaning} | {help} |").unwrap();
    }
    page
}

/// Fails when the page in `docs/` differs from the error type.
#[test]
fn page_matches_the_error_type() {
    if std::env::var_os("SESAMEWALL_WRITE_DOCS").is_some() {
        std::fs::write(PAGE_PATH, render_page()).unwrap();
    }
    assert_eq!(
        std::fs::read_to_string(PAGE_PATH).unwrap_or_default(),
        render_page(),
        "docs/errors.md is stale"
    );
}

/// Fails when a new error is missing from the list, or when two errors share a code.
#[test]
fn list_has_every_error_once() {
    let source = include_str!("../src/error.rs");
    let body = source.split("pub fn code(").nth(1).unwrap().split("\n    }\n").next().unwrap();
    let numbers = body.lines().filter_map(|line| line.trim().strip_suffix(',')?.rsplit(' ').next());
    let written: Vec<u16> = numbers.map(|number| number.parse().unwrap()).collect();
    let listed: Vec<u16> = Error::all().iter().map(Error::code).collect();
    assert_eq!(listed, written);
    let names: BTreeSet<_> = Error::all().iter().map(Error::name).collect();
    assert_eq!((names.len(), BTreeSet::from_iter(&listed).len()), (listed.len(), listed.len()));
}
