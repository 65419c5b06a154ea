//! What this process adds to the sums over all initiators, and what comes back, under the keys that the sums use.

use crate::gossip::{Aged, Contribution, EndpointUsage, PeerTotals, VolumeDemand};
use shaletack_gossip::aggregation::{Key, Total};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// One run of an endpoint that is in slow start.
struct EndpointRun {
    endpoint: String,
    /// When it started, in Unix milliseconds.
    start_ms: u64,
}

/// The keys of endpoints in slow start: a sum has a number for a key.
#[derive(Default)]
pub(super) struct SlowStartKeys {
    runs: BTreeMap<u64, EndpointRun>,
}

/// The key of one run of an endpoint, the same at every initiator.
fn slow_start_key(endpoint: &str, start_ms: u64) -> u64 {
    xxh3_64(format!("{start_ms} {endpoint}").as_bytes())
}

impl SlowStartKeys {
    /// What this process adds, by key. From now on totals are understood of the endpoints in it.
    pub(super) fn assign(&mut self, contribution: Contribution) -> Vec<(Key, u64)> {
        let Contribution { demand, slow_start_usage } = contribution;
        let mut keyed: Vec<(Key, u64)> =
            demand.into_iter().map(|demand| (Key::Demand(demand.volume), demand.rate)).collect();
        self.runs.clear();
        for usage in slow_start_usage {
            let key = slow_start_key(&usage.id, usage.start_ms);
            keyed.push((Key::SlowStartSpend(key), usage.milli_units));
            self.runs.insert(key, EndpointRun { endpoint: usage.id, start_ms: usage.start_ms });
        }
        keyed
    }

    /// What all others add, by volume and endpoint.
    pub(super) fn resolve(&self, totals: Vec<(Key, Total)>) -> PeerTotals {
        let mut resolved = PeerTotals::default();
        for (key, Total { others, age, .. }) in totals {
            match key {
                Key::Demand(volume) => {
                    resolved.demand.push(Aged { value: VolumeDemand { volume, rate: others }, age });
                }
                Key::ConfigVersion(_) => {}
                Key::SlowStartSpend(key) => {
                    let Some(run) = self.runs.get(&key) else { continue };
                    let (id, start_ms) = (run.endpoint.clone(), run.start_ms);
                    let value = EndpointUsage { id, start_ms, milli_units: others };
                    resolved.slow_start_usage.push(Aged { value, age });
                }
            }
        }
        resolved
    }
}
