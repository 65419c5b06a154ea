//! What `choice.rs` remembers of requests, nodes and volumes; nothing is decided or tuned here.

use crate::interface::*;
use crate::measure::{Bucket, Rate, Recent};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

pub(crate) type Lane = (VolumeId, u16); // a volume's requests of one class
pub(crate) type Queue = BTreeSet<(Duration, RequestId)>; // by the time their aim passes

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Volume {
    pub(crate) plan: Plan,
    pub(crate) hosts: f64,
    pub(crate) tag: f64, // Vt: units sent from here over the plan's weight.
    #[serde(skip)]
    pub(crate) held: usize,
    pub(crate) demand: Rate,
    pub(crate) served: Rate,
    pub(crate) sent: Rate,
    pub(crate) others: Rate,
    pub(crate) total: f64, // Units a second reported over all hosts, and when.
    pub(crate) news_at: Option<Duration>,
    pub(crate) scale: f64, // The design's f, and when it was last set.
    pub(crate) scaled_at: Duration,
    pub(crate) slice: Bucket,
    pub(crate) sure: Bucket,
    pub(crate) pooled: f64, // Part of the limit that the volume's home deals out.
    #[serde(skip)]
    pub(crate) asked: Option<(u32, Duration)>,
    pub(crate) given: f64, // Units from the home, to be spent by then.
    pub(crate) given_until: Duration,
    pub(crate) reserve: Bucket,
    #[serde(skip)]
    pub(crate) out: f64, // Units of requests that are out,
    #[serde(default)]
    pub(crate) gone: Recent, // and of those given up of late, which may still come to their boxes.
}

/// Requests that wait for one shard, or are out there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Shelf {
    pub(crate) out: bool,
    pub(crate) shard: Option<u16>,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Job {
    pub(crate) req: Request,
    pub(crate) came: Duration,
    pub(crate) aim_at: Duration,
    pub(crate) due: Duration,
    /// Where and when each attempt went, and whether its outcome is still to come.
    pub(crate) attempts: Vec<(EndpointId, Duration, bool)>,
    pub(crate) out: u32,
    pub(crate) over: bool,
    pub(crate) queued: bool,
    pub(crate) drawn: bool,
    pub(crate) arrived: bool, // An attempt has come to its box, or broke and can come no more.
    pub(crate) streaming: bool,
    pub(crate) may_have_run: Option<(EndpointId, Duration)>, // The first attempt that may have run.
}

/// The requests of one key of the ordered classes, as taken.
#[derive(Clone, Debug, Default)]
pub(crate) struct Line {
    pub(crate) jobs: VecDeque<RequestId>,
    pub(crate) rest_until: Duration,
}

/// An attempt whose outcome is not in.
#[derive(Clone, Debug)]
pub(crate) struct Out {
    pub(crate) job: RequestId,
    pub(crate) number: u8,
    pub(crate) sent_at: Duration,
    pub(crate) overtaken: u32, // How many sent after it were answered before it.
    pub(crate) missed: bool,   // Taken for lost on the way.
    pub(crate) free: bool,     // Holds no place: it is being answered, or is not whole there yet.
}

/// What a host has learnt and spent, for the process that takes its place.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SchedulerSnapshot {
    #[serde(rename = "started")]
    pub(crate) started_at: Duration,
    pub(crate) volumes: Vec<(VolumeId, Volume)>,
    #[serde(rename = "nodes")]
    pub(crate) endpoints: Vec<(EndpointId, Node)>,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Node {
    pub(crate) zone: u16,
    pub(crate) shard: u16,
    pub(crate) ready: bool,
    pub(crate) gone: bool,
    pub(crate) born: Option<Duration>, // When it started, as listed or as guessed from failures; `None`: long ago.
    pub(crate) listed: Option<Duration>,
    pub(crate) broke_at: Option<Duration>, // When its connections broke and nothing else was seen yet.
    #[serde(skip)]
    pub(crate) out: Vec<Out>,
    pub(crate) quiet: u32,   // Very late attempts since the last answer.
    pub(crate) unheard: u32, // Time-outs since the last answer.
    pub(crate) window: f64,
    pub(crate) shrunk_at: Duration,
    pub(crate) lag: f64, // Smoothed round trip, and the node's own service time, in ns.
    pub(crate) service: f64,
    pub(crate) fails: u32,
    pub(crate) hold_until: Duration,
    pub(crate) sent: Recent, // Units sent of late, not those that followed an answer.
    #[serde(default)]
    pub(crate) saved: Bucket, // Of this host's part of what it bears while cold, where that is small.
    pub(crate) relays: u32,  // Answers while cold after each of which one more may follow, until then.
    pub(crate) relay_until: Duration,
    pub(crate) seen_at: Duration, // When it last answered, and when it was last sent something.
    pub(crate) sent_at: Duration,
    pub(crate) last_key: u64,
    pub(crate) last_lane: Lane,
}

impl Job {
    /// Where and when the first attempt went that may have run or may still run.
    pub(crate) fn first_run(&self) -> Option<(EndpointId, Duration)> {
        self.may_have_run.or(self.attempts.iter().find(|a| a.2).map(|a| (a.0, a.1)))
    }
}

impl Node {
    pub(crate) fn repeats(&self, req: &Request) -> bool {
        req.key != 0 && req.key == self.last_key
    }

    pub(crate) fn held(&self) -> f64 {
        self.out.iter().filter(|o| !o.missed && !o.free).count() as f64
    }
}

impl Volume {
    /// A request goes out for the first time; its units count from when it comes to its box.
    pub(crate) fn draw(&mut self, now: Duration, units: f64) {
        let given = self.gift(now).min(units);
        self.given -= given;
        self.slice.tokens -= units;
        self.sure.tokens -= units - given;
        self.out += units;
    }

    /// From now on only this part of what there is.
    pub(crate) fn scale_tokens(&mut self, part: f64) {
        for bucket in [&mut self.slice, &mut self.sure] {
            bucket.tokens *= if bucket.tokens > 0.0 { part } else { 1.0 };
        }
    }

    /// Nothing of it is out any more; where all of it was given up, nothing proves that it can come no more.
    pub(crate) fn settle(&mut self, now: Duration, units: f64, may_come: bool) {
        self.out = (self.out - units).max(0.0);
        if may_come {
            self.gone.add(now, units);
        }
    }

    /// Units that may come to boxes yet; a connection lives for so long after its last answer at most.
    pub(crate) fn owed(&mut self, now: Duration, lives: Duration) -> f64 {
        self.out + self.gone.since(now.saturating_sub(lives))
    }

    pub(crate) fn gift(&self, now: Duration) -> f64 {
        if now < self.given_until {
            self.given
        } else {
            0.0
        }
    }
}

/// Times of requests, by shelf, each request once.
#[derive(Clone, Debug, Default)]
pub(crate) struct Dues {
    shelves: BTreeMap<Shelf, BTreeSet<(Duration, RequestId)>>,
    places: BTreeMap<RequestId, (Shelf, Duration)>,
}

impl Dues {
    pub(crate) fn put(&mut self, id: RequestId, shelf: Shelf, at: Duration) {
        self.remove(id);
        self.shelves.entry(shelf).or_default().insert((at, id));
        self.places.insert(id, (shelf, at));
    }

    pub(crate) fn remove(&mut self, id: RequestId) {
        let Some((shelf, at)) = self.places.remove(&id) else { return };
        if let Some(dues) = self.shelves.get_mut(&shelf) {
            dues.remove(&(at, id));
            if dues.is_empty() {
                self.shelves.remove(&shelf);
            }
        }
    }

    pub(crate) fn first(&self, shelf: Shelf) -> Option<(Duration, RequestId)> {
        self.shelves.get(&shelf)?.first().copied()
    }

    pub(crate) fn shelves(&self) -> Vec<Shelf> {
        self.shelves.keys().copied().collect()
    }
}

/// Held requests by shard and lane; what is empty is dropped.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queues(BTreeMap<Option<u16>, BTreeMap<Lane, Queue>>);

impl Queues {
    pub(crate) fn put(&mut self, shard: Option<u16>, lane: Lane, entry: (Duration, RequestId)) {
        self.0.entry(shard).or_default().entry(lane).or_default().insert(entry);
    }

    pub(crate) fn remove(&mut self, shard: Option<u16>, lane: Lane, entry: (Duration, RequestId)) {
        let Some(lanes) = self.0.get_mut(&shard) else { return };
        if let Some(queue) = lanes.get_mut(&lane) {
            queue.remove(&entry);
            if queue.is_empty() {
                lanes.remove(&lane);
            }
        }
        if lanes.is_empty() {
            self.0.remove(&shard);
        }
    }

    pub(crate) fn get(&self, shard: &Option<u16>) -> Option<&BTreeMap<Lane, Queue>> {
        self.0.get(shard)
    }

    pub(crate) fn shards(&self) -> impl Iterator<Item = &Option<u16>> {
        self.0.keys()
    }
}
