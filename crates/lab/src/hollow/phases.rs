//! The phases of a run in order: the initiators learn of each other, the fleet is idle, volumes are used,
//! endpoints drain, and real processes are stopped, killed and restarted. Each phase prints what it measured.

use super::config::{self, ENDPOINTS};
use super::error::HollowError;
use super::experiment::Experiment;
use super::observed::{quantile, Observed};
use super::window::{measure, Window};
use rustix::process::Signal;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Time within which the initiators must learn of each other.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(60);
/// Fraction of all other initiators that each hollow one must know then.
const CONVERGED_FRACTION: f64 = 0.99;
/// Time after which reports about the start no longer circulate.
const SETTLE_TIME: Duration = Duration::from_secs(40);
/// Time after which the sums include the demand of volumes that have just come into use.
const LOAD_SETTLE_TIME: Duration = Duration::from_secs(5);
/// Number of drains without faults.
pub const DRAINS: usize = 5;
/// Time between two drains.
const DRAIN_INTERVAL: Duration = Duration::from_secs(6);
/// Time after the last drain within which all initiators should know of all drains.
const DRAIN_KNOWN_TIMEOUT: Duration = Duration::from_secs(40);
/// How long a process is stopped.
const STOP_DURATION: Duration = Duration::from_secs(20);
/// Time after the stop at which an endpoint drains.
const DRAIN_AFTER_STOP: Duration = Duration::from_secs(5);
/// The endpoint that drains while the process is stopped.
const LATE_DRAINED_ENDPOINT: usize = (DRAINS + 1) * ENDPOINTS / (DRAINS + 2) - 1;
/// Number of endpoints beside the drained ones in the list of the restarted process.
const EXTRA_LISTED_ENDPOINTS: usize = 16;
/// Longest time that a phase waits for the effects of a fault.
const FAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// The process that is stopped.
const STOPPED_PROCESS: usize = 1;
/// The first of the processes that are killed; it is also the one that is restarted.
const KILLED_FROM: usize = 2;

/// Results of the measuring windows.
pub struct Windows {
    /// The fleet is idle.
    pub idle: Window,
    /// Volumes are used; `None` if that was not requested.
    pub busy: Option<Window>,
}

impl Windows {
    /// Returns each window with its name in the tables.
    pub fn named(&self) -> impl Iterator<Item = (&'static str, &Window)> {
        [("idle", Some(&self.idle)), ("busy", self.busy.as_ref())]
            .into_iter()
            .filter_map(|(name, window)| Some((name, window?)))
    }
}

/// Returns the endpoints that drain without faults.
pub fn drained_endpoints() -> Vec<usize> {
    (0..DRAINS).map(|n| n * ENDPOINTS / (DRAINS + 2)).collect()
}

impl Experiment {
    /// Waits until every hollow initiator knows nearly all others, and until the traffic of the start has
    /// ceased.
    pub async fn wait_for_convergence(&mut self) -> Result<(), HollowError> {
        let (observed, others) = (&mut self.observed, self.all - 1);
        let started = Instant::now();
        let required = others as f64 * CONVERGED_FRACTION;
        let converged = observed
            .wait_until(CONVERGENCE_TIMEOUT, |o| {
                o.alive_members[o.real..].iter().all(|members| members.len() as f64 >= required)
            })
            .await;
        let least = observed.alive_members[self.real..].iter().map(BTreeSet::len).min().unwrap_or(0);
        let took = started.elapsed().as_secs_f64();
        println!("start: each hollow one knows {least} or more of {others} others after {took:.1} s");
        if !converged {
            return Err(HollowError::NotConverged(CONVERGENCE_TIMEOUT));
        }
        observed.wait(SETTLE_TIME).await;
        observed.print_false_deaths("start");
        Ok(())
    }

    /// Measures an idle window and, unless `volumes` is 0, one in which each hollow initiator uses that many
    /// volumes.
    pub async fn measure_windows(&mut self, volumes: u64, seconds: u64) -> Result<Windows, HollowError> {
        let idle = self.measure(seconds).await?;
        self.observed.print_false_deaths("idle");
        if volumes == 0 {
            return Ok(Windows { idle, busy: None });
        }
        self.shared.volumes.store(volumes, Ordering::Relaxed);
        self.observed.wait(LOAD_SETTLE_TIME).await;
        let busy = self.measure(seconds).await?;
        self.shared.volumes.store(0, Ordering::Relaxed);
        self.observed.print_false_deaths("busy");
        Ok(Windows { idle, busy: Some(busy) })
    }

    /// Measures one window.
    async fn measure(&mut self, seconds: u64) -> Result<Window, HollowError> {
        measure(&mut self.observed, &self.shared, &mut self.processes, seconds).await
    }

    /// Drains endpoints one after another; only the first process is notified by its list. Returns, for each
    /// drain, how many seconds after that process each other initiator knew.
    pub async fn measure_drains(&mut self) -> Result<Vec<BTreeMap<usize, f64>>, HollowError> {
        let (drained, all) = (drained_endpoints(), self.all);
        for number in &drained {
            self.etcd.drain(*number);
            self.observed.wait(DRAIN_INTERVAL).await;
        }
        let ids: Vec<String> = drained.iter().map(|n| config::endpoint_id(*n)).collect();
        self.observed
            .wait_until(DRAIN_KNOWN_TIMEOUT, |o| ids.iter().all(|id| o.initiators_avoiding(id) + 1 >= all))
            .await;
        let delays = ids.iter().map(|id| self.delays(id)).collect::<Result<_, _>>()?;
        self.observed.print_false_deaths("drains");
        Ok(delays)
    }

    /// Returns how many seconds after the first process each other initiator knew that an endpoint drains.
    fn delays(&self, id: &str) -> Result<BTreeMap<usize, f64>, HollowError> {
        let listed = self.observed.listed_draining.get(id);
        let notified = *listed.ok_or_else(|| HollowError::DrainNotListed(id.to_owned()))?;
        let known =
            self.observed.avoided.get(id).into_iter().flatten().filter(|(initiator, _)| **initiator > 0);
        let delay = |at: &Instant| at.saturating_duration_since(notified).as_secs_f64();
        Ok(known.map(|(initiator, at)| (*initiator, delay(at))).collect())
    }

    /// Stops one process for a while, during which an endpoint drains, and resumes it.
    pub async fn stop_process(&mut self) -> Result<(), HollowError> {
        let (name, late) = (format!("r{STOPPED_PROCESS}"), config::endpoint_id(LATE_DRAINED_ENDPOINT));
        self.observed.faulted.insert(name.clone());
        self.processes[STOPPED_PROCESS].signal(Signal::STOP)?;
        let stopped = Instant::now();
        self.observed.wait(DRAIN_AFTER_STOP).await;
        self.etcd.drain(LATE_DRAINED_ENDPOINT);
        self.observed.wait(STOP_DURATION.saturating_sub(stopped.elapsed())).await;
        let down = self.observed.transition_delays(&name, false, stopped);
        self.processes[STOPPED_PROCESS].signal(Signal::CONT)?;
        let resumed = Instant::now();
        let (hollow, observed) = (self.hollow(), &mut self.observed);
        let knows = |o: &Observed| o.avoided.get(&late)?.get(&STOPPED_PROCESS).copied();
        observed
            .wait_until(FAULT_TIMEOUT, |o| o.hollow_seeing_alive(&name) == hollow && knows(o).is_some())
            .await;
        let back = observed.transition_delays(&name, true, resumed);
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
            STOP_DURATION.as_secs(),
            down.len(),
            self.all - 1,
            quantile(down, 0.5),
            quantile(down, 1.0),
            back.len(),
            quantile(back, 0.5),
            quantile(back, 1.0),
        );
    }

    /// Kills a third of the real processes at once.
    pub async fn kill_processes(&mut self) {
        let (hollow, observed) = (self.hollow(), &mut self.observed);
        let killed: Vec<usize> = (KILLED_FROM..KILLED_FROM + self.real / 3).collect();
        let names: Vec<String> = killed.iter().map(|i| format!("r{i}")).collect();
        observed.faulted.extend(names.iter().cloned());
        killed.iter().for_each(|i| self.processes[*i].kill());
        let killed_at = Instant::now();
        observed
            .wait_until(FAULT_TIMEOUT, |o| names.iter().all(|name| o.hollow_seeing_alive(name) == 0))
            .await;
        let mut down: Vec<f64> =
            names.iter().flat_map(|n| observed.transition_delays(n, false, killed_at)).collect();
        down.sort_by(f64::total_cmp);
        let left: usize = names.iter().map(|name| observed.hollow_seeing_alive(name)).sum();
        println!(
            "killed {} at once: known after p50 {} s, worst {} s; {left} of {} hollow pairs not told",
            killed.len(),
            quantile(&down, 0.5),
            quantile(&down, 1.0),
            killed.len() * hollow
        );
        observed.print_false_deaths("death");
    }

    /// Restarts a killed process with a list from before the drains. The list has only a few endpoints,
    /// because the log of a start with many is truncated to fifty lines.
    pub async fn restart_process(&mut self) -> Result<(), HollowError> {
        let (back, hollow) = (KILLED_FROM, self.hollow());
        let drained: Vec<usize> = drained_endpoints().into_iter().chain([LATE_DRAINED_ENDPOINT]).collect();
        let listed: Vec<usize> = drained.iter().copied().chain(1..=EXTRA_LISTED_ENDPOINTS).collect();
        self.write_file(back, None, &listed)?;
        for known in self.observed.avoided.values_mut() {
            known.remove(&back);
        }
        let restarted = Instant::now();
        self.processes[back].restart()?;
        let (name, ids) =
            (format!("r{back}"), drained.iter().map(|n| config::endpoint_id(*n)).collect::<Vec<_>>());
        let knows = |o: &Observed, id: &String| o.avoided.get(id).is_some_and(|k| k.contains_key(&back));
        let informed = |o: &Observed| ids.iter().filter(|id| knows(o, id)).count();
        let observed = &mut self.observed;
        observed
            .wait_until(FAULT_TIMEOUT, |o| o.hollow_seeing_alive(&name) == hollow && informed(o) == ids.len())
            .await;
        let (delays, alive) =
            (observed.transition_delays(&name, true, restarted), observed.hollow_seeing_alive(&name));
        println!(
            "restarted: alive at {alive} of {hollow} hollow ones after p50 {} s, worst {} s; it knows {} of {} drains",
            quantile(&delays, 0.5),
            quantile(&delays, 1.0),
            informed(observed),
            ids.len()
        );
        observed.print_false_deaths("restart");
        Ok(())
    }

    /// Prints the numbers of the clients' reads and of warnings.
    pub fn print_reads(&self) {
        let [served, failed] = [0, 1].map(|n| self.reads[n].get());
        let warnings = self.observed.warnings;
        println!(
            "clients: {served} reads served, {failed} failed; {warnings} warnings in logs and of hollow ones"
        );
    }
}
