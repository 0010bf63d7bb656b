//! Reads and writes batch jobs in the store, for fronts and workers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use sesamewall_fleet::ItemResult;
use sesamewall_fleet::JobSpec;
use sesamewall_fleet::ResultList;
use sesamewall_fleet::WriteCondition;
use sesamewall_fleet::may_take_effect;
use sesamewall_ports::CommitResult;
use sesamewall_ports::StoreError;
use sesamewall_ports::StoreWrite;
use sesamewall_ports::StoredItem;
use sesamewall_ports::Transaction;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::Time;
use slog::info;

use crate::InstanceContext;
use crate::job_keys::JobKey;
use crate::job_keys::JobName;
use crate::job_keys::head_copy_key;
use crate::job_keys::part_key;
use crate::job_keys::result_key;
use crate::job_keys::result_prefix;

/// Bytes of one part of a specification: encoded in base64 and JSON, a part stays below the store's
/// limit for a value.
pub(crate) const PART_BYTES: usize = 600 << 10;

/// Most parts of a specification: a transaction of the store is limited to 32 entries.
const MAX_PARTS: usize = 24;

/// Delay before a transaction with an unknown result is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Longest value that a log line shows.
const SHOWN_BYTES: usize = 80;

/// The description of a job.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct JobHead {
    /// The account; `None` on public routes.
    pub account: Option<AccountName>,
    /// Number of items.
    pub total: usize,
    /// Number of parts of the specification.
    pub parts: usize,
    /// Time of the acceptance in Unix milliseconds. The time of day may be wrong, so only the order
    /// of items after a restart depends on it.
    pub accepted_ms: u64,
    /// Sum of the tokens of all items.
    pub tokens: u64,
    /// Name of the route at the time of the acceptance.
    pub route: Arc<str>,
    /// Version of the configuration under which the job was accepted; 0 in heads of earlier builds.
    #[serde(default)]
    pub version: u64,
}

/// Result of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The write is done, by this call or an earlier one. Contains its revision.
    Done(u64),
    /// The first precondition failed: the key has another revision than expected.
    Taken,
    /// Another precondition failed, or the lease has ended.
    Refused,
}

fn encode<T: Serialize>(value: &T) -> Result<Bytes, StoreError> {
    rmp_serde::to_vec(value).map(Bytes::from).map_err(|_| StoreError::TooLarge)
}

/// Encodes a head with the names of its fields, so that earlier builds pass over new ones.
fn encode_head(head: &JobHead) -> Result<Bytes, StoreError> {
    rmp_serde::to_vec_named(head).map(Bytes::from).map_err(|_| StoreError::TooLarge)
}

fn decode<T: for<'a> Deserialize<'a>>(
    context: &InstanceContext,
    key: &str,
    bytes: &[u8],
) -> Option<T> {
    match rmp_serde::from_slice(bytes) {
        Ok(value) => Some(value),
        Err(error) => {
            slog::error!(context.log, "stored value cannot be read";
                "key" => key, "error" => %error);
            None
        }
    }
}

/// Commits a transaction, and sends it again until `until` while its result is unknown. The
/// transaction must write the key of its first precondition, which expects that the key does not
/// exist or has a given revision. `proof` is the index of the write whose value in the store proves
/// that an earlier call took effect.
pub async fn commit_once(
    context: &InstanceContext,
    transaction: &Transaction,
    proof: usize,
    until: Time,
) -> Result<WriteResult, StoreError> {
    settle(transaction, proof, commit_until(context, transaction, until).await?)
}

/// Returns what a commit has shown.
///
/// # Errors
///
/// Returns `Unclear` if an earlier try may have taken effect, or may still do so.
fn settle(
    transaction: &Transaction,
    proof: usize,
    Commit { result, unclear }: Commit,
) -> Result<WriteResult, StoreError> {
    match result {
        CommitResult::Done(revision) => Ok(WriteResult::Done(revision)),
        CommitResult::Conflict(items) => match conflict(transaction, proof, &items) {
            WriteResult::Refused
                if unclear > 0 && may_take_effect(&conditions(transaction, &items)) =>
            {
                Err(StoreError::Unclear)
            }
            result => Ok(result),
        },
        // An earlier try may have taken effect before the lease ended.
        CommitResult::LeaseGone if unclear > 0 => Err(StoreError::Unclear),
        CommitResult::LeaseGone => Ok(WriteResult::Refused),
    }
}

/// The result of the last try of a transaction, and the number of tries before that got no reply.
pub struct Commit {
    /// The result.
    pub result: CommitResult,
    /// Number of earlier tries that may have taken effect, or may still do so.
    pub unclear: u32,
}

/// Commits a transaction, and sends it again until `until` while its result is unknown. A conflict
/// may come from an earlier try that took effect.
pub async fn commit_until(
    context: &InstanceContext,
    transaction: &Transaction,
    until: Time,
) -> Result<Commit, StoreError> {
    let key = transaction.writes.first().map(|write| write.key.as_str()).unwrap_or_default();
    let mut unclear = 0;
    loop {
        let error = match context.store.commit(transaction).await {
            Ok(result) => {
                match &result {
                    CommitResult::Done(_) => context.on_store_result(true, &""),
                    CommitResult::Conflict(items) => {
                        context.on_store_result(true, &"");
                        info!(context.log, "write conflicts"; "key" => key, "unclear" => unclear,
                            "present" => describe(items));
                    }
                    CommitResult::LeaseGone => {
                        info!(context.log, "write without its lease"; "key" => key,
                            "unclear" => unclear);
                    }
                }
                return Ok(Commit { result, unclear });
            }
            Err(error) => error,
        };
        if error == StoreError::Unclear {
            unclear += 1;
            info!(context.log, "write got no reply"; "key" => key, "unclear" => unclear);
        }
        if error != StoreError::RateLimited {
            context.on_store_result(false, &error);
        }
        if context.now() + RETRY_DELAY >= until || error == StoreError::TooLarge {
            return Err(if unclear > 0 { StoreError::Unclear } else { error });
        }
        tokio::time::sleep(RETRY_DELAY).await;
        context.wait_for_store(until.since(context.now())).await;
    }
}

/// Returns the revisions of the items in a conflict, with the values that name a process.
fn describe(items: &[StoredItem]) -> String {
    let item = |item: &StoredItem| match std::str::from_utf8(&item.value) {
        Ok(text) if text.len() <= SHOWN_BYTES => format!("{}@{} {text}", item.key, item.revision),
        _ => format!("{}@{}", item.key, item.revision),
    };
    items.iter().map(item).collect::<Vec<_>>().join(", ")
}

/// Returns the conditions of a transaction that met `items`.
fn conditions(transaction: &Transaction, items: &[StoredItem]) -> Vec<WriteCondition> {
    let condition = |(key, expected): &(String, u64)| {
        let present = items.iter().find(|item| item.key == *key);
        WriteCondition { expected: *expected, present: present.map_or(0, |item| item.revision) }
    };
    transaction.expect.iter().map(condition).collect()
}

fn conflict(transaction: &Transaction, proof: usize, items: &[StoredItem]) -> WriteResult {
    let write = transaction.writes.get(proof);
    let earlier = write.and_then(|write| {
        items.iter().find(|item| item.key == write.key && item.value == write.value)
    });
    let first = transaction.expect.first();
    let first_failed = first.is_some_and(|(key, revision)| {
        items.iter().any(|item| item.key == *key && item.revision != *revision)
    });
    // A key that another call has written since, such as the end of the job.
    let is_written = |key: &String| transaction.writes.iter().any(|write| write.key == *key);
    let superseded = transaction.expect.iter().any(|(key, revision)| {
        *revision == 0 && !is_written(key) && items.iter().any(|item| item.key == *key)
    });
    match (earlier, first_failed) {
        (Some(item), _) if !superseded => WriteResult::Done(item.revision),
        (_, true) => WriteResult::Taken,
        (_, false) => WriteResult::Refused,
    }
}

/// The worker that claims a job with its acceptance, and the queue claim that the acceptance
/// depends on.
#[derive(Clone, Debug, Default)]
pub struct Acceptance {
    /// Value of the job's claim, and the lease under which it is written.
    pub job_claim: Option<(Bytes, u64)>,
    /// Key and revision of the claim on the account's queue.
    pub queue_claim: Option<(String, u64)>,
}

/// Index of the claim among the writes of an acceptance that has one.
const CLAIM_WRITE: usize = 1;

/// Result of an acceptance with the claim of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AcceptResult {
    /// This call has accepted and claimed the job. Contains the revision.
    Done(u64),
    /// The job was accepted before, and this process has claimed it under its present or an earlier
    /// lease. Contains the revision of the claim.
    Claimed(u64),
    /// The job was accepted before.
    Known,
    /// Another precondition failed, or the lease has ended.
    Refused,
}

/// Commits an acceptance, and sends it again until `until` while its result is unknown.
pub async fn accept_once(
    context: &InstanceContext,
    transaction: &Transaction,
    until: Time,
) -> Result<AcceptResult, StoreError> {
    let commit = commit_until(context, transaction, until).await?;
    if let CommitResult::Done(revision) = commit.result {
        return Ok(AcceptResult::Done(revision));
    }
    Ok(match settle(transaction, CLAIM_WRITE, commit)? {
        WriteResult::Done(revision) => AcceptResult::Claimed(revision),
        WriteResult::Taken => AcceptResult::Known,
        WriteResult::Refused => AcceptResult::Refused,
    })
}

/// Returns the transaction that accepts a job, and the head of the job.
///
/// # Errors
///
/// Returns `TooLarge` if the job does not fit into one transaction.
pub fn accept_transaction(
    spec: &JobSpec,
    route: &Arc<str>,
    version: u64,
    accepted_ms: u64,
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
        accepted_ms,
        tokens: spec.tokens(),
        route: route.clone(),
        version,
    };
    let name = JobName::new(spec.account.as_ref(), &spec.id);
    let key = JobKey::Head.of(&name);
    let value = encode_head(&head)?;
    // The client may end the job before the result of an acceptance without a reply is known.
    let mut expect = vec![(key.clone(), 0), (JobKey::End.of(&name), 0)];
    let mut writes = vec![StoreWrite { key, value: value.clone(), lease: 0 }];
    if let Some((claim, lease)) = &acceptance.job_claim {
        let key = JobKey::Claim.of(&name);
        expect.push((key.clone(), 0));
        writes.push(StoreWrite { key, value: claim.clone(), lease: *lease });
    }
    expect.extend(acceptance.queue_claim.clone());
    // The copy saves readers a call: one page contains the head and the results.
    writes.push(StoreWrite { key: head_copy_key(&name), value, lease: 0 });
    writes.extend(parts.into_iter().enumerate().map(|(part, value)| StoreWrite {
        key: part_key(&name, part),
        value,
        lease: 0,
    }));
    Ok((Transaction { expect, writes, removes: Vec::new() }, head))
}

/// Returns all keys of a job, so that they can be removed.
pub fn all_keys(job: &JobName, parts: usize, groups: u64) -> Vec<String> {
    let kinds = [JobKey::Head, JobKey::Claim, JobKey::End, JobKey::Complete];
    let results = (0..groups).map(|group| result_key(job, group));
    kinds
        .into_iter()
        .map(|kind| kind.of(job))
        .chain(std::iter::once(head_copy_key(job)))
        .chain((0..parts).map(|part| part_key(job, part)))
        .chain(results)
        .collect()
}

/// Reads a value, and records whether the store was reachable.
async fn read_item(context: &InstanceContext, key: &str) -> Result<Option<Bytes>, StoreError> {
    let result = context.store.item(key).await;
    match &result {
        Ok(_) => context.on_store_result(true, &""),
        Err(StoreError::RateLimited) => {}
        Err(error) => context.on_store_result(false, error),
    }
    Ok(result?.map(|item| item.value))
}

/// Reads the head of a job and its results so far; `None` if the job does not exist.
pub async fn read_job(
    context: &InstanceContext,
    job: &JobName,
) -> Result<Option<(JobHead, ResultList)>, StoreError> {
    let mut list = ResultList::default();
    let head = read_page(context, job, &mut list, None).await?.head;
    let Some(head) = head else { return Ok(None) };
    Ok(Some((head, list)))
}

/// Decodes a head that a watch returned.
pub fn decode_head(context: &InstanceContext, job: &JobName, bytes: &[u8]) -> Option<JobHead> {
    decode(context, &JobKey::Head.of(job), bytes)
}

/// Reads the specification of a job.
pub async fn read_spec(
    context: &InstanceContext,
    job: &JobName,
    parts: usize,
) -> Result<Option<JobSpec>, StoreError> {
    let mut bytes = Vec::new();
    for part in 0..parts {
        let Some(value) = read_item(context, &part_key(job, part)).await? else { return Ok(None) };
        bytes.extend_from_slice(&value);
    }
    Ok(decode(context, job.id.as_str(), &bytes))
}

/// The contents of a page of a job's keys, except for the results.
struct ReadPage {
    head: Option<JobHead>,
    more: bool,
}

async fn read_page(
    context: &InstanceContext,
    job: &JobName,
    list: &mut ResultList,
    after: Option<&str>,
) -> Result<ReadPage, StoreError> {
    let result = context.store.page(&result_prefix(job), after).await;
    match &result {
        Ok(_) => context.on_store_result(true, &""),
        Err(StoreError::RateLimited) => {}
        Err(error) => context.on_store_result(false, error),
    }
    let page = result?;
    let head_key = head_copy_key(job);
    let mut read = ReadPage { head: None, more: page.more };
    for item in &page.items {
        if item.key == head_key {
            read.head = decode(context, &item.key, &item.value);
            continue;
        }
        let number = item.key.rsplit('/').next().and_then(|text| text.parse().ok());
        let group: Option<Vec<ItemResult>> = decode(context, &item.key, &item.value);
        if let (Some(number), Some(group)) = (number, group) {
            list.append(number, group);
        }
    }
    Ok(read)
}

/// Reads the results that `list` does not contain yet.
pub async fn read_new_results(
    context: &InstanceContext,
    job: &JobName,
    list: &mut ResultList,
) -> Result<(), StoreError> {
    loop {
        let before = list.groups();
        let after = match before.checked_sub(1) {
            Some(group) => result_key(job, group),
            None => head_copy_key(job),
        };
        let page = read_page(context, job, list, Some(&after)).await?;
        if !page.more || list.groups() == before {
            return Ok(());
        }
    }
}

/// Returns the transaction that ends a job for its client.
pub fn end_transaction(job: &JobName) -> Transaction {
    let key = JobKey::End.of(job);
    let expect = vec![(key.clone(), 0)];
    let writes = vec![StoreWrite { key, value: Bytes::from_static(b"1"), lease: 0 }];
    Transaction { expect, writes, removes: Vec::new() }
}

/// Returns the transaction that appends a group of results under a claim.
///
/// # Errors
///
/// Returns `TooLarge` if the group cannot be encoded.
pub fn append_transaction(
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
