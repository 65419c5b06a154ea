//! Tables of measured figures, and straight lines through them.

use super::error::SlopesError;
use std::fmt::Write;
use std::path::Path;

/// One table, written as it is, and the lines through its points.
pub struct Table {
    name: String,
    columns: Vec<&'static str>,
    rows: Vec<Vec<f64>>,
    fits: String,
}

/// The least-squares line through points.
struct Line {
    intercept: f64,
    slope: f64,
    /// The largest deviation of a point, as a part of what the line says there.
    worst: f64,
    /// Where that is.
    worst_at: f64,
}

impl Table {
    /// An empty one.
    pub fn new(name: &str, columns: &'static str) -> Self {
        println!("{name}: {columns}");
        Table {
            name: name.into(),
            columns: columns.split_whitespace().collect(),
            rows: Vec::new(),
            fits: String::new(),
        }
    }

    /// One more row, in the columns' order.
    pub fn row(&mut self, values: &[f64]) {
        println!("{}: {}", self.name, line(values));
        self.rows.push(values.into());
    }

    /// Lines of some columns over another.
    pub fn fit(&mut self, over: &str, columns: &str) -> Result<(), SlopesError> {
        let place = |name: &str| {
            let found = self.columns.iter().position(|c| *c == name);
            found.ok_or_else(|| SlopesError::NoColumn { table: self.name.clone(), column: name.to_owned() })
        };
        let x = place(over)?;
        for name in columns.split_whitespace() {
            let y = place(name)?;
            let points = self.rows.iter().map(|row| (row[x], row[y])).filter(|p| !p.1.is_nan());
            let points: Vec<(f64, f64)> = points.collect();
            if points.is_empty() {
                continue;
            }
            let Line { intercept, slope, worst, worst_at } = through(&points);
            let worst = 100.0 * worst;
            let fit =
                format!("{name},{over},{},{intercept:.4},{slope:.6},{worst:.1},{worst_at}", points.len());
            println!("{} fit: {fit}", self.name);
            // Writing to a text can't fail.
            let _ = writeln!(self.fits, "{fit}");
        }
        Ok(())
    }

    /// Leaves `slopes-NAME.csv`, and `slopes-NAME-fit.csv` where there are lines.
    pub fn write(&self, folder: &Path) -> Result<(), SlopesError> {
        let put = |name: String, text: String| {
            let path = folder.join(name);
            std::fs::write(&path, text).map_err(SlopesError::file(&path))
        };
        let rows: String = self.rows.iter().map(|row| line(row) + "\n").collect();
        put(format!("slopes-{}.csv", self.name), self.columns.join(",") + "\n" + &rows)?;
        if self.fits.is_empty() {
            return Ok(());
        }
        let head = "column,over,points,intercept,slope,worst_deviation_percent,worst_at\n";
        put(format!("slopes-{}-fit.csv", self.name), format!("{head}{}", self.fits))
    }
}

/// Numbers with as many digits as matter; what is not measured is empty.
fn line(values: &[f64]) -> String {
    let short = |v: &f64| match v.fract() == 0.0 || v.abs() >= 1e4 {
        _ if v.is_nan() => String::new(),
        true => format!("{v:.0}"),
        false => format!("{v:.3}"),
    };
    values.iter().map(short).collect::<Vec<_>>().join(",")
}

fn through(points: &[(f64, f64)]) -> Line {
    let count = points.len().max(1) as f64;
    let mean = |of: &dyn Fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (x, y) = (mean(&|p| p.0), mean(&|p| p.1));
    let spread = mean(&|p| (p.0 - x).powi(2));
    let slope = if spread > 0.0 { mean(&|p| (p.0 - x) * (p.1 - y)) / spread } else { 0.0 };
    let intercept = y - slope * x;
    let off = |p: &(f64, f64)| {
        let says = intercept + slope * p.0;
        (p.1 - says).abs() / says.abs().max(f64::MIN_POSITIVE)
    };
    let worst = points.iter().max_by(|a, b| off(a).total_cmp(&off(b)));
    Line { intercept, slope, worst: worst.map_or(0.0, off), worst_at: worst.map_or(0.0, |p| p.0) }
}
