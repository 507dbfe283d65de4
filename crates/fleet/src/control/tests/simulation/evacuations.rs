//! Zones that operators evacuate, and what hosts learn of them.

use std::collections::BTreeMap;

use coltsfootshunt_core::name::{Target, Zone};

use super::{SimEvent, Simulation};
use crate::control::Event;
use crate::evacuation::{Change, Reading, Settings};
use crate::report::Record;
use crate::store::Update;

/// Time after which nothing starts in an evacuated zone: the way of the news, and a start that is on its way with a
/// lease of one second.
const EVACUATION_MS: u64 = 1_500;
/// Time until a host has the store's answer.
const ANSWER_MS: u64 = 5;

/// What operators have done, and what hosts have recorded of it.
#[derive(Debug, Default)]
pub(super) struct Operators {
    pub(super) settings: Settings,
    /// Number of changes of the keys.
    changes: u64,
    /// Evacuated zones, with the revision of the key and the time at which it was written.
    zones: BTreeMap<Zone, (u64, u64)>,
    /// Starts by zone.
    starts: BTreeMap<Zone, u32>,
    evacuated: u32,
    restored: u32,
    unknown: u32,
    ignored: u32,
    returned_tasks: usize,
}

impl Operators {
    /// Revision of the store, in which other keys were written before.
    fn revision(&self) -> u64 {
        self.changes + 100
    }

    pub(super) fn record(&mut self, record: &Record) {
        match record {
            Record::ZoneEvacuated { .. } => self.evacuated += 1,
            Record::ZoneRestored { .. } => self.restored += 1,
            Record::ZoneUnknown { .. } => self.unknown += 1,
            Record::NoticeIgnored { .. } => self.ignored += 1,
            Record::TasksEvacuated { tasks, .. } => self.returned_tasks += tasks,
            _ => {}
        }
    }
}

impl Simulation {
    /// Creates a simulation of a deployment whose zones can be evacuated, in which the hosts have found each other.
    pub(in crate::control::tests) fn with_evacuation(seed: u64) -> Self {
        let mut sim = Self::new(seed);
        sim.evacuations.settings.is_enabled = true;
        (0..sim.hosts.len()).for_each(|host| sim.start(host));
        sim.run_for(2_000);
        sim
    }

    /// Writes the key that evacuates a zone.
    pub(in crate::control::tests) fn evacuate(&mut self, zone: &str) {
        let zone = Zone::try_from(zone).unwrap();
        self.evacuations.changes += 1;
        let now_ms = self.now_ms();
        let revision = self.evacuations.revision();
        self.evacuations.zones.insert(zone.clone(), (revision, now_ms));
        self.announce(zone, true);
    }

    /// Removes the key that evacuates a zone.
    pub(in crate::control::tests) fn restore(&mut self, zone: &str) {
        let zone = Zone::try_from(zone).unwrap();
        self.evacuations.changes += 1;
        self.evacuations.zones.remove(&zone);
        self.announce(zone, false);
    }

    /// Lets the watches of all hosts with the store return a change.
    fn announce(&mut self, zone: Zone, is_evacuated: bool) {
        let revision = self.evacuations.revision();
        let change = Change { zone, revision, is_evacuated };
        let reading = Reading { changes: vec![change], revision, ..Reading::default() };
        for host in 0..self.hosts.len() {
            self.answer_watch(host, reading.clone());
        }
    }

    /// Lets a host read all evacuated zones, as it does at its start and after each failure of the store.
    pub(super) fn read_evacuations(&mut self, host: usize) {
        if !self.evacuations.settings.is_enabled {
            return;
        }
        let zones = self.evacuations.zones.iter();
        let change = |(zone, (revision, _)): (&Zone, &(u64, u64))| Change {
            zone: zone.clone(),
            revision: *revision,
            is_evacuated: true,
        };
        let (is_complete, changes) = (true, zones.map(change).collect());
        let revision = self.evacuations.revision();
        self.answer_watch(host, Reading { is_complete, changes, revision, ..Reading::default() });
    }

    fn answer_watch(&mut self, host: usize, reading: Reading) {
        if !self.hosts_without_store.contains(&host) {
            let incarnation = self.hosts[host].incarnation;
            let event = Event::Store(Update::Evacuations(reading));
            self.schedule(ANSWER_MS, SimEvent::Host(host, incarnation, event));
        }
    }

    /// Checks that no start reaches a target of a zone that was evacuated for longer than the time limit.
    pub(super) fn check_evacuated(&mut self, name: &Target) {
        let now_ms = self.now_ms();
        let zone = self.targets[name].entry.zone.clone();
        if let Some((_, since_ms)) = self.evacuations.zones.get(&zone)
            && now_ms > since_ms + EVACUATION_MS
            && self.violations.is_empty()
        {
            self.violations.push(format!("{now_ms} ms: a start at {name}, which is evacuated"));
        }
        *self.evacuations.starts.entry(zone).or_default() += 1;
    }

    /// Number of starts in a zone so far.
    pub(in crate::control::tests) fn starts_in(&self, zone: &str) -> u32 {
        let zone = Zone::try_from(zone).unwrap();
        self.evacuations.starts.get(&zone).copied().unwrap_or_default()
    }

    /// Numbers of records on evacuated, restored and unknown zones, and on ignored notices.
    pub(in crate::control::tests) fn evacuation_records(&self) -> [u32; 4] {
        let Operators { evacuated, restored, unknown, ignored, .. } = self.evacuations;
        [evacuated, restored, unknown, ignored]
    }

    /// Number of tasks that stewards have returned because of evacuations.
    pub(in crate::control::tests) fn tasks_evacuated(&self) -> usize {
        self.evacuations.returned_tasks
    }

    /// Delivers a message of one host to another, as if it had sent it.
    pub(in crate::control::tests) fn forge(
        &mut self,
        from: usize,
        to: usize,
        message: crate::peer::Message,
    ) {
        let address = self.hosts[to].identity.address;
        self.send_message(from, address, message);
    }
}
