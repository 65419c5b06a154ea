//! Use of a volume through all initiators, as far as this one knows, and this initiator's share of it.

use super::times::{REPORT_LIFETIME, SMOOTHING_TIME};
use crate::interface::{AttemptOutcome, EndedAttempt};
use crate::measure::DecayingRate;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Rates of one volume, in units per second.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct VolumeUsage {
    /// Requested at this initiator.
    pub(super) demand: DecayingRate,
    /// Served through this initiator.
    pub(super) served: DecayingRate,
    /// Sent from this initiator, whether served or not.
    pub(super) sent: DecayingRate,
    /// Requested at or served through other initiators, as reported.
    pub(super) others: DecayingRate,
    /// Served through all initiators, as the meter last reported; 0 before the first report.
    #[serde(rename = "total")]
    pub(super) metered_total: f64,
    /// When `others` or `metered_total` was last reported.
    #[serde(rename = "news_at")]
    pub(super) reported_at: Option<Duration>,
}

impl VolumeUsage {
    /// Records an ended attempt of a request of this many units, with the reports that came with it. The
    /// meter reports use as a fraction of `plan_rate`.
    pub(super) fn record(&mut self, now: Duration, attempt: &EndedAttempt, units: f64, plan_rate: f64) {
        if attempt.outcome == AttemptOutcome::Served {
            self.served.add(now, units, SMOOTHING_TIME);
        }
        if attempt.units_elsewhere.is_finite() && attempt.units_elsewhere > 0.0 {
            self.others.add(now, attempt.units_elsewhere, SMOOTHING_TIME);
            self.reported_at = Some(now);
        }
        if let Some(usage) = attempt.volume_usage.filter(|usage| usage.is_finite()) {
            self.metered_total = usage * plan_rate;
            self.reported_at = Some(now);
        }
    }

    /// Sets the demand at other initiators to the rate that they reported.
    pub(super) fn adopt_others(&mut self, now: Duration, units_per_second: f64, observed_at: Duration) {
        self.others = DecayingRate { per_second: units_per_second, updated_at: now };
        self.reported_at = Some(observed_at);
    }

    /// Returns this initiator's share of the volume, from 0 to 1: the ratio of its demand to all demand, or
    /// an even share where no report is fresh.
    pub(super) fn share(&self, now: Duration, initiators: f64) -> f64 {
        let even = 1.0 / initiators;
        let is_fresh = self.reported_at.is_some_and(|at| now <= at + REPORT_LIFETIME);
        let (own, others) = (self.demand.get(now, SMOOTHING_TIME), self.others_rate(now));
        if !is_fresh || own + others <= 0.0 {
            return even;
        }
        own / (own + others)
    }

    /// Returns the use by other initiators, in units per second: the greater of what they and what the meter
    /// reported.
    pub(super) fn others_rate(&self, now: Duration) -> f64 {
        let metered = self.metered_total - self.served.get(now, SMOOTHING_TIME);
        self.others.get(now, SMOOTHING_TIME).max(metered)
    }

    /// Returns the fraction of sent units that was served. `max_request_units` is added on both sides, which
    /// keeps the fraction near 1 while little was sent.
    pub(super) fn served_ratio(&self, now: Duration, max_request_units: f64) -> f64 {
        let served = self.served.get(now, SMOOTHING_TIME) + max_request_units;
        served / (self.sent.get(now, SMOOTHING_TIME) + max_request_units)
    }
}
