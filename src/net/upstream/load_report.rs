//! Parses the load report that an endpoint sends in the headers of its responses.

use actix_http::header::HeaderMap;

/// The volume's usage through all initiators, as a percentage of its plan's rate.
const VOLUME_USAGE: &str = "X-Iops-Used";
/// The units that the shard has served to the volume through other initiators since its last response to this
/// one.
const UNITS_ELSEWHERE: &str = "X-Rho";
/// The highest credible usage, as a multiple of the plan's rate.
const MAX_VOLUME_USAGE: f64 = 1e4;
/// The highest credible number of units served through other initiators.
const MAX_UNITS_ELSEWHERE: f64 = 1e6;

/// The load that the headers of a response report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The volume's usage through all initiators, as a multiple of its plan's rate.
    pub volume_usage: Option<f64>,
    /// The units that the shard has served to the volume through other initiators since its last response to
    /// this one.
    pub units_elsewhere: f64,
}

impl LoadReport {
    /// Parses the headers of a response.
    pub fn from_headers(headers: &HeaderMap) -> Self {
        let text = |name| super::response::header_text(headers, name);
        let percent = parse_reported_number(text(VOLUME_USAGE), 100.0 * MAX_VOLUME_USAGE);
        LoadReport {
            volume_usage: percent.map(|percent| percent / 100.0),
            units_elsewhere: parse_reported_number(text(UNITS_ELSEWHERE), MAX_UNITS_ELSEWHERE).unwrap_or(0.0),
        }
    }
}

/// Parses a reported number between 0 and `max`. Returns `None` if it cannot be parsed or is out of range:
/// the scheduler would throttle the volume by a wrong number for seconds, and the response is valid without
/// it.
pub fn parse_reported_number(text: Option<&str>, max: f64) -> Option<f64> {
    text?.parse().ok().filter(|number| (0.0..=max).contains(number))
}
