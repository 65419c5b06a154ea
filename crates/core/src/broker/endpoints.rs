//! The endpoints that the list ever named: their addresses, numbers and zones, and what the scheduler is told of each.

use super::endpoint_state::EndpointState;
use super::step::Step;
use crate::endpoint_list::{EndpointList, EndpointRecord};
use crate::gossip::{GossipState, KnownEndpoint, KnownEndpoints};
use crate::interface::{EndpointId, EndpointListKind, EndpointUpdate, Event, Readiness, Settings};
use crate::operator_event::OperatorEvent;
use crate::start_times::StartTimes;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Zones that the settings do not name are numbered from here on.
const FIRST_UNNAMED_ZONE: u16 = 0x8000;
/// Changed entries of one list that are logged one by one: the log has a limit, and other lines have to fit in.
const MAX_LOGGED_CHANGES: usize = 25;
/// Endpoints are replaced by new ones all day: past this number the removed ones are forgotten.
const MAX_REMEMBERED_ENDPOINTS: usize = 4096;

/// What, beside an endpoint's own state, decides what the scheduler is told of it.
pub(super) struct UpdateContext<'a> {
    /// The names of the zones, by number.
    zones: &'a [String],
    /// Advice that follows from peers' reports, where there are peers.
    gossip: Option<&'a GossipState>,
}

impl<'a> UpdateContext<'a> {
    pub(super) fn new(settings: &'a Settings, gossip: Option<&'a GossipState>) -> Self {
        UpdateContext { zones: &settings.zones, gossip }
    }

    /// A zone that the settings do not name is none of theirs, nor that of an endpoint which names none: endpoints of two
    /// zones do not drop each other's repeats.
    fn zone_number(&self, record: &EndpointRecord) -> u16 {
        if let Some(number) = self.zones.iter().position(|zone| *zone == record.zone) {
            return number as u16;
        }
        let name = if record.zone.is_empty() { &record.id } else { &record.zone };
        FIRST_UNNAMED_ZONE | fnv1a(name) as u16
    }
}

/// All endpoints, by name.
#[derive(Debug, Default)]
pub(super) struct Endpoints {
    states: BTreeMap<String, EndpointState>,
    /// Where the listed ones are reached.
    addresses: BTreeMap<EndpointId, SocketAddr>,
    revision: u64,
    /// Changes of the list may have been missed: any endpoint may be draining, and none gets anything new.
    stale: bool,
    start_times: StartTimes,
}

/// The part of the endpoints that a successor takes over.
pub(super) struct RestoredEndpoints {
    pub(super) revision: u64,
    pub(super) states: BTreeMap<String, EndpointState>,
    pub(super) start_times: StartTimes,
}

impl Endpoints {
    /// The list's revision, as last received.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether there is any endpoint to send to.
    pub(super) fn any_listed(&self) -> bool {
        !self.addresses.is_empty()
    }

    /// Whether the list ever named it.
    pub(super) fn contains(&self, id: &str) -> bool {
        self.states.contains_key(id)
    }

    /// Where an endpoint is reached, while it is listed.
    pub(super) fn address(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        self.addresses.get(&endpoint).copied()
    }

    /// The names of the suspended ones.
    pub(super) fn suspended(&self) -> Vec<String> {
        let suspended = self.states.iter().filter(|(_, state)| state.suspended);
        suspended.map(|(id, _)| id.clone()).collect()
    }

    /// All that the list ever named, as far as they are remembered.
    pub(super) fn known(&self) -> KnownEndpoints<'_> {
        let known = self.states.iter().map(|(id, state)| {
            let endpoint = KnownEndpoint {
                endpoint: endpoint_number(id),
                record: &state.record,
                suspended: state.suspended,
                started_at: state.started_at(),
            };
            (id.as_str(), endpoint)
        });
        known.collect()
    }

    /// This machine's wall clock shows this, as Unix time.
    pub(super) fn read_wall_clock(&mut self, now: Duration, shown: Duration) {
        self.start_times.read_wall_clock(now, shown);
    }

    /// The list that is followed says that nothing has changed.
    pub(super) fn list_is_current(&mut self, now: Duration) {
        self.start_times.list_received(now, None);
    }

    /// Whether changes of the list may have been missed.
    pub(super) fn set_stale(&mut self, stale: bool, context: &UpdateContext, step: &mut Step) {
        self.stale = stale;
        let lines = self.states.keys().filter_map(|id| self.update(id, context)).collect();
        step.events.push(Event::EndpointList { kind: EndpointListKind::Delta, lines });
    }

    /// Suspends an endpoint, or resumes it in slow start. Saying it twice is saying it once.
    pub(super) fn set_suspended(
        &mut self,
        id: &str,
        suspended: bool,
        context: &UpdateContext,
        step: &mut Step,
    ) {
        let Some(state) = self.states.get_mut(id) else { return };
        if !state.set_suspended(suspended, step.now) {
            return;
        }
        let name = id.to_owned();
        step.log(match suspended {
            true => OperatorEvent::EndpointSuspended(name),
            false => OperatorEvent::EndpointResumed(name),
        });
        let lines = self.update(id, context).into_iter().collect();
        step.events.push(Event::EndpointList { kind: EndpointListKind::Delta, lines });
    }

    /// What the scheduler is told of one endpoint: one that is suspended drains, whatever the list says, and so does one
    /// that peers say takes no work. Nothing that peers say resumes one.
    pub(super) fn update(&self, id: &str, context: &UpdateContext) -> Option<EndpointUpdate> {
        let state = self.states.get(id)?;
        let record = &state.record;
        let advice = context.gossip.map(|gossip| gossip.advice(id)).unwrap_or_default();
        let stopped = state.suspended || self.stale || advice.stop_until.is_some();
        let drained = stopped && record.readiness == Readiness::Ready;
        Some(EndpointUpdate {
            endpoint: endpoint_number(id),
            zone: context.zone_number(record),
            shard: record.shard,
            readiness: if drained { Readiness::Draining } else { record.readiness },
            started_at: state.started_at().max(advice.started_at.unwrap_or_default()),
            start_id: state.start_id(),
        })
    }

    /// Takes a list that is followed, so that its times tell of the fleet's clock.
    pub(super) fn apply_followed_list(
        &mut self,
        list: EndpointList,
        context: &UpdateContext,
        step: &mut Step,
    ) -> Event {
        let latest_start = list.entries.iter().filter_map(|record| record.up_since).max();
        let event = self.apply_list(list, context, step);
        self.start_times.list_received(step.now, latest_start);
        event
    }

    /// Takes a list, whole or changes; what the scheduler is told of it.
    pub(super) fn apply_list(
        &mut self,
        list: EndpointList,
        context: &UpdateContext,
        step: &mut Step,
    ) -> Event {
        self.revision = list.revision;
        if list.kind != EndpointListKind::Delta {
            self.addresses.clear();
            for state in self.states.values_mut() {
                state.record.readiness = Readiness::Removed;
            }
        }
        let (mut lines, mut changed) = (Vec::new(), 0);
        for record in &list.entries {
            if self.states.get(&record.id).is_none_or(|state| state.record != *record) {
                changed += 1;
                if changed <= MAX_LOGGED_CHANGES {
                    let (revision, kind, record) = (list.revision, list.kind, record.clone());
                    step.log(OperatorEvent::EndpointListed { revision, kind, record });
                }
            }
            self.apply_record(step.now, record);
            lines.extend(self.update(&record.id, context));
        }
        if changed > MAX_LOGGED_CHANGES {
            let (revision, more) = (list.revision, changed - MAX_LOGGED_CHANGES);
            step.log(OperatorEvent::EndpointsNotListed { revision, more });
        }
        self.forget_removed();
        Event::EndpointList { kind: list.kind, lines }
    }

    fn apply_record(&mut self, now: Duration, record: &EndpointRecord) {
        let endpoint = endpoint_number(&record.id);
        if record.readiness == Readiness::Removed {
            self.addresses.remove(&endpoint);
        } else if let Some(address) = record.address {
            self.addresses.insert(endpoint, address);
        }
        let listed_start = record.up_since.map(|unix_time| self.start_times.started_at(now, unix_time));
        let earliest_start = self.start_times.earliest(now);
        let state = self.states.entry(record.id.clone());
        let state = state.or_insert_with(|| EndpointState::new(record.clone()));
        state.update(record, listed_start, earliest_start);
    }

    fn forget_removed(&mut self) {
        if self.states.len() > MAX_REMEMBERED_ENDPOINTS {
            self.states.retain(|_, state| state.suspended || state.record.readiness != Readiness::Removed);
        }
    }

    /// What a successor takes over.
    pub(super) fn snapshot(&self) -> RestoredEndpoints {
        RestoredEndpoints {
            revision: self.revision,
            states: self.states.clone(),
            start_times: self.start_times.clone(),
        }
    }

    /// Goes on where a predecessor was, which knew the list later than the configuration did; what the scheduler is told of it.
    pub(super) fn restore(
        &mut self,
        restored: RestoredEndpoints,
        context: &UpdateContext,
        step: &mut Step,
    ) -> Event {
        let entries = restored.states.values().map(|state| state.record.clone()).collect();
        self.states = restored.states;
        self.states.values_mut().for_each(|state| state.restore_start(step.now));
        self.start_times = restored.start_times;
        let list = EndpointList { revision: restored.revision, kind: EndpointListKind::Cached, entries };
        self.apply_list(list, context, step)
    }
}

/// A number for an endpoint's name, the same at every initiator: the eight hex digits at its end, or its hash.
fn endpoint_number(id: &str) -> EndpointId {
    let digits = id.rsplit('-').next().unwrap_or(id);
    let number = (digits.len() == 8).then(|| u32::from_str_radix(digits, 16).ok()).flatten();
    number.unwrap_or_else(|| fnv1a(id))
}

fn fnv1a(text: &str) -> u32 {
    text.bytes().fold(0x811c_9dc5, |hash: u32, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}
