//! Batch jobs in the store, for fronts and workers.

use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use sesamewall_fleet::ItemResult;
use sesamewall_fleet::JobSpec;
use sesamewall_fleet::ResultList;
use sesamewall_ports::Committed;
use sesamewall_ports::StoreError;
use sesamewall_ports::StoreWrite;
use sesamewall_ports::Transaction;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::JobId;
use sesamewall_protocol::Time;

use crate::Node;
use crate::job_keys::JobKey;
use crate::job_keys::part_key;
use crate::job_keys::read_head_key;
use crate::job_keys::result_key;
use crate::job_keys::result_prefix;

/// Bytes of one part of a specification; with base64 and JSON around it a part stays below the
/// store's largest value.
const PART_BYTES: usize = 600 << 10;

/// Pause before a transaction without an answer is sent again.
const REPEAT_PAUSE: Duration = Duration::from_millis(50);

/// The head of a job.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct JobHead {
    /// Its account; `None` on public routes.
    pub account: Option<AccountName>,
    /// Number of its items.
    pub total: usize,
    /// Parts of its specification.
    pub parts: usize,
    /// Unix milliseconds of its acceptance. The time of day may be wrong, so only the order of items
    /// after a restart depends on it.
    pub accepted: u64,
}

/// How a write under a condition ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Written {
    /// It is done, by this call or an earlier one.
    Done(u64),
    /// The condition did not hold.
    Refused,
}

fn encode<T: Serialize>(value: &T) -> Result<Bytes, StoreError> {
    rmp_serde::to_vec(value).map(Bytes::from).map_err(|_| StoreError::TooLarge)
}

fn decode<T: for<'a> Deserialize<'a>>(node: &Node, key: &str, bytes: &[u8]) -> Option<T> {
    match rmp_serde::from_slice(bytes) {
        Ok(value) => Some(value),
        Err(error) => {
            slog::error!(node.log, "stored value cannot be read"; "key" => key, "error" => %error);
            None
        }
    }
}

/// Commits a transaction, and sends it again while its end is unknown. The first expected key must be
/// one that the transaction writes under the condition that it does not exist; a value there equal to
/// the one to be written proves that an earlier call took effect.
pub async fn commit_once(
    node: &Node,
    transaction: &Transaction,
    until: Time,
) -> Result<Written, StoreError> {
    loop {
        let result = node.store.commit(transaction).await;
        let error = match result {
            Ok(Committed::Done(revision)) => {
                node.on_store(true, &"");
                return Ok(Written::Done(revision));
            }
            Ok(Committed::Conflict(items)) => {
                node.on_store(true, &"");
                let mine = transaction.writes.first().and_then(|write| {
                    items.iter().find(|item| item.key == write.key && item.value == write.value)
                });
                return Ok(mine.map_or(Written::Refused, |item| Written::Done(item.revision)));
            }
            Ok(Committed::LeaseGone) => return Ok(Written::Refused),
            Err(error) => error,
        };
        if error != StoreError::RateLimited {
            node.on_store(false, &error);
        }
        if node.now() + REPEAT_PAUSE >= until || error == StoreError::TooLarge {
            return Err(error);
        }
        tokio::time::sleep(REPEAT_PAUSE).await;
        node.store_answers(until.since(node.now())).await;
    }
}

/// Returns the transaction that accepts a job.
///
/// # Errors
///
/// Returns `TooLarge` if the job does not fit into one transaction.
pub fn accept(spec: &JobSpec, accepted: u64) -> Result<Transaction, StoreError> {
    let bytes = encode(spec)?;
    let parts: Vec<Bytes> = (0..bytes.len().div_ceil(PART_BYTES))
        .map(|part| bytes.slice(part * PART_BYTES..bytes.len().min((part + 1) * PART_BYTES)))
        .collect();
    if parts.len() > 24 {
        return Err(StoreError::TooLarge);
    }
    let head = JobHead {
        account: spec.account.clone(),
        total: spec.items.len(),
        parts: parts.len(),
        accepted,
    };
    let key = JobKey::Head.of(&spec.id);
    let value = encode(&head)?;
    let mut writes = vec![
        StoreWrite { key: key.clone(), value: value.clone(), lease: 0 },
        // The copy spares readers a call: one page has the head and the results.
        StoreWrite { key: read_head_key(&spec.id), value, lease: 0 },
    ];
    writes.extend(parts.into_iter().enumerate().map(|(part, value)| StoreWrite {
        key: part_key(&spec.id, part),
        value,
        lease: 0,
    }));
    Ok(Transaction { expect: vec![(key, 0)], writes, removes: Vec::new() })
}

/// Reads a value.
async fn item(node: &Node, key: &str) -> Result<Option<Bytes>, StoreError> {
    let result = node.store.item(key).await;
    match &result {
        Ok(_) => node.on_store(true, &""),
        Err(StoreError::RateLimited) => {}
        Err(error) => node.on_store(false, error),
    }
    Ok(result?.map(|item| item.value))
}

/// Reads the head of a job and the results so far; `None` if there is no such job.
pub async fn open(node: &Node, job: &JobId) -> Result<Option<(JobHead, ResultList)>, StoreError> {
    let mut list = ResultList::default();
    let head = read_page(node, job, &mut list, None).await?.head;
    let Some(head) = head else { return Ok(None) };
    Ok(Some((head, list)))
}

/// Decodes a head that a watch returned.
pub fn decode_head(node: &Node, job: &JobId, bytes: &[u8]) -> Option<JobHead> {
    decode(node, &JobKey::Head.of(job), bytes)
}

/// Reads the specification of a job.
pub async fn spec(node: &Node, job: &JobId, parts: usize) -> Result<Option<JobSpec>, StoreError> {
    let mut bytes = Vec::new();
    for part in 0..parts {
        let Some(piece) = item(node, &part_key(job, part)).await? else { return Ok(None) };
        bytes.extend_from_slice(&piece);
    }
    Ok(decode(node, job.as_str(), &bytes))
}

/// What a page of a job's results says besides the results.
struct ReadPage {
    head: Option<JobHead>,
    more: bool,
}

async fn read_page(
    node: &Node,
    job: &JobId,
    list: &mut ResultList,
    after: Option<&str>,
) -> Result<ReadPage, StoreError> {
    let result = node.store.page(&result_prefix(job), after).await;
    match &result {
        Ok(_) => node.on_store(true, &""),
        Err(StoreError::RateLimited) => {}
        Err(error) => node.on_store(false, error),
    }
    let page = result?;
    let head_key = read_head_key(job);
    let mut read = ReadPage { head: None, more: page.more };
    for item in &page.items {
        if item.key == head_key {
            read.head = decode(node, &item.key, &item.value);
            continue;
        }
        let number = item.key.rsplit('/').next().and_then(|text| text.parse().ok());
        let group: Option<Vec<ItemResult>> = decode(node, &item.key, &item.value);
        if let (Some(number), Some(group)) = (number, group) {
            list.append(number, group);
        }
    }
    Ok(read)
}

/// Reads the results that `list` does not have yet.
pub async fn refresh(node: &Node, job: &JobId, list: &mut ResultList) -> Result<(), StoreError> {
    loop {
        let before = list.groups();
        let after = match before.checked_sub(1) {
            Some(group) => result_key(job, group),
            None => read_head_key(job),
        };
        let page = read_page(node, job, list, Some(&after)).await?;
        if !page.more || list.groups() == before {
            return Ok(());
        }
    }
}

/// Returns the transaction that appends a group of results under a claim.
///
/// # Errors
///
/// Returns `TooLarge` if the group cannot be encoded.
pub fn append(
    job: &JobId,
    claim: u64,
    group: u64,
    results: &[ItemResult],
    complete: bool,
) -> Result<Transaction, StoreError> {
    let key = result_key(job, group);
    let mut writes = vec![StoreWrite { key: key.clone(), value: encode(&results)?, lease: 0 }];
    if complete {
        let key = JobKey::Complete.of(job);
        writes.push(StoreWrite { key, value: Bytes::from_static(b"1"), lease: 0 });
    }
    let expect = vec![(key, 0), (JobKey::Claim.of(job), claim)];
    Ok(Transaction { expect, writes, removes: Vec::new() })
}
