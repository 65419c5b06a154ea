//! Converts the records of a frame to scheduler events.

use super::record::RecordBytes;
use super::WireError;
use crate::interface::{
    AttemptOutcome, EndedAttempt, EndpointListKind, EndpointUpdate, Event, LoadReport, Readiness, Request,
};

/// The size of an endpoint entry in the tail, in bytes.
const ENDPOINT_BYTES: usize = 23;
/// The maximum number of values in a load report.
const MAX_LOAD_REPORT_VALUES: usize = 4;

/// Converts a record to an event. `fields` are the names of the load report's values, in the order in which
/// they are sent.
pub(super) fn event(
    code: u8,
    record: RecordBytes,
    tail: &[u8],
    fields: &[String],
) -> Result<Event, WireError> {
    Ok(match code {
        2 => Event::ResponseStreaming(record.u64(3)),
        3 => Event::AttemptEnded(EndedAttempt {
            request: record.u64(3),
            number: record.u8(11),
            endpoint: record.u32(12),
            outcome: attempt_outcome(record.u8(16))?,
            elapsed: record.duration(17),
            request_complete: record.u8(25) != 0,
            volume_usage: record.u16(26).checked_sub(1).map(|percent| f64::from(percent) / 100.0),
            units_elsewhere: f64::from(record.u16(28)),
            load_report: load_report(record, 30, fields)?,
        }),
        4 => Event::Timer,
        5 => Event::HealthChecked {
            endpoint: record.u32(3),
            ok: record.u8(7) == 0,
            load: load_report(record, 16, fields)?,
        },
        6 => Event::PeerMessage { from: record.u16(3), bytes: record.tail_slice(5, tail, 1)?.to_vec() },
        7 => Event::Request(Request {
            id: record.u64(3),
            initiators: record.f32(11),
            class: record.u16(15),
            key: record.u64(17),
            shard: shard(record.f32(25)),
            volume: record.u64(29),
            client_retry: record.u16(37) & 2 != 0,
            at_most_once: false,
            time_remaining: record.duration(39),
            units: record.f32(47),
            plan: record.u16(51),
        }),
        9 => {
            Event::EndpointList { kind: list_kind(record.u8(11))?, updates: endpoint_updates(record, tail)? }
        }
        10 => Event::ClientLeft(record.u64(3)),
        code => return Err(WireError::UnknownEvent(code)),
    })
}

fn shard(number: f64) -> Option<u16> {
    (0.0..65536.0).contains(&number).then_some(number as u16)
}

fn attempt_outcome(code: u8) -> Result<AttemptOutcome, WireError> {
    Ok(match code {
        0 => AttemptOutcome::Served,
        5 => AttemptOutcome::Error,
        11 => AttemptOutcome::Rejected,
        110 => AttemptOutcome::TimedOut,
        111 => AttemptOutcome::ConnectFailed,
        104 => AttemptOutcome::ConnectionLost,
        125 => AttemptOutcome::Cancelled,
        114 => AttemptOutcome::NotSent,
        code => return Err(WireError::UnknownOutcome(code)),
    })
}

fn list_kind(code: u8) -> Result<EndpointListKind, WireError> {
    Ok(match code {
        0 => EndpointListKind::Delta,
        1 => EndpointListKind::Failed,
        2 => EndpointListKind::Cached,
        3 => EndpointListKind::Full,
        code => return Err(WireError::UnknownListKind(code)),
    })
}

fn endpoint_updates(record: RecordBytes, tail: &[u8]) -> Result<Vec<EndpointUpdate>, WireError> {
    let entries = record.tail_slice(12, tail, ENDPOINT_BYTES)?;
    entries.chunks_exact(ENDPOINT_BYTES).map(|entry| endpoint_update(RecordBytes(entry))).collect()
}

fn endpoint_update(entry: RecordBytes) -> Result<EndpointUpdate, WireError> {
    Ok(EndpointUpdate {
        endpoint: entry.u32(0),
        zone: entry.u16(4),
        shard: entry.u16(8),
        readiness: match entry.u8(10) {
            0 => Readiness::Removed,
            1 => Readiness::Ready,
            2 => Readiness::Draining,
            code => return Err(WireError::UnknownReadiness(code)),
        },
        started_at: entry.duration(15),
        start_id: 0,
    })
}

fn load_report(record: RecordBytes, at: usize, fields: &[String]) -> Result<LoadReport, WireError> {
    let count = record.u8(at) as usize;
    if count > MAX_LOAD_REPORT_VALUES {
        return Err(WireError::LongLoadReport);
    }
    let mut load = LoadReport::default();
    for (i, field) in fields.iter().take(count).enumerate() {
        let value = Some(record.f32(at + 1 + 4 * i)).filter(|v| v.is_finite() && *v >= 0.0);
        match field.as_str() {
            "recent_ms" => load.service_ms = value,
            "backlog" => load.queued = value,
            "utilization" => load.utilization = value,
            "outstanding" => load.in_flight = value,
            _ => {}
        }
    }
    Ok(load)
}
