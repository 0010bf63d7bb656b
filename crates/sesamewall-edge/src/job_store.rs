//! Batch jobs in the store, for fronts and workers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use sesamewall_fleet::ItemResult;
use sesamewall_fleet::JobSpec;
use sesamewall_fleet::ResultList;
use sesamewall_ports::CommitResult;
use sesamewall_ports::StoreError;
use sesamewall_ports::StoreWrite;
use sesamewall_ports::StoredItem;
use sesamewall_ports::Transaction;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::Time;

use crate::Node;
use crate::job_keys::JobKey;
use crate::job_keys::JobName;
use crate::job_keys::part_key;
use crate::job_keys::read_head_key;
use crate::job_keys::result_key;
use crate::job_keys::result_prefix;

/// Bytes of one part of a specification; with base64 and JSON around it a part stays below the
/// store's largest value.
const PART_BYTES: usize = 600 << 10;

/// Most parts of a specification: a transaction of the store takes 32 entries.
const MAX_PARTS: usize = 24;

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
    /// Tokens of all items.
    pub tokens: u64,
    /// Name of its route at the acceptance.
    pub route: Arc<str>,
}

/// How a write under a condition ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Written {
    /// It is done, by this call or an earlier one.
    Done(u64),
    /// The first condition did not hold: the key exists with another value.
    Taken,
    /// Another condition did not hold, or the lease has ended.
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

/// Commits a transaction, and sends it again while its end is unknown. The transaction must write the
/// first key of its conditions, and expect that it does not exist or has a certain revision; `proof` is
/// the write whose value in the store proves that an earlier call took effect.
pub async fn commit_once(
    node: &Node,
    transaction: &Transaction,
    proof: usize,
    until: Time,
) -> Result<Written, StoreError> {
    loop {
        let result = node.store.commit(transaction).await;
        let error = match result {
            Ok(CommitResult::Done(revision)) => {
                node.on_store(true, &"");
                return Ok(Written::Done(revision));
            }
            Ok(CommitResult::Conflict(items)) => {
                node.on_store(true, &"");
                return Ok(conflict(transaction, proof, &items));
            }
            Ok(CommitResult::LeaseGone) => return Ok(Written::Refused),
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

fn conflict(transaction: &Transaction, proof: usize, items: &[StoredItem]) -> Written {
    let write = transaction.writes.get(proof);
    let mine = write.and_then(|write| {
        items.iter().find(|item| item.key == write.key && item.value == write.value)
    });
    let first = transaction.expect.first();
    let taken = first.is_some_and(|(key, revision)| {
        items.iter().any(|item| item.key == *key && item.revision != *revision)
    });
    match (mine, taken) {
        (Some(item), _) => Written::Done(item.revision),
        (None, true) => Written::Taken,
        (None, false) => Written::Refused,
    }
}

/// Who runs a job from its acceptance on, and under which condition it is accepted.
#[derive(Clone, Debug, Default)]
pub struct Acceptance {
    /// Value of the claim and the lease that it ends with.
    pub claim: Option<(Bytes, u64)>,
    /// Key and revision of the hold on the account's queue.
    pub hold: Option<(String, u64)>,
}

/// Position of the claim among the writes of an acceptance that has one.
pub const CLAIM_WRITE: usize = 1;

/// Returns the transaction that accepts a job, and its head.
///
/// # Errors
///
/// Returns `TooLarge` if the job does not fit into one transaction.
pub fn accept(
    spec: &JobSpec,
    route: &Arc<str>,
    accepted: u64,
    acceptance: &Acceptance,
) -> Result<(Transaction, JobHead), StoreError> {
    let bytes = encode(spec)?;
    let parts: Vec<Bytes> = (0..bytes.len().div_ceil(PART_BYTES))
        .map(|part| bytes.slice(part * PART_BYTES..bytes.len().min((part + 1) * PART_BYTES)))
        .collect();
    if parts.len() > MAX_PARTS {
        return Err(StoreError::TooLarge);
    }
    let head = JobHead {
        account: spec.account.clone(),
        total: spec.items.len(),
        parts: parts.len(),
        accepted,
        tokens: spec.tokens(),
        route: route.clone(),
    };
    let name = JobName::new(spec.account.as_ref(), &spec.id);
    let key = JobKey::Head.of(&name);
    let value = encode(&head)?;
    let mut expect = vec![(key.clone(), 0)];
    let mut writes = vec![StoreWrite { key, value: value.clone(), lease: 0 }];
    if let Some((claim, lease)) = &acceptance.claim {
        let key = JobKey::Claim.of(&name);
        expect.push((key.clone(), 0));
        writes.push(StoreWrite { key, value: claim.clone(), lease: *lease });
    }
    expect.extend(acceptance.hold.clone());
    // The copy spares readers a call: one page has the head and the results.
    writes.push(StoreWrite { key: read_head_key(&name), value, lease: 0 });
    writes.extend(parts.into_iter().enumerate().map(|(part, value)| StoreWrite {
        key: part_key(&name, part),
        value,
        lease: 0,
    }));
    Ok((Transaction { expect, writes, removes: Vec::new() }, head))
}

/// Returns all keys of a job, for its removal.
pub fn all_keys(job: &JobName, parts: usize, groups: u64) -> Vec<String> {
    let kinds = [JobKey::Head, JobKey::Claim, JobKey::End, JobKey::Complete];
    let results = (0..groups).map(|group| result_key(job, group));
    kinds
        .into_iter()
        .map(|kind| kind.of(job))
        .chain(std::iter::once(read_head_key(job)))
        .chain((0..parts).map(|part| part_key(job, part)))
        .chain(results)
        .collect()
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
pub async fn open(node: &Node, job: &JobName) -> Result<Option<(JobHead, ResultList)>, StoreError> {
    let mut list = ResultList::default();
    let head = read_page(node, job, &mut list, None).await?.head;
    let Some(head) = head else { return Ok(None) };
    Ok(Some((head, list)))
}

/// Decodes a head that a watch returned.
pub fn decode_head(node: &Node, job: &JobName, bytes: &[u8]) -> Option<JobHead> {
    decode(node, &JobKey::Head.of(job), bytes)
}

/// Reads the specification of a job.
pub async fn spec(node: &Node, job: &JobName, parts: usize) -> Result<Option<JobSpec>, StoreError> {
    let mut bytes = Vec::new();
    for part in 0..parts {
        let Some(piece) = item(node, &part_key(job, part)).await? else { return Ok(None) };
        bytes.extend_from_slice(&piece);
    }
    Ok(decode(node, job.id.as_str(), &bytes))
}

/// What a page of a job's results says besides the results.
struct ReadPage {
    head: Option<JobHead>,
    more: bool,
}

async fn read_page(
    node: &Node,
    job: &JobName,
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
pub async fn refresh(node: &Node, job: &JobName, list: &mut ResultList) -> Result<(), StoreError> {
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
    job: &JobName,
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
