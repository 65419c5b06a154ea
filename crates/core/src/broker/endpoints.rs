//! The endpoints that were ever listed: their addresses, numbers and zones, and the updates about each for
//! the scheduler.

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

/// The first number of zones that the settings do not name.
const FIRST_UNNAMED_ZONE: u16 = 0x8000;
/// How many changed entries of one list are logged one by one: the log is rate-limited, and other lines must
/// still fit.
const MAX_LOGGED_CHANGES: usize = 25;
/// The number of endpoints above which removed ones are forgotten: endpoints are replaced by new ones all
/// day.
const MAX_REMEMBERED_ENDPOINTS: usize = 4096;

/// What, apart from an endpoint's own state, determines the update that the scheduler receives about it.
pub(super) struct UpdateContext<'a> {
    /// The names of the zones, by number.
    zones: &'a [String],
    /// The source of advice on endpoints; `None` if there are no peers.
    gossip: Option<&'a GossipState>,
}

impl<'a> UpdateContext<'a> {
    pub(super) fn new(settings: &'a Settings, gossip: Option<&'a GossipState>) -> Self {
        UpdateContext { zones: &settings.zones, gossip }
    }

    /// Returns the number of an endpoint's zone.
    ///
    /// A zone that the settings do not name is numbered by the hash of its name, and an endpoint without a
    /// zone by the hash of its own name. Neither is taken for a named zone: endpoints of two zones do not
    /// drop each other's repeats.
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
    /// The addresses of listed endpoints.
    addresses: BTreeMap<EndpointId, SocketAddr>,
    revision: u64,
    /// Whether changes of the list may have been missed. Any endpoint may then be draining, and nothing new
    /// is sent to any.
    stale: bool,
    start_times: StartTimes,
}

/// The state of all endpoints that a successor restores.
pub(super) struct RestoredEndpoints {
    pub(super) revision: u64,
    pub(super) states: BTreeMap<String, EndpointState>,
    pub(super) start_times: StartTimes,
}

impl Endpoints {
    /// Returns the revision of the list that was last received.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns whether any endpoint is listed.
    pub(super) fn any_listed(&self) -> bool {
        !self.addresses.is_empty()
    }

    /// Returns whether the endpoint of that name was ever listed, as far as it is remembered.
    pub(super) fn contains(&self, id: &str) -> bool {
        self.states.contains_key(id)
    }

    /// Returns the address of an endpoint while it is listed.
    pub(super) fn address(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        self.addresses.get(&endpoint).copied()
    }

    /// Returns the names of the suspended endpoints.
    pub(super) fn suspended(&self) -> Vec<String> {
        let suspended = self.states.iter().filter(|(_, state)| state.suspended);
        suspended.map(|(id, _)| id.clone()).collect()
    }

    /// Returns all endpoints that were ever listed, as far as they are remembered.
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

    /// Records the Unix time that this host's wall clock shows.
    pub(super) fn read_wall_clock(&mut self, now: Duration, shown: Duration) {
        self.start_times.read_wall_clock(now, shown);
    }

    /// Records that the watched list reports no change.
    pub(super) fn list_is_current(&mut self, now: Duration) {
        self.start_times.list_received(now, None);
    }

    /// Sets whether changes of the list may have been missed.
    pub(super) fn set_stale(&mut self, stale: bool, context: &UpdateContext, step: &mut Step) {
        self.stale = stale;
        let updates = self.states.keys().filter_map(|id| self.scheduler_update(id, context)).collect();
        step.events.push(Event::EndpointList { kind: EndpointListKind::Delta, updates });
    }

    /// Suspends an endpoint, or resumes it in slow start. Does nothing if the endpoint already is in that
    /// state.
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
        let updates = self.scheduler_update(id, context).into_iter().collect();
        step.events.push(Event::EndpointList { kind: EndpointListKind::Delta, updates });
    }

    /// Returns the update that the scheduler receives about one endpoint.
    ///
    /// A suspended endpoint is draining whatever the list says, and so is one that takes no work according to
    /// peers. No report of a peer makes an endpoint ready.
    pub(super) fn scheduler_update(&self, id: &str, context: &UpdateContext) -> Option<EndpointUpdate> {
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

    /// Applies a message of the watched list and returns the event for the scheduler. The starts in the
    /// message show the fleet's clock.
    pub(super) fn apply_watched_list(
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

    /// Applies a complete list or changes, and returns the event for the scheduler.
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
        let (mut updates, mut changed) = (Vec::new(), 0);
        for record in &list.entries {
            if self.states.get(&record.id).is_none_or(|state| state.record != *record) {
                changed += 1;
                if changed <= MAX_LOGGED_CHANGES {
                    let (revision, kind, record) = (list.revision, list.kind, record.clone());
                    step.log(OperatorEvent::EndpointListed { revision, kind, record });
                }
            }
            self.apply_record(step.now, record);
            updates.extend(self.scheduler_update(&record.id, context));
        }
        if changed > MAX_LOGGED_CHANGES {
            let (revision, count) = (list.revision, changed - MAX_LOGGED_CHANGES);
            step.log(OperatorEvent::EndpointChangesNotLogged { revision, count });
        }
        self.forget_removed();
        Event::EndpointList { kind: list.kind, updates }
    }

    fn apply_record(&mut self, now: Duration, record: &EndpointRecord) {
        let endpoint = endpoint_number(&record.id);
        if record.readiness == Readiness::Removed {
            self.addresses.remove(&endpoint);
        } else if let Some(address) = record.address {
            self.addresses.insert(endpoint, address);
        }
        let listed_start = record.up_since.map(|unix_time| self.start_times.started_at(now, unix_time));
        let earliest_start = self.start_times.earliest_start(now);
        let state = self.states.entry(record.id.clone());
        let state = state.or_insert_with(|| EndpointState::new(record.clone()));
        state.update(record, listed_start, earliest_start);
    }

    fn forget_removed(&mut self) {
        if self.states.len() > MAX_REMEMBERED_ENDPOINTS {
            self.states.retain(|_, state| state.suspended || state.record.readiness != Readiness::Removed);
        }
    }

    /// Returns the state for a successor.
    pub(super) fn snapshot(&self) -> RestoredEndpoints {
        RestoredEndpoints {
            revision: self.revision,
            states: self.states.clone(),
            start_times: self.start_times.clone(),
        }
    }

    /// Restores the state of a predecessor, whose list is newer than the configured one, and returns the
    /// event for the scheduler.
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

/// Returns the number of the endpoint of that name, the same at every initiator: the eight hex digits after
/// the name's last hyphen, or else the hash of the name.
fn endpoint_number(id: &str) -> EndpointId {
    let digits = id.rsplit('-').next().unwrap_or(id);
    let number = (digits.len() == 8).then(|| u32::from_str_radix(digits, 16).ok()).flatten();
    number.unwrap_or_else(|| fnv1a(id))
}

/// The 32-bit FNV-1a hash of a text.
fn fnv1a(text: &str) -> u32 {
    text.bytes().fold(0x811c_9dc5, |hash: u32, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}
