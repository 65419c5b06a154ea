//! Which background work goes next.
//!
//! It owns the queue of work that nobody waits for (draining a buffer, scrubs, moves, compaction): priorities, a
//! budget of units and of bytes a second for each sort of work, a bound of what is out at a time, deadlines by
//! age, and pauses of a place while clients' requests need it.
//!
//! It never does any work, reads a clock or knows what a place is. What it offers still goes through the
//! decision module, which may let it wait. Amounts are whole numbers, so that books add up.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The number of a piece of work, given by the caller and never used twice.
pub type TaskId = u64;

/// A sort of work, with bounds of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sort {
    /// Of two that could go, the one of the lower number does.
    pub priority: u8,
    /// Units a second; 0: no bound.
    pub units: u64,
    /// Bytes a second; 0: no bound.
    pub bytes: u64,
    /// So much of a second's budget may be saved up.
    pub burst: Duration,
    /// The most pieces out at a time, over all places.
    pub out_most: usize,
    /// The most pieces out at a time at one place.
    pub place_most: usize,
    /// Work that has waited so long goes before all other and ignores pauses; budgets and bounds hold.
    pub age_most: Duration,
}

/// A piece of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Task {
    /// Its sort, by number.
    pub sort: usize,
    /// Where it works: pieces of one place share its pauses.
    pub place: u32,
    /// Its size.
    pub units: u64,
    /// Its bytes.
    pub bytes: u64,
    /// Since when it waits.
    pub since: Duration,
}

const SECOND: i128 = 1_000_000_000;

/// A budget in billionths, so that no part of a unit is lost or found.
#[derive(Clone, Copy, Debug, Default)]
struct Budget {
    rate: u64,
    cap: i128,
    /// Below 0 after a piece that is larger than the store.
    held: i128,
    at: Duration,
}

impl Budget {
    fn new(rate: u64, burst: Duration, now: Duration) -> Self {
        let cap = i128::from(rate) * burst.as_nanos() as i128;
        Budget { rate, cap, held: cap, at: now }
    }

    fn fill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at).as_nanos();
        self.held = (self.held + i128::from(self.rate) * passed as i128).min(self.cap);
        self.at = self.at.max(now);
    }

    /// When so much is there; a piece larger than the store waits until that is full.
    fn ready(&self, amount: u64, now: Duration) -> Duration {
        if self.rate == 0 {
            return now;
        }
        let lacks = (i128::from(amount) * SECOND).min(self.cap.max(1)) - self.held;
        let nanos = lacks.max(0) as u128;
        now + Duration::from_nanos(nanos.div_ceil(u128::from(self.rate)).min(u128::from(u64::MAX)) as u64)
    }

    fn take(&mut self, amount: u64) {
        self.held -= if self.rate == 0 { 0 } else { i128::from(amount) * SECOND };
    }

    fn give_back(&mut self, amount: u64) {
        self.held = (self.held + i128::from(amount) * SECOND).min(self.cap);
    }
}

#[derive(Clone, Debug)]
struct Lane {
    sort: Sort,
    units: Budget,
    bytes: Budget,
    /// By place, oldest first.
    waiting: BTreeMap<u32, BTreeSet<(Duration, TaskId)>>,
    out: usize,
    out_at: BTreeMap<u32, usize>,
}

/// All background work of one process.
#[derive(Clone, Debug)]
pub struct Scheduler {
    lanes: Vec<Lane>,
    tasks: BTreeMap<TaskId, (Task, bool)>,
    /// Places that clients need, and how many of their requests wait there.
    needed: BTreeMap<u32, usize>,
    /// The place that went last, by lane: the next one goes on from there.
    turn: Vec<u32>,
    next: Option<Duration>,
}

impl Scheduler {
    /// Nothing waits yet.
    pub fn new(sorts: &[Sort], now: Duration) -> Self {
        let lane = |sort: &Sort| Lane {
            sort: *sort,
            units: Budget::new(sort.units, sort.burst, now),
            bytes: Budget::new(sort.bytes, sort.burst, now),
            waiting: BTreeMap::new(),
            out: 0,
            out_at: BTreeMap::new(),
        };
        Scheduler {
            lanes: sorts.iter().map(lane).collect(),
            tasks: BTreeMap::new(),
            needed: BTreeMap::new(),
            turn: vec![0; sorts.len()],
            next: None,
        }
    }

    /// Takes a piece of work; no, where its number is taken or its sort unknown.
    pub fn add(&mut self, id: TaskId, task: Task) -> bool {
        let Some(lane) = self.lanes.get_mut(task.sort).filter(|_| !self.tasks.contains_key(&id)) else {
            return false;
        };
        lane.waiting.entry(task.place).or_default().insert((task.since, id));
        self.tasks.insert(id, (task, false));
        true
    }

    /// A piece is done, or is not to be done any more. What it took of a budget stays taken.
    pub fn remove(&mut self, id: TaskId) {
        let Some((task, out)) = self.tasks.remove(&id) else { return };
        self.leave(id, &task, out);
    }

    fn leave(&mut self, id: TaskId, task: &Task, out: bool) {
        let lane = &mut self.lanes[task.sort];
        if out {
            lane.out -= 1;
            let at = lane.out_at.entry(task.place).or_default();
            *at -= 1;
            if *at == 0 {
                lane.out_at.remove(&task.place);
            }
        } else if let Some(waiting) = lane.waiting.get_mut(&task.place) {
            waiting.remove(&(task.since, id));
            if waiting.is_empty() {
                lane.waiting.remove(&task.place);
            }
        }
    }

    /// A piece that was out came back undone: it waits again, as long as it has. Its budget is given back
    /// where nothing ran.
    pub fn again(&mut self, id: TaskId, ran_nothing: bool) {
        let Some((task, true)) = self.tasks.get(&id).copied() else { return };
        self.leave(id, &task, true);
        self.tasks.remove(&id);
        self.add(id, task);
        let lane = &mut self.lanes[task.sort];
        if ran_nothing {
            lane.units.give_back(task.units);
            lane.bytes.give_back(task.bytes);
        }
    }

    /// So many requests of clients wait for a place now; 0: it is theirs no more.
    pub fn need(&mut self, place: u32, requests: usize) {
        if requests == 0 {
            self.needed.remove(&place);
        } else {
            self.needed.insert(place, requests);
        }
    }

    /// All that may go now, in its order; each counts as out until it is removed or comes again.
    pub fn pick(&mut self, now: Duration) -> Vec<TaskId> {
        self.next = None;
        let mut picked = Vec::new();
        for lane in &mut self.lanes {
            lane.units.fill(now);
            lane.bytes.fill(now);
        }
        let mut order: Vec<usize> = (0..self.lanes.len()).collect();
        order.sort_by_key(|l| (self.lanes[*l].sort.priority, *l));
        // What is overdue first, whatever its priority.
        for overdue in [true, false] {
            for lane in order.iter().copied() {
                while let Some(id) = self.pick_one(lane, overdue, now) {
                    picked.push(id);
                }
            }
        }
        picked
    }

    fn wake(&mut self, at: Duration) {
        self.next = Some(self.next.map_or(at, |next| next.min(at)));
    }

    fn pick_one(&mut self, number: usize, overdue: bool, now: Duration) -> Option<TaskId> {
        let lane = &self.lanes[number];
        if lane.out >= lane.sort.out_most {
            return None;
        }
        let (turn, sort) = (self.turn[number], lane.sort);
        let free = |place: &u32| lane.out_at.get(place).copied().unwrap_or(0) < sort.place_most;
        let oldest = lane.waiting.iter().filter(|(place, _)| free(place));
        let oldest = oldest.filter_map(|(place, w)| w.first().map(|(since, id)| (*place, *since, *id)));
        let due = |since: Duration| since + sort.age_most;
        let mut ages = Vec::new();
        let mut candidates: Vec<(bool, Duration, u32, TaskId)> = Vec::new();
        for (place, since, id) in oldest {
            let is_due = due(since) <= now;
            let paused = self.needed.contains_key(&place) && !is_due;
            if !is_due {
                ages.push(due(since));
            }
            if is_due == overdue && !paused {
                // Overdue work by its age, other work place by place.
                candidates.push((place <= turn, if overdue { since } else { Duration::ZERO }, place, id));
            }
        }
        candidates.sort_by_key(|c| if overdue { (false, c.1, c.2) } else { (c.0, c.1, c.2) });
        let chosen = candidates.first().copied();
        ages.into_iter().min().into_iter().for_each(|at| self.wake(at));
        let (_, _, place, id) = chosen?;
        let (task, _) = self.tasks.get(&id).copied()?;
        let lane = &mut self.lanes[number];
        let at = lane.units.ready(task.units, now).max(lane.bytes.ready(task.bytes, now));
        if at > now {
            self.wake(at);
            return None;
        }
        lane.units.take(task.units);
        lane.bytes.take(task.bytes);
        self.leave(id, &task, false);
        let lane = &mut self.lanes[number];
        lane.out += 1;
        *lane.out_at.entry(place).or_default() += 1;
        self.turn[number] = place;
        self.tasks.insert(id, (task, true));
        Some(id)
    }

    /// When [`Scheduler::pick`] may have more to give, with nothing else happening.
    pub fn next(&self) -> Option<Duration> {
        self.next
    }

    /// How many pieces wait, and how many are out.
    pub fn count(&self) -> (usize, usize) {
        let out = self.lanes.iter().map(|l| l.out).sum();
        (self.tasks.len() - out, out)
    }

    /// How long the oldest piece of a sort has waited.
    pub fn oldest(&self, sort: usize, now: Duration) -> Option<Duration> {
        let lane = self.lanes.get(sort)?;
        let first = lane.waiting.values().filter_map(|w| w.first()).map(|(since, _)| *since).min()?;
        Some(now.saturating_sub(first))
    }
}
