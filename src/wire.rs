//! The simulator's wire: frames to events, actions to frames. Takes no decision.
//!
//! Reading is total: a frame that does not follow the layout ends [`serve`] with a [`Fault`], before
//! any action of that frame is written.

use crate::interface::*;
use crate::scheduler::Scheduler;
use crate::settings;
use std::collections::BTreeMap;
use std::fmt;
use std::io::{self, Read, Write};
use std::time::Duration;

/// Why the wire could not be followed.
#[derive(Debug)]
pub struct Fault(String);

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Fault {}

fn fault<T>(text: impl Into<String>) -> Result<T, Fault> {
    Err(Fault(text.into()))
}

const HEADER: usize = 16;
const EVENT: usize = 56;
const ACTION: usize = 24;
const LINE: usize = 23;
const LARGEST: usize = 1 << 30;

/// One record or entry of a frame.
#[derive(Clone, Copy)]
struct Cut<'a>(&'a [u8]);

impl<'a> Cut<'a> {
    fn bytes<const N: usize>(self, at: usize) -> [u8; N] {
        let mut out = [0; N];
        if let Some(part) = self.0.get(at..at + N) {
            out.copy_from_slice(part);
        }
        out
    }
    fn u8(self, at: usize) -> u8 {
        self.bytes::<1>(at)[0]
    }
    fn u16(self, at: usize) -> u16 {
        u16::from_le_bytes(self.bytes(at))
    }
    fn u32(self, at: usize) -> u32 {
        u32::from_le_bytes(self.bytes(at))
    }
    fn u64(self, at: usize) -> u64 {
        u64::from_le_bytes(self.bytes(at))
    }
    fn span(self, at: usize) -> Duration {
        Duration::from_nanos(self.u64(at))
    }
    fn f32(self, at: usize) -> f64 {
        f64::from(f32::from_le_bytes(self.bytes(at)))
    }
    /// The part of the tail that the field at `at` names, of `each` bytes an element.
    fn part(self, at: usize, tail: &'a [u8], each: usize) -> Result<&'a [u8], Fault> {
        let (from, count) = (self.u32(at) as usize, self.u32(at + 4) as usize);
        let end = count.checked_mul(each).and_then(|n| n.checked_add(from));
        match end.and_then(|end| tail.get(from..end)) {
            Some(part) => Ok(part),
            None if count == 0 => Ok(&[]),
            None => fault("a field points outside the frame's tail"),
        }
    }
}

/// One instance: its scheduler, and the names of the load figures it will be sent.
struct Hosted {
    scheduler: Scheduler,
    fields: Vec<String>,
}

/// All instances that one process hosts, by number.
#[derive(Default)]
pub struct Wire {
    hosted: BTreeMap<u16, Hosted>,
}

impl Wire {
    /// Nothing is hosted yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Answers one whole frame, its length field included.
    pub fn answer(&mut self, frame: &[u8]) -> Result<Vec<u8>, Fault> {
        let head = Cut(frame);
        if frame.len() < HEADER || head.u32(0) as usize != frame.len() {
            return fault("a frame's length does not fit its header");
        }
        let (now, count) = (head.span(4), head.u32(12) as usize);
        let body = &frame[HEADER..];
        let split = match count.checked_mul(EVENT) {
            Some(n) if n <= body.len() => n,
            _ => return fault("a frame ends inside its records"),
        };
        let (records, tail) = body.split_at(split);
        let mut batches: Vec<(u16, Vec<Event>)> = Vec::new();
        let mut place: BTreeMap<u16, usize> = BTreeMap::new();
        for record in records.chunks_exact(EVENT) {
            let record = Cut(record);
            let id = record.u16(1);
            match record.u8(0) {
                8 => {
                    let hosted = provision(record, tail, now)?;
                    self.hosted.insert(id, hosted);
                    drop_batch(&mut batches, &mut place, id);
                }
                1 => {
                    self.hosted.remove(&id);
                    drop_batch(&mut batches, &mut place, id);
                }
                code => {
                    let no_fields = Vec::new();
                    let fields = self.hosted.get(&id).map_or(&no_fields, |h| &h.fields);
                    let event = event(code, record, tail, fields)?;
                    if self.hosted.contains_key(&id) {
                        let at = *place.entry(id).or_insert(batches.len());
                        if at == batches.len() {
                            batches.push((id, Vec::new()));
                        }
                        batches[at].1.push(event);
                    }
                }
            }
        }
        let mut reply = Reply::default();
        let mut actions = Vec::new();
        for (id, events) in batches.iter().filter(|b| !b.1.is_empty()) {
            if let Some(hosted) = self.hosted.get_mut(id) {
                hosted.scheduler.step(now, events, &mut actions);
                for action in actions.drain(..) {
                    reply.push(*id, &action);
                }
            }
        }
        Ok(reply.finish())
    }
}

fn drop_batch(batches: &mut [(u16, Vec<Event>)], place: &mut BTreeMap<u16, usize>, id: u16) {
    if let Some(at) = place.remove(&id) {
        batches[at].1.clear();
    }
}

/// Reads frames until the input ends, and answers each.
pub fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), Fault> {
    let mut wire = Wire::new();
    let mut frame = Vec::new();
    while read_frame(input, &mut frame)? {
        let reply = wire.answer(&frame)?;
        let sent = output.write_all(&reply).and_then(|()| output.flush());
        sent.map_err(|e| Fault(format!("the reply could not be written: {e}")))?;
    }
    Ok(())
}

fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>) -> Result<bool, Fault> {
    let broken = |e: io::Error| Fault(format!("the input could not be read: {e}"));
    frame.clear();
    input.by_ref().take(4).read_to_end(frame).map_err(broken)?;
    if frame.is_empty() {
        return Ok(false);
    }
    let length = Cut(frame).u32(0) as usize;
    if frame.len() < 4 || !(HEADER..=LARGEST).contains(&length) {
        return fault("a frame's length is not one a frame can have");
    }
    input.by_ref().take(length as u64 - 4).read_to_end(frame).map_err(broken)?;
    if frame.len() < length {
        return fault("the input ends inside a frame");
    }
    Ok(true)
}

fn provision(record: Cut, tail: &[u8], now: Duration) -> Result<Hosted, Fault> {
    let text = record.part(11, tail, 1)?;
    let settings = settings::read(&mut text.to_vec()).map_err(|error| Fault(error.to_string()))?;
    let fields = settings.load_report_fields.clone();
    Ok(Hosted { scheduler: Scheduler::new(settings, record.u64(3), now), fields })
}

fn event(code: u8, record: Cut, tail: &[u8], fields: &[String]) -> Result<Event, Fault> {
    Ok(match code {
        2 => Event::ResponseStreaming(record.u64(3)),
        3 => Event::AttemptEnded(EndedAttempt {
            request: record.u64(3),
            number: record.u8(11),
            endpoint: record.u32(12),
            outcome: ending(record.u8(16))?,
            elapsed: record.span(17),
            request_complete: record.u8(25) != 0,
            volume_usage: record.u16(26).checked_sub(1).map(|percent| f64::from(percent) / 100.0),
            units_elsewhere: f64::from(record.u16(28)),
            load_report: load(record, 30, fields)?,
        }),
        4 => Event::Timer,
        5 => Event::HealthChecked {
            endpoint: record.u32(3),
            ok: record.u8(7) == 0,
            load: load(record, 16, fields)?,
        },
        6 => Event::PeerMessage { from: record.u16(3), bytes: record.part(5, tail, 1)?.to_vec() },
        7 => Event::Request(Request {
            id: record.u64(3),
            initiators: record.f32(11),
            class: record.u16(15),
            key: record.u64(17),
            shard: shard(record.f32(25)),
            volume: record.u64(29),
            client_retry: record.u16(37) & 2 != 0,
            time_remaining: record.span(39),
            units: record.f32(47),
            plan: record.u16(51),
        }),
        9 => Event::EndpointList { kind: list_kind(record.u8(11))?, lines: lines(record, tail)? },
        10 => Event::ClientLeft(record.u64(3)),
        code => return fault(format!("{code} is not the code of an event")),
    })
}

fn shard(number: f64) -> Option<u16> {
    (0.0..65536.0).contains(&number).then_some(number as u16)
}

fn ending(code: u8) -> Result<AttemptOutcome, Fault> {
    Ok(match code {
        0 => AttemptOutcome::Served,
        5 => AttemptOutcome::Error,
        11 => AttemptOutcome::Rejected,
        110 => AttemptOutcome::TimedOut,
        111 => AttemptOutcome::ConnectFailed,
        104 => AttemptOutcome::ConnectionLost,
        125 => AttemptOutcome::Cancelled,
        114 => AttemptOutcome::NotSent,
        code => return fault(format!("{code} is not the code of an outcome")),
    })
}

fn list_kind(code: u8) -> Result<EndpointListKind, Fault> {
    Ok(match code {
        0 => EndpointListKind::Delta,
        1 => EndpointListKind::Failed,
        2 => EndpointListKind::Cached,
        3 => EndpointListKind::Full,
        code => return fault(format!("{code} is not a kind of list")),
    })
}

fn lines(record: Cut, tail: &[u8]) -> Result<Vec<EndpointUpdate>, Fault> {
    let part = record.part(12, tail, LINE)?;
    part.chunks_exact(LINE).map(|line| node_line(Cut(line))).collect()
}

fn node_line(line: Cut) -> Result<EndpointUpdate, Fault> {
    Ok(EndpointUpdate {
        endpoint: line.u32(0),
        zone: line.u16(4),
        shard: line.u16(8),
        readiness: match line.u8(10) {
            0 => Readiness::Removed,
            1 => Readiness::Ready,
            2 => Readiness::Draining,
            code => return fault(format!("{code} is not a node's readiness")),
        },
        started_at: line.span(15),
        start_id: 0,
    })
}

fn load(record: Cut, at: usize, fields: &[String]) -> Result<LoadReport, Fault> {
    let count = record.u8(at) as usize;
    if count > 4 {
        return fault("a load report holds more than four values");
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

/// A reply being written.
#[derive(Default)]
struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    fn push(&mut self, instance: u16, action: &Action) {
        let mut cell = [0u8; ACTION];
        let mut put = |at: usize, bytes: &[u8]| cell[at..at + bytes.len()].copy_from_slice(bytes);
        put(1, &instance.to_le_bytes());
        match action {
            Action::Send { request, endpoint: node, timeout } => {
                put(0, &[1]);
                put(3, &request.to_le_bytes());
                put(11, &nanos(*timeout));
                put(19, &node.to_le_bytes());
            }
            Action::Reject { request, retry_after } => {
                put(0, &[2]);
                put(3, &request.to_le_bytes());
                put(11, &nanos(*retry_after));
            }
            Action::Fail { request } => {
                put(0, &[3]);
                put(3, &request.to_le_bytes());
            }
            Action::Cancel { request, number } => {
                put(0, &[4]);
                put(3, &request.to_le_bytes());
                put(11, &[*number]);
            }
            Action::SetTimer(at) => {
                put(0, &[5]);
                put(11, &nanos(*at));
            }
            Action::HealthCheck(node) => {
                put(0, &[6]);
                put(3, &node.to_le_bytes());
            }
            Action::CloseIdle(node) => {
                put(0, &[7]);
                put(3, &node.to_le_bytes());
            }
            Action::SendPeerMessage { to, bytes } => {
                put(0, &[8]);
                put(3, &to.unwrap_or(u16::MAX).to_le_bytes());
                put(5, &span(&mut self.tail, bytes));
            }
            Action::Log(line) => {
                put(0, &[9]);
                put(3, &span(&mut self.tail, line.as_bytes()));
            }
            Action::WatchEndpointList(on) => {
                put(0, &[11]);
                put(3, &[u8::from(*on)]);
            }
            Action::FetchEndpointList => put(0, &[12]),
        }
        self.records.extend_from_slice(&cell);
    }

    fn finish(self) -> Vec<u8> {
        let length = 8 + self.records.len() + self.tail.len();
        let mut out = Vec::with_capacity(length);
        out.extend_from_slice(&((self.records.len() / ACTION) as u32).to_le_bytes());
        out.extend_from_slice(&(length as u32).to_le_bytes());
        out.extend_from_slice(&self.records);
        out.extend_from_slice(&self.tail);
        out
    }
}

fn nanos(span: Duration) -> [u8; 8] {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX).to_le_bytes()
}

fn span(tail: &mut Vec<u8>, bytes: &[u8]) -> [u8; 8] {
    let mut field = [0; 8];
    field[..4].copy_from_slice(&(tail.len() as u32).to_le_bytes());
    field[4..].copy_from_slice(&(bytes.len() as u32).to_le_bytes());
    tail.extend_from_slice(bytes);
    field
}
