//! Maps this process's contributions to the keys of the sums over all initiators, and the resulting totals
//! back.
//!
//! Aggregation identifies each sum by a number, whereas the core identifies an endpoint by its name and start
//! time.

use crate::gossip::{Aged, Contribution, EndpointUsage, PeerTotals, VolumeDemand};
use shaletack_gossip::aggregation::{Key, Total};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// One run of an endpoint in slow start.
struct EndpointRun {
    endpoint: String,
    /// When the run started, in Unix milliseconds.
    start_ms: u64,
}

/// The runs of endpoints in slow start by the key of their sum.
#[derive(Default)]
pub(super) struct SlowStartKeys {
    runs: BTreeMap<u64, EndpointRun>,
}

/// Returns the key of one run of an endpoint. The key is the same at every initiator.
fn slow_start_key(endpoint: &str, start_ms: u64) -> u64 {
    xxh3_64(format!("{start_ms} {endpoint}").as_bytes())
}

impl SlowStartKeys {
    /// Returns the contribution of this process by key, and replaces the endpoint runs that
    /// [`resolve`](SlowStartKeys::resolve) recognises with those of the contribution.
    pub(super) fn assign_keys(&mut self, contribution: Contribution) -> Vec<(Key, u64)> {
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

    /// Returns the totals of all other initiators by volume and endpoint. Totals of unknown endpoint runs are
    /// left out.
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
