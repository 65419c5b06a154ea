//! What the initiators of a run have reported, real and hollow ones: who keeps its requests from which endpoint,
//! who takes whom for alive, and since when. The phases wait on it.

use super::initiator::{News, What};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::time::timeout_at;

/// What initiators have reported so far, by initiator: real ones first.
pub struct Observed {
    events: mpsc::UnboundedReceiver<News>,
    pub real: usize,
    /// When each initiator first kept its requests from an endpoint by advice, by the endpoint's id.
    pub stopped: BTreeMap<String, BTreeMap<usize, Instant>>,
    /// When the endpoint list first called an endpoint draining.
    pub listed: BTreeMap<String, Instant>,
    /// The names of those that each takes for alive; of real ones some may lack, since their log is bounded.
    pub up: Vec<BTreeSet<String>>,
    /// By name and whether alive: when each last came to take it for that.
    turned: BTreeMap<(String, bool), BTreeMap<usize, Instant>>,
    /// Those that were stopped or killed.
    pub faulted: BTreeSet<String>,
    /// In the present part of the run: how often one that is alive was taken for dead, and which.
    falsely_dead: (usize, BTreeSet<String>),
    pub warned: usize,
}

impl Observed {
    pub fn new(events: mpsc::UnboundedReceiver<News>, real: usize, all: usize) -> Self {
        Observed {
            events,
            real,
            stopped: BTreeMap::new(),
            listed: BTreeMap::new(),
            up: vec![BTreeSet::new(); all],
            turned: BTreeMap::new(),
            faulted: BTreeSet::new(),
            falsely_dead: Default::default(),
            warned: 0,
        }
    }

    fn record(&mut self, (who, what, at): News) {
        match what {
            What::Stopped(id) => {
                self.stopped.entry(id).or_default().entry(who).or_insert(at);
            }
            What::Listed(id) => {
                self.listed.entry(id).or_insert(at);
            }
            What::Up(name) => {
                self.up[who].insert(name.clone());
                self.turned.entry((name, true)).or_default().insert(who, at);
            }
            What::Down(name) => {
                self.up[who].remove(&name);
                if !self.faulted.contains(&name) {
                    self.falsely_dead.0 += 1;
                    self.falsely_dead.1.insert(name.clone());
                }
                self.turned.entry((name, false)).or_default().insert(who, at);
            }
            What::Warned => self.warned += 1,
        }
    }

    /// Takes in events until `done`; whether that was in time.
    pub async fn until(&mut self, within: Duration, done: impl Fn(&Self) -> bool) -> bool {
        let end = Instant::now() + within;
        while !done(self) {
            match timeout_at(end.into(), self.events.recv()).await {
                Ok(Some(news)) => self.record(news),
                _ => return false,
            }
        }
        true
    }

    /// Takes in events for so long.
    pub async fn pass(&mut self, time: Duration) {
        self.until(time, |_| false).await;
    }

    /// Ends a phase: prints how often initiators that were alive all the time were taken for dead in it.
    pub fn print_false_deaths(&mut self, phase: &str) {
        let (times, names) = std::mem::take(&mut self.falsely_dead);
        println!("{phase}: alive and taken for dead {times} times, {} initiators", names.len());
    }

    /// How many initiators keep their requests from the endpoint of that id.
    pub fn knowing(&self, id: &str) -> usize {
        self.stopped.get(id).map_or(0, BTreeMap::len)
    }

    /// How many hollow ones take it for alive.
    pub fn hollow_up(&self, name: &str) -> usize {
        self.up[self.real..].iter().filter(|up| up.contains(name)).count()
    }

    /// Seconds from `since` on until each of them turned to take it for alive, or not.
    pub fn turns(&self, name: &str, alive: bool, since: Instant) -> Vec<f64> {
        let turned = self.turned.get(&(name.to_owned(), alive));
        let after = turned.into_iter().flatten().filter_map(|(_, at)| at.checked_duration_since(since));
        let mut seconds: Vec<f64> = after.map(|d| d.as_secs_f64()).collect();
        seconds.sort_by(f64::total_cmp);
        seconds
    }
}

/// The quantile (0.0 to 1.0) of sorted seconds as text, or a dash where there are none.
pub fn quantile(sorted: &[f64], at: f64) -> String {
    let last = sorted.len().saturating_sub(1);
    sorted.get((last as f64 * at).round() as usize).map_or("-".into(), |s| format!("{s:.2}"))
}
