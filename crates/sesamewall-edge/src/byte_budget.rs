//! Limits the bytes that a process holds for requests and responses.
//!
//! Each kind of bytes has its own part of the memory, so that clients that fill one part leave the
//! others usable. Bodies that are still being received give way when their part is used up.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use sesamewall_platform::ClientLimits;
use tokio::sync::Notify;

/// Bytes that each response may buffer outside the budget, so that usual responses continue when it
/// is used up.
const UNCHARGED_BYTES: usize = 16 << 10;

/// Longest wait for a body that gives way, or for the end of other jobs.
const ROOM_WAIT: Duration = Duration::from_millis(500);

/// Age that is added to that of every body when they are compared, so that among new bodies the
/// largest one counts.
const BASE_AGE: Duration = Duration::from_millis(100);

/// Kind of held bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Held {
    /// Body of a caller's request, until the request has ended.
    Body,
    /// Parsed form of a job.
    Job,
    /// Bodies of an accepted job, until it has ended.
    Accepted,
    /// Call of another instance, with its decoded form.
    Peer,
    /// Buffered response.
    Answer,
}

impl Held {
    /// All kinds.
    pub const ALL: [Self; 5] = [Self::Body, Self::Job, Self::Accepted, Self::Peer, Self::Answer];

    /// Returns the value of the metrics label.
    pub fn label(self) -> &'static str {
        match self {
            Self::Body => "body",
            Self::Job => "job",
            Self::Accepted => "accepted",
            Self::Peer => "peer",
            Self::Answer => "answer",
        }
    }
}

/// A request or response needs more bytes than the budget has available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
#[display("no memory for {bytes} bytes of an answer")]
pub struct BudgetExceeded {
    /// Bytes that would be held.
    pub bytes: usize,
}

/// A body that is still being received.
#[derive(Debug)]
struct Unfinished {
    kind: Held,
    bytes: usize,
    since: Instant,
    sheds: bool,
    shed: Arc<Notify>,
}

impl Unfinished {
    /// Returns how much memory the body has held for how long: large and slow bodies have a high
    /// cost.
    fn cost(&self) -> f64 {
        self.bytes as f64 * (self.since.elapsed() + BASE_AGE).as_secs_f64()
    }
}

#[derive(Debug, Default)]
struct Usage {
    used: [usize; Held::ALL.len()],
    unfinished: BTreeMap<u64, Unfinished>,
    next_id: u64,
}

/// The bytes that a process may hold for requests and responses.
#[derive(Debug)]
pub struct ByteBudget {
    limits: [usize; Held::ALL.len()],
    small_bytes: usize,
    small_reserve: usize,
    usage: Mutex<Usage>,
    released: Notify,
}

impl ByteBudget {
    /// Creates the budget of a machine with `memory_mb` megabytes.
    pub fn new(memory_mb: u64, limits: &ClientLimits) -> Arc<Self> {
        let part = |share| ClientLimits::memory_part(memory_mb, share);
        let shares = [
            limits.body_share,
            limits.job_share,
            limits.accepted_share,
            limits.peer_share,
            limits.answer_share,
        ];
        Arc::new(Self {
            limits: shares.map(part),
            small_bytes: limits.small_body_bytes,
            small_reserve: part(limits.body_share * limits.small_body_share.clamp(0.0, 1.0)),
            usage: Mutex::default(),
            released: Notify::new(),
        })
    }

    /// Returns the reservation of a response that buffers nothing yet.
    pub fn reserve(self: &Arc<Self>) -> ReservedBytes {
        self.reservation(Held::Answer, UNCHARGED_BYTES, None)
    }

    /// Returns an empty reservation for bytes of this kind.
    pub fn reserve_kind(self: &Arc<Self>, kind: Held) -> ReservedBytes {
        self.reservation(kind, 0, None)
    }

    fn reservation(
        self: &Arc<Self>,
        kind: Held,
        uncharged: usize,
        id: Option<u64>,
    ) -> ReservedBytes {
        ReservedBytes { budget: self.clone(), kind, uncharged, charged: 0, id }
    }

    /// Returns an empty reservation for a body that is about to be received, and what is notified
    /// when it has to give way.
    pub fn reserve_body(self: &Arc<Self>, kind: Held) -> (ReservedBytes, Arc<Notify>) {
        let shed = Arc::new(Notify::new());
        let mut usage = self.usage();
        let id = usage.next_id;
        usage.next_id += 1;
        let since = Instant::now();
        let body = Unfinished { kind, bytes: 0, since, sheds: false, shed: shed.clone() };
        usage.unfinished.insert(id, body);
        drop(usage);
        (self.reservation(kind, 0, Some(id)), shed)
    }

    /// Returns the held bytes of a kind.
    pub fn used(&self, kind: Held) -> usize {
        self.usage().used[kind as usize]
    }

    /// Returns the bytes of a kind that may be held.
    pub fn limit(&self, kind: Held) -> usize {
        self.limits[kind as usize]
    }

    fn usage(&self) -> MutexGuard<'_, Usage> {
        self.usage.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes room for `bytes` by shedding the most costly unfinished body. Returns false if that is
    /// the body `id` itself.
    fn shed_for(&self, kind: Held, bytes: usize, id: u64) -> bool {
        let mut usage = self.usage();
        let of_kind = || usage.unfinished.iter().filter(|(_, body)| body.kind == kind);
        let pending: usize =
            of_kind().filter(|(_, body)| body.sheds).map(|(_, body)| body.bytes).sum();
        if pending >= bytes {
            return true;
        }
        let costs = of_kind().filter(|(_, body)| !body.sheds);
        let costliest = costs
            .max_by(|(_, left), (_, right)| left.cost().total_cmp(&right.cost()))
            .map(|(id, _)| *id);
        match costliest.filter(|costliest| *costliest != id) {
            Some(costliest) => {
                if let Some(body) = usage.unfinished.get_mut(&costliest) {
                    body.sheds = true;
                    body.shed.notify_one();
                }
                true
            }
            None => false,
        }
    }
}

/// Bytes reserved for one request or response. Dropping it releases them.
#[derive(Debug)]
pub struct ReservedBytes {
    budget: Arc<ByteBudget>,
    kind: Held,
    uncharged: usize,
    charged: usize,
    /// Identifier of a body that is still being received.
    id: Option<u64>,
}

impl ReservedBytes {
    /// Sets the number of held bytes to `bytes`.
    ///
    /// # Errors
    ///
    /// Returns `BudgetExceeded` if all reservations of the kind together would exceed their part. A
    /// single request is allowed more than the part.
    pub fn resize(&mut self, bytes: usize) -> Result<(), BudgetExceeded> {
        let budget = &self.budget;
        let charged = bytes.saturating_sub(self.uncharged);
        let mut usage = budget.usage();
        let used = usage.used[self.kind as usize];
        let others = used.saturating_sub(self.charged);
        let limit = match self.kind {
            Held::Body if bytes > budget.small_bytes => {
                budget.limits[self.kind as usize].saturating_sub(budget.small_reserve)
            }
            kind => budget.limits[kind as usize],
        };
        let alone = others == 0 && self.kind != Held::Answer;
        if charged > self.charged && others + charged > limit && !alone {
            return Err(BudgetExceeded { bytes });
        }
        usage.used[self.kind as usize] = others + charged;
        if let Some(body) = self.id.and_then(|id| usage.unfinished.get_mut(&id)) {
            body.bytes = charged;
        }
        drop(usage);
        if charged < self.charged {
            budget.released.notify_waiters();
        }
        self.charged = charged;
        Ok(())
    }

    /// Sets the number of held bytes as `resize` does. If they do not fit, a more costly unfinished
    /// body of the kind gives way; bytes other than bodies wait for others to end.
    ///
    /// # Errors
    ///
    /// Returns `BudgetExceeded` if there is no room in time or no other body to give way.
    pub async fn make_room(&mut self, bytes: usize) -> Result<(), BudgetExceeded> {
        let budget = self.budget.clone();
        let until = tokio::time::Instant::now() + ROOM_WAIT;
        loop {
            let mut released = std::pin::pin!(budget.released.notified());
            released.as_mut().enable();
            let Err(exceeded) = self.resize(bytes) else { return Ok(()) };
            let added = bytes.saturating_sub(self.charged);
            if self.id.is_some_and(|id| !budget.shed_for(self.kind, added, id)) {
                return Err(exceeded);
            }
            tokio::time::timeout_at(until, released).await.map_err(|_| exceeded)?;
        }
    }

    /// Records that a body was received completely. It no longer gives way.
    pub fn finish(&mut self) {
        if let Some(id) = self.id.take() {
            self.budget.usage().unfinished.remove(&id);
        }
    }

    /// Returns `bytes` as a shared buffer that keeps this reservation until its last copy is
    /// dropped.
    pub fn keep(self, bytes: Vec<u8>) -> Bytes {
        match bytes.is_empty() {
            true => Bytes::new(),
            false => Bytes::from_owner(KeptBytes { bytes, _reserved: self }),
        }
    }
}

impl Drop for ReservedBytes {
    fn drop(&mut self) {
        self.finish();
        let mut usage = self.budget.usage();
        let used = &mut usage.used[self.kind as usize];
        *used = used.saturating_sub(self.charged);
        drop(usage);
        self.budget.released.notify_waiters();
    }
}

/// A buffer with its reservation.
struct KeptBytes {
    bytes: Vec<u8>,
    _reserved: ReservedBytes,
}

impl AsRef<[u8]> for KeptBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MB: usize = 1 << 20;

    /// Returns a budget with 22 MB for bodies, 5.5 MB of which are reserved for small ones.
    fn budget() -> Arc<ByteBudget> {
        ByteBudget::new(110, &ClientLimits::default())
    }

    /// Guards against large bodies that use up the part for small ones.
    #[test]
    fn small_bodies_fit_when_large_ones_have_used_up_their_part() {
        let budget = budget();
        let large: Vec<_> = (0..4)
            .map(|_| {
                let (mut body, _) = budget.reserve_body(Held::Body);
                body.resize(4 * MB).expect("room for four");
                body
            })
            .collect();
        let (mut body, _) = budget.reserve_body(Held::Body);
        assert!(body.resize(4 * MB).is_err());
        body.resize(64 << 10).expect("the reserved part");
        drop((large, body));
        assert_eq!(budget.used(Held::Body), 0);
    }

    /// Guards against a body that is refused although a larger one waits for its end.
    #[tokio::test]
    async fn the_largest_unfinished_body_gives_way() {
        let budget = budget();
        let (mut largest, shed) = budget.reserve_body(Held::Body);
        largest.resize(14 * MB).expect("room");
        let (mut other, other_shed) = budget.reserve_body(Held::Body);
        other.resize(MB).expect("room");
        let holder = tokio::spawn(async move {
            shed.notified().await;
            drop(largest);
        });
        other.make_room(4 * MB).await.expect("the largest body gives way");
        holder.await.expect("it was told so");
        let told = tokio::time::timeout(Duration::ZERO, other_shed.notified()).await;
        assert!(told.is_err(), "a body that found room stays");
    }

    /// Guards against a complete body that is dropped while it is forwarded, and against a body
    /// that waits for itself.
    #[tokio::test]
    async fn a_complete_body_does_not_give_way() {
        let budget = budget();
        let (mut complete, _) = budget.reserve_body(Held::Body);
        complete.resize(16 * MB).expect("room");
        complete.finish();
        let (mut body, _) = budget.reserve_body(Held::Body);
        assert_eq!(body.make_room(MB).await, Err(BudgetExceeded { bytes: MB }));
    }

    /// Guards against bodies that leave no memory for responses, which a target has already run.
    #[test]
    fn bodies_do_not_use_the_part_of_responses() {
        let budget = budget();
        let (mut body, _) = budget.reserve_body(Held::Body);
        body.resize(100 * MB).expect("a single body is allowed more than its part");
        budget.reserve().resize(4 * MB).expect("the responses have a part of their own");
    }

    /// Guards against a release before the last copy of a buffer is dropped.
    #[test]
    fn a_buffer_is_charged_until_its_last_copy_is_dropped() {
        let budget = budget();
        let mut reserved = budget.reserve_kind(Held::Answer);
        reserved.resize(MB).expect("room");
        let bytes = reserved.keep(vec![0; MB]);
        let copy = bytes.slice(10..20);
        drop(bytes);
        assert_eq!(budget.used(Held::Answer), MB);
        drop(copy);
        assert_eq!(budget.used(Held::Answer), 0);
    }
}
