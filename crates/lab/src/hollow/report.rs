//! Writes the table of a run, with a row for each initiator, and prints its summary.

use super::error::HollowError;
use super::observed::quantile;
use super::phases::{Windows, DRAINS};
use super::window::{ProcessLoad, Window};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

/// Results of a run.
pub struct Report {
    /// Number of real processes.
    pub real: usize,
    /// Number of all initiators, real and hollow.
    pub all: usize,
    /// Results of the measuring windows.
    pub windows: Windows,
    /// For each drain, the seconds from the notification of the first process until an initiator knew, by
    /// initiator.
    pub delays: Vec<BTreeMap<usize, f64>>,
}

impl Report {
    /// Writes the table.
    pub fn write(&self, path: &Path) -> Result<(), HollowError> {
        let mut table = self.head();
        (0..self.all).for_each(|i| table += &self.line(i));
        std::fs::write(path, table + "\n").map_err(HollowError::file(path))
    }

    /// Returns the header line of the table.
    fn head(&self) -> String {
        let mut head = String::from("initiator");
        for (name, _) in self.windows.named() {
            let _ = write!(
                head,
                ",{name}_received_bytes_s,{name}_sent_bytes_s,{name}_core_percent,{name}_memory_mb"
            );
        }
        for n in 1..=DRAINS {
            let _ = write!(head, ",drain_{n}_known_s");
        }
        head
    }

    /// Returns the row of an initiator.
    fn line(&self, i: usize) -> String {
        let mut line = if i < self.real { format!("\nr{i}") } else { format!("\nh{i}") };
        for (_, window) in self.windows.named() {
            let [received, sent] = window.bytes[i];
            let load =
                window.real.get(i).map_or(",".into(), |ProcessLoad { core_percent, memory_megabytes }| {
                    format!("{core_percent:.3},{memory_megabytes:.1}")
                });
            let _ = write!(line, ",{received:.0},{sent:.0},{load}");
        }
        for delays in &self.delays {
            let _ = write!(line, ",{}", delays.get(&i).map_or(String::new(), |s| format!("{s:.3}")));
        }
        line
    }

    /// Prints the figures of the windows, and then those of the run.
    pub fn print(&self) {
        let mut known: Vec<f64> = self.delays.iter().flat_map(|delays| delays.values().copied()).collect();
        known.sort_by(f64::total_cmp);
        let pairs = DRAINS * (self.all - 1);
        let windows: Vec<String> =
            self.windows.named().map(|(name, window)| self.print_window(name, window)).collect();
        println!(
            "hollow: {} hollow and {} real, known by all p50 {} s p99 {} s worst {} s, never {} of {pairs}; \
             a real one sent and received {}",
            self.all - self.real,
            self.real,
            quantile(&known, 0.5),
            quantile(&known, 0.99),
            quantile(&known, 1.0),
            pairs - known.len(),
            windows.join("; "),
        );
    }

    /// Prints the traffic of a window; returns the mean cost of a real initiator in it as text.
    fn print_window(&self, name: &str, window: &Window) -> String {
        let both = |i: usize| window.bytes[i][0] + window.bytes[i][1];
        let (hollow, loopback) = (mean((self.real..self.all).map(both)), window.loopback_bytes_per_second);
        println!(
            "{name}: a hollow one sent and received {hollow:.0} bytes/s; the loopback carried {loopback:.0}"
        );
        // Bytes between two real initiators are not counted. The factor adds them, assuming that an initiator
        // exchanges the same number of bytes with each peer.
        let uncounted = (self.all - 1) as f64 / (self.all - self.real) as f64;
        // The first process is left out, because it also follows the endpoint list.
        let bytes = mean((1..self.real).map(both)) * uncounted;
        let core = mean(window.real[1..].iter().map(|load| load.core_percent));
        let memory = mean(window.real[1..].iter().map(|load| load.memory_megabytes));
        format!("{bytes:.0} bytes/s {name}, {core:.2}% of a core, {memory:.1} MB")
    }
}

/// Returns the mean, or 0 if there are no values.
fn mean(of: impl Iterator<Item = f64>) -> f64 {
    let all: Vec<f64> = of.collect();
    all.iter().sum::<f64>() / all.len().max(1) as f64
}
