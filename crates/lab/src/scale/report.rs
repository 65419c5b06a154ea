//! Summarizes the rows of all seeds: the tables, the chart and the figures that are printed at the end.

use super::options::Options;
use super::{plans, Row};
use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, LineSeries, PathElement, SVGBackend, BLACK, BLUE, RED, WHITE,
};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

/// Printed in place of a figure for which there are no rows.
const UNMEASURED: &str = "not measured";

/// How soon the other initiators knew what one had learnt, over all seeds, in seconds.
struct PropagationTimes {
    p50: f64,
    p99: f64,
    worst: f64,
    never: u64,
    pairs: u64,
}

/// The rows of all seeds.
pub struct Report<'a> {
    /// What was run.
    pub options: &'a Options,
    /// The rows of all seeds.
    pub rows: &'a [Row],
}

impl Report<'_> {
    fn rows_of<'b>(&'b self, arm: &'b str, plan: &'b str, n: usize) -> impl Iterator<Item = &'b Row> + 'b {
        self.rows.iter().filter(move |r| r.arm == arm && r.plan == plan && r.initiators == n)
    }

    /// Returns the mean of a measure over all seeds.
    fn mean(&self, arm: &str, plan: &str, n: usize, measure: &str) -> Option<f64> {
        let values: Vec<f64> =
            self.rows_of(arm, plan, n).filter(|r| r.measure == measure).map(|r| r.value).collect();
        (!values.is_empty()).then(|| values.iter().sum::<f64>() / values.len() as f64)
    }

    /// Returns the quantiles of the times until a drain was known.
    fn propagation_times(&self, arm: &str, n: usize) -> Option<PropagationTimes> {
        let mut times: BTreeMap<u64, u64> = BTreeMap::new();
        let mut pairs = 0;
        for row in self.rows_of(arm, "spread", n) {
            if let Some(ms) = row.measure.strip_prefix("known_after_ms:").and_then(|ms| ms.parse().ok()) {
                *times.entry(ms).or_default() += row.value as u64;
            }
            pairs += if row.measure == "pairs" { row.value as u64 } else { 0 };
        }
        let known: u64 = times.values().sum();
        // Quantiles are taken over all pairs; a pair that never knew counts as longer than any other.
        let at = |part: f64| {
            let mut left = (part * pairs as f64).ceil().max(1.0) as u64;
            let found = times.iter().find(|(_, count)| {
                let here = **count >= left;
                left = left.saturating_sub(**count);
                here
            });
            found.map_or(f64::INFINITY, |(ms, _)| *ms as f64 / 1e3)
        };
        let never = pairs - known.min(pairs);
        (pairs > 0).then(|| PropagationTimes { p50: at(0.5), p99: at(0.99), worst: at(1.0), never, pairs })
    }

    /// Fails if the costs of one busy initiator grow by more than `max_factor` from the smallest to the
    /// largest fleet.
    ///
    /// Bytes and datagrams are the same in each run of a seed. Processor time also depends on the machine's
    /// other load and may therefore grow by twice the factor; a cost that grows with the size of the fleet
    /// exceeds that as well.
    pub fn check_growth(&self, max_factor: f64) -> Result<(), String> {
        let sizes = self.sizes();
        let (Some(first), Some(last)) = (sizes.first(), sizes.last()) else { return Ok(()) };
        for (measure, limit) in
            [("bytes", max_factor), ("datagrams", max_factor), ("core_percent", 2.0 * max_factor)]
        {
            let at = |n: usize| self.mean("after", "busy", n, measure).filter(|mean| *mean > 0.0);
            let (smallest, largest) =
                at(*first).zip(at(*last)).ok_or(format!("scale: no figures of busy {measure} to compare"))?;
            if largest > limit * smallest {
                let times = largest / smallest;
                return Err(format!(
                    "scale: {measure} at {last} is {times:.2} times that at {first}, more than {limit}"
                ));
            }
        }
        Ok(())
    }

    /// Returns the fleet sizes that were measured, in ascending order.
    fn sizes(&self) -> Vec<usize> {
        let mut sizes: Vec<usize> = self.rows.iter().map(|r| r.initiators).collect();
        sizes.sort_unstable();
        sizes.dedup();
        sizes
    }

    /// Writes the tables and the chart, and prints the figures.
    pub fn write(&self, write_error: &dyn Fn(&Path, &dyn std::fmt::Display) -> String) -> Result<(), String> {
        let out = &self.options.out;
        let mut spread = String::from("arm,initiators,p50_s,p99_s,worst_s,never,pairs\n");
        let mut cost = format!("arm,plan,initiators,{}\n", MEASURES.join(","));
        for (_, arm) in &self.options.arms {
            for n in self.sizes() {
                if let Some(k) = self.propagation_times(arm, n) {
                    let _ =
                        writeln!(spread, "{arm},{n},{},{},{},{},{}", k.p50, k.p99, k.worst, k.never, k.pairs);
                }
                for plan in ["idle", "busy"] {
                    let mean = |measure: &str| {
                        self.mean(arm, plan, n, measure).map_or(String::new(), |v| format!("{v:.4}"))
                    };
                    let means: Vec<String> = MEASURES.iter().map(|measure| mean(measure)).collect();
                    if means.iter().any(|v| !v.is_empty()) {
                        let _ = writeln!(cost, "{arm},{plan},{n},{}", means.join(","));
                    }
                }
            }
        }
        for (name, text) in [("scale-spread.csv", spread), ("scale-cost.csv", cost)] {
            let to = out.join(name);
            std::fs::write(&to, text).map_err(|e| write_error(&to, &e))?;
        }
        let chart = out.join("scale-known.svg");
        self.draw(&chart).map_err(|e| write_error(&chart, &*e))?;
        self.print_figures();
        Ok(())
    }

    /// Prints one line for each group of figures.
    fn print_figures(&self) {
        let n = self.options.size.initiators;
        self.print_spread(n);
        self.print_cost(n);
        println!("sums: {}", self.aggregation_figures(n).unwrap_or(UNMEASURED.into()));
        self.print_slope();
        println!("faults: {}", self.fault_figures(n).unwrap_or(UNMEASURED.into()));
    }

    /// Prints how soon a drain was known.
    fn print_spread(&self, n: usize) {
        let propagation_times = |arm: &str| self.propagation_times(arm, n);
        let (after, before) = (propagation_times("after"), propagation_times("before"));
        let first = after.map_or(UNMEASURED.into(), |k| {
            let (p50, p99, worst) = (seconds(k.p50), seconds(k.p99), seconds(k.worst));
            format!(
                "known by all p50 {p50} s, p99 {p99} s, worst {worst} s, never {} of {}",
                k.never, k.pairs
            )
        });
        let then = before.map_or(UNMEASURED.into(), |k| {
            format!("p50 {} s, p99 {} s, never {} of {}", seconds(k.p50), seconds(k.p99), k.never, k.pairs)
        });
        println!("spread: {first} (before {then})");
    }

    /// Prints what the control traffic costs one initiator.
    fn print_cost(&self, n: usize) {
        let figure = |plan: &str, measure: &str, digits: usize| {
            let mean = self.mean("after", plan, n, measure);
            mean.map_or(UNMEASURED.to_owned(), |mean| format!("{mean:.digits$}"))
        };
        println!(
            "cost: a second sent and received idle {} bytes, busy {} bytes, across regions {} bytes; \
             core idle {}%, busy {}%; memory {} MB",
            figure("idle", "bytes", 0),
            figure("busy", "bytes", 0),
            figure("busy", "bytes_across", 0),
            figure("idle", "core_percent", 3),
            figure("busy", "core_percent", 2),
            figure("busy", "memory_megabytes", 2)
        );
    }

    /// Prints the cost of a busy initiator and the longest time until a drain was known, by the size of the
    /// fleet.
    fn print_slope(&self) {
        let sizes: Vec<usize> = self.sizes().into_iter().filter(|n| self.options.sizes.contains(n)).collect();
        let over = |of: &dyn Fn(usize) -> Option<String>| {
            let all = sizes.iter().map(|n| of(*n).unwrap_or(UNMEASURED.into()));
            all.collect::<Vec<_>>().join(" ")
        };
        let mean = |measure: &'static str, digits: usize| {
            move |n: usize| Some(format!("{:.digits$}", self.mean("after", "busy", n, measure)?))
        };
        println!(
            "slope: {}: bytes {}, core {}, worst {}",
            over(&|n| Some(n.to_string())),
            over(&mean("bytes", 0)),
            over(&mean("core_percent", 3)),
            over(&|n| Some(seconds(self.propagation_times("after", n)?.worst)))
        );
    }

    /// Returns how accurate the summed demand was, and how often initiators were counted twice or after their
    /// death.
    fn aggregation_figures(&self, n: usize) -> Option<String> {
        let count = |prefix: &str, measure: &str| {
            let percent: Option<u64> = measure.strip_prefix(prefix)?.parse().ok();
            percent
        };
        let mut accuracies: BTreeMap<u64, u64> = BTreeMap::new();
        for row in self.rows_of("after", "sums", n) {
            if let Some(percent) = count("hit_percent:", &row.measure) {
                *accuracies.entry(percent).or_default() += row.value as u64;
            }
        }
        let mut left = accuracies.values().sum::<u64>().div_ceil(100).max(1);
        let worst = accuracies.iter().find(|(_, count)| {
            let here = **count >= left;
            left = left.saturating_sub(**count);
            here
        });
        let sum = |measure: &str| {
            self.rows_of("after", "sums", n).filter(|r| r.measure == measure).map(|r| r.value).sum::<f64>()
        };
        let (percent, _) = worst?;
        let (twice, dead) = (sum("counted_twice"), sum("of_dead"));
        Some(format!(
            "demand within 4 s {percent}% of the truth at the worst hundredth, counted twice {twice}, \
             of the dead after 10 s {dead}"
        ))
    }

    /// Returns the totals over all fault plans.
    fn fault_figures(&self, n: usize) -> Option<String> {
        let of = |measure: &str| {
            let end = format!(":{measure}");
            self.rows_of("after", "faults", n).filter(move |r| r.measure.ends_with(&end)).map(|r| r.value)
        };
        let plans = of("healed_s").count() / self.options.seeds as usize;
        let healed = of("healed_s").fold(0.0, f64::max);
        let healed = if healed.is_finite() { format!("{healed:.2}") } else { "never".into() };
        let (dead, ceilings) = (of("taken_for_dead").sum::<f64>(), of("ceilings_passed").sum::<f64>());
        let figures = format!(
            "plans {plans}, alive taken for dead {dead}, ceilings passed {ceilings}, healed in {healed} s, \
             mutants not measured"
        );
        (plans > 0).then_some(figures)
    }

    /// Draws the fraction of initiators that know of a drain over time, as one line for each arm.
    fn draw(&self, to: &Path) -> Result<(), Box<dyn std::error::Error>> {
        let n = self.options.size.initiators;
        let area = SVGBackend::new(to, (900, 420)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(format!("A drain that one of {n} knows, known by the others"), ("sans-serif", 20))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..plans::REACTION_TIMEOUT.as_secs_f64(), 0.0..100.0)?;
        chart.configure_mesh().x_desc("seconds").y_desc("percent of all pairs").draw()?;
        for ((_, arm), colour) in self.options.arms.iter().zip([RED, BLUE]) {
            let Some(PropagationTimes { pairs, .. }) = self.propagation_times(arm, n) else { continue };
            let mut points: BTreeMap<u64, f64> = BTreeMap::new();
            for row in self.rows_of(arm, "spread", n) {
                if let Some(ms) = row.measure.strip_prefix("known_after_ms:").and_then(|ms| ms.parse().ok()) {
                    *points.entry(ms).or_default() += row.value;
                }
            }
            let mut sum = 0.0;
            let line = points.iter().map(|(ms, count)| {
                sum += count;
                (*ms as f64 / 1e3, 100.0 * sum / pairs as f64)
            });
            chart
                .draw_series(LineSeries::new(line, colour))?
                .label(*arm)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 12, y)], colour));
        }
        chart.configure_series_labels().border_style(BLACK.mix(0.3)).background_style(WHITE).draw()?;
        area.present()?;
        Ok(())
    }
}

/// Formats seconds; infinite ones stand for an event that did not occur.
fn seconds(value: f64) -> String {
    if value.is_finite() {
        format!("{value:.2}")
    } else {
        "never".into()
    }
}

/// The measures in the table of costs, in the order of its columns.
const MEASURES: [&str; 16] = [
    "bytes",
    "bytes_greatest",
    "bytes_worst_second",
    "bytes_across",
    "datagrams",
    "core_percent",
    "core_percent_greatest",
    "core_members",
    "core_broker",
    "core_spread",
    "bytes_sent_news",
    "bytes_sent_sums",
    "exchanges",
    "exchanges_failed",
    "memory_megabytes",
    "taken_for_dead",
];
