//! Detects which processes are alive: the SWIM protocol as a reducer.
//!
//! A member that does not answer is suspected before it is declared down, and can refute the suspicion. One
//! listed address that answers is enough to join the whole group. A process that stops as planned announces
//! its departure.

use crate::datagram::{self, DatagramError};
use crate::swim_config::swim_config;
use crate::timers::Timers;
use crate::Member;
use bytes::Bytes;
use foca::{AccumulatingRuntime, Foca, NoCustomBroadcast, OwnedNotification, PostcardCodec, Timer};
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::net::SocketAddr;
use std::time::Duration;

/// The interval between announcements to the listed addresses at which no member is known.
const JOIN_INTERVAL: Duration = Duration::from_secs(2);

/// An event that [`Membership::step`] processes.
#[derive(Clone, Debug)]
pub enum Input {
    /// A datagram arrived.
    DatagramReceived(Bytes),
    /// The timer of the last [`Effect::SetTimer`] expired.
    TimerExpired,
    /// This process stops as planned. The other members are notified, and all later inputs are ignored.
    Leave,
}

/// An action that the caller has to carry out.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Send a datagram. The protocol tolerates its loss.
    Send {
        /// The receiver's address.
        to: SocketAddr,
        /// The encoded datagram.
        datagram: Bytes,
    },
    /// A member was found to be alive.
    MemberUp(Member),
    /// A member left, or was declared down.
    MemberDown(Member),
    /// Two processes have the same name.
    DuplicateName {
        /// The process that was already known; it may be this one.
        known: Member,
        /// The process that joined.
        joined: Member,
    },
    /// A received datagram was rejected, or one could not be encoded.
    DatagramFailed(DatagramError),
    /// Deliver [`Input::TimerExpired`] at this time. Replaces the timer that was set before.
    SetTimer(Duration),
}

/// The group membership as one process sees it.
pub struct Membership {
    foca: Foca<Member, PostcardCodec, StdRng, NoCustomBroadcast>,
    timers: Timers<Timer<Member>>,
    listed_addresses: Vec<SocketAddr>,
    next_join_at: Duration,
    has_left: bool,
}

impl Membership {
    /// Creates the state of a process that knows no other member yet. The process announces itself at the
    /// listed addresses from the first [`Input::TimerExpired`] on. `seed` initialises the protocol's random
    /// number generator.
    pub fn new(me: Member, listed_addresses: Vec<SocketAddr>, seed: u64) -> Self {
        let others = listed_addresses.into_iter().filter(|address| *address != me.address).collect();
        Membership {
            foca: Foca::new(me, swim_config(), StdRng::seed_from_u64(seed), PostcardCodec),
            timers: Timers::new(),
            listed_addresses: others,
            next_join_at: Duration::ZERO,
            has_left: false,
        }
    }

    /// Returns the identity of this process.
    pub fn me(&self) -> &Member {
        self.foca.identity()
    }

    /// Returns the other members that are alive or suspected.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.foca.iter_members().map(|member| member.id())
    }

    /// Processes one input and returns the resulting effects. `now` is a time on the process's monotonic
    /// clock.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Effect> {
        if self.has_left {
            return Vec::new();
        }
        let mut runtime = AccumulatingRuntime::new();
        let handled = match input {
            Input::DatagramReceived(bytes) => self.receive(&bytes, &mut runtime),
            Input::TimerExpired => self.expire_timers(now, &mut runtime),
            Input::Leave => self.leave(&mut runtime),
        };
        let mut effects: Vec<Effect> = handled.err().map(Effect::DatagramFailed).into_iter().collect();
        self.apply(now, runtime, &mut effects);
        effects.extend(self.next_timer().map(Effect::SetTimer));
        effects
    }

    fn receive(
        &mut self,
        datagram: &[u8],
        runtime: &mut AccumulatingRuntime<Member>,
    ) -> Result<(), DatagramError> {
        let message = datagram::decode(datagram)?;
        self.foca.handle_data(message, runtime).map_err(DatagramError::Unreadable)
    }

    fn leave(&mut self, runtime: &mut AccumulatingRuntime<Member>) -> Result<(), DatagramError> {
        self.has_left = true;
        self.foca.leave_cluster(runtime).map_err(DatagramError::NotSent)
    }

    fn expire_timers(
        &mut self,
        now: Duration,
        runtime: &mut AccumulatingRuntime<Member>,
    ) -> Result<(), DatagramError> {
        while let Some(timer) = self.timers.pop_expired(now) {
            // foca returns an error for a timer of an earlier identity. Such a timer has no effect.
            let _ = self.foca.handle_timer(timer, &mut *runtime);
        }
        match self.next_join_at <= now {
            true => self.join(now, runtime),
            false => Ok(()),
        }
    }

    /// Announces this process at all listed addresses where no member is known.
    ///
    /// Every address is tried; the first error is returned.
    fn join(
        &mut self,
        now: Duration,
        runtime: &mut AccumulatingRuntime<Member>,
    ) -> Result<(), DatagramError> {
        self.next_join_at = now + JOIN_INTERVAL;
        let mut announced = Ok(());
        for address in self.addresses_to_join() {
            let sent = self.foca.announce(Member::unknown_at(address), &mut *runtime);
            announced = announced.and(sent.map_err(DatagramError::NotSent));
        }
        announced
    }

    /// Returns the listed addresses where no member is known.
    fn addresses_to_join(&self) -> Vec<SocketAddr> {
        let is_known = |address: &SocketAddr| self.others().any(|member| member.address == *address);
        self.listed_addresses.iter().filter(|address| !is_known(address)).copied().collect()
    }

    fn next_timer(&self) -> Option<Duration> {
        if self.has_left {
            return None;
        }
        let join_at = (!self.addresses_to_join().is_empty()).then_some(self.next_join_at);
        self.timers.next_expiry().into_iter().chain(join_at).min()
    }

    /// Translates the output of foca: datagrams first, then timers, then notifications.
    fn apply(&mut self, now: Duration, mut runtime: AccumulatingRuntime<Member>, effects: &mut Vec<Effect>) {
        while let Some((to, message)) = runtime.to_send() {
            effects.push(Effect::Send { to: to.address, datagram: datagram::encode(&message) });
        }
        while let Some((after, timer)) = runtime.to_schedule() {
            self.timers.set(now + after, timer);
        }
        while let Some(notification) = runtime.to_notify() {
            self.notify(notification, effects);
        }
    }

    fn notify(&self, notification: OwnedNotification<Member>, effects: &mut Vec<Effect>) {
        match notification {
            OwnedNotification::MemberUp(member) | OwnedNotification::Rename(_, member) => {
                effects.extend(self.duplicates_of(&member));
                effects.push(Effect::MemberUp(member));
            }
            OwnedNotification::MemberDown(member) => effects.push(Effect::MemberDown(member)),
            OwnedNotification::Active
            | OwnedNotification::Idle
            | OwnedNotification::Defunct
            | OwnedNotification::Rejoin(_) => {}
        }
    }

    /// Returns an effect for each known process, this one included, that has the name of `joined` at another
    /// address.
    fn duplicates_of<'a>(&'a self, joined: &'a Member) -> impl Iterator<Item = Effect> + 'a {
        let has_same_name = |known: &&Member| known.name == joined.name && known.address != joined.address;
        let known = self.others().chain([self.me()]).filter(has_same_name);
        known.map(|known| Effect::DuplicateName { known: known.clone(), joined: joined.clone() })
    }
}
