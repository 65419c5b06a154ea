//! A model of an endpoint: serves one request after another in their order, slower in slow start, and crashes when
//! it is overloaded then.

use std::collections::VecDeque;
use std::time::Duration;

/// What an endpoint does with work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Serves it.
    Serving,
    /// Rejects it unserved.
    Draining,
    /// Takes it and never answers: its process is stopped, or its address drops packets.
    Unresponsive,
    /// Answers an error.
    Failing,
}

/// The figures that all endpoints of a fleet have.
#[derive(Clone, Copy, Debug)]
pub struct EndpointFigures {
    /// Units a second after slow start.
    pub capacity: f64,
    /// The part of that just after a start.
    pub slow_start_capacity: f64,
    /// How long slow start lasts.
    pub slow_start_duration: Duration,
    /// An endpoint in slow start crashes when it is sent so many times what it can do within the window.
    pub overload_factor: f64,
    /// That window.
    pub overload_window: Duration,
}

/// What becomes of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served, at this time since the start of the run.
    Served(Duration),
    /// An error at once.
    Error,
    /// Rejected at once.
    Rejected,
    /// Nothing ever comes back.
    NoAnswer,
    /// The connection breaks.
    ConnectionLost,
}

/// Work that came to an endpoint.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Duration,
    units: f64,
}

/// One endpoint.
#[derive(Clone, Debug)]
pub struct ModelEndpoint {
    /// The shard it holds.
    pub shard: u16,
    /// What it does now.
    pub mode: Mode,
    /// When it last started; `None`: long before the run.
    pub started_at: Option<Duration>,
    /// It crashed under overload.
    pub crashed: bool,
    busy_until: Duration,
    arrivals: VecDeque<Arrival>,
}

impl ModelEndpoint {
    /// One that has long been running.
    pub fn new(shard: u16) -> Self {
        let (started_at, busy_until, arrivals) = (None, Duration::ZERO, VecDeque::new());
        ModelEndpoint { shard, mode: Mode::Serving, started_at, crashed: false, busy_until, arrivals }
    }

    /// Starts anew, in slow start and with nothing queued.
    pub fn restart(&mut self, now: Duration) {
        *self = ModelEndpoint { started_at: Some(now), ..ModelEndpoint::new(self.shard) };
    }

    /// Units a second at that time.
    fn rate(&self, now: Duration, figures: &EndpointFigures) -> f64 {
        let age = self
            .started_at
            .map_or(1.0, |started| (now - started).as_secs_f64() / figures.slow_start_duration.as_secs_f64())
            .min(1.0);
        figures.capacity * (figures.slow_start_capacity + (1.0 - figures.slow_start_capacity) * age)
    }

    /// Takes a request of so many units, or not.
    pub fn take(&mut self, now: Duration, units: f64, figures: &EndpointFigures) -> Outcome {
        match self.mode {
            _ if self.crashed => return Outcome::ConnectionLost,
            Mode::Draining => return Outcome::Rejected,
            Mode::Unresponsive => return Outcome::NoAnswer,
            Mode::Failing => return Outcome::Error,
            Mode::Serving => {}
        }
        let rate = self.rate(now, figures);
        self.arrivals.push_back(Arrival { at: now, units });
        while self.arrivals.front().is_some_and(|arrival| arrival.at + figures.overload_window <= now) {
            self.arrivals.pop_front();
        }
        let slow_start = self.started_at.is_some_and(|started| now < started + figures.slow_start_duration);
        let sent: f64 = self.arrivals.iter().map(|arrival| arrival.units).sum();
        if slow_start && sent > figures.overload_factor * rate * figures.overload_window.as_secs_f64() {
            self.crashed = true;
            return Outcome::ConnectionLost;
        }
        self.busy_until = self.busy_until.max(now) + Duration::from_secs_f64(units / rate);
        Outcome::Served(self.busy_until)
    }
}
