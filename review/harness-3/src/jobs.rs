//! Batch jobs as the platform's clients submit and read them, and the rule on items that are never
//! listed.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use serde_json::Value;
use serde_json::json;
use sesamewall_platform_standin::StandinClient;

use crate::record::Record;
use crate::runner::Run;
use crate::runner::Runner;

/// Time from the end of the submissions to the check (`finishS`).
pub const FINISH_TIME: Duration = Duration::from_secs(18);

/// Spans that the rule `LOST` names: without an unlisted item at a runner, without an item that was
/// finished, and below which a run that its sender ends does not count.
const IDLE_TIME: Duration = Duration::from_secs(5);
const NO_END_TIME: Duration = Duration::from_secs(3);
const SHORT_RUN: Duration = Duration::from_secs(1);

/// Shortest and longest time from a refusal to the next try of a client: a third of the time it has.
const RETRY_RANGE: (f64, f64) = (0.1, 1.3);

/// A batch job: its items have `item_bytes` bytes of body in base64.
#[derive(Clone)]
pub struct Job {
    pub id: String,
    pub key: String,
    pub items: usize,
    pub item_bytes: usize,
}

impl Job {
    fn body(&self) -> Bytes {
        let text = "QUJD".repeat(self.item_bytes / 4);
        let item = |number: usize| {
            json!({
                "id": format!("{}-{number}", self.id), "path": format!("/jobs/{}/{number}", self.id),
                "headers": { "Sesamewall-Model": "m", "Sesamewall-Token-Count": "250,200" },
                "body": text, "tokens": 450
            })
        };
        json!({ "items": (0..self.items).map(item).collect::<Vec<_>>() }).to_string().into()
    }

    /// Submits the job at the first front, and once more at the second one if that is needed. Returns
    /// the statuses; 0 stands for no answer.
    pub async fn submit(&self, client: &StandinClient, fronts: [SocketAddr; 2]) -> Vec<u16> {
        let body = self.body();
        let mut statuses = Vec::new();
        for front in fronts {
            let path = "/jobs/submit";
            let sent =
                client.send(front, Method::POST, path, &self.id, &self.key, body.clone()).await;
            statuses.push(sent.as_ref().map_or(0, |response| response.status));
            if statuses.last() == Some(&202) {
                break;
            }
            let asked = sent.and_then(|response| {
                response.headers.get("retry-after")?.to_str().ok()?.parse::<f64>().ok()
            });
            let (shortest, longest) = RETRY_RANGE;
            let wait = asked.unwrap_or(shortest).clamp(shortest, longest);
            tokio::time::sleep(Duration::from_secs_f64(wait)).await;
        }
        statuses
    }

    /// Reads the listed results from the start, by item.
    pub async fn results(
        &self,
        client: &StandinClient,
        front: SocketAddr,
    ) -> BTreeMap<String, Value> {
        let mut results = BTreeMap::new();
        let mut after = 0;
        while results.len() < self.items {
            let path = format!("/lots/{}?after={after}", self.id);
            let sent = client.send(front, Method::GET, &path, "r1", &self.key, Bytes::new()).await;
            let page = sent.map(|response| response.json()).unwrap_or_default();
            let rows = page["results"].as_array().cloned().unwrap_or_default();
            if rows.is_empty() {
                break;
            }
            after += rows.len();
            results.extend(
                rows.into_iter().map(|row| (row["id"].as_str().unwrap_or("?").to_owned(), row)),
            );
        }
        results
    }
}

/// Returns the mean number of running items between two times.
fn mean_running(runs: &[Run], from: Instant, to: Instant) -> f64 {
    let overlap = |run: &Run| {
        let (begin, end) = (run.began.max(from), run.ended.unwrap_or(to).min(to));
        end.saturating_duration_since(begin).as_secs_f64()
    };
    runs.iter().map(overlap).sum::<f64>() / (to - from).as_secs_f64()
}

/// Checks the rule: "When `finishS` is over, an item of a batch job that is open is listed neither as
/// `completed` nor as `dead_letter`, though in the last 5 s, which were calm, no runner had an unlisted
/// item of that batch job and its runners were under half full, and in the last 3 s no item of any
/// batch job was finished." Returns whether it is broken.
pub async fn is_lost(
    record: &Record,
    client: &StandinClient,
    front: SocketAddr,
    runners: &[Runner],
    slots: usize,
    accepted: &[Job],
) -> bool {
    let checked = Instant::now();
    let (idle_from, no_end_from) = (checked - IDLE_TIME, checked - NO_END_TIME);
    let runs: Vec<Run> = runners.iter().flat_map(Runner::runs).collect();
    // "A run that its sender ends, or whose time is up, within a second counts neither as had nor as
    // failed."
    let had: HashSet<&str> = runs
        .iter()
        .filter(|run| run.ended.is_none_or(|ended| ended > idle_from))
        .filter(|run| run.whole || run.ended.unwrap_or(checked) - run.began > SHORT_RUN)
        .map(|run| run.id.as_str())
        .collect();
    let ends = runs.iter().filter(|run| run.whole && run.ended > Some(no_end_from)).count();
    let running = mean_running(&runs, idle_from, checked);
    let (mut lost, mut unlisted) = (0, 0);
    for job in accepted {
        let results = job.results(client, front).await;
        let ids = (0..job.items).map(|number| format!("{}-{number}", job.id));
        let open: Vec<String> = ids.filter(|id| !results.contains_key(id)).collect();
        unlisted += open.len();
        if !open.is_empty() && open.iter().all(|id| !had.contains(id.as_str())) {
            lost += open.len();
        }
        record.line(&format!(
            "job {}: {} of {} items are listed",
            job.id,
            results.len(),
            job.items
        ));
    }
    record.say(&format!(
        "{unlisted} items of {} accepted jobs are not listed, {lost} of them in jobs without an item at a \
         runner in the last 5 s; {ends} items ended in the last 3 s; {running:.1} of {slots} slots were \
         in use",
        accepted.len()
    ));
    lost > 0 && ends == 0 && running * 2.0 < slots as f64
}
