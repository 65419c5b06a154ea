//! When two observations are one record, and when one is news.
//!
//! Many initiators see the same event at about the same time. Each of them starting an update of its own would cost the
//! fleet one push storm an initiator; so what says the same within a while counts as one, whoever saw it.

use shaletack_knowledge::{Fact, Knowledge, What, HELD, KEPT};
use std::cmp::Ordering;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// An observed state that is seen again within this is the same news.
pub(crate) const SAME_STATE_WINDOW: Duration = Duration::from_secs(20);
/// Two moments of one start that differ by at most this are the same news.
const SAME_START_WINDOW: Duration = Duration::from_secs(1);
/// What is forgotten sooner than this is in no digest.
const MIN_DIGEST_LIFETIME: Duration = Duration::from_secs(5);

/// A new observation against the one that is known of its topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Novelty {
    /// It replaces the known one.
    New,
    /// It says what is known.
    Same,
    /// The known one is newer.
    Outdated,
}

/// Compares an observation with what is known.
pub(crate) fn novelty(known: &Knowledge, observation: &Fact) -> Novelty {
    let Some(known) = known.get(&observation.topic()) else { return Novelty::New };
    if is_same_news(known, observation) {
        Novelty::Same
    } else if known.cmp(observation) == Ordering::Less {
        Novelty::New
    } else if known.what == observation.what {
        Novelty::Same
    } else {
        Novelty::Outdated
    }
}

fn is_same_news(known: &Fact, new: &Fact) -> bool {
    let seen_apart = known.seen.abs_diff(new.seen);
    let same = match (&known.what, &new.what) {
        (What::Started(..), What::Started(..)) => {
            let (known_start, new_start) = (known.born().unwrap_or_default(), new.born().unwrap_or_default());
            known_start.abs_diff(new_start) <= SAME_START_WINDOW
        }
        (What::Failing(_, a), What::Failing(_, b)) => a == b && seen_apart < HELD,
        (What::Standing(_, a), What::Standing(_, b)) => a == b && seen_apart < SAME_STATE_WINDOW,
        // Amounts come first-hand only, and each replaces the last.
        _ => false,
    };
    same && known.start == new.start
}

/// A record's id: the hash of its encoding.
pub(crate) fn record_id<T: serde::Serialize>(record: &T) -> u32 {
    postcard::to_allocvec(record).map_or(0, |bytes| xxh3_64(&bytes) as u32)
}

/// An observation's id: of what it says, not of who saw it when.
pub(crate) fn observation_id(observation: &Fact) -> u32 {
    let claim = match &observation.what {
        // Observers of one start may differ in its moment.
        What::Started(id, _) => What::Started(id.clone(), Duration::ZERO),
        other => other.clone(),
    };
    record_id(&(claim, observation.start))
}

/// Whether an observation is in digests: it lives on for a while, and is no amount.
pub(crate) fn is_digested(observation: &Fact, now: Duration) -> bool {
    match observation.what {
        What::Standing(..) | What::Started(..) => observation.age(now) + MIN_DIGEST_LIFETIME < KEPT,
        What::Failing(..) => observation.age(now) < HELD,
        What::Spent(..) | What::Demand(..) => false,
    }
}
