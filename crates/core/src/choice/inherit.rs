//! What one process of a host leaves to the next; nothing is decided here.

use super::Scheduler;
use crate::measure::Bucket;
use crate::state::{Node, SchedulerSnapshot};

impl Scheduler {
    /// What it has learnt and spent, for a process that takes a part of its budgets.
    pub fn learnt(&self, part: f64) -> SchedulerSnapshot {
        let mut volumes: Vec<_> = self.volumes.iter().map(|(id, v)| (*id, v.clone())).collect();
        volumes.iter_mut().for_each(|(_, v)| v.scale_tokens(part));
        // What is saved for a cold node stays with this process; what is overdrawn binds both.
        let saved = |n: &Node| Bucket { tokens: n.saved.tokens.min(0.0), at: self.now };
        let nodes = self.nodes.iter().map(|(id, n)| (*id, Node { saved: saved(n), ..n.clone() })).collect();
        SchedulerSnapshot { started_at: self.started, volumes, endpoints: nodes }
    }

    /// Goes on where another process of this host was; the list of nodes has been told already.
    pub fn inherit(&mut self, learnt: SchedulerSnapshot) {
        self.started = learnt.started_at;
        self.volumes.extend(learnt.volumes);
        for (id, node) in learnt.endpoints {
            if let Some(own) = self.nodes.get_mut(&id) {
                *own = Node { ready: own.ready, gone: own.gone, shard: own.shard, zone: own.zone, ..node };
            }
        }
    }
}
