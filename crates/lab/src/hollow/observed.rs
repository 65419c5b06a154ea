//! Collects the notices of all initiators, real and hollow: which endpoints each avoids, which members each
//! considers alive, and since when. The phases wait for conditions on this state.

use super::initiator::{Notice, NoticeKind};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::time::timeout_at;

/// The state known from the notices so far. Initiators are numbered, real ones first.
pub struct Observed {
    events: mpsc::UnboundedReceiver<Notice>,
    /// Number of real initiators.
    pub real: usize,
    /// When each initiator first avoided an endpoint on the advice of peers, by the endpoint's id.
    pub avoided: BTreeMap<String, BTreeMap<usize, Instant>>,
    /// When the endpoint list first showed an endpoint as draining, by its id.
    pub listed_draining: BTreeMap<String, Instant>,
    /// The names of the members that each initiator considers alive. For real initiators some may be missing,
    /// because the rate of their log is limited.
    pub alive_members: Vec<BTreeSet<String>>,
    /// When each initiator last began to consider a member alive or dead, by the member's name and whether
    /// alive.
    transitions: BTreeMap<(String, bool), BTreeMap<usize, Instant>>,
    /// The names of initiators that were stopped or killed.
    pub faulted: BTreeSet<String>,
    /// In the current phase: how often a live initiator was considered dead, and the names of such
    /// initiators.
    false_deaths: (usize, BTreeSet<String>),
    /// Number of warnings.
    pub warnings: usize,
}

impl Observed {
    /// Creates the state before any notice.
    pub fn new(events: mpsc::UnboundedReceiver<Notice>, real: usize, all: usize) -> Self {
        Observed {
            events,
            real,
            avoided: BTreeMap::new(),
            listed_draining: BTreeMap::new(),
            alive_members: vec![BTreeSet::new(); all],
            transitions: BTreeMap::new(),
            faulted: BTreeSet::new(),
            false_deaths: Default::default(),
            warnings: 0,
        }
    }

    /// Applies a notice.
    fn record(&mut self, Notice { initiator, kind, at }: Notice) {
        match kind {
            NoticeKind::Avoided(id) => {
                self.avoided.entry(id).or_default().entry(initiator).or_insert(at);
            }
            NoticeKind::ListedDraining(id) => {
                self.listed_draining.entry(id).or_insert(at);
            }
            NoticeKind::MemberUp(name) => {
                self.alive_members[initiator].insert(name.clone());
                self.transitions.entry((name, true)).or_default().insert(initiator, at);
            }
            NoticeKind::MemberDown(name) => {
                self.alive_members[initiator].remove(&name);
                if !self.faulted.contains(&name) {
                    self.false_deaths.0 += 1;
                    self.false_deaths.1.insert(name.clone());
                }
                self.transitions.entry((name, false)).or_default().insert(initiator, at);
            }
            NoticeKind::Warning => self.warnings += 1,
        }
    }

    /// Applies notices until `done` holds, for at most `within`. Returns whether it holds.
    pub async fn wait_until(&mut self, within: Duration, done: impl Fn(&Self) -> bool) -> bool {
        let end = Instant::now() + within;
        while !done(self) {
            match timeout_at(end.into(), self.events.recv()).await {
                Ok(Some(notice)) => self.record(notice),
                _ => return false,
            }
        }
        true
    }

    /// Applies notices for this time.
    pub async fn wait(&mut self, time: Duration) {
        self.wait_until(time, |_| false).await;
    }

    /// Ends a phase: prints how often live initiators were considered dead in it.
    pub fn print_false_deaths(&mut self, phase: &str) {
        let (times, names) = std::mem::take(&mut self.false_deaths);
        println!("{phase}: alive and taken for dead {times} times, {} initiators", names.len());
    }

    /// Returns how many initiators avoid the endpoint with this id.
    pub fn initiators_avoiding(&self, id: &str) -> usize {
        self.avoided.get(id).map_or(0, BTreeMap::len)
    }

    /// Returns how many hollow initiators consider the member with this name alive.
    pub fn hollow_seeing_alive(&self, name: &str) -> usize {
        self.alive_members[self.real..].iter().filter(|members| members.contains(name)).count()
    }

    /// Returns the seconds after `since` at which initiators began to consider a member alive or dead, in
    /// ascending order.
    pub fn transition_delays(&self, name: &str, alive: bool, since: Instant) -> Vec<f64> {
        let transitions = self.transitions.get(&(name.to_owned(), alive));
        let after = transitions.into_iter().flatten().filter_map(|(_, at)| at.checked_duration_since(since));
        let mut seconds: Vec<f64> = after.map(|d| d.as_secs_f64()).collect();
        seconds.sort_by(f64::total_cmp);
        seconds
    }
}

/// Formats the quantile (0.0 to 1.0) of sorted seconds, or a dash if there are none.
pub fn quantile(sorted: &[f64], at: f64) -> String {
    let last = sorted.len().saturating_sub(1);
    sorted.get((last as f64 * at).round() as usize).map_or("-".into(), |s| format!("{s:.2}"))
}
