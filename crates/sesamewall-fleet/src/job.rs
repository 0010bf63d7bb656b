//! Batch jobs: the submitted job, and the append-only list of results.

use std::collections::HashSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use sesamewall_protocol::AccountName;
use sesamewall_protocol::ItemId;
use sesamewall_protocol::JobId;

use crate::catalog::account_key;

/// Names a job by its account and identifier. Two accounts may use the same identifier.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct JobName {
    /// Hash of the account's name; 0 for a job without an account.
    pub account: u32,
    /// The identifier.
    pub id: JobId,
}

impl JobName {
    /// Returns the name of a job of an account.
    pub fn new(account: Option<&AccountName>, id: &JobId) -> Self {
        Self { account: account.map_or(0, account_key), id: id.clone() }
    }
}

impl std::fmt::Display for JobName {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.write_str(self.id.as_str())
    }
}

/// An item of a job.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ItemSpec {
    /// Identifier of the item.
    pub id: ItemId,
    /// Path of the request.
    pub path: String,
    /// Headers of the request.
    pub headers: Vec<(String, String)>,
    /// Body of the request.
    #[serde(with = "byte_text")]
    pub body: Vec<u8>,
    /// Sum of the prompt's tokens and the longest output's tokens.
    pub tokens: u64,
}

/// An accepted job.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct JobSpec {
    /// Identifier of the job.
    pub id: JobId,
    /// The account that submitted it; `None` if it came without a known key on a public route.
    pub account: Option<AccountName>,
    /// Host of the job's route.
    pub host: String,
    /// Path of the job's submission, which selects the route.
    pub path: String,
    /// Items of the job.
    pub items: Vec<Arc<ItemSpec>>,
}

/// Memory that an item takes besides its texts and its body.
const ITEM_BYTES: usize = 512;

impl JobSpec {
    /// Returns the bytes of memory that the items take.
    pub fn held_bytes(&self) -> usize {
        let of_header = |(name, value): &(String, String)| name.len() + value.len();
        let of_item = |item: &Arc<ItemSpec>| {
            let headers: usize = item.headers.iter().map(of_header).sum();
            ITEM_BYTES + item.path.len() + headers + item.body.len()
        };
        self.items.iter().map(of_item).sum()
    }

    /// Returns the tokens of all items.
    pub fn tokens(&self) -> u64 {
        self.items.iter().map(|item| item.tokens).fold(0, u64::saturating_add)
    }
}

/// State of an item's result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ResultState {
    /// The output is complete.
    Completed,
    /// The item was given up.
    GivenUp,
}

/// The result of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ItemResult {
    /// Identifier of the item.
    pub id: ItemId,
    /// State of the result.
    pub state: ResultState,
    /// The data of all events, joined by line feeds.
    #[serde(with = "byte_text")]
    pub output: Vec<u8>,
}

/// Results in the order of their positions, up to the last one that has been read.
#[derive(Clone, Debug, Default)]
pub struct ResultList {
    results: Vec<Arc<ItemResult>>,
    /// Position after each group.
    ends: Vec<usize>,
}

impl ResultList {
    /// Returns the number of groups that have been appended.
    pub fn groups(&self) -> u64 {
        self.ends.len() as u64
    }

    /// Returns the number of results.
    pub fn len(&self) -> usize {
        self.results.len()
    }

    /// Returns the bytes of all outputs and ids.
    pub fn bytes(&self) -> usize {
        let of_result = |result: &Arc<ItemResult>| result.output.len() + result.id.as_str().len();
        self.results.iter().map(of_result).sum()
    }

    /// Returns whether there is no result.
    pub fn is_empty(&self) -> bool {
        self.results.is_empty()
    }

    /// Appends group `number` and returns true. A group out of order is ignored and returns false:
    /// a reader that missed one reads again.
    pub fn append(&mut self, number: u64, group: Vec<ItemResult>) -> bool {
        if number != self.groups() {
            return false;
        }
        self.results.extend(group.into_iter().map(Arc::new));
        self.ends.push(self.results.len());
        true
    }

    /// Returns the groups from `first` on: at least one if there is one, and as many as have at
    /// most `max_bytes` of output together.
    pub fn groups_from(&self, first: u64, max_bytes: usize) -> Vec<Vec<Arc<ItemResult>>> {
        let first = usize::try_from(first).unwrap_or(usize::MAX);
        let start = |group: usize| group.checked_sub(1).map_or(0, |before| self.ends[before]);
        let mut bytes = 0;
        let mut groups = Vec::new();
        for group in first..self.ends.len() {
            let results = &self.results[start(group)..self.ends[group]];
            bytes += results.iter().map(|result| result.output.len()).sum::<usize>();
            if bytes > max_bytes && !groups.is_empty() {
                break;
            }
            groups.push(results.to_vec());
        }
        groups
    }

    /// Returns the results from a position on: at least one if there is one, and as many as have at
    /// most `max_bytes` of output and ids together.
    pub fn page(&self, after: usize, max_bytes: usize) -> &[Arc<ItemResult>] {
        let rest = self.results.get(after..).unwrap_or_default();
        let mut bytes = 0;
        let fitting = rest.iter().take_while(|result| {
            bytes += result.output.len() + result.id.as_str().len();
            bytes <= max_bytes
        });
        let count = fitting.count().max(rest.len().min(1));
        &rest[..count]
    }

    /// Returns the items that have a result.
    pub fn ended_items(&self) -> HashSet<ItemId> {
        self.results.iter().map(|result| result.id.clone()).collect()
    }

    /// Returns whether an item has a result.
    pub fn contains(&self, item: &str) -> bool {
        self.results.iter().any(|result| result.id.as_str() == item)
    }
}

/// Serializes bytes as one byte string instead of a list of numbers.
mod byte_text {
    use serde::Deserializer;
    use serde::Serializer;
    use serde::de::Visitor;

    pub(super) fn serialize<S: Serializer>(bytes: &[u8], out: S) -> Result<S::Ok, S::Error> {
        out.serialize_bytes(bytes)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u8>, D::Error> {
        from.deserialize_byte_buf(Bytes)
    }

    struct Bytes;

    impl Visitor<'_> for Bytes {
        type Value = Vec<u8>;

        fn expecting(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
            out.write_str("bytes")
        }

        fn visit_bytes<E>(self, bytes: &[u8]) -> Result<Vec<u8>, E> {
            Ok(bytes.to_vec())
        }

        fn visit_byte_buf<E>(self, bytes: Vec<u8>) -> Result<Vec<u8>, E> {
            Ok(bytes)
        }
    }
}
