//! What an instance has heard of the others: their counts at targets and who is in contact.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use sesamewall_protocol::InstanceName;
use sesamewall_protocol::Time;

use crate::Beacon;
use crate::TargetCount;
use crate::beacon::instance_key;

/// Settings of the view of the other instances.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// Silence after which an instance is not in contact: several beacon intervals.
    pub contact_time: Duration,
    /// Age up to which a worker's word about its jobs is trusted. A result that one reader has seen
    /// has to be visible to all within a second.
    pub hint_time: Duration,
    /// Silence after which the counts of an instance are forgotten.
    pub forget_time: Duration,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            contact_time: Duration::from_millis(700),
            hint_time: Duration::from_millis(500),
            forget_time: Duration::from_millis(1500),
        }
    }
}

/// Window of the bound on starts at a cold target.
const START_WINDOW: Duration = Duration::from_secs(1);

/// What was heard of an instance.
#[derive(Clone, Debug)]
pub struct Contact {
    /// The last beacon.
    pub beacon: Beacon,
    /// When it came.
    pub heard: Time,
    /// When the last one came from the instance itself and not through another one.
    pub direct: Option<Time>,
}

/// Counts of all instances.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    settings: PeerSettings,
    heard: BTreeMap<InstanceName, Contact>,
    registered: BTreeSet<InstanceName>,
    last_direct: HashMap<InstanceName, Time>,
    own: HashMap<u32, TargetCount>,
    others: HashMap<u32, TargetCount>,
    starts: HashMap<u32, VecDeque<(Time, u32)>>,
}

impl Peers {
    /// Creates an empty view.
    pub fn new(settings: PeerSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Takes over a beacon, which came from the instance itself if `direct`. Returns false for one
    /// that is older than the last one.
    pub fn on_beacon(&mut self, beacon: Beacon, direct: bool, now: Time) -> bool {
        let name = beacon.instance.clone();
        if let Some(known) = self.heard.get_mut(&name)
            && direct
        {
            known.direct = Some(now);
        }
        let former = self.heard.get(&name);
        let same_start = former.filter(|known| known.beacon.boot == beacon.boot);
        if same_start.is_some_and(|known| known.beacon.sequence >= beacon.sequence) {
            return false;
        }
        let earlier: HashMap<u32, u32> = same_start
            .map(|known| known.beacon.targets.iter().map(|count| (count.key, count.started)))
            .map(Iterator::collect)
            .unwrap_or_default();
        let known_start = same_start.is_some();
        if let Some(known) = self.heard.remove(&name) {
            self.subtract(&known.beacon.targets);
        }
        for count in &beacon.targets {
            let total = self.others.entry(count.key).or_default();
            total.online += count.online;
            total.batch += count.batch;
            // The first beacon of a start says nothing about the last second: all may be recent,
            // but no more than what is still running is likely.
            let before = match earlier.get(&count.key) {
                Some(before) => *before,
                None if known_start => 0,
                None => count.started.saturating_sub(u32::from(count.online + count.batch)),
            };
            let news = count.started.saturating_sub(before);
            if news > 0 {
                self.starts.entry(count.key).or_default().push_back((now, news));
            }
        }
        let direct_at = match direct {
            true => Some(now),
            false => self.last_direct.get(&name).copied(),
        };
        if let Some(at) = direct_at {
            self.last_direct.insert(name.clone(), at);
        }
        self.heard.insert(name, Contact { beacon, heard: now, direct: direct_at });
        true
    }

    fn subtract(&mut self, counts: &[TargetCount]) {
        for count in counts {
            if let Some(total) = self.others.get_mut(&count.key) {
                total.online = total.online.saturating_sub(count.online);
                total.batch = total.batch.saturating_sub(count.batch);
                if total.online == 0 && total.batch == 0 {
                    self.others.remove(&count.key);
                }
            }
        }
    }

    /// Forgets the counts of silent instances and old starts.
    pub fn on_tick(&mut self, now: Time) {
        let limit = self.settings.forget_time;
        let silent: Vec<_> = self
            .heard
            .iter()
            .filter(|(_, known)| now.since(known.heard) > limit)
            .map(|(name, _)| name.clone())
            .collect();
        for name in silent {
            if let Some(known) = self.heard.remove(&name) {
                self.subtract(&known.beacon.targets);
            }
        }
        for starts in self.starts.values_mut() {
            while starts.front().is_some_and(|(at, _)| now.since(*at) >= START_WINDOW) {
                starts.pop_front();
            }
        }
        self.starts.retain(|_, starts| !starts.is_empty());
    }

    /// Takes over the list of registered instances, without the own one.
    pub fn set_registered(&mut self, names: BTreeSet<InstanceName>) {
        self.registered = names;
    }

    /// Tells whether a list of registered instances is known and all of them are in contact.
    pub fn all_heard(&self, now: Time) -> bool {
        let in_contact = |name: &InstanceName| {
            let known = self.heard.get(name);
            known.is_some_and(|known| now.since(known.heard) <= self.settings.contact_time)
        };
        !self.registered.is_empty() && self.registered.iter().all(in_contact)
    }

    /// Returns the random number of the last known start of an instance.
    pub fn boot(&self, name: &InstanceName) -> Option<u64> {
        self.heard.get(name).map(|known| known.beacon.boot)
    }

    /// Returns the part of the registered instances that is in contact, itself included.
    pub fn heard_part(&self, now: Time, of_role: impl Fn(&Beacon) -> bool) -> f64 {
        let live = |known: &&Contact| now.since(known.heard) <= self.settings.contact_time;
        let heard = self.heard.values().filter(live).filter(|known| of_role(&known.beacon)).count();
        // A registered instance that was never heard may have any role.
        let missing = self
            .registered
            .iter()
            .filter(|name| match self.heard.get(*name) {
                Some(known) => {
                    of_role(&known.beacon) && now.since(known.heard) > self.settings.contact_time
                }
                None => true,
            })
            .count();
        (heard + 1) as f64 / (heard + missing + 1) as f64
    }

    /// Returns the instances that are heard directly. Others in contact may be heard through a third one
    /// while they cannot be reached.
    pub fn direct_contacts(&self, now: Time) -> impl Iterator<Item = &Contact> {
        let limit = self.settings.contact_time;
        let fresh = move |known: &&Contact| known.direct.is_some_and(|at| now.since(at) <= limit);
        self.heard.values().filter(fresh)
    }

    /// Returns the numbers of the instances that are heard directly.
    pub fn direct_keys(&self, now: Time) -> Vec<u32> {
        self.direct_contacts(now).map(|known| instance_key(&known.beacon.instance)).collect()
    }

    /// Returns the instances to which the own one passes a beacon of `sender` on: those that hear the
    /// own instance but not the sender, as far as no instance with a lower name can do it.
    pub fn pass_on_to(
        &self,
        own: &InstanceName,
        sender: &InstanceName,
        now: Time,
    ) -> Vec<InstanceName> {
        let sender_key = instance_key(sender);
        let hears = |contact: &Contact, key: u32| contact.beacon.heard.contains(&key);
        let lacking = self.contacts(now).filter(|contact| {
            contact.beacon.instance != *sender
                && !hears(contact, sender_key)
                && hears(contact, instance_key(own))
        });
        lacking
            .filter(|contact| {
                !self.contacts(now).any(|other| {
                    other.beacon.instance < *own
                        && other.beacon.instance != contact.beacon.instance
                        && hears(other, sender_key)
                        && hears(contact, instance_key(&other.beacon.instance))
                })
            })
            .map(|contact| contact.beacon.instance.clone())
            .collect()
    }

    /// Returns the instances in contact.
    pub fn contacts(&self, now: Time) -> impl Iterator<Item = &Contact> {
        let limit = self.settings.contact_time;
        self.heard.values().filter(move |known| now.since(known.heard) <= limit)
    }

    /// Returns the groups of results that the worker of a job has committed, if one says that it runs
    /// the job. Without an answer the store has to be read.
    pub fn job_groups(&self, job: u32, now: Time) -> Option<u32> {
        let fresh = self.settings.hint_time;
        self.heard
            .values()
            .filter(|known| now.since(known.heard) <= fresh)
            .flat_map(|known| known.beacon.jobs.iter())
            .filter(|(key, _)| *key == job)
            .map(|(_, groups)| *groups)
            .max()
    }

    /// Returns the requests of all instances at a target.
    pub fn at_target(&self, key: u32) -> TargetCount {
        let own = self.own.get(&key).copied().unwrap_or_default();
        let others = self.others.get(&key).copied().unwrap_or_default();
        TargetCount {
            key,
            online: own.online + others.online,
            batch: own.batch + others.batch,
            started: own.started,
        }
    }

    /// Returns the online requests of all instances, by target key.
    pub fn online_total(&self) -> u32 {
        let own: u32 = self.own.values().map(|count| u32::from(count.online)).sum();
        own + self.others.values().map(|count| u32::from(count.online)).sum::<u32>()
    }

    /// Returns what the own instance has at a target.
    pub fn own_at(&self, key: u32) -> TargetCount {
        self.own.get(&key).copied().unwrap_or_default()
    }

    /// Returns the starts of all instances at a target in the last second.
    pub fn recent_starts(&self, key: u32, now: Time) -> u32 {
        let recent = |(at, _): &&(Time, u32)| now.since(*at) < START_WINDOW;
        self.starts
            .get(&key)
            .map_or(0, |starts| starts.iter().filter(recent).map(|(_, count)| count).sum())
    }

    /// Counts an own request that is about to be sent.
    pub fn start(&mut self, key: u32, batch: bool, now: Time) {
        let count = self.own.entry(key).or_insert(TargetCount { key, ..TargetCount::default() });
        count.started += 1;
        match batch {
            true => count.batch += 1,
            false => count.online += 1,
        }
        self.starts.entry(key).or_default().push_back((now, 1));
    }

    /// Ends the counting of an own request.
    pub fn end(&mut self, key: u32, batch: bool) {
        if let Some(count) = self.own.get_mut(&key) {
            match batch {
                true => count.batch = count.batch.saturating_sub(1),
                false => count.online = count.online.saturating_sub(1),
            }
        }
    }

    /// Returns the own counts for the next beacon.
    pub fn own_counts(&self) -> Vec<TargetCount> {
        self.own.values().copied().collect()
    }

    /// Forgets own counts of targets that `keep` does not name and that have no request.
    pub fn retain_own(&mut self, keep: impl Fn(u32) -> bool) {
        self.own.retain(|key, count| count.online > 0 || count.batch > 0 || keep(*key));
    }
}
