//! Steady online load and bursts.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::future::join_all;
use tokio::task::JoinHandle;

use crate::client::Client;
use crate::client::Prompt;

const WORKERS: usize = 16;
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Online load that runs until it is stopped.
pub struct Load {
    stop: Arc<AtomicBool>,
    workers: Vec<JoinHandle<Vec<Result<(), String>>>>,
}

impl Load {
    /// Starts load through the instances with the base URLs, in turn.
    pub fn start(client: &Client, bases: Vec<String>, key: &str) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let worker = |number: usize| {
            let (client, bases, key) = (client.clone(), bases.clone(), key.to_owned());
            let stop = stop.clone();
            tokio::spawn(async move {
                let mut results = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let turn = number + results.len();
                    let text = format!("worker {number} request {}", results.len());
                    let prompt = Prompt::new(&text, 6, turn.is_multiple_of(2));
                    let base = &bases[turn % bases.len()];
                    let result = client.complete(base, &key, &prompt).await;
                    results.push(result.map(|_| ()).map_err(|fault| format!("{base}: {fault}")));
                    tokio::time::sleep(REQUEST_INTERVAL).await;
                }
                results
            })
        };
        Self { workers: (0..WORKERS).map(worker).collect(), stop }
    }

    /// Stops the load and fails the test if a request was lost, refused or got a wrong response.
    pub async fn stop(self, when: &str) -> usize {
        self.stop.store(true, Ordering::Relaxed);
        let results: Vec<_> =
            join_all(self.workers).await.into_iter().flat_map(Result::unwrap).collect();
        assert_complete(when, &results);
        results.len()
    }
}

/// Sends `count` requests at once through the instances, half of them streamed.
pub async fn burst(client: &Client, bases: &[String], key: &str, count: usize, name: &str) {
    let results = join_all((0..count).map(|number| async move {
        let prompt = Prompt::new(&format!("{name} {number}"), 8, number.is_multiple_of(2));
        let base = &bases[number % bases.len()];
        let result = client.complete(base, key, &prompt).await;
        result.map(|_| ()).map_err(|fault| format!("{base}: {fault}"))
    }))
    .await;
    assert_complete(name, &results);
}

fn assert_complete(when: &str, results: &[Result<(), String>]) {
    let faults: Vec<&String> = results.iter().filter_map(|result| result.as_ref().err()).collect();
    let first = &faults[..faults.len().min(5)];
    assert!(!results.is_empty(), "{when}: no request was sent");
    assert!(faults.is_empty(), "{when}: {} of {} failed: {first:#?}", faults.len(), results.len());
}
