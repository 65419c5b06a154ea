//! One initiator is killed and returns with the list it was first started with, which stays silent for its
//! first ten seconds, amid endpoints that drain, do not answer, fail and have just started. Its errors in those ten seconds,
//! alone and informed by its peers, on the same seeds.

use crate::fleet::{Fleet, Shape, Tally, S};
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

/// What is measured.
const SPAN: Duration = Duration::from_secs(10);

fn shape(peers: bool) -> Shape {
    let endpoints = EndpointFigures {
        capacity: 40.0,
        slow_start_capacity: 0.16,
        slow_start_duration: Duration::from_secs(16),
        overload_factor: 3.0,
        overload_window: Duration::from_secs(3),
    };
    Shape {
        initiators: 4,
        shards: 8,
        copies: 2,
        rate: 20.0,
        writes: 0.3,
        peers,
        endpoints,
        slow_start_units: 16.0,
    }
}

/// How the returning initiator stands to the others.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Arm {
    /// Peers are off everywhere: the start as it was before.
    Cold,
    /// Peers are on, and none answers the one that returns: what its own observations do alone.
    Alone,
    /// Peers answer.
    Informed,
}

const ARMS: [(Arm, &str); 3] = [(Arm::Cold, "cold"), (Arm::Alone, "alone"), (Arm::Informed, "informed")];

struct Outcome {
    tally: Tally,
    crashed: usize,
}

/// One run: the same faults and the same requests in each arm.
fn play(seed: u64, arm: Arm) -> Outcome {
    let shape = shape(arm != Arm::Cold);
    let mut fleet = Fleet::new(shape, seed);
    let mut rng = StdRng::seed_from_u64(seed ^ 0x5eed);
    // At most one endpoint of a shard has a fault.
    let mut shards: Vec<usize> = (0..usize::from(shape.shards)).collect();
    shards.shuffle(&mut rng);
    let mut faulty = shards.into_iter().map(|s| s * shape.copies + rng.random_range(0..shape.copies));
    let mut some = |n| -> Vec<usize> { faulty.by_ref().take(n).collect() };
    let (removed, drained, failing, cold) = (some(2), some(1), some(1), some(2));
    fleet.play(6 * S);
    removed.iter().for_each(|b| fleet.change(*b, Mode::Unresponsive, true));
    drained.iter().for_each(|b| fleet.change(*b, Mode::Draining, true));
    fleet.play(12 * S);
    failing.iter().for_each(|b| fleet.change(*b, Mode::Failing, false));
    fleet.play(18 * S);
    cold.iter().for_each(|b| fleet.restart(*b));
    fleet.play(20 * S);
    fleet.kill(0);
    fleet.play(21 * S);
    fleet.cut_off = (arm == Arm::Alone).then_some(0);
    fleet.return_stale(0, SPAN);
    fleet.play(21 * S + SPAN);
    let crashed = fleet.endpoints.iter().filter(|b| b.crashed).count();
    Outcome { tally: fleet.tally(0).clone(), crashed }
}

/// Plays all seeds in each arm, and keeps a table and a chart.
pub fn run(seeds: u64, out: &Path) -> Result<(), String> {
    let mut table = String::from(
        "seed,arm,asked,served,refused,failed,errors,sent_astray,median_ms,p99_ms,cold_boxes_fallen\n",
    );
    let mut errors: Vec<[u64; 3]> = Vec::new();
    let mut crashed = 0;
    for seed in 1..=seeds {
        errors.push(ARMS.map(|(arm, name)| {
            let Outcome { tally: t, crashed: fell } = play(seed, arm);
            let at = |part| t.times.value_at_quantile(part) as f64 / 1e3;
            let _ = writeln!(
                table,
                "{seed},{name},{},{},{},{},{},{},{:.1},{:.1},{fell}",
                t.asked,
                t.served,
                t.rejected,
                t.failed,
                t.errors(),
                t.misdirected,
                at(0.5),
                at(0.99)
            );
            crashed += if arm == Arm::Informed { fell } else { 0 };
            t.errors()
        }));
    }
    let written = |name: &str, why: &dyn std::fmt::Display| format!("{}: {why}", out.join(name).display());
    std::fs::write(out.join("restart.csv"), table).map_err(|e| written("restart.csv", &e))?;
    draw(&errors, &out.join("restart.svg")).map_err(|e| written("restart.svg", &e))?;
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
