//! Barriers: the commands that are acknowledged only once a record is durable.

use crate::events::CommandId;
use shaletack_wal::RecordNumber;
use std::collections::{BTreeMap, BTreeSet};

/// A command and the record that has to be durable before the command is acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Barrier {
    record: RecordNumber,
    command: CommandId,
}

/// All waiting commands, and the record that a flush of each volume has to wait for.
#[derive(Clone, Debug, Default)]
pub(crate) struct Barriers {
    waiting: BTreeSet<Barrier>,
    last_record: BTreeMap<u64, RecordNumber>,
}

impl Barriers {
    /// Notes that a record holds a write to a volume.
    pub fn record_written(&mut self, volume: u64, record: RecordNumber) {
        let last = self.last_record.entry(volume).or_insert(record);
        *last = record.max(*last);
    }

    /// Returns the last record of a volume, or 0 if there is none.
    pub fn last_record(&self, volume: u64) -> RecordNumber {
        self.last_record.get(&volume).copied().unwrap_or(0)
    }

    /// Makes a command wait until a record is durable.
    pub fn wait_for(&mut self, record: RecordNumber, command: CommandId) {
        self.waiting.insert(Barrier { record, command });
    }

    /// Removes and returns the commands whose records are durable, in the order of their records.
    pub fn release_through(&mut self, durable: RecordNumber) -> Vec<CommandId> {
        let mut released = Vec::new();
        while let Some(first) = self.waiting.first().copied().filter(|first| first.record <= durable) {
            self.waiting.pop_first();
            released.push(first.command);
        }
        released
    }
}
