//! Recognises parts of prompts that crash each target that begins to respond to them.
//!
//! A request is a candidate at a crash if its target had sent no event of the response yet. The
//! crash is evidence against all parts that the request can share with others, and the first event
//! of any later response to a prompt with such a part clears the part. A crash counts one level
//! more than the evidence that its sender knew of when it sent the request, so that a simultaneous
//! crash of many targets, whatever its cause, is one level only: the level is the number of
//! independent trials that failed. How many are needed depends on how often other requests are lost
//! meanwhile.
//!
//! A request that comes again may itself be the cause, with what no other request has. Its crashes
//! count against its own next runs, but against other requests with the part only together with
//! those of a few different requests.
//!
//! The load that this answers: some percent of a route's requests carry the part, each of them
//! different, at any instance; sound requests share their account and their other parts, and targets
//! crash for other reasons too.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Time;

use crate::attempt_outcomes::AttemptOutcomes;
use crate::part_evidence::CrashEvidence;
use crate::part_evidence::OtherAttempts;
use crate::part_evidence::PartEvidence;
use crate::part_evidence::PartRecord;
use crate::part_evidence::distinct_requests;

/// Settings of the recognition.
#[derive(Clone, Debug)]
pub struct PoisonSettings {
    /// Fewest trials and distinct crashes from which a part is suspect.
    pub limit: usize,
    /// Fewest different requests at these crashes from which other requests with the part are not
    /// sent either. Below it, the cause may be what each of these requests has of its own.
    pub min_requests: usize,
    /// Time after which a crash is a trial of its own: a request that was sent again while many
    /// targets crash may reach one more of them.
    pub min_trial: Duration,
    /// Largest probability that a sound part fails all trials, given how often other requests are
    /// lost; a number from 0 to 1.
    pub max_error: f64,
    /// The same for the crashes that no other suspect part explains, unless another one is the
    /// likelier cause.
    pub max_unexplained_error: f64,
    /// Time after its last crash for which the evidence against a part is kept.
    pub ttl: Duration,
    /// Time for which cleared evidence is kept, so that other instances learn of it.
    pub cleared_ttl: Duration,
    /// Most parts with local evidence; those with the oldest evidence are removed first.
    pub max_parts: usize,
    /// Most parts in one datagram, those with the highest level first.
    pub max_shared: usize,
    /// Most crashes kept locally for one part, and most in one datagram.
    pub max_crashes: usize,
}

impl Default for PoisonSettings {
    fn default() -> Self {
        Self {
            limit: 4,
            min_requests: 3,
            min_trial: Duration::from_millis(10),
            max_error: 1e-3,
            max_unexplained_error: 0.03,
            ttl: Duration::from_secs(600),
            cleared_ttl: Duration::from_secs(30),
            max_parts: 256,
            max_shared: 32,
            max_crashes: 16,
        }
    }
}

/// Trials from which an instance counts attempts without a part, also if it has seen none of the
/// part's crashes itself.
const MIN_TRIALS_COUNTED: usize = 2;

/// The parts of a request that was sent, and the level of evidence known against each of them then.
#[derive(Clone, Debug, Default)]
pub struct PartRun {
    parts: Arc<[u64]>,
    request: u32,
    levels: Vec<u8>,
    started: Time,
}

impl PartRun {
    /// Returns the keys of the request's parts.
    pub fn parts(&self) -> &[u64] {
        &self.parts
    }

    /// Returns the key of the request.
    pub fn request(&self) -> u32 {
        self.request
    }
}

/// Why a request must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoisonPart {
    /// Key of the part.
    pub part: u64,
    /// Crashes that count against it.
    pub crashes: usize,
    /// Independent trials that failed.
    pub trials: usize,
    /// Different requests at these crashes.
    pub requests: usize,
    /// Crashes that no other suspect part explains.
    pub unexplained: usize,
    /// Attempts of all instances without the part.
    pub others: OtherAttempts,
    /// Time at which the local instance learned of the newest of these crashes.
    pub last_crash: Time,
}

/// The last evidence of another instance or group, by part.
#[derive(Clone, Debug, Default)]
struct PeerEvidence {
    parts: HashMap<u64, PartEvidence>,
    received_at: Time,
}

impl PeerEvidence {
    fn new(evidence: &[PartEvidence], now: Time) -> Self {
        let parts = evidence.iter().map(|entry| (entry.part, entry.clone())).collect();
        Self { parts, received_at: now }
    }
}

/// Evidence of all instances against parts of prompts.
#[derive(Clone, Debug, Default)]
pub struct PoisonParts {
    settings: PoisonSettings,
    local: HashMap<u64, PartRecord>,
    peers: HashMap<InstanceName, PeerEvidence>,
    /// Evidence of the fleet from the last digest of the assigned hub.
    totals: PeerEvidence,
    /// When the local instance first knew of a crash.
    known_at: HashMap<u32, Time>,
    outcomes: AttemptOutcomes,
}

impl PoisonParts {
    /// Creates the state of a process that has seen no crash.
    pub fn new(settings: PoisonSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Returns the time for which evidence is kept.
    pub fn ttl(&self) -> Duration {
        self.settings.ttl
    }

    /// Returns the run of a request that is about to be sent to a target. `request` is its
    /// `request_key`.
    pub fn start(&self, parts: &Arc<[u64]>, request: u32, now: Time) -> PartRun {
        let levels = match self.is_idle() {
            true => vec![0; parts.len()],
            false => parts.iter().map(|part| self.merged(*part).level()).collect(),
        };
        PartRun { parts: parts.clone(), request, levels, started: now }
    }

    /// Records the first event of a response, which clears the parts of its request. Returns the
    /// part that was poison until then.
    pub fn on_begun(&mut self, run: &PartRun, now: Time) -> Option<PoisonPart> {
        self.outcomes.add(None, now);
        if self.is_idle() {
            return None;
        }
        let poison = self.poison(&run.parts, run.request);
        for part in run.parts.iter() {
            let open: Vec<u32> = self.merged(*part).open().map(|entry| entry.crash).collect();
            if !open.is_empty() {
                let record = self.local.entry(*part).or_default();
                record.clear(open);
                record.changed_at = now;
            }
        }
        poison
    }

    /// Records that a target was lost before it began to respond. `crash` identifies the start of
    /// the target.
    pub fn on_crash(&mut self, run: &PartRun, crash: u32, now: Time) {
        self.outcomes.add(Some(crash), now);
        if run.parts.is_empty() {
            return;
        }
        self.known_at.entry(crash).or_insert(now);
        let request = run.request;
        let is_trial = now.since(run.started) >= self.settings.min_trial;
        for (part, known_level) in run.parts.iter().zip(&run.levels) {
            let level = match is_trial {
                true => known_level.saturating_add(1),
                false => (*known_level).max(1),
            };
            let record = self.local.entry(*part).or_default();
            record.changed_at = now;
            record.add(CrashEvidence { crash, level, request }, self.settings.max_crashes);
        }
        while self.local.len() > self.settings.max_parts {
            let oldest = self.local.iter().min_by_key(|(_, record)| record.changed_at);
            let Some(part) = oldest.map(|(part, _)| *part) else { return };
            self.local.remove(&part);
        }
    }

    /// Returns the part for which a request with `parts` must not be sent to a target. `request` is
    /// its `request_key`.
    pub fn poison(&self, parts: &[u64], request: u32) -> Option<PoisonPart> {
        if self.is_idle() {
            return None;
        }
        parts.iter().find_map(|part| self.check(*part, parts, request))
    }

    /// Returns whether `part` is poison in a prompt with `parts`. A part whose crashes are explained
    /// by another suspect part, which the prompt lacks, may be innocent, and the request tells them
    /// apart.
    fn check(&self, part: u64, parts: &[u64], request: u32) -> Option<PoisonPart> {
        let settings = &self.settings;
        let record = self.merged(part);
        let (crashes, trials) = (record.open().count(), trials(&record));
        if trials < settings.limit || crashes < settings.limit {
            return None;
        }
        let requests = distinct_requests(record.open());
        let was_at_crash = record.open().any(|entry| entry.request == request);
        if requests < settings.min_requests && !was_at_crash {
            return None;
        }
        let others = self.other_attempts(part, &record);
        let lost_share = others.lost_share();
        let mut suspects = self.suspects();
        suspects.retain(|(suspect, _)| !parts.contains(suspect));
        let is_explained =
            |crash: u32| suspects.iter().any(|(_, crashes)| crashes.contains(&crash));
        let unexplained = record.open().filter(|entry| !is_explained(entry.crash)).count();
        // A suspect that was at more crashes without this part is the likelier cause.
        let has_likelier = suspects.iter().any(|(_, suspect)| {
            let alone = suspect.iter().filter(|crash| !record.crashes.contains_key(crash)).count();
            alone < suspect.len() && alone >= unexplained.max(1)
        });
        let max_error = match has_likelier {
            true => settings.max_error,
            false => settings.max_unexplained_error,
        };
        let is_poison = lost_share.powi(trials as i32) <= settings.max_error
            && lost_share.powi(unexplained as i32) <= max_error;
        let last_crash = self.last_known(&record);
        is_poison.then_some(PoisonPart {
            part,
            crashes,
            trials,
            requests,
            unexplained,
            others,
            last_crash,
        })
    }

    /// Returns when the local instance learned of the newest crash of a record.
    fn last_known(&self, record: &PartRecord) -> Time {
        let known = record.open().filter_map(|entry| self.known_at.get(&entry.crash));
        known.max().copied().unwrap_or_default()
    }

    /// Returns how the attempts of all instances without the part ended.
    fn other_attempts(&self, part: u64, record: &PartRecord) -> OtherAttempts {
        let of = |peer: &PeerEvidence| {
            peer.parts.get(&part).map(|evidence| evidence.others).unwrap_or_default()
        };
        let local = self.local_attempts(part, record, &self.suspects());
        self.peers.values().map(of).fold(local, OtherAttempts::plus).max(of(&self.totals))
    }

    fn local_attempts(
        &self,
        part: u64,
        record: &PartRecord,
        suspects: &[Suspect],
    ) -> OtherAttempts {
        let known = record.open().filter_map(|entry| self.known_at.get(&entry.crash));
        let Some(since) = known.min() else { return OtherAttempts::default() };
        self.outcomes.count(*since, |crash| {
            !record.crashes.contains_key(&crash)
                && !suspects
                    .iter()
                    .any(|(suspect, crashes)| *suspect != part && crashes.contains(&crash))
        })
    }

    /// Replaces the evidence of another instance or group.
    pub fn on_peer_evidence(
        &mut self,
        instance: &InstanceName,
        evidence: &[PartEvidence],
        now: Time,
    ) {
        self.on_known(evidence, now);
        match evidence.is_empty() {
            true => self.peers.remove(instance),
            false => self.peers.insert(instance.clone(), PeerEvidence::new(evidence, now)),
        };
    }

    /// Replaces the evidence of the fleet by that of the assigned hub's digest.
    pub fn on_totals(&mut self, evidence: &[PartEvidence], now: Time) {
        self.on_known(evidence, now);
        self.totals = PeerEvidence::new(evidence, now);
    }

    /// Returns the local evidence for the next report.
    pub fn local_evidence(&self) -> Vec<PartEvidence> {
        self.group_evidence(&[])
    }

    /// Returns the evidence of the local instance and the instances of `group`.
    pub fn group_evidence(&self, group: &[InstanceName]) -> Vec<PartEvidence> {
        let peers: Vec<&PeerEvidence> =
            group.iter().filter_map(|name| self.peers.get(name)).collect();
        self.shared(&peers)
    }

    /// Returns the evidence of all instances.
    pub fn total_evidence(&self) -> Vec<PartEvidence> {
        self.shared(&self.sources().collect::<Vec<_>>())
    }

    /// Removes old evidence.
    pub fn on_tick(&mut self, now: Time) {
        if self.is_idle() && self.known_at.is_empty() {
            return;
        }
        let ttl = self.settings.ttl;
        self.peers.retain(|_, peer| now.since(peer.received_at) < ttl);
        if now.since(self.totals.received_at) >= ttl {
            self.totals.parts.clear();
        }
        let merged = self.merge_all(self.sources());
        let is_current = |(part, record): (&u64, &PartRecord)| {
            let is_open = merged.get(part).is_some_and(|merged| merged.level() > 0);
            let ttl = if is_open { ttl } else { self.settings.cleared_ttl };
            (now.since(record.changed_at) < ttl).then_some(*part)
        };
        let current: HashSet<u64> = self.local.iter().filter_map(is_current).collect();
        self.local.retain(|part, _| current.contains(part));
        let known: HashSet<u32> = self
            .merge_all(self.sources())
            .into_values()
            .flat_map(|record| record.crashes.into_keys())
            .collect();
        let cleared_ttl = self.settings.cleared_ttl;
        self.known_at
            .retain(|crash, known_at| known.contains(crash) || now.since(*known_at) < cleared_ttl);
        for record in self.local.values_mut() {
            record.cleared.retain(|crash| self.known_at.contains_key(crash));
        }
    }

    fn is_idle(&self) -> bool {
        self.local.is_empty() && self.peers.is_empty() && self.totals.parts.is_empty()
    }

    fn on_known(&mut self, evidence: &[PartEvidence], now: Time) {
        for crash in evidence.iter().flat_map(|entry| &entry.crashes) {
            self.known_at.entry(crash.crash).or_insert(now);
        }
    }

    /// Returns the crashes at which each suspect part was a candidate.
    fn suspects(&self) -> Vec<Suspect> {
        self.suspects_among(&self.merge_all(self.sources()))
    }

    fn suspects_among(&self, records: &HashMap<u64, PartRecord>) -> Vec<Suspect> {
        let suspects = records.iter().filter(|(_, record)| trials(record) >= self.settings.limit);
        suspects
            .map(|(part, record)| {
                (*part, record.open().map(|entry| entry.crash).collect::<HashSet<u32>>())
            })
            .collect()
    }

    fn sources(&self) -> impl Iterator<Item = &PeerEvidence> {
        self.peers.values().chain(std::iter::once(&self.totals))
    }

    fn merged(&self, part: u64) -> PartRecord {
        let mut merged = self.local.get(&part).cloned().unwrap_or_default();
        for evidence in self.sources().filter_map(|peer| peer.parts.get(&part)) {
            merged.merge(evidence);
        }
        merged
    }

    /// Returns the local records of all parts, merged with those of the sources.
    fn merge_all<'a>(
        &self,
        sources: impl Iterator<Item = &'a PeerEvidence>,
    ) -> HashMap<u64, PartRecord> {
        let mut records = self.local.clone();
        for (part, evidence) in sources.flat_map(|peer| &peer.parts) {
            records.entry(*part).or_default().merge(evidence);
        }
        records
    }

    fn shared(&self, sources: &[&PeerEvidence]) -> Vec<PartEvidence> {
        if self.is_idle() {
            return Vec::new();
        }
        let all = self.merge_all(self.sources());
        let suspects = self.suspects_among(&all);
        let mut group = self.merge_all(sources.iter().copied());
        let mut records: Vec<(u64, PartRecord)> = all
            .iter()
            .filter_map(|(part, merged)| {
                let mut record = group.remove(part).unwrap_or_default();
                let counts = trials(merged) >= MIN_TRIALS_COUNTED;
                if counts {
                    record.others =
                        record.others.plus(self.local_attempts(*part, merged, &suspects));
                }
                let is_known = !record.crashes.is_empty() || !record.cleared.is_empty();
                (is_known || counts).then_some((*part, record))
            })
            .collect();
        records.sort_by_key(|(part, record)| (std::cmp::Reverse(trials(record)), *part));
        records.truncate(self.settings.max_shared);
        let limit = self.settings.max_crashes;
        records.into_iter().map(|(part, record)| record.evidence(part, limit)).collect()
    }
}

/// A part and the crashes at which it was a candidate.
type Suspect = (u64, HashSet<u32>);

/// Returns the number of independent trials that failed: causally consecutive ones, or half of the
/// crashes if there are more of them, some of which may have been simultaneous.
fn trials(record: &PartRecord) -> usize {
    usize::from(record.level()).max(record.open().count() / 2)
}
