//! The simulator's adapter: hosts many schedulers in one process, so that the simulator plays the decisions that the program
//! takes. Frames become events, and actions become frames; nothing is decided here.
//!
//! The layout of frames is the simulator's. All numbers are little-endian, and times are in nanoseconds.
//!
//! Reading is total: a frame that does not follow the layout ends [`serve`] with a [`WireError`], before
//! any action of that frame is written.

mod error;
mod events;
mod record;
mod reply;

use crate::interface::Event;
use crate::scheduler::Scheduler;
use crate::settings;
use events::event;
use record::RecordBytes;
use reply::ReplyFrame;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::time::Duration;

pub use error::WireError;

/// The size of a frame's header, in bytes.
const HEADER_BYTES: usize = 16;
/// The size of an event's record, in bytes.
const EVENT_BYTES: usize = 56;
/// The largest frame that is read, in bytes.
const MAX_FRAME_BYTES: usize = 1 << 30;
/// Codes of the records that are no events: an instance ends, or begins with new settings.
const RETIRE: u8 = 1;
const PROVISION: u8 = 8;

/// One instance: its scheduler, and the names of the load figures it will be sent.
struct Instance {
    scheduler: Scheduler,
    fields: Vec<String>,
}

/// The events of one frame for each instance, in the order in which the instances had their first one.
#[derive(Default)]
struct Batches {
    batches: Vec<Batch>,
    index: BTreeMap<u16, usize>,
}

struct Batch {
    instance: u16,
    events: Vec<Event>,
}

impl Batches {
    fn add(&mut self, instance: u16, event: Event) {
        let index = *self.index.entry(instance).or_insert(self.batches.len());
        if index == self.batches.len() {
            self.batches.push(Batch { instance, events: Vec::new() });
        }
        self.batches[index].events.push(event);
    }

    /// The instance that the events were for is no more.
    fn clear(&mut self, instance: u16) {
        if let Some(index) = self.index.remove(&instance) {
            self.batches[index].events.clear();
        }
    }
}

/// All instances that one process hosts, by number.
#[derive(Default)]
pub struct Adapter {
    instances: BTreeMap<u16, Instance>,
}

impl Adapter {
    /// An adapter without instances.
    pub fn new() -> Self {
        Self::default()
    }

    /// Answers one whole frame, its length field included.
    ///
    /// # Errors
    /// The frame does not follow the layout.
    pub fn answer(&mut self, frame: &[u8]) -> Result<Vec<u8>, WireError> {
        let header = RecordBytes(frame);
        if frame.len() < HEADER_BYTES || header.u32(0) as usize != frame.len() {
            return Err(WireError::LengthMismatch);
        }
        let (now, count) = (header.duration(4), header.u32(12) as usize);
        let body = &frame[HEADER_BYTES..];
        let records = count.checked_mul(EVENT_BYTES).and_then(|length| body.split_at_checked(length));
        let (records, tail) = records.ok_or(WireError::TruncatedRecords)?;
        let batches = self.read_records(records, tail, now)?;
        Ok(self.step(now, batches))
    }

    fn read_records(&mut self, records: &[u8], tail: &[u8], now: Duration) -> Result<Batches, WireError> {
        let mut batches = Batches::default();
        for record in records.chunks_exact(EVENT_BYTES).map(RecordBytes) {
            let id = record.u16(1);
            match record.u8(0) {
                PROVISION => {
                    self.instances.insert(id, provision(record, tail, now)?);
                    batches.clear(id);
                }
                RETIRE => {
                    self.instances.remove(&id);
                    batches.clear(id);
                }
                code => {
                    let instance = self.instances.get(&id);
                    let fields = instance.map_or(&[][..], |instance| &instance.fields);
                    let event = event(code, record, tail, fields)?;
                    if instance.is_some() {
                        batches.add(id, event);
                    }
                }
            }
        }
        Ok(batches)
    }

    fn step(&mut self, now: Duration, batches: Batches) -> Vec<u8> {
        let mut reply = ReplyFrame::default();
        let mut actions = Vec::new();
        for Batch { instance: id, events } in batches.batches.iter().filter(|batch| !batch.events.is_empty())
        {
            if let Some(instance) = self.instances.get_mut(id) {
                instance.scheduler.step(now, events, &mut actions);
                for action in actions.drain(..) {
                    reply.push(*id, &action);
                }
            }
        }
        reply.finish()
    }
}

/// Reads frames until the input ends, and answers each.
///
/// # Errors
/// A frame does not follow the layout, or input or output fails.
pub fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), WireError> {
    let mut adapter = Adapter::new();
    let mut frame = Vec::new();
    while read_frame(input, &mut frame)? {
        let reply = adapter.answer(&frame)?;
        let sent = output.write_all(&reply).and_then(|()| output.flush());
        sent.map_err(WireError::Output)?;
    }
    Ok(())
}

fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>) -> Result<bool, WireError> {
    frame.clear();
    input.by_ref().take(4).read_to_end(frame).map_err(WireError::Input)?;
    if frame.is_empty() {
        return Ok(false);
    }
    let length = RecordBytes(frame).u32(0) as usize;
    if frame.len() < 4 || !(HEADER_BYTES..=MAX_FRAME_BYTES).contains(&length) {
        return Err(WireError::BadLength);
    }
    input.by_ref().take(length as u64 - 4).read_to_end(frame).map_err(WireError::Input)?;
    if frame.len() < length {
        return Err(WireError::TruncatedFrame);
    }
    Ok(true)
}

fn provision(record: RecordBytes, tail: &[u8], now: Duration) -> Result<Instance, WireError> {
    let text = record.part(11, tail, 1)?;
    let settings = settings::read(&mut text.to_vec())?;
    let fields = settings.load_report_fields.clone();
    Ok(Instance { scheduler: Scheduler::new(settings, record.u64(3), now), fields })
}
