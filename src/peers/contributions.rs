//! What this process adds to the sums over all initiators, and what comes back, under the keys that the sums use.

use crate::gossip::{Contribution, Totals};
use shaletack_gossip::aggregation::{Key, Total};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// One run of an endpoint that is in slow start.
struct EndpointRun {
    endpoint: String,
    incarnation: u64,
}

/// The keys of endpoints in slow start: a sum has a number for a key.
#[derive(Default)]
pub(super) struct SlowStartKeys {
    runs: BTreeMap<u64, EndpointRun>,
}

/// The key of one run of an endpoint, the same at every initiator.
fn slow_start_key(endpoint: &str, incarnation: u64) -> u64 {
    xxh3_64(format!("{incarnation} {endpoint}").as_bytes())
}

impl SlowStartKeys {
    /// What this process adds, by key. From now on totals are understood of the endpoints in it.
    pub(super) fn assign(&mut self, contribution: Contribution) -> Vec<(Key, u64)> {
        let Contribution { demand, spent } = contribution;
        let mut keyed: Vec<(Key, u64)> =
            demand.into_iter().map(|(volume, rate)| (Key::Demand(volume), rate)).collect();
        self.runs.clear();
        for (endpoint, incarnation, units) in spent {
            let key = slow_start_key(&endpoint, incarnation);
            keyed.push((Key::SlowStartSpend(key), units));
            self.runs.insert(key, EndpointRun { endpoint, incarnation });
        }
        keyed
    }

    /// What all others add, by volume and endpoint.
    pub(super) fn resolve(&self, totals: Vec<(Key, Total)>) -> Totals {
        let mut resolved = Totals::default();
        for (key, Total { others, age, .. }) in totals {
            match key {
                Key::Demand(volume) => resolved.demand.push((volume, others, age)),
                Key::ConfigVersion(_) => {}
                Key::SlowStartSpend(key) => {
                    let run = self.runs.get(&key);
                    resolved
                        .spent
                        .extend(run.map(|run| (run.endpoint.clone(), run.incarnation, others, age)));
                }
            }
        }
        resolved
    }
}
