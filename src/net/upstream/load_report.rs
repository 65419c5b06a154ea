//! The load that an endpoint reports in the headers of its responses.

use actix_http::header::HeaderMap;

/// The volume's use at all initiators, as a percentage of its plan's rate.
const VOLUME_USAGE: &str = "X-Iops-Used";
/// Units the shard served the volume through other initiators since its last response here.
const UNITS_ELSEWHERE: &str = "X-Rho";
/// Above this, as a part of the plan's rate, no report of use is credible.
const MAX_VOLUME_USAGE: f64 = 1e4;
/// Above this no report of units served elsewhere is credible.
const MAX_UNITS_ELSEWHERE: f64 = 1e6;

/// What a response's headers report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The volume's use at all initiators, as a part of its plan's rate.
    pub volume_usage: Option<f64>,
    /// Units the shard served the volume through other initiators since its last response here.
    pub units_elsewhere: f64,
}

impl LoadReport {
    /// Reads a response's headers.
    pub fn from_headers(headers: &HeaderMap) -> Self {
        let text = |name| super::response::header_text(headers, name);
        let percent = parse_figure(text(VOLUME_USAGE), 100.0 * MAX_VOLUME_USAGE);
        LoadReport {
            volume_usage: percent.map(|percent| percent / 100.0),
            units_elsewhere: parse_figure(text(UNITS_ELSEWHERE), MAX_UNITS_ELSEWHERE).unwrap_or(0.0),
        }
    }
}

/// A reported figure from 0 to `max`. One that can't be read, or can't be true, counts as not reported: the scheduler would
/// throttle a volume by it for seconds. The response that it came with is as good without.
pub fn parse_figure(text: Option<&str>, max: f64) -> Option<f64> {
    text?.parse().ok().filter(|figure| (0.0..=max).contains(figure))
}
