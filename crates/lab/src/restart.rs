//! Measures the errors of an initiator that restarts with a stale endpoint list.
//!
//! One initiator is killed and restarts with the list that it was first started with. No list update reaches
//! it for ten seconds, while some endpoints drain, do not answer, fail or are in slow start. The experiment
//! compares its errors in those ten seconds on the same seeds without peers, with peers that do not answer,
//! and with peers that do.

use crate::fleet::{Fleet, FleetConfig, RequestCounts, SECOND};
use crate::model::{EndpointFigures, Mode};
use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, Rectangle, SVGBackend, BLACK, BLUE, RED, WHITE, YELLOW,
};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

/// Virtual time after the restart over which errors are counted.
const MEASURED_SPAN: Duration = Duration::from_secs(10);

/// Returns the fleet's configuration, which differs between the arms in `peers` only.
fn config(peers: bool) -> FleetConfig {
    let endpoints = EndpointFigures {
        capacity: 40.0,
        slow_start_capacity: 0.16,
        slow_start_duration: Duration::from_secs(16),
        overload_factor: 3.0,
        overload_window: Duration::from_secs(3),
    };
    FleetConfig {
        initiators: 4,
        shards: 8,
        replicas_per_shard: 2,
        rate: 20.0,
        write_fraction: 0.3,
        peers,
        endpoints,
        slow_start_units: 16.0,
    }
}

/// What the restarted initiator can learn from its peers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Arm {
    /// Peers are disabled on all initiators.
    Cold,
    /// Peers are enabled, but none answers the restarted initiator, which has its own observations only.
    Alone,
    /// Peers are enabled and answer.
    Informed,
}

const ARMS: [(Arm, &str); 3] = [(Arm::Cold, "cold"), (Arm::Alone, "alone"), (Arm::Informed, "informed")];

/// Result of one run.
struct Outcome {
    request_counts: RequestCounts,
    crashed: usize,
}

/// Runs one seed, with the same faults and the same requests in each arm.
fn run_seed(seed: u64, arm: Arm) -> Outcome {
    let config = config(arm != Arm::Cold);
    let mut fleet = Fleet::new(config, seed);
    let mut rng = StdRng::seed_from_u64(seed ^ 0x5eed);
    // At most one endpoint of a shard has a fault.
    let mut shards: Vec<usize> = (0..usize::from(config.shards)).collect();
    shards.shuffle(&mut rng);
    let mut faulty = shards
        .into_iter()
        .map(|s| s * config.replicas_per_shard + rng.random_range(0..config.replicas_per_shard));
    let mut take_faulty = |n| -> Vec<usize> { faulty.by_ref().take(n).collect() };
    let (removed, drained, failing, cold) = (take_faulty(2), take_faulty(1), take_faulty(1), take_faulty(2));
    fleet.run_until(6 * SECOND);
    removed.iter().for_each(|b| fleet.set_mode(*b, Mode::Unresponsive, true));
    drained.iter().for_each(|b| fleet.set_mode(*b, Mode::Draining, true));
    fleet.run_until(12 * SECOND);
    failing.iter().for_each(|b| fleet.set_mode(*b, Mode::Failing, false));
    fleet.run_until(18 * SECOND);
    cold.iter().for_each(|b| fleet.restart(*b));
    fleet.run_until(20 * SECOND);
    fleet.kill(0);
    fleet.run_until(21 * SECOND);
    fleet.isolated = (arm == Arm::Alone).then_some(0);
    fleet.restart_with_stale_list(0, MEASURED_SPAN);
    fleet.run_until(21 * SECOND + MEASURED_SPAN);
    let crashed = fleet.endpoints.iter().filter(|b| b.crashed).count();
    Outcome { request_counts: fleet.request_counts(0).clone(), crashed }
}

/// Runs all seeds in each arm, writes the table and the chart into `out` and prints the totals.
pub fn run(seeds: u64, out: &Path) -> Result<(), String> {
    let mut table = String::from(
        "seed,arm,asked,served,refused,failed,errors,sent_astray,median_ms,p99_ms,cold_boxes_fallen\n",
    );
    let mut errors: Vec<[u64; 3]> = Vec::new();
    let mut crashed = 0;
    for seed in 1..=seeds {
        errors.push(ARMS.map(|(arm, name)| {
            let Outcome { request_counts: counts, crashed: crashed_endpoints } = run_seed(seed, arm);
            let at = |part| counts.response_times.value_at_quantile(part) as f64 / 1e3;
            let _ = writeln!(
                table,
                "{seed},{name},{},{},{},{},{},{},{:.1},{:.1},{crashed_endpoints}",
                counts.arrived,
                counts.served,
                counts.rejected,
                counts.failed,
                counts.errors(),
                counts.misdirected,
                at(0.5),
                at(0.99)
            );
            crashed += if arm == Arm::Informed { crashed_endpoints } else { 0 };
            counts.errors()
        }));
    }
    let write_error =
        |name: &str, why: &dyn std::fmt::Display| format!("{}: {why}", out.join(name).display());
    std::fs::write(out.join("restart.csv"), table).map_err(|e| write_error("restart.csv", &e))?;
    draw(&errors, &out.join("restart.svg")).map_err(|e| write_error("restart.svg", &e))?;
    let [cold, alone, informed] = [0, 1, 2].map(|arm| errors.iter().map(|e| e[arm]).sum::<u64>());
    let worse = errors.iter().filter(|e| e[2] > e[0]).count();
    println!(
        "seeds {seeds}, of them worse than cold: {worse}; with peers on and none that answers {alone} errors"
    );
    println!(
        "restart: informed {informed} errors, cold {cold}, ratio {:.3}; cold boxes crashed {crashed}",
        informed as f64 / cold.max(1) as f64
    );
    Ok(())
}

/// Draws the errors of each seed as one bar for each arm.
fn draw(errors: &[[u64; 3]], to: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let top = errors.iter().flatten().max().copied().unwrap_or(1).max(1);
    let area = SVGBackend::new(to, (900, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Errors in the first 10 s after a restart with a stale list", ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.5..errors.len() as f64 + 0.5, 0..top + top / 10 + 1)?;
    chart.configure_mesh().disable_x_mesh().x_desc("seed").y_desc("refused and failed").draw()?;
    for (arm, colour) in [RED, YELLOW, BLUE].into_iter().enumerate() {
        let name = ARMS[arm].1;
        let bars = errors.iter().enumerate().map(|(i, e)| {
            let from = (i + 1) as f64 - 0.39 + 0.26 * arm as f64;
            Rectangle::new([(from, 0), (from + 0.25, e[arm])], colour.mix(0.7).filled())
        });
        chart
            .draw_series(bars)?
            .label(name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 12, y + 5)], colour.mix(0.7).filled()));
    }
    chart.configure_series_labels().border_style(BLACK.mix(0.3)).background_style(WHITE).draw()?;
    area.present()?;
    Ok(())
}
