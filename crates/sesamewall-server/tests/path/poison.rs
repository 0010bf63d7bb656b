//! Tests of requests that crash targets.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use async_trait::async_trait;
use bytes::Bytes;
use http::Method;
use serde_json::json;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::Class;
use sesamewall_protocol::Result;
use sesamewall_protocol::peer::Slot;
use sesamewall_protocol::peer::SlotRequest;
use sesamewall_server::Call;
use sesamewall_server::Destination;
use sesamewall_server::Executor;
use sesamewall_server::ItemTrace;
use sesamewall_server::RateLimiter;
use sesamewall_server::SlotAllocator;
use sesamewall_server::SlotGuard;
use sesamewall_server::SlotReport;
use sesamewall_server::SlotSink;
use tokio_util::sync::CancellationToken;

use crate::fleet::*;
use crate::target::ScriptedReply;
use crate::target::ScriptedTarget;

/// Guards against a request that crashes more than three engines when it is sent again to each
/// instance, and against failures of other requests that were running at the crashes.
#[tokio::test]
async fn resent_crashing_request_crashes_three_engines_at_most() {
    // Each copy has the same body, since crash marks are stored under the hash of the body.
    tokio::join!(resend_crashing_request(true), resend_crashing_request(false));
}

async fn resend_crashing_request(stream: bool) {
    let fleet = Fleet::start(&["d1", "d1", "d2"]).await;
    let mut engines = Vec::new();
    for _ in 0..6 {
        let engine = EngineHandle::warm().await;
        engine.faults(&fleet, json!({ "crash_marker": "CRASH" })).await;
        engines.push(engine);
    }
    let targets: Vec<_> = engines
        .iter()
        .enumerate()
        .map(|(index, engine)| (["d1", "d2"][index % 2], engine.address.as_str()))
        .collect();
    fleet.put(vec![group("e", true, &targets)]).await;
    let crashing = async {
        let mut responses = Vec::new();
        for round in 0..9 {
            responses.push(fleet.chat(round % 3, "CRASH", 5, stream).await);
        }
        responses
    };
    let others = futures::future::join_all((0..24).map(|index| {
        let fleet = &fleet;
        async move { fleet.chat(index % 3, &format!("good {index}"), 200, index % 2 == 0).await }
    }));
    let (crashing, others) = tokio::join!(crashing, others);
    let mut crashes = 0;
    for engine in &engines {
        crashes += engine.counts(&fleet).await["crashes"].as_u64().unwrap();
    }
    assert!((1..=3).contains(&crashes), "{crashes} crashes");
    for response in &crashing {
        assert!([4005, 5002].contains(&response.code()), "{} {}", response.status, response.text);
    }
    assert_eq!(crashing.last().unwrap().code(), 4005, "{}", crashing.last().unwrap().text);
    for (index, response) in others.iter().enumerate() {
        assert_eq!(response.status, 200, "{index}: {}", response.text);
        assert!(response.text.contains(".199 "), "{index}: {}", response.text);
        assert!(!response.text.contains("\"error\""), "{index}: {}", response.text);
    }
}

/// Guards against a failure that is returned before all instances have the crash marks: a caller
/// that sends the request again at once would crash one target for each instance.
#[tokio::test]
async fn failure_is_returned_after_the_marks_have_spread() {
    let fleet = Fleet::start(&["d1", "d1", "d1", "d1"]).await;
    let lose = || ScriptedTarget::start(|_, _| ScriptedReply { bytes: Vec::new(), close: true });
    let targets = [lose().await, lose().await, lose().await, lose().await];
    let addresses: Vec<_> = targets.iter().map(|target| ("d1", &*target.address)).collect();
    fleet.put(vec![group("s", false, &addresses), route("/s", "s", false)]).await;
    // A POST on a route is sent once for each copy of the request.
    let mut responses = Vec::new();
    for instance in 0..4 {
        let headers = [("authorization", &*bearer(KEY_A))];
        responses.push(fleet.send(instance, Method::POST, "/s/x", &headers, "CRASH").await);
    }
    let received: usize = targets.iter().map(|target| target.received().len()).sum();
    let codes: Vec<_> = responses.iter().map(|response| response.code()).collect();
    assert_eq!((received, &codes[..]), (2, &[5002, 5002, 4005, 4005][..]));
}

/// Grants each call a slot at once, each time with a new target name.
struct FreeSlots {
    address: String,
    granted: AtomicU64,
}

#[async_trait]
impl RateLimiter for FreeSlots {
    async fn spend(&self, _account: &AccountName, _class: Class) -> Result<()> {
        Ok(())
    }
}

struct NoSink;

impl SlotSink for NoSink {
    fn report(&self, _slot: &Slot, _report: SlotReport) {}
}

#[async_trait]
impl SlotAllocator for FreeSlots {
    async fn acquire(&self, slot_request: SlotRequest, _may_forward: bool) -> Result<Destination> {
        let number = self.granted.fetch_add(1, Ordering::Relaxed);
        let slot = Slot {
            slot: number,
            epoch: 1,
            request: slot_request.request,
            target: format!("t{number}").as_str().into(),
            address: format!("http://{}", self.address),
            reason: "free".to_owned(),
            wait_us: 0,
        };
        Ok(Destination::Local(SlotGuard::new(slot, CancellationToken::new(), Arc::new(NoSink))))
    }
}

/// Guards against a harmless batch item that is refused permanently because targets crashed while
/// they ran it.
#[tokio::test]
async fn batch_item_runs_again_after_target_crashes() {
    const CRASHES: usize = 5;
    let fleet = Fleet::start(&["d1"]).await;
    let target = ScriptedTarget::start(|number, _| match number {
        0..CRASHES => ScriptedReply { bytes: Vec::new(), close: true },
        _ => ScriptedReply {
            bytes: b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}".to_vec(),
            close: false,
        },
    })
    .await;
    let services =
        Arc::new(FreeSlots { address: target.address.clone(), granted: AtomicU64::new(1) });
    let executor = Executor::new(fleet.running[0].context.clone(), services.clone(), services);
    let call = Call {
        request: "item-1".into(),
        account: Some(AccountName::from("a")),
        class: Class::Batch,
        model: MODEL.into(),
        method: "POST".to_owned(),
        path: CHAT.to_owned(),
        headers: Vec::new(),
        body: Bytes::from_static(b"{}"),
        digest: "digest of the body".to_owned(),
        prompt: 1,
        work: 2,
        prefix: Vec::new(),
        idempotent: true,
        forwarded: false,
        no_wait: false,
        resume_from: 0,
        resume_version: String::new(),
        urgent: false,
        trace: Some(Arc::new(ItemTrace::default())),
        cancel: CancellationToken::new(),
    };
    let mut codes = Vec::new();
    for _ in 0..=CRASHES {
        match executor.run_plain(&call).await {
            Ok(response) => return assert_eq!(response.status, 200),
            Err(error) => codes.push(error.code()),
        }
    }
    panic!("the item was never answered: {codes:?}");
}
