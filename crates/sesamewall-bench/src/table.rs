//! Table of measured figures that all experiments share.

use std::fmt::Write;

use serde::Serialize;

/// Limit that a figure must meet.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// Largest value that meets the target.
    AtMost(f64),
    /// Smallest value that meets the target.
    AtLeast(f64),
}

impl Target {
    /// Returns whether a value meets the target. A value that is not a number misses it.
    pub fn is_met(self, value: f64) -> bool {
        match self {
            Self::AtMost(bound) => value <= bound,
            Self::AtLeast(bound) => value >= bound,
        }
    }
}

/// Comparison of a figure with its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The target is met.
    Met,
    /// The target is missed.
    Missed,
}

/// One measured figure.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Row {
    /// Deployment, or `-`.
    pub deployment: String,
    /// Case, such as a traffic pattern.
    pub case: String,
    /// The project's policy or a baseline.
    pub policy: String,
    /// Whether the row is a baseline, whose misses are expected.
    pub baseline: bool,
    /// Name of the figure with its unit.
    pub figure: String,
    /// Measured value.
    pub value: f64,
    /// Target, if the figure has one.
    pub target: Option<Target>,
    /// Comparison with the target, if there is one.
    pub verdict: Option<Verdict>,
}

/// All figures of one run of an experiment.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Table {
    /// Name of the experiment.
    pub name: String,
    /// Seed or first seed; 0 for experiments without random input.
    pub seed: u64,
    /// Figures.
    pub rows: Vec<Row>,
    /// Remarks, such as the seeds with violations.
    pub notes: Vec<String>,
}

/// Identifies the deployment, case and policy of measured figures.
#[derive(Clone, Copy, Debug)]
pub struct Subject<'a> {
    /// Deployment, or `-`.
    pub deployment: &'a str,
    /// Case, or `-`.
    pub case: &'a str,
    /// Policy.
    pub policy: &'a str,
    /// Whether the policy is a baseline.
    pub baseline: bool,
}

impl Table {
    /// Creates an empty table.
    pub fn new(name: &str, seed: u64) -> Self {
        Self { name: name.to_owned(), seed, rows: Vec::new(), notes: Vec::new() }
    }

    /// Adds a figure.
    pub fn add(&mut self, subject: Subject<'_>, figure: &str, value: f64, target: Option<Target>) {
        let verdict = target.map(|target| match target.is_met(value) {
            true => Verdict::Met,
            false => Verdict::Missed,
        });
        self.rows.push(Row {
            deployment: subject.deployment.to_owned(),
            case: subject.case.to_owned(),
            policy: subject.policy.to_owned(),
            baseline: subject.baseline,
            figure: figure.to_owned(),
            value,
            target,
            verdict,
        });
    }

    /// Returns the number of missed targets outside baselines.
    pub fn missed(&self) -> usize {
        let missed = |row: &&Row| !row.baseline && row.verdict == Some(Verdict::Missed);
        self.rows.iter().filter(missed).count()
    }

    /// Returns the table as text in aligned columns.
    pub fn text(&self) -> String {
        let head = ["deployment", "case", "policy", "figure", "value", "target", "verdict"];
        let mut lines = vec![head.map(str::to_owned)];
        lines.extend(self.rows.iter().map(cells));
        let width = |column: usize| lines.iter().map(|line| line[column].len()).max().unwrap_or(0);
        let widths: [usize; 7] = std::array::from_fn(width);
        let mut text = format!("{} (seed {})\n", self.name, self.seed);
        for line in &lines {
            let padded: Vec<_> =
                line.iter().zip(widths).map(|(cell, width)| format!("{cell:width$}")).collect();
            // Writing to a string does not fail.
            let _ = writeln!(text, "{}", padded.join("  ").trim_end());
        }
        for note in &self.notes {
            let _ = writeln!(text, "{note}");
        }
        let _ = writeln!(text, "targets missed, baselines left out: {}", self.missed());
        text
    }
}

fn cells(row: &Row) -> [String; 7] {
    let target = match row.target {
        Some(Target::AtMost(bound)) => format!("<= {}", number(bound)),
        Some(Target::AtLeast(bound)) => format!(">= {}", number(bound)),
        None => String::new(),
    };
    let verdict = match row.verdict {
        Some(Verdict::Met) => "met",
        Some(Verdict::Missed) => "missed",
        None => "",
    };
    let policy =
        if row.baseline { format!("{} (baseline)", row.policy) } else { row.policy.clone() };
    [
        row.deployment.clone(),
        row.case.clone(),
        policy,
        row.figure.clone(),
        number(row.value),
        target,
        verdict.to_owned(),
    ]
}

fn number(value: f64) -> String {
    match value {
        _ if value.fract() == 0.0 && value.abs() < 1e15 => format!("{value}"),
        _ if value.abs() < 0.1 => format!("{value:.6}"),
        _ => format!("{value:.3}"),
    }
}
