//! A model of an endpoint: a FIFO queue with one server, which is slower during slow start and crashes when
//! it is overloaded during slow start.

use std::collections::VecDeque;
use std::time::Duration;

/// How an endpoint treats requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Serves them.
    Serving,
    /// Rejects them without serving them.
    Draining,
    /// Accepts them and never answers: its process is stopped, or its address drops packets.
    Unresponsive,
    /// Answers with an error.
    Failing,
}

/// Capacity and overload parameters, the same for all endpoints of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct EndpointFigures {
    /// Capacity after slow start, in units per second.
    pub capacity: f64,
    /// Fraction of `capacity` that is available immediately after a start.
    pub slow_start_capacity: f64,
    /// Duration of slow start.
    pub slow_start_duration: Duration,
    /// An endpoint in slow start crashes when the units sent within the window exceed this multiple of what
    /// it can serve in that time.
    pub overload_factor: f64,
    /// Length of the overload window.
    pub overload_window: Duration,
}

/// Outcome of one request at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served; the work ends at this time since the start of the run.
    Served(Duration),
    /// Answered with an error, immediately.
    Error,
    /// Rejected, immediately.
    Rejected,
    /// No answer is ever sent.
    NoAnswer,
    /// The connection is closed without an answer.
    ConnectionLost,
}

/// A request that arrived at an endpoint.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Duration,
    units: f64,
}

/// State of one endpoint.
#[derive(Clone, Debug)]
pub struct ModelEndpoint {
    /// The shard it holds.
    pub shard: u16,
    /// How it treats requests at present.
    pub mode: Mode,
    /// Time of its last start; `None` if it started long before the run.
    pub started_at: Option<Duration>,
    /// Whether it crashed under overload.
    pub crashed: bool,
    busy_until: Duration,
    arrivals: VecDeque<Arrival>,
}

impl ModelEndpoint {
    /// Returns an endpoint that has finished slow start.
    pub fn new(shard: u16) -> Self {
        let (started_at, busy_until, arrivals) = (None, Duration::ZERO, VecDeque::new());
        ModelEndpoint { shard, mode: Mode::Serving, started_at, crashed: false, busy_until, arrivals }
    }

    /// Restarts the endpoint: it is in slow start and its queue is empty.
    pub fn restart(&mut self, now: Duration) {
        *self = ModelEndpoint { started_at: Some(now), ..ModelEndpoint::new(self.shard) };
    }

    /// Returns the capacity at `now` in units per second; it rises linearly during slow start.
    fn rate(&self, now: Duration, figures: &EndpointFigures) -> f64 {
        let age = self
            .started_at
            .map_or(1.0, |started| (now - started).as_secs_f64() / figures.slow_start_duration.as_secs_f64())
            .min(1.0);
        figures.capacity * (figures.slow_start_capacity + (1.0 - figures.slow_start_capacity) * age)
    }

    /// Queues a request of `units`, unless the endpoint's mode or an overload prevents it.
    pub fn serve(&mut self, now: Duration, units: f64, figures: &EndpointFigures) -> Outcome {
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
