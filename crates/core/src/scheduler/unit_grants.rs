//! Unit grants: a part of each limit is pooled at one initiator, the volume's home, which grants units to
//! initiators that lack them. Even shares alone would leave those of idle initiators unused. Units that are
//! lost with a message or with the home remain unspent.

use super::limits::{GrantRequest, POOLED_RATIO};
use super::Scheduler;
use crate::interface::{Action, Settings, VolumeId};
use crate::measure::{splitmix64, TokenBucket};
use crate::units_message::UnitsMessage;
use std::collections::BTreeMap;
use std::time::Duration;

/// Minimum number of units of a grant.
const MIN_GRANT: f64 = 1.0;

/// The pools of the volumes whose home is this initiator.
#[derive(Clone, Debug, Default)]
pub(super) struct UnitPools {
    by_volume: BTreeMap<VolumeId, TokenBucket>,
}

impl UnitPools {
    /// Takes up to the wanted units from a volume's pool, or returns `None` where the pool has too few for a
    /// grant.
    fn take(&mut self, now: Duration, started_at: Duration, wanted: &WantedUnits) -> Option<f64> {
        let pool = self.by_volume.entry(wanted.volume).or_insert(TokenBucket::holding(0.0, started_at));
        let available = pool.refill(now, POOLED_RATIO * wanted.limit, POOLED_RATIO * wanted.burst);
        let units = available.min(wanted.units);
        if units < MIN_GRANT {
            return None;
        }
        pool.tokens -= units;
        Some(units)
    }

    /// Drops pools that have not been asked since a time.
    pub(super) fn forget_idle(&mut self, since: Duration) {
        self.by_volume.retain(|_, pool| pool.refilled_at > since);
    }
}

/// A request to a pool.
struct WantedUnits {
    volume: VolumeId,
    units: f64,
    /// The plan's limit, in units per second.
    limit: f64,
    /// The plan's burst, in units.
    burst: f64,
}

/// Returns the rank of the initiator that is a volume's home.
fn home_of(volume: VolumeId, settings: &Settings) -> u16 {
    (splitmix64(volume) % u64::from(settings.initiators.max(1))) as u16
}

impl Scheduler {
    /// Asks a volume's home for units, unless it was asked recently or the volume has no pool.
    pub(super) fn request_units(&mut self, id: VolumeId) {
        let number = self.random.below(1 << 32) as u32;
        let now = self.now;
        let Some(volume) = self.volumes.get_mut(id).filter(|volume| volume.limit.pooled_ratio > 0.0) else {
            return;
        };
        let next_request_at = volume.limit.next_grant_request(&volume.plan);
        if next_request_at > now {
            return self.timer.wake_by(next_request_at);
        }
        volume.limit.grant_requested(GrantRequest { number, asked_at: now });
        let units = volume.queued as f64 * self.settings.mean_request_units;
        let plan = self.settings.plans.iter().position(|plan| *plan == volume.plan).unwrap_or(0) as u16;
        let request = UnitsMessage::Request { volume: id, plan, units, number };
        self.send_units_message(home_of(id, &self.settings), self.settings.rank as u16, request);
    }

    /// Sends a message to an initiator, or handles it at once where it is addressed to this one.
    fn send_units_message(&mut self, to: u16, from: u16, message: UnitsMessage) {
        if to == self.settings.rank as u16 {
            self.on_peer_message(from, &message.encode());
        } else {
            self.actions.push(Action::SendPeerMessage { to: Some(to), bytes: message.encode() });
        }
    }

    /// Handles another initiator's request for units, or its grant. Ignores a message that can't be parsed.
    pub(super) fn on_peer_message(&mut self, from: u16, bytes: &[u8]) {
        match UnitsMessage::decode(bytes) {
            Some(UnitsMessage::Request { volume, plan, units, number }) => {
                let plans = &self.settings.plans;
                let Some(plan) = plans.get(plan as usize).filter(|plan| plan.limit > 0.0) else { return };
                let wanted = WantedUnits { volume, units, limit: plan.limit, burst: plan.burst };
                if let Some(units) = self.unit_pools.take(self.now, self.started_at, &wanted) {
                    self.send_units_message(from, from, UnitsMessage::Grant { volume, units, number });
                }
            }
            Some(UnitsMessage::Grant { volume, units, number }) => {
                if let Some(volume) = self.volumes.get_mut(volume) {
                    volume.limit.accept_grant(&volume.plan, units, number);
                }
            }
            None => {}
        }
    }
}
