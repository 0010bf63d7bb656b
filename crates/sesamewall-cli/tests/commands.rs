//! Guards against commands whose output or effect differs from that of the server.

use serde_json::Value;
use sesamewall_cli::Environment;
use sesamewall_cli::run;

use crate::support::Fleet;
use crate::support::TOKEN;
use crate::support::account;
use crate::support::refusal;

const INSTANCES: &[(&str, &str, bool)] =
    &[("a1", "a", false), ("a2", "a", true), ("b1", "b", true)];

/// Runs a command line and returns the exit code, the output and the error output.
async fn run_tool(url: &str, line: &str) -> (u8, String, String) {
    let environment =
        Environment { token: Some(TOKEN.to_owned()), user: Some("ann".to_owned()), now_ms: 1_000 };
    let mut arguments = vec!["--server".to_owned(), url.to_owned()];
    arguments.extend(line.split(' ').map(str::to_owned));
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = run(&arguments, &environment, &mut out, &mut err).await;
    (exit, String::from_utf8(out).unwrap(), String::from_utf8(err).unwrap())
}

/// Runs a command line that must succeed.
async fn run_ok(url: &str, line: &str) -> String {
    let (exit, out, err) = run_tool(url, line).await;
    assert_eq!((exit, err.as_str()), (0, ""), "{line}: {out}");
    out
}

fn deploy_file(name: &str) -> String {
    format!("{}/../../deploy/{name}", env!("CARGO_MANIFEST_DIR"))
}

/// Fails when an example is not accepted as a whole, when applying it again changes something, or
/// when tables leave a resource out.
#[tokio::test]
async fn applies_the_examples() {
    for (file, domains) in [("a-resources.toml", 4), ("b-resources.toml", 3)] {
        let fleet = Fleet::new(INSTANCES);
        let url = &fleet.serve(None, Vec::new()).await[0];
        let apply = format!("apply -f {}", deploy_file(file));
        let out = run_ok(url, &apply).await;
        assert!(out.contains("+ account account-8\n"), "{out}");
        assert!(out.ends_with("accepted as revision 1\n"), "{out}");
        assert_eq!(run_ok(url, &apply).await, "nothing to change at revision 1\n");
        assert_eq!(run_ok(url, "get account").await.lines().count(), 1 + 8);
        assert_eq!(run_ok(url, "get domains").await.lines().count(), 1 + domains);
        let groups = run_ok(url, "get target-group").await;
        assert!(groups.contains("chat-engines  engine  chat-large,chat-small  12"), "{groups}");
        let target = run_ok(url, "describe target-group chat-engines").await;
        assert!(target.contains("targets.11.name"), "{target}");
    }
}

/// Fails when a difference is not shown by field, or when `diff` writes.
#[tokio::test]
async fn shows_differences_by_field() {
    let fleet = Fleet::new(INSTANCES);
    let url = &fleet.serve(None, Vec::new()).await[0];
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("r.json").display().to_string();
    let write = |rate: f64| {
        let put = serde_json::to_value(account("acme", rate)).unwrap()["put"].clone();
        std::fs::write(&file, Value::Array(vec![put]).to_string()).unwrap();
    };
    write(5.0);
    assert_eq!(run_ok(url, &format!("diff -f {file}")).await, "+ account acme\n");
    run_ok(url, &format!("apply -f {file}")).await;
    write(6.5);
    let expected = "~ account acme\n    online.rate: 5.0 -> 6.5\n";
    assert_eq!(run_ok(url, &format!("diff -f {file}")).await, expected);
    let (exit, _, err) = run_tool(url, &format!("apply -f {file} --against 0")).await;
    assert_eq!(exit, 1);
    assert!(
        err.contains("error 7002") && err.contains("by ann won") && err.contains("\nhelp: "),
        "{err}"
    );
    assert!(run_ok(url, "rollout").await.starts_with("revision 1: in force everywhere\n"));
    let out = run_ok(url, "watch --after 0 --count 1").await;
    assert!(out.ends_with("1 put account acme\n"), "{out}");
    assert!(run_ok(url, "delete account acme").await.contains("accepted as revision 2"));
    assert_eq!(run_ok(url, "get account").await, "no resources\n");
}

/// Fails when a secret is shown again, or when a withdrawn key stays.
#[tokio::test]
async fn grants_and_withdraws_keys() {
    let fleet = Fleet::new(INSTANCES);
    let url = &fleet.serve(None, Vec::new()).await[0];
    run_ok(url, &format!("apply -f {}", deploy_file("a-resources.toml"))).await;
    let out = run_ok(url, "--output json keys grant --account account-1 --id key-1").await;
    let key: Value = serde_json::from_str(&out).unwrap();
    let secret = key["secret"].as_str().unwrap();
    let table = run_ok(url, "keys grant --account account-2 --id key-2").await;
    assert!(table.contains("secret (shown only now): sk-"), "{table}");
    for line in ["get key", "--output json get key", "describe key key-1", "state a1"] {
        let out = run_ok(url, line).await;
        assert!(!out.contains(secret), "{line}: {out}");
    }
    run_ok(url, "keys withdraw key-1").await;
    let out = run_ok(url, "get key").await;
    assert!(out.contains("key-2") && !out.contains("key-1"), "{out}");
}

/// Fails when refusals lack the numbers, or when instances out of reach are not named.
#[tokio::test]
async fn explains_refusals() {
    let fleet = Fleet::new(INSTANCES);
    let url = &fleet.serve(None, Vec::new()).await[1];
    fleet.contexts[0].recorder.record(&"req_1".into(), Some(&"acme".into()), refusal());
    fleet.records[0].flush().await;
    fleet.disconnect("a1");
    let out = run_ok(url, "refusals --account acme --since 15m").await;
    assert!(
        out.contains("1970-01-01T00:00:00.000Z  req_1    acme     3001  rate  not-run"),
        "{out}"
    );
    assert!(out.contains("rate=5.0") && out.ends_with("out of reach: a1\n"), "{out}");
    let out = run_ok(url, "refusals --account acme --since 500").await;
    assert!(!out.contains("req_1"), "{out}");
    let out = run_ok(url, "explain req_1").await;
    assert!(out.starts_with("req_1: ended with code 3001 by rule `rate`"), "{out}");
    assert!(run_ok(url, "state b1").await.contains("node.instance.name"));
    assert!(run_ok(url, "jobs").await.starts_with("ID "));
}

/// Fails when an error is reported as success, without its code, or with the wrong exit code.
#[tokio::test]
async fn errors_have_code_help_and_exit_code() {
    let fleet = Fleet::new(INSTANCES);
    let url = &fleet.serve(None, Vec::new()).await[0];
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("r.toml").display().to_string();
    std::fs::write(&file, "[[account]]\nname = \"x\"\nonlin = 1\n").unwrap();
    let (faulty, missing) = (format!("apply -f {file}"), format!("diff -f {file}.none"));
    let cases = [
        ("get account x", 1, "error 1010"),
        ("get nothing", 1, "error 1003"),
        ("state x", 1, "error 1010"),
        ("explain req_9", 1, "error 1010"),
        ("--token x get account", 1, "error 2003"),
        (faulty.as_str(), 1, "[[account]] number 1"),
        (missing.as_str(), 1, "error 1003"),
        ("refusals --since yesterday", 2, "--since"),
        ("--output xml get account", 2, "allowed are table and json"),
        ("get", 2, "kind"),
        ("nothing", 2, "nothing"),
    ];
    for (line, code, part) in cases {
        let (exit, out, err) = run_tool(url, line).await;
        assert_eq!((exit, out.as_str()), (code, ""), "{line}: {err}");
        assert!(err.contains(part) && err.contains("help: "), "{line}: {err}");
    }
    let (exit, _, err) = run_tool("ftp://x", "get account").await;
    assert!(exit == 2 && err.contains("allowed is a URL"), "{err}");
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let closed = format!("http://{}", listener.local_addr().unwrap());
    drop(listener);
    let (exit, _, err) = run_tool(&closed, "rollout").await;
    assert!(exit == 1 && err.contains("cannot be reached: ") && err.contains("help: "), "{err}");
    assert_eq!(run_tool(url, "--help").await.0, 0);
}
