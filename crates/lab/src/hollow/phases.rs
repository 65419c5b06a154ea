//! The phases of a run, in their order: initiators meet, nothing happens, volumes are used, endpoints drain, and
//! real processes are stopped, killed and restarted. Each prints what it measured.

use super::config::{self, BOXES};
use super::error::HollowError;
use super::experiment::Experiment;
use super::observed::{quantile, Observed};
use super::window::{measure, Window};
use rustix::process::Signal;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// What is waited for at most until initiators have met, and the part of all others that each knows by then.
const MET_WITHIN: Duration = Duration::from_secs(60);
const MET_ENOUGH: f64 = 0.99;
/// What passes then, while reports of the start still go round, and once volumes are used.
const SETTLES: Duration = Duration::from_secs(40);
const SUMS_SETTLE: Duration = Duration::from_secs(5);
/// Drains while all is well, how far apart, and how long one may take.
pub const DRAINS: usize = 5;
const DRAIN_EVERY: Duration = Duration::from_secs(6);
const KNOWN_WITHIN: Duration = Duration::from_secs(40);
/// How long a process is stopped, and how far into it an endpoint drains.
const STOPPED: Duration = Duration::from_secs(20);
const DRAINS_INTO: Duration = Duration::from_secs(5);
/// The endpoint that drains then.
const DRAINS_LATE: usize = (DRAINS + 1) * BOXES / (DRAINS + 2) - 1;
/// Endpoints that are listed beside the drained ones where a process returns.
const FEW: usize = 16;
/// What is waited for at most after a fault.
const FAULT_WITHIN: Duration = Duration::from_secs(30);
/// The process that is stopped, the first of those that are killed, and that one returns.
const STOPPED_PROCESS: usize = 1;
const KILLED_FROM: usize = 2;

/// The measuring windows by name.
pub struct Windows {
    /// Nothing happens.
    pub idle: Window,
    /// Volumes are used; `None` where that was not asked for.
    pub busy: Option<Window>,
}

impl Windows {
    /// Each with its name in tables.
    pub fn named(&self) -> impl Iterator<Item = (&'static str, &Window)> {
        [("idle", Some(&self.idle)), ("busy", self.busy.as_ref())]
            .into_iter()
            .filter_map(|(name, window)| Some((name, window?)))
    }
}

/// The endpoints that drain while all is well.
pub fn drained_endpoints() -> Vec<usize> {
    (0..DRAINS).map(|n| n * BOXES / (DRAINS + 2)).collect()
}

impl Experiment {
    /// Waits until nearly all hollow initiators know nearly all others, and for what follows to settle.
    pub async fn meet(&mut self) -> Result<(), HollowError> {
        let (observed, others) = (&mut self.observed, self.all - 1);
        let began = Instant::now();
        let enough = others as f64 * MET_ENOUGH;
        let met =
            observed.until(MET_WITHIN, |o| o.up[o.real..].iter().all(|up| up.len() as f64 >= enough)).await;
        let least = observed.up[self.real..].iter().map(BTreeSet::len).min().unwrap_or(0);
        let took = began.elapsed().as_secs_f64();
        println!("start: each hollow one knows {least} or more of {others} others after {took:.1} s");
        if !met {
            return Err(HollowError::NotMet(MET_WITHIN));
        }
        observed.pass(SETTLES).await;
        observed.print_false_deaths("start");
        Ok(())
    }

    /// Measures while nothing happens, and while so many volumes are used at each hollow initiator, if any.
    pub async fn measure_windows(&mut self, volumes: u64, seconds: u64) -> Result<Windows, HollowError> {
        let idle = self.measure(seconds).await?;
        self.observed.print_false_deaths("idle");
        if volumes == 0 {
            return Ok(Windows { idle, busy: None });
        }
        self.ledger.volumes.store(volumes, Ordering::Relaxed);
        self.observed.pass(SUMS_SETTLE).await;
        let busy = self.measure(seconds).await?;
        self.ledger.volumes.store(0, Ordering::Relaxed);
        self.observed.print_false_deaths("busy");
        Ok(Windows { idle, busy: Some(busy) })
    }

    async fn measure(&mut self, seconds: u64) -> Result<Window, HollowError> {
        measure(&mut self.observed, &self.ledger, &mut self.processes, seconds).await
    }

    /// Endpoints drain that the first process alone is notified of; how many seconds after it each other
    /// initiator knew, by drain.
    pub async fn drain(&mut self) -> Result<Vec<BTreeMap<usize, f64>>, HollowError> {
        let (drained, all) = (drained_endpoints(), self.all);
        for number in &drained {
            self.etcd.drain(*number);
            self.observed.pass(DRAIN_EVERY).await;
        }
        let ids: Vec<String> = drained.iter().map(|n| config::name(*n)).collect();
        self.observed.until(KNOWN_WITHIN, |o| ids.iter().all(|id| o.knowing(id) + 1 >= all)).await;
        let delays = ids.iter().map(|id| self.delays(id)).collect::<Result<_, _>>()?;
        self.observed.print_false_deaths("drains");
        Ok(delays)
    }

    /// By initiator, without the first process: how many seconds after that it knew that an endpoint drains.
    fn delays(&self, id: &str) -> Result<BTreeMap<usize, f64>, HollowError> {
        let listed = self.observed.listed.get(id);
        let notified = *listed.ok_or_else(|| HollowError::DrainNotListed(id.to_owned()))?;
        let known = self.observed.stopped.get(id).into_iter().flatten().filter(|(who, _)| **who > 0);
        let delay = |at: &Instant| at.saturating_duration_since(notified).as_secs_f64();
        Ok(known.map(|(who, at)| (*who, delay(at))).collect())
    }

    /// One process is stopped for a while, in which an endpoint drains.
    pub async fn stop_process(&mut self) -> Result<(), HollowError> {
        let (name, late) = (format!("r{STOPPED_PROCESS}"), config::name(DRAINS_LATE));
        self.observed.faulted.insert(name.clone());
        self.processes[STOPPED_PROCESS].signal(Signal::STOP)?;
        let stopped = Instant::now();
        self.observed.pass(DRAINS_INTO).await;
        self.etcd.drain(DRAINS_LATE);
        self.observed.pass(STOPPED.saturating_sub(stopped.elapsed())).await;
        let down = self.observed.turns(&name, false, stopped);
        self.processes[STOPPED_PROCESS].signal(Signal::CONT)?;
        let resumed = Instant::now();
        let (hollow, observed) = (self.hollow(), &mut self.observed);
        let knows = |o: &Observed| o.stopped.get(&late)?.get(&STOPPED_PROCESS).copied();
        observed.until(FAULT_WITHIN, |o| o.hollow_up(&name) == hollow && knows(o).is_some()).await;
        let back = observed.turns(&name, true, resumed);
        let learnt = knows(observed).map_or("never".into(), |at| {
            format!("{:.2} s", at.saturating_duration_since(resumed).as_secs_f64())
        });
        self.print_stop(&down, &back, &learnt);
        self.observed.print_false_deaths("stop");
        Ok(())
    }

    fn print_stop(&self, down: &[f64], back: &[f64], learnt: &str) {
        println!(
            "stopped for {} s: taken for dead by {} of {} after p50 {} s, worst {} s; alive again at {} of them \
             after p50 {} s, worst {} s; a drain of meanwhile known after {learnt}",
            STOPPED.as_secs(),
            down.len(),
            self.all - 1,
            quantile(down, 0.5),
            quantile(down, 1.0),
            back.len(),
            quantile(back, 0.5),
            quantile(back, 1.0),
        );
    }

    /// A third of the processes is killed at once.
    pub async fn kill_processes(&mut self) {
        let (hollow, observed) = (self.hollow(), &mut self.observed);
        let killed: Vec<usize> = (KILLED_FROM..KILLED_FROM + self.real / 3).collect();
        let names: Vec<String> = killed.iter().map(|i| format!("r{i}")).collect();
        observed.faulted.extend(names.iter().cloned());
        killed.iter().for_each(|i| self.processes[*i].kill());
        let killed_at = Instant::now();
        observed.until(FAULT_WITHIN, |o| names.iter().all(|name| o.hollow_up(name) == 0)).await;
        let mut down: Vec<f64> = names.iter().flat_map(|n| observed.turns(n, false, killed_at)).collect();
        down.sort_by(f64::total_cmp);
        let left: usize = names.iter().map(|name| observed.hollow_up(name)).sum();
        println!(
            "killed {} at once: known after p50 {} s, worst {} s; {left} of {} hollow pairs not told",
            killed.len(),
            quantile(&down, 0.5),
            quantile(&down, 1.0),
            killed.len() * hollow
        );
        observed.print_false_deaths("death");
    }

    /// A killed process returns with a list from before the drains: of a few endpoints, since of a start's log
    /// with many all but fifty lines are left out.
    pub async fn restart_process(&mut self) -> Result<(), HollowError> {
        let (back, hollow) = (KILLED_FROM, self.hollow());
        let drained: Vec<usize> = drained_endpoints().into_iter().chain([DRAINS_LATE]).collect();
        let listed: Vec<usize> = drained.iter().copied().chain(1..=FEW).collect();
        self.write_file(back, None, &listed)?;
        for known in self.observed.stopped.values_mut() {
            known.remove(&back);
        }
        let restarted = Instant::now();
        self.processes[back].restart()?;
        let (name, ids) = (format!("r{back}"), drained.iter().map(|n| config::name(*n)).collect::<Vec<_>>());
        let knows = |o: &Observed, id: &String| o.stopped.get(id).is_some_and(|k| k.contains_key(&back));
        let informed = |o: &Observed| ids.iter().filter(|id| knows(o, id)).count();
        let observed = &mut self.observed;
        observed.until(FAULT_WITHIN, |o| o.hollow_up(&name) == hollow && informed(o) == ids.len()).await;
        let (turns, up) = (observed.turns(&name, true, restarted), observed.hollow_up(&name));
        println!(
            "restarted: alive at {up} of {hollow} hollow ones after p50 {} s, worst {} s; it knows {} of {} drains",
            quantile(&turns, 0.5),
            quantile(&turns, 1.0),
            informed(observed),
            ids.len()
        );
        observed.print_false_deaths("restart");
        Ok(())
    }

    /// What became of the clients' reads, and how often initiators warned.
    pub fn print_reads(&self) {
        let [served, failed] = [0, 1].map(|n| self.reads[n].get());
        let warned = self.observed.warned;
        println!(
            "clients: {served} reads served, {failed} failed; {warned} warnings in logs and of hollow ones"
        );
    }
}
