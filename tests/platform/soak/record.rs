//! Record of a soak, and the checks on it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use sesamewall_platform_standin::StandinTarget;
use sesamewall_platform_standin::TargetRequest;

/// Time after the acknowledgement of a job's end in which its items may still start (`cancelMs`).
const CANCEL_TIME: Duration = Duration::from_secs(3);

/// Time without faults after which an instance has to keep the bounds (`stableMs`).
pub const STABLE_TIME: Duration = Duration::from_secs(3);

/// Time after which a request that was not passed on has to have a response.
const RESPONSE_TIME: Duration = Duration::from_secs(1);

/// Time for which a fault of a target affects its responses after its end.
const TARGET_RECOVERY_TIME: Duration = Duration::from_secs(3);

/// A pause of the test itself that is long enough to delay what it measures.
const SHORTEST_PAUSE: Duration = Duration::from_millis(300);

/// Interval between two readings of the clock by the test.
const CLOCK_INTERVAL: Duration = Duration::from_millis(50);

/// What was harmed for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Harm {
    Frozen(usize),
    /// Killed, or started again.
    Ended(usize),
    Store,
    Target(usize),
}

#[derive(Clone, Copy, Debug)]
struct Span {
    harm: Harm,
    from: Instant,
    to: Option<Instant>,
}

impl Span {
    fn overlaps(&self, from: Instant, to: Instant) -> bool {
        self.from <= to && self.to.is_none_or(|end| end >= from)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response; `is_right` unless it is a success with another text than the target's.
    Response {
        status: u16,
        is_right: bool,
    },
    /// A head and a part of the body.
    Broken,
    Unanswered,
}

#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    pub path: String,
    pub front: usize,
    pub sent: Instant,
    pub ended: Instant,
    pub outcome: Outcome,
}

#[derive(Clone, Debug, Default)]
pub struct Job {
    pub items: usize,
    /// Status of each try to submit; `None` without a response.
    pub tries: Vec<Option<u16>>,
    pub accepted: Option<Instant>,
    /// The client has begun to end the job.
    pub is_ending: bool,
    pub end_acked: Option<Instant>,
    /// Results by position.
    pub rows: BTreeMap<usize, Value>,
}

impl Job {
    fn is_open(&self) -> bool {
        self.accepted.is_some() && !self.is_ending && self.rows.len() < self.items
    }
}

#[derive(Default)]
struct Inner {
    calls: Vec<Call>,
    jobs: BTreeMap<String, Job>,
    spans: Vec<Span>,
    pauses: Vec<(Instant, Duration)>,
    findings: BTreeSet<String>,
    last_row: Option<Instant>,
}

pub struct Record {
    inner: Mutex<Inner>,
    begun: Instant,
    versions: &'static [&'static str],
}

/// Returns the path of an item.
pub fn item_path(item: &str) -> String {
    format!("/jobs/{item}")
}

/// Returns the identifiers of a job's items.
pub fn item_ids(job: &str, items: usize) -> Vec<String> {
    (0..items).map(|number| format!("{job}-{number:02}")).collect()
}

impl Record {
    pub fn new() -> Self {
        Self::with_versions(&[])
    }

    /// Returns a record of a fleet whose targets have these versions; none if their events name no
    /// version.
    pub fn with_versions(versions: &'static [&'static str]) -> Self {
        Self { inner: Mutex::default(), begun: Instant::now(), versions }
    }

    /// Returns the version of a target, which the data of its events names.
    pub fn version(&self, target: usize) -> Option<&'static str> {
        self.versions.get(target / 2).copied()
    }

    /// Returns whether a text is the whole one of a request at targets of one version.
    pub fn is_text(&self, path: &str, text: &str) -> bool {
        match self.versions {
            [] => text == StandinTarget::text(path),
            versions => {
                versions.iter().any(|version| text == StandinTarget::text_of(path, Some(version)))
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn time(&self, at: Instant) -> String {
        format!("{:.3} s", at.saturating_duration_since(self.begun).as_secs_f64())
    }

    pub fn find(&self, text: String) {
        let now = self.time(Instant::now());
        if self.lock().findings.insert(text.clone()) {
            println!("    {now} FOUND {text}");
        }
    }

    pub fn findings(&self) -> Vec<String> {
        self.lock().findings.iter().cloned().collect()
    }

    pub fn begin(&self, harm: Harm) {
        self.lock().spans.push(Span { harm, from: Instant::now(), to: None });
    }

    /// Ends all spans of a harm.
    pub fn end(&self, harm: Harm) {
        let now = Instant::now();
        for span in self.lock().spans.iter_mut().filter(|span| span.harm == harm) {
            span.to.get_or_insert(now);
        }
    }

    pub fn add_call(&self, call: Call) {
        self.lock().calls.push(call);
    }

    pub fn with_job<T>(&self, job: &str, change: impl FnOnce(&mut Job) -> T) -> T {
        change(self.lock().jobs.entry(job.to_owned()).or_default())
    }

    /// Measures the pauses of the test itself.
    pub async fn watch_clock(&self) {
        let mut last = Instant::now();
        loop {
            tokio::time::sleep(CLOCK_INTERVAL).await;
            let late = last.elapsed().saturating_sub(CLOCK_INTERVAL);
            if late >= SHORTEST_PAUSE {
                self.lock().pauses.push((last, late));
            }
            last = Instant::now();
        }
    }

    /// Returns the sum of the test's pauses since a time.
    pub fn paused_since(&self, from: Instant) -> Duration {
        let inner = self.lock();
        inner.pauses.iter().filter(|(at, late)| *at + *late >= from).map(|(_, late)| *late).sum()
    }

    pub fn last_row(&self) -> Option<Instant> {
        self.lock().last_row
    }

    /// Returns the accepted jobs that are neither listed completely nor ended.
    pub fn open_jobs(&self) -> Vec<String> {
        let inner = self.lock();
        let open = inner.jobs.iter().filter(|(_, job)| job.is_open());
        open.map(|(name, _)| name.clone()).collect()
    }

    pub fn accepted_jobs(&self) -> Vec<(String, Job)> {
        let inner = self.lock();
        let accepted = inner.jobs.iter().filter(|(_, job)| job.accepted.is_some());
        accepted.map(|(name, job)| (name.clone(), job.clone())).collect()
    }

    /// Compares a page of results, which begins at position `after`, with what was read before.
    pub fn add_page(&self, name: &str, after: usize, page: &Value, front: usize) {
        let mut texts = Vec::new();
        {
            let mut inner = self.lock();
            let job = inner.jobs.entry(name.to_owned()).or_default();
            let rows = page["results"].as_array().cloned().unwrap_or_default();
            if page["total"] != job.items || page["next"] != after + rows.len() {
                texts.push(format!("wrong total or next: {page}"));
            }
            let known = job.rows.len();
            for (position, row) in (after..).zip(rows) {
                match job.rows.get(&position) {
                    Some(before) if *before == row => {}
                    Some(before) => {
                        texts.push(format!("position {position} was {before}, now {row}"));
                    }
                    None => {
                        texts.extend(self.check_row(name, job, &row));
                        job.rows.insert(position, row);
                    }
                }
            }
            if job.rows.len() > known {
                inner.last_row = Some(Instant::now());
            }
        }
        for text in texts {
            self.find(format!("results of {name} at front {front}: {text}"));
        }
    }

    /// Checks a result that is listed for the first time.
    fn check_row(&self, name: &str, job: &Job, row: &Value) -> Option<String> {
        let id = row["id"].as_str().unwrap_or_default();
        let is_own = item_ids(name, job.items).iter().any(|item| item == id);
        let is_second = job.rows.values().any(|other| other["id"] == row["id"]);
        let is_whole = row["state"] == "completed"
            && row["output"].as_str().is_some_and(|text| self.is_text(&item_path(id), text));
        // An item of a job that its client ends may be given up.
        let is_given_up = job.is_ending && row["state"] != "completed";
        match () {
            () if !is_own => Some(format!("an item of another job: {row}")),
            () if is_second => Some(format!("{id} stands at two positions")),
            () if !is_whole && !is_given_up => Some(format!("not the whole text: {row}")),
            () => None,
        }
    }

    fn is_harmed(&self, from: Instant, to: Instant, check: impl Fn(Harm) -> bool) -> bool {
        self.lock().spans.iter().any(|span| check(span.harm) && span.overlaps(from, to))
    }

    /// Checks the online requests against what the targets have run.
    pub fn check_calls(&self, targets: &[StandinTarget]) -> String {
        let requests: Vec<TargetRequest> =
            targets.iter().flat_map(StandinTarget::requests).collect();
        let mut runs: HashMap<&str, usize> = HashMap::new();
        for request in &requests {
            *runs.entry(request.header("sesamewall-request-id")).or_default() += 1;
        }
        let late: BTreeSet<String> = targets.iter().flat_map(StandinTarget::late_ids).collect();
        let calls = self.lock().calls.clone();
        let mut ends: BTreeMap<String, usize> = BTreeMap::new();
        for call in &calls {
            let runs = runs.get(call.id.as_str()).copied().unwrap_or(0);
            *ends.entry(call.end()).or_default() += 1;
            if let Some(fault) = self.fault_of(call, runs) {
                let (sent, ended) = (self.time(call.sent), self.time(call.ended));
                let Call { id, path, front, .. } = call;
                let text = format!("{fault}: request {id} {path} at front {front}, sent {sent}");
                let busy =
                    if late.contains(id) { ", its target late on a busy machine" } else { "" };
                self.find(format!("{text}, ended {ended}, {runs} runs{busy}"));
            }
        }
        format!("{ends:?}")
    }

    fn fault_of(&self, call: &Call, runs: usize) -> Option<String> {
        let once = call.path.starts_with("/once/") || call.path.starts_with("/plain/");
        let is_gone = |harm| [Harm::Frozen(call.front), Harm::Ended(call.front)].contains(&harm);
        let from = call.sent.checked_sub(TARGET_RECOVERY_TIME).unwrap_or(call.sent);
        let excused = self.is_harmed(call.sent, call.ended, is_gone);
        let target_harmed =
            self.is_harmed(from, call.ended, |harm| matches!(harm, Harm::Target(_)));
        let time = call.ended - call.sent;
        match call.outcome {
            _ if once && runs > 1 => Some("run twice".to_owned()),
            Outcome::Response { status, .. } if once && is_promise(status) && runs > 0 => {
                Some(format!("{status} after a run"))
            }
            Outcome::Response { is_right: false, .. } => Some("wrong text".to_owned()),
            Outcome::Response { status: 401 | 403 | 404, .. }
                if !call.path.starts_with("/extra/") =>
            {
                Some("denied".to_owned())
            }
            Outcome::Response { .. } => None,
            _ if excused || target_harmed => None,
            Outcome::Unanswered if runs == 0 => {
                let late = time >= RESPONSE_TIME + self.paused_since(call.sent);
                late.then(|| "held without a response".to_owned())
            }
            Outcome::Unanswered => Some("passed on without a response".to_owned()),
            Outcome::Broken => Some("broken off at a sound target".to_owned()),
        }
    }

    /// Checks the items that the targets have run against what their jobs' clients were told.
    /// Process numbers from `fronts` on are workers.
    pub fn check_items(&self, targets: &[StandinTarget], fronts: usize) {
        let jobs = self.lock().jobs.clone();
        for request in targets.iter().flat_map(StandinTarget::requests) {
            let Some(item) = request.path.strip_prefix("/jobs/") else { continue };
            let known = item.rsplit_once('-').and_then(|(name, _)| Some((name, jobs.get(name)?)));
            let Some((name, job)) = known else {
                self.find(format!("unknown item {item} was run"));
                continue;
            };
            let refused = |status: &Option<u16>| status.is_some_and(is_promise);
            if !job.tries.is_empty() && job.tries.iter().all(refused) {
                self.find(format!("{name} was refused each time and has run"));
            }
            let at = request.received_at;
            let stable_from = at.checked_sub(STABLE_TIME).unwrap_or(at);
            let harmed = self.is_harmed(stable_from, at, |harm| match harm {
                Harm::Frozen(process) | Harm::Ended(process) => process >= fronts,
                Harm::Store => true,
                Harm::Target(_) => false,
            });
            match job.end_acked {
                Some(acked) if !harmed && at > acked + CANCEL_TIME + self.paused_since(acked) => {
                    let (acked, at) = (self.time(acked), self.time(at));
                    self.find(format!("{item} starts at {at}, end acknowledged at {acked}"));
                }
                _ => {}
            }
        }
    }
}

impl Call {
    fn end(&self) -> String {
        match self.outcome {
            Outcome::Response { status, .. } => status.to_string(),
            Outcome::Broken => "broken".to_owned(),
            Outcome::Unanswered => "unanswered".to_owned(),
        }
    }
}

/// Returns whether a status promises that the request has not run and will not run.
pub fn is_promise(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
