//! Decides which worker accepts and runs the jobs of an account.

use sesamewall_protocol::AccountName;
use sesamewall_protocol::InstanceName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::catalog::account_key;

/// Workers of the fleet that adopt jobs without a worker. Two sustain the loss of one.
const JOB_ADOPTERS: usize = 2;

pub(crate) fn score(worker: &InstanceName, seed: u64) -> u64 {
    xxh3_64_with_seed(worker.as_str().as_bytes(), seed)
}

/// Orders workers by their score for the jobs of an account, the owner first. All instances that
/// receive from the same workers return the same order, and a worker that joins or departs moves
/// only the accounts that it owns.
pub fn job_owners<'a, T>(
    account: Option<&AccountName>,
    workers: impl IntoIterator<Item = T>,
    name: impl Fn(&T) -> &'a InstanceName,
) -> Vec<T> {
    let seed = account.map_or(0, |account| u64::from(account_key(account)));
    let mut ranked: Vec<T> = workers.into_iter().collect();
    ranked.sort_by_key(|worker| std::cmp::Reverse(score(name(worker), seed)));
    ranked
}

/// Returns whether `local` is one of the workers that adopt jobs without a worker. `peers` are the
/// other live workers that the store serves.
pub fn is_job_adopter<'a>(
    local: &InstanceName,
    peers: impl IntoIterator<Item = &'a InstanceName>,
) -> bool {
    let local_score = score(local, 0);
    peers.into_iter().filter(|other| score(other, 0) > local_score).count() < JOB_ADOPTERS
}
