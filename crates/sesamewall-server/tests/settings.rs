#![allow(clippy::unwrap_used)]

//! Guards against faults in settings that are accepted, or reported without line and key.

use sesamewall_protocol::Error;
use sesamewall_server::Settings;
use sesamewall_server::check;
use sesamewall_server::known_keys;

fn fault(text: &str) -> (usize, String, String) {
    match check(text, "a.toml") {
        Err(Error::SettingsInvalid { file, line, key, detail }) => {
            assert_eq!(file, "a.toml");
            (line, key, detail)
        }
        other => panic!("settings were not refused: {other:?} for {text}"),
    }
}

/// Fails when a fault is accepted, or when its line, key or allowed values are not named.
#[test]
fn names_line_key_and_allowed_values() {
    let cases = [
        ("# note\n\ncaler_addr = \"127.0.0.1:1\"\n", 3, "caler_addr", "key is `caller_addr`"),
        ("drain_ms = 5\ncaller_addr = \"localhost:80\"\n", 2, "caller_addr", "IP:PORT"),
        ("peer_addr = \"127.0.0.1\"\n", 1, "peer_addr", "IP:PORT"),
        ("queue_ms = 0\n", 1, "queue_ms", "1 to 600000"),
        ("queue_ms = \"10\"\n", 1, "queue_ms", "whole number"),
        ("batch_workers = 5000\n", 1, "batch_workers", "1 to 4096"),
        ("body_limit = -1\n", 1, "body_limit", "out of range"),
        ("instance = \"Instance 1\"\n", 1, "instance", "a-z"),
        ("\noperator_hash = \"abc\"\n", 2, "operator_hash", "64 hex digits"),
        ("platform_url = \"https://x:1\"\n", 1, "platform_url", "http://HOST:PORT"),
        ("platform_url = \"http://u:p@x:1\"\n", 1, "platform_url", "without path and user"),
        ("domains = [\n\"domain-1\",\n\"domain-1\"]\n", 3, "domains", "twice"),
        ("domains = []\n", 1, "domains", "list of different names"),
        ("domains = [\"x\"]\ndomain = \"y\"\n", 2, "domain", "allowed are x"),
        ("drain_ms = 1\nqueue_ms = = 2\n", 2, "queue_ms", "allowed"),
        ("queue_ms = 1\nqueue_ms = 2\n", 2, "queue_ms", "duplicate"),
        ("[server]\nqueue_ms = 1\n", 1, "server", "unknown key"),
        ("data_dir = \"\"\n", 1, "data_dir", "path"),
    ];
    for (text, line, key, part) in cases {
        let (found_line, found_key, detail) = fault(text);
        assert_eq!((found_line, found_key.as_str()), (line, key), "{text}: {detail}");
        assert!(detail.contains(part), "{text}: {detail}");
    }
}

/// Fails when an error message contains what may be the credential itself.
#[test]
fn keeps_a_pasted_credential_out_of_the_error() {
    let (_, _, detail) = fault("operator_hash = \"my-own-credential\"\n");
    assert!(!detail.contains("my-own-credential"), "{detail}");
}

/// Fails when a field of [`Settings`] has no rule, so that the file could not set it.
#[test]
fn knows_every_field() {
    let all = Settings { data_dir: Some("data".into()), ..Settings::default() };
    let table = toml::Table::try_from(&all).unwrap();
    let mut fields: Vec<&str> = table.keys().map(String::as_str).collect();
    let mut known: Vec<&str> = known_keys().collect();
    fields.sort_unstable();
    known.sort_unstable();
    assert_eq!(fields, known);
    let written = Settings { operator_hash: "0".repeat(64), ..all };
    assert_eq!(check(&toml::to_string(&written).unwrap(), "a.toml").unwrap(), written);
}

/// Fails when a commented example in `deploy/` would be refused.
#[test]
fn accepts_the_examples() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/");
    for (name, domains) in [("a", 4), ("b", 3)] {
        let file = format!("{folder}{name}-settings.toml");
        let settings = check(&std::fs::read_to_string(&file).unwrap(), &file).unwrap();
        assert_eq!(settings.domains.len(), domains, "{file}");
    }
}
