//! A model of a disk box: one server in turn of arrival, slower while cold, falling over when pushed then.

use std::collections::VecDeque;
use std::time::Duration;

/// What a box does with work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Serves it.
    Serves,
    /// Turns it away unseen: it drains.
    Drains,
    /// Takes it and says nothing, ever: its process stands, or it is gone behind an address that swallows.
    Stands,
    /// Answers an error.
    Fails,
}

/// The figures that all boxes of a fleet have.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// Units a second when warm.
    pub capacity: f64,
    /// The part of it just after a start.
    pub start: f64,
    /// Warm so long after a start.
    pub warm_up: Duration,
    /// A cold box falls when sent so many times what it can do within the window.
    pub overload: f64,
    /// That window.
    pub window: Duration,
}

/// What becomes of one piece of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// Served, then.
    Served(Duration),
    /// An error at once.
    Error,
    /// Turned away at once.
    TurnedAway,
    /// Nothing ever comes back.
    Nothing,
    /// The connection breaks.
    Broken,
}

/// One box.
#[derive(Clone, Debug)]
pub struct DiskBox {
    /// The shard it holds.
    pub shard: u16,
    /// What it does now.
    pub mode: Mode,
    /// When it last started; `None`: long ago.
    pub born: Option<Duration>,
    /// It was pushed over.
    pub fallen: bool,
    busy: Duration,
    came: VecDeque<(Duration, f64)>,
}

impl DiskBox {
    /// A warm box.
    pub fn new(shard: u16) -> Self {
        let (born, busy, came) = (None, Duration::ZERO, VecDeque::new());
        DiskBox { shard, mode: Mode::Serves, born, fallen: false, busy, came }
    }

    /// Starts anew: cold, with nothing in hand.
    pub fn restart(&mut self, now: Duration) {
        *self = DiskBox { born: Some(now), ..DiskBox::new(self.shard) };
    }

    /// Units a second at that age.
    fn rate(&self, now: Duration, f: &Figures) -> f64 {
        let age = self.born.map_or(1.0, |b| (now - b).as_secs_f64() / f.warm_up.as_secs_f64()).min(1.0);
        f.capacity * (f.start + (1.0 - f.start) * age)
    }

    /// Takes work, or not.
    pub fn take(&mut self, now: Duration, units: f64, f: &Figures) -> Fate {
        match self.mode {
            _ if self.fallen => return Fate::Broken,
            Mode::Drains => return Fate::TurnedAway,
            Mode::Stands => return Fate::Nothing,
            Mode::Fails => return Fate::Error,
            Mode::Serves => {}
        }
        let rate = self.rate(now, f);
        self.came.push_back((now, units));
        while self.came.front().is_some_and(|c| c.0 + f.window <= now) {
            self.came.pop_front();
        }
        let cold = self.born.is_some_and(|b| now < b + f.warm_up);
        let sent: f64 = self.came.iter().map(|c| c.1).sum();
        if cold && sent > f.overload * rate * f.window.as_secs_f64() {
            self.fallen = true;
            return Fate::Broken;
        }
        self.busy = self.busy.max(now) + Duration::from_secs_f64(units / rate);
        Fate::Served(self.busy)
    }
}
