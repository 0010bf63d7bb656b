//! Clients that read streams and take them up again, and the checks on what they received.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use sesamewall_platform_standin::StandinTarget;
use sesamewall_platform_standin::StreamClient;
use sesamewall_platform_standin::StreamEvent;
use sesamewall_platform_standin::StreamResult;
use sesamewall_platform_standin::StreamTry;
use tokio::task::JoinHandle;

/// Take-ups from which on the share of those that go on is checked.
pub const FEWEST_TAKE_UPS: usize = 12;

/// Least share of take-ups that go on, as a part of the share of new streams that begin.
const TAKE_UP_SHARE: f64 = 0.5;

/// Tries, and how many of them brought an event.
#[derive(Clone, Copy, Debug, Default)]
pub struct Share {
    pub begun: usize,
    pub all: usize,
}

impl Share {
    fn count<'a>(tries: impl Iterator<Item = &'a StreamTry>) -> Self {
        tries.fold(Self::default(), |share, sent| Self {
            begun: share.begun + usize::from(sent.has_begun()),
            all: share.all + 1,
        })
    }

    fn ratio(self) -> f64 {
        self.begun as f64 / self.all.max(1) as f64
    }

    /// Returns whether enough of these take-ups go on, in comparison with new streams.
    pub fn suffices(self, new: Self) -> bool {
        self.ratio() >= TAKE_UP_SHARE * new.ratio()
    }
}

impl fmt::Display for Share {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} of {}", self.begun, self.all)
    }
}

/// Streams as their clients received them.
pub struct Streams {
    pub results: Vec<StreamResult>,
}

impl Streams {
    /// Reads `count` streams at the same time.
    pub async fn read(count: usize, client: impl Fn(usize) -> StreamClient) -> Self {
        let clients: Vec<StreamClient> = (0..count).map(client).collect();
        let results = clients.iter().map(StreamClient::read);
        Self { results: futures::future::join_all(results).await }
    }

    /// Returns the number of streams that hold events of several versions.
    pub fn joined(&self) -> usize {
        self.results.iter().filter(|result| result.versions().len() > 1).count()
    }

    /// Returns the number of streams that began at this version.
    pub fn begun_at(&self, version: &str) -> usize {
        self.results.iter().filter(|result| result.first_version() == Some(version)).count()
    }

    /// Returns the take-ups, sent from `since` on, of streams that began at one of the `versions`.
    pub fn take_ups(&self, versions: &[&str], since: Instant) -> Share {
        let is_theirs = |result: &&StreamResult| {
            result.first_version().is_some_and(|version| versions.contains(&version))
        };
        let tries = self.results.iter().filter(is_theirs).flat_map(|result| &result.tries);
        Share::count(tries.filter(|sent| sent.is_take_up() && sent.sent_at >= since))
    }

    /// Returns the tries, sent from `since` on, of streams that had not begun.
    pub fn new_streams(&self, since: Instant) -> Share {
        let tries = self.results.iter().flat_map(|result| &result.tries);
        Share::count(tries.filter(|sent| !sent.is_take_up() && sent.sent_at >= since))
    }

    /// Returns what breaks the bounds: streams with events of several versions or out of order, and
    /// take-ups, sent from `since` on, of which too few go on. Take-ups count if the stream began at
    /// one of the `versions`.
    pub fn findings(&self, versions: &[&str], since: Instant) -> Vec<String> {
        let (take_ups, new) = (self.take_ups(versions, since), self.new_streams(since));
        let is_joined = |result: &&StreamResult| result.versions().len() > 1;
        let unordered = self.results.iter().find(|result| !result.is_in_order());
        let mut findings = Vec::new();
        if let Some(example) = self.results.iter().find(is_joined) {
            let (joined, all) = (self.joined(), self.results.len());
            findings.push(format!(
                "{joined} of {all} streams have two versions: {}",
                describe(example)
            ));
        }
        if let Some(example) = unordered {
            findings.push(format!("events out of order: {}", describe(example)));
        }
        if take_ups.all >= FEWEST_TAKE_UPS && !take_ups.suffices(new) {
            findings.push(format!("{take_ups} take-ups went on, {new} new streams began"));
        }
        findings
    }

    /// Returns a line with the number of joined streams, and the shares that `findings` compares.
    pub fn counts(&self, versions: &[&str], since: Instant) -> String {
        let (take_ups, new) = (self.take_ups(versions, since), self.new_streams(since));
        let (joined, all) = (self.joined(), self.results.len());
        format!(
            "joined: {joined} of {all} streams; take-ups that went on: {take_ups}; new streams that \
             began: {new}"
        )
    }

    /// Checks that no stream has events of several versions or out of order.
    #[track_caller]
    pub fn assert_not_joined(&self) {
        println!("joined: {} of {} streams", self.joined(), self.results.len());
        let findings = self.findings(&[], Instant::now());
        assert!(findings.is_empty(), "{findings:#?}");
    }

    /// Prints the counts and checks that there are no findings.
    #[track_caller]
    pub fn assert_kept(&self, versions: &[&str], since: Instant) {
        println!("{}", self.counts(versions, since));
        let findings = self.findings(versions, since);
        assert!(findings.is_empty(), "{findings:#?}");
    }

    /// Checks that there are no findings, and that there were enough take-ups for the bound.
    #[track_caller]
    pub fn assert_taken_up(&self, versions: &[&str], since: Instant) {
        self.assert_kept(versions, since);
        let (take_ups, new) = (self.take_ups(versions, since), self.new_streams(since));
        assert!(take_ups.all >= FEWEST_TAKE_UPS, "only {} take-ups", take_ups.all);
        assert!(new.begun > 0, "no new stream began, of {}", new.all);
    }
}

/// Describes a stream in one line: its tries, and its events as the version of each.
fn describe(result: &StreamResult) -> String {
    let tries = result.tries.iter().map(|sent| {
        let StreamTry { id, front, after, status, code, events, .. } = sent;
        format!(
            "{id} at front {front} after {after}: status {status:?}, code {code:?}, {events} events"
        )
    });
    let events = result.events.iter().map(|event| {
        format!("{} {}", event.id, StandinTarget::version_of(&event.data).unwrap_or("-"))
    });
    let (tries, events) = (tries.collect::<Vec<_>>(), events.collect::<Vec<_>>());
    format!("{}; events {}", tries.join("; "), events.join(", "))
}

/// Clients that begin streams at an interval until they are stopped.
pub struct StreamLoad {
    stop: Arc<AtomicBool>,
    starter: JoinHandle<Vec<JoinHandle<StreamResult>>>,
}

impl StreamLoad {
    /// Starts the client of each number at its time.
    pub fn start(
        interval: Duration,
        client: impl Fn(usize) -> StreamClient + Send + 'static,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let is_over = stop.clone();
        let starter = tokio::spawn(async move {
            let mut tasks = Vec::new();
            while !is_over.load(Ordering::Relaxed) {
                let client = client(tasks.len());
                tasks.push(tokio::spawn(async move { client.read().await }));
                tokio::time::sleep(interval).await;
            }
            tasks
        });
        Self { stop, starter }
    }

    /// Begins no more streams, and waits for the end of all.
    pub async fn stop(self) -> Streams {
        self.stop.store(true, Ordering::Relaxed);
        let mut results = Vec::new();
        for task in self.starter.await.expect("no panic in a client") {
            results.push(task.await.expect("no panic in a client"));
        }
        Streams { results }
    }
}

/// Guards against checks that cannot fail.
#[tokio::test]
async fn breaches_of_streams_are_reported() {
    let since = Instant::now();
    let sent = |number: usize, after, events| StreamTry {
        id: format!("id-{number}"),
        front: number,
        after,
        resumes: String::new(),
        status: Some(if events > 0 { 200 } else { 503 }),
        code: None,
        events,
        is_complete: true,
        sent_at: since,
        took: Duration::ZERO,
    };
    let event =
        |id: u64, version: &str| StreamEvent { id, data: format!("/talk/x {id} {version}") };
    let stream = |second: &str, goes_on: bool| StreamResult {
        tries: vec![sent(0, 0, 1), sent(1, 1, usize::from(goes_on))],
        events: vec![event(1, "v1"), event(2, second)],
    };
    let count = |results: Vec<StreamResult>| Streams { results }.findings(&["v1"], since).len();
    let many = |goes_on: usize| {
        (0..FEWEST_TAKE_UPS).map(|number| stream("v1", number < goes_on)).collect::<Vec<_>>()
    };
    assert_eq!(count(many(FEWEST_TAKE_UPS / 2)), 0);
    assert_eq!(count(many(FEWEST_TAKE_UPS / 2 - 1)), 1, "too few go on");
    assert_eq!(count(vec![stream("v1", false)]), 0, "too few take-ups for the bound");
    assert_eq!(count(vec![stream("v1", true), stream("v2", true)]), 1, "two versions");
    let mut unordered = stream("v1", true);
    unordered.events.swap(0, 1);
    assert_eq!(count(vec![unordered]), 1, "events out of order");
}
