//! Records with a breach, which the checks of a soak have to report.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;
use sesamewall_platform_standin::GIVEN_UP;
use sesamewall_platform_standin::StandinTarget;

use crate::soak::record::Call;
use crate::soak::record::Harm;
use crate::soak::record::Outcome;
use crate::soak::record::Record;
use crate::soak::record::item_path;

/// Number of the only front; the worker is 1.
const FRONT: usize = 0;

/// Runs a request at a target.
async fn run(target: &StandinTarget, path: &str, id: &str) {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{}{path}", target.address))
        .header("sesamewall-request-id", id)
        .header("sesamewall-expect-instance", &target.name)
        .body(Full::default())
        .expect("a valid request");
    let response = client.request(request).await.expect("a response");
    let _ = response.into_body().collect().await;
}

fn call(id: &str, path: &str, sent: Instant, outcome: Outcome) -> Call {
    let (id, path) = (id.to_owned(), path.to_owned());
    Call { id, path, front: FRONT, sent, ended: Instant::now(), outcome }
}

fn row(item: &str) -> Value {
    json!({ "id": item, "state": "completed", "output": StandinTarget::text(&item_path(item)) })
}

fn page(total: usize, rows: &[Value]) -> Value {
    json!({ "total": total, "next": rows.len(), "results": rows })
}

#[track_caller]
fn assert_found(record: &Record, texts: &[&str]) {
    let findings = record.findings();
    assert_eq!(findings.len(), texts.len(), "{findings:?}");
    for text in texts {
        assert!(findings.iter().any(|found| found.contains(text)), "{text}: {findings:?}");
    }
}

/// Guards against checks of online requests that cannot fail.
#[tokio::test]
async fn breaches_of_online_requests_are_reported() {
    let (record, target) = (Record::new(), StandinTarget::start("t1").await);
    let sent = Instant::now();
    for (path, id) in
        [("/once/1", "twice"), ("/once/1", "twice"), ("/plain/1", "refused"), ("/once/1", "lost")]
    {
        run(&target, path, id).await;
    }
    let right = |status| Outcome::Response { status, is_right: true };
    let wrong = Outcome::Response { status: 200, is_right: false };
    let early = sent.checked_sub(Duration::from_secs(2)).expect("the machine runs for longer");
    record.add_call(call("fine", "/once/1", sent, right(200)));
    record.add_call(call("crossed", "/once/1", sent, Outcome::Unanswered));
    record.add_call(call("twice", "/once/1", sent, right(200)));
    record.add_call(call("refused", "/plain/1", sent, right(503)));
    record.add_call(call("lost", "/once/1", sent, Outcome::Unanswered));
    record.add_call(call("held", "/once/1", early, Outcome::Unanswered));
    record.add_call(call("cut", "/talk/1", sent, Outcome::Broken));
    record.add_call(call("mixed", "/talk/1", sent, wrong));
    record.add_call(call("denied", "/same/1", sent, right(404)));
    record.check_calls(std::slice::from_ref(&target));
    let texts = ["run twice: request twice", "503 after a run: request refused"];
    let more = ["passed on without a response: request lost", "held without a response"];
    let last = ["broken off at a sound target", "wrong text: request mixed", "denied"];
    assert_found(&record, &[&texts[..], &more[..], &last[..]].concat());
    let harmed = Record::new();
    harmed.begin(Harm::Frozen(FRONT));
    harmed.add_call(call("lost", "/once/1", sent, Outcome::Unanswered));
    harmed.check_calls(&[target]);
    assert_found(&harmed, &[]);
}

/// Guards against checks of batch jobs that cannot fail.
#[tokio::test]
async fn breaches_of_batch_jobs_are_reported() {
    let (record, target) = (Record::new(), StandinTarget::start("t1").await);
    let now = Instant::now();
    let early = now.checked_sub(Duration::from_secs(4)).expect("the machine runs for longer");
    for item in ["stranger-00", "refused-00", "ended-00", "fine-00"] {
        run(&target, &item_path(item), item).await;
    }
    for (name, tries, end_acked) in [
        ("refused", vec![Some(503), Some(429)], None),
        ("ended", vec![Some(202)], Some(early)),
        ("fine", vec![None, Some(503), Some(202)], Some(now)),
    ] {
        record.with_job(name, |job| {
            (job.items, job.tries, job.end_acked) = (1, tries, end_acked);
        });
    }
    record.check_items(&[target], FRONT + 1);
    let refused = "refused was refused each time and has run";
    assert_found(&record, &["unknown item stranger-00", refused, "ended-00 starts at"]);

    let record = Record::new();
    record.with_job("job", |job| (job.items, job.accepted) = (3, Some(now)));
    record.add_page("job", 0, &page(3, &[row("job-00"), row("job-01")]), FRONT);
    assert_eq!(record.open_jobs(), ["job"]);
    record.add_page("job", 0, &page(3, &[row("job-00")]), FRONT);
    assert_found(&record, &[]);
    let mut given_up = row("job-02");
    given_up["state"] = GIVEN_UP.into();
    record.add_page("job", 0, &page(3, &[row("job-01")]), FRONT);
    record.add_page("job", 0, &page(2, &[]), FRONT);
    for third in [row("job-00"), row("other-02"), given_up] {
        let record = Record::new();
        record.with_job("job", |job| job.items = 3);
        record.add_page("job", 0, &page(3, &[row("job-00"), third]), FRONT);
        assert_eq!(record.findings().len(), 1, "{:?}", record.findings());
    }
    assert_found(&record, &["position 0 was", "wrong total or next"]);
}

/// Guards against checks of texts that accept parts of two versions, or a version that no target has.
#[test]
fn only_texts_of_one_version_are_right() {
    let path = "/talk/1";
    let [old, new] = ["v1", "v2"].map(|version| StandinTarget::text_of(path, Some(version)));
    let joined = old.lines().take(4).chain(new.lines().skip(4)).collect::<Vec<_>>().join("\n");
    let versions = Record::with_versions(&["v1", "v2"]);
    assert!(versions.is_text(path, &old) && versions.is_text(path, &new));
    assert!(!versions.is_text(path, &joined));
    assert!(!versions.is_text(path, &StandinTarget::text(path)));
    assert!(!Record::new().is_text(path, &old));
    assert!(Record::new().is_text(path, &StandinTarget::text(path)));
}
