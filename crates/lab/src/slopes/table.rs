//! Tables of measured values, and least-squares lines through them.

use super::error::SlopesError;
use std::fmt::Write;
use std::path::Path;

/// A table of measured values and the lines fitted to its points.
pub struct Table {
    name: String,
    columns: Vec<&'static str>,
    rows: Vec<Vec<f64>>,
    fits: String,
}

/// A least-squares line.
struct Line {
    intercept: f64,
    slope: f64,
    /// The largest deviation of a point from the line, as a fraction of the line's value there.
    max_deviation: f64,
    /// Abscissa of the point with the largest deviation.
    max_deviation_at: f64,
}

impl Table {
    /// Creates an empty table and prints its columns, which `columns` names, separated by spaces.
    pub fn new(name: &str, columns: &'static str) -> Self {
        println!("{name}: {columns}");
        Table {
            name: name.into(),
            columns: columns.split_whitespace().collect(),
            rows: Vec::new(),
            fits: String::new(),
        }
    }

    /// Adds a row, in the order of the columns, and prints it.
    pub fn row(&mut self, values: &[f64]) {
        println!("{}: {}", self.name, csv_line(values));
        self.rows.push(values.into());
    }

    /// Fits a line to each of `columns` over the column `over`, and prints the lines.
    pub fn fit(&mut self, over: &str, columns: &str) -> Result<(), SlopesError> {
        let column_index = |name: &str| {
            let found = self.columns.iter().position(|c| *c == name);
            found.ok_or_else(|| SlopesError::NoColumn { table: self.name.clone(), column: name.to_owned() })
        };
        let x = column_index(over)?;
        for name in columns.split_whitespace() {
            let y = column_index(name)?;
            let points = self.rows.iter().map(|row| (row[x], row[y])).filter(|p| !p.1.is_nan());
            let points: Vec<(f64, f64)> = points.collect();
            if points.is_empty() {
                continue;
            }
            let Line { intercept, slope, max_deviation, max_deviation_at } = fit_line(&points);
            let max_deviation = 100.0 * max_deviation;
            let fit = format!(
                "{name},{over},{},{intercept:.4},{slope:.6},{max_deviation:.1},{max_deviation_at}",
                points.len()
            );
            println!("{} fit: {fit}", self.name);
            // Writing to a string cannot fail.
            let _ = writeln!(self.fits, "{fit}");
        }
        Ok(())
    }

    /// Writes `slopes-NAME.csv`, and `slopes-NAME-fit.csv` if lines were fitted.
    pub fn write(&self, directory: &Path) -> Result<(), SlopesError> {
        let put = |name: String, text: String| {
            let path = directory.join(name);
            std::fs::write(&path, text).map_err(SlopesError::file(&path))
        };
        let rows: String = self.rows.iter().map(|row| csv_line(row) + "\n").collect();
        put(format!("slopes-{}.csv", self.name), self.columns.join(",") + "\n" + &rows)?;
        if self.fits.is_empty() {
            return Ok(());
        }
        let head = "column,over,points,intercept,slope,worst_deviation_percent,worst_at\n";
        put(format!("slopes-{}-fit.csv", self.name), format!("{head}{}", self.fits))
    }
}

/// Formats numbers as a line of CSV: integers and values from 10,000 without decimals, others with three;
/// values that were not measured (NaN) are empty.
fn csv_line(values: &[f64]) -> String {
    let short = |v: &f64| match v.fract() == 0.0 || v.abs() >= 1e4 {
        _ if v.is_nan() => String::new(),
        true => format!("{v:.0}"),
        false => format!("{v:.3}"),
    };
    values.iter().map(short).collect::<Vec<_>>().join(",")
}

/// Fits a least-squares line to points.
fn fit_line(points: &[(f64, f64)]) -> Line {
    let count = points.len().max(1) as f64;
    let mean = |of: &dyn Fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (x, y) = (mean(&|p| p.0), mean(&|p| p.1));
    let variance = mean(&|p| (p.0 - x).powi(2));
    let slope = if variance > 0.0 { mean(&|p| (p.0 - x) * (p.1 - y)) / variance } else { 0.0 };
    let intercept = y - slope * x;
    let deviation = |p: &(f64, f64)| {
        let predicted = intercept + slope * p.0;
        (p.1 - predicted).abs() / predicted.abs().max(f64::MIN_POSITIVE)
    };
    let max_deviation = points.iter().max_by(|a, b| deviation(a).total_cmp(&deviation(b)));
    Line {
        intercept,
        slope,
        max_deviation: max_deviation.map_or(0.0, deviation),
        max_deviation_at: max_deviation.map_or(0.0, |p| p.0),
    }
}
