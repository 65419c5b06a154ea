//! The periods and counts of the SWIM protocol.
//!
//! A silent member is suspected within 3 s and declared down 3.5 s later; a healed partition is noticed
//! within 10 s.
//!
//! Networks lose datagrams: at 5 % loss, one probe in ten gets no answer. For this reason more members than
//! the paper's default are asked for an indirect probe, and updates, which include suspicions and
//! refutations, are gossiped often enough for a refutation to reach all members before the suspicion times
//! out.

use crate::datagram::MAX_MESSAGE_BYTES;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// One member is probed in each period (SWIM, section 3.1).
const PROBE_PERIOD: Duration = Duration::from_millis(1500);
/// How long to wait for the answer to a direct probe before other members are asked for an indirect one.
const PROBE_ROUND_TRIP: Duration = Duration::from_millis(300);
/// The number of members that are asked to probe a member that did not answer (SWIM, section 3.1).
const INDIRECT_PROBES: usize = 4;
/// How long a suspected member has to refute the suspicion (SWIM, section 4.2).
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(3500);
/// How many times each member retransmits one update (SWIM, section 4.1).
const MAX_TRANSMISSIONS: u8 = 20;
/// Updates sent in addition to those piggybacked on probes.
const GOSSIP: Periodic = Periodic { every: Duration::from_millis(250), members: 3 };
/// Requests to a member for all members that it knows.
const ANNOUNCE: Periodic = Periodic { every: Duration::from_secs(60), members: 1 };
/// Announcements to members that were declared down. They rejoin the two sides of a healed partition.
const ANNOUNCE_TO_DOWN: Periodic = Periodic { every: Duration::from_secs(5), members: 3 };

/// A message that is sent at a fixed interval to a number of randomly chosen members.
struct Periodic {
    every: Duration,
    members: usize,
}

impl Periodic {
    fn params(&self) -> Option<foca::PeriodicParams> {
        Some(foca::PeriodicParams { frequency: self.every, num_members: non_zero(self.members) })
    }
}

fn non_zero(count: usize) -> NonZeroUsize {
    NonZeroUsize::new(count).unwrap_or(NonZeroUsize::MIN)
}

pub(crate) fn swim_config() -> foca::Config {
    foca::Config {
        probe_period: PROBE_PERIOD,
        probe_rtt: PROBE_ROUND_TRIP,
        num_indirect_probes: non_zero(INDIRECT_PROBES),
        suspect_to_down_after: SUSPICION_TIMEOUT,
        max_transmissions: NonZeroU8::new(MAX_TRANSMISSIONS).unwrap_or(NonZeroU8::MIN),
        max_packet_size: non_zero(MAX_MESSAGE_BYTES),
        notify_down_members: true,
        periodic_announce: ANNOUNCE.params(),
        periodic_announce_to_down_members: ANNOUNCE_TO_DOWN.params(),
        periodic_gossip: GOSSIP.params(),
        ..foca::Config::simple()
    }
}
