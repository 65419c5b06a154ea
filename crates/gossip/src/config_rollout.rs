//! Tracks how many initiators have applied the configuration version of this process.
//!
//! A configuration change is complete once every initiator has applied it. Each initiator that has applied a
//! version contributes 1 to the sum of that version (see [`crate::aggregation`]), so the number of initiators
//! that lack it is known without a query to any of them.

use crate::aggregation::Key;
use std::time::Duration;

/// The minimum time between two reports of a version that is not yet in force everywhere. The first such
/// report comes this long after the version took effect here.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// The progress of a configuration version across the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigRollout {
    /// The version that is in force in this process.
    pub version: u64,
    /// Initiators that are known to have the version in force, this one included.
    pub applied: usize,
    /// All initiators, including this one and those of the previous release.
    pub initiators: usize,
    /// How long the version has been in force in this process.
    pub in_force_for: Duration,
}

impl ConfigRollout {
    /// Returns whether the version is in force in all initiators.
    pub fn is_complete(&self) -> bool {
        self.applied >= self.initiators
    }
}

#[derive(Clone, Copy, Debug)]
struct InForce {
    version: u64,
    since: Duration,
}

#[derive(Clone, Copy, Debug)]
struct LastReport {
    rollout: ConfigRollout,
    reported_at: Duration,
}

/// The version in force in this process, and the progress that was last reported.
#[derive(Debug, Default)]
pub(crate) struct RolloutTracker {
    in_force: Option<InForce>,
    reported: Option<LastReport>,
}

impl RolloutTracker {
    /// Sets the version that is in force in this process. A change restarts the reports.
    pub(crate) fn set_version(&mut self, now: Duration, version: Option<u64>) {
        if self.in_force.map(|in_force| in_force.version) != version {
            self.in_force = version.map(|version| InForce { version, since: now });
            self.reported = None;
        }
    }

    /// Returns the key to which this process contributes 1, if its configuration names a version.
    pub(crate) fn key(&self) -> Option<Key> {
        self.in_force.map(|in_force| Key::ConfigVersion(in_force.version))
    }

    /// Returns the state of the rollout, or `None` if no version is named or its sum is not known yet.
    ///
    /// `counted` is the number of contributors to the sum of [`RolloutTracker::key`]. A process without peers
    /// needs no sum.
    pub(crate) fn state(
        &self,
        now: Duration,
        counted: Option<usize>,
        initiators: usize,
    ) -> Option<ConfigRollout> {
        let InForce { version, since } = self.in_force?;
        let alone = (initiators == 1).then_some(1);
        let applied = counted.or(alone)?;
        Some(ConfigRollout { version, applied, initiators, in_force_for: now.saturating_sub(since) })
    }

    /// Returns whether this state has to be reported now, and records it as reported if so.
    pub(crate) fn is_due(&mut self, now: Duration, rollout: ConfigRollout) -> bool {
        let due = match self.reported {
            None => rollout.is_complete() || rollout.in_force_for >= REPORT_INTERVAL,
            Some(LastReport { rollout: last, reported_at }) => {
                let changed = (last.applied, last.initiators) != (rollout.applied, rollout.initiators);
                changed && (rollout.is_complete() || now >= reported_at + REPORT_INTERVAL)
            }
        };
        if due {
            self.reported = Some(LastReport { rollout, reported_at: now });
        }
        due
    }
}
