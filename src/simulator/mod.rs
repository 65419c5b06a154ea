//! Adapter for the simulator: hosts many schedulers in one process, so that the simulator runs on the
//! decisions of the real scheduler. The adapter only converts frames to events and actions to frames; it
//! takes no decisions.
//!
//! The simulator defines the layout of frames. All numbers are little-endian, and times are in nanoseconds.
//!
//! Decoding never panics: a frame that does not follow the layout ends [`serve`] with a [`WireError`], before
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

/// The size of a frame header in bytes.
const HEADER_BYTES: usize = 16;
/// The size of an event record in bytes.
const EVENT_BYTES: usize = 56;
/// The maximum size of a frame that is read, in bytes.
const MAX_FRAME_BYTES: usize = 1 << 30;
/// The code of a record that removes an instance.
const REMOVE_INSTANCE: u8 = 1;
/// The code of a record that creates an instance with new settings, replacing an existing one of the same
/// number.
const CREATE_INSTANCE: u8 = 8;

/// One instance: its scheduler and the names of the values in its load reports.
struct Instance {
    scheduler: Scheduler,
    load_report_fields: Vec<String>,
}

/// The events of one frame, grouped by instance. Instances are in the order of their first event.
#[derive(Default)]
struct Batches {
    batches: Vec<Batch>,
    /// The position of each instance's batch in `batches`.
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

    /// Drops the events of an instance that was removed or replaced.
    fn clear(&mut self, instance: u16) {
        if let Some(index) = self.index.remove(&instance) {
            self.batches[index].events.clear();
        }
    }
}

/// The instances that one process hosts, by number.
#[derive(Default)]
pub struct Adapter {
    instances: BTreeMap<u16, Instance>,
}

impl Adapter {
    /// Creates an adapter without instances.
    pub fn new() -> Self {
        Self::default()
    }

    /// Processes one whole frame, including its length field, and returns the reply frame.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame does not follow the layout.
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

    /// Applies the records that create or remove instances and groups the events of the others by instance.
    /// Events of unknown instances are dropped.
    fn read_records(&mut self, records: &[u8], tail: &[u8], now: Duration) -> Result<Batches, WireError> {
        let mut batches = Batches::default();
        for record in records.chunks_exact(EVENT_BYTES).map(RecordBytes) {
            let id = record.u16(1);
            match record.u8(0) {
                CREATE_INSTANCE => {
                    self.instances.insert(id, create_instance(record, tail, now)?);
                    batches.clear(id);
                }
                REMOVE_INSTANCE => {
                    self.instances.remove(&id);
                    batches.clear(id);
                }
                code => {
                    let instance = self.instances.get(&id);
                    let fields = instance.map_or(&[][..], |instance| &instance.load_report_fields);
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

/// Reads frames until the input ends and writes a reply to each.
///
/// # Errors
///
/// Returns an error if a frame does not follow the layout, or if reading or writing fails.
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

/// Reads the next frame into `frame`. Returns `false` at the end of the input.
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

/// Creates an instance from the settings that its record refers to.
fn create_instance(record: RecordBytes, tail: &[u8], now: Duration) -> Result<Instance, WireError> {
    let text = record.tail_slice(11, tail, 1)?;
    let settings = settings::read(&mut text.to_vec())?;
    let load_report_fields = settings.load_report_fields.clone();
    Ok(Instance { scheduler: Scheduler::new(settings, record.u64(3), now), load_report_fields })
}
