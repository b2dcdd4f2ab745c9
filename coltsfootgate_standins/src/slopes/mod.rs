//! Measures how the cost of an instance grows with the size of the deployment.

mod fit;
mod fleet;
mod tree;

use std::io;
use std::path::PathBuf;

use self::fit::LineFit;
use self::fleet::{FleetCost, FleetSize, measure_fleet};

/// The settings of a slope measurement.
#[derive(Clone, Debug)]
pub struct SlopeSettings {
    /// Seconds that each point is measured for.
    pub seconds: f64,
    /// Text that the name of a series must contain for it to be measured.
    pub only: String,
    /// Directory of the compiled binaries.
    pub binaries: PathBuf,
    /// Directory for the logs and the load plan of each fleet.
    pub work: PathBuf,
}

/// A series of fleets that differ in one size only.
struct SlopeSeries {
    name: &'static str,
    values: &'static [f64],
    size: fn(f64) -> FleetSize,
}

const SERIES: &[SlopeSeries] = &[
    SlopeSeries {
        name: "instances",
        values: &[3.0, 9.0, 18.0, 36.0],
        size: |value| FleetSize { instances: value as usize, ..FleetSize::default() },
    },
    SlopeSeries {
        name: "customers",
        values: &[10.0, 300.0, 1100.0],
        size: |value| FleetSize { customers: value as usize, ..FleetSize::default() },
    },
    SlopeSeries {
        name: "endpoints",
        values: &[4.0, 150.0, 600.0],
        size: |value| FleetSize { idle_endpoints: value as usize, ..FleetSize::default() },
    },
    SlopeSeries {
        name: "changes a minute",
        values: &[0.0, 15.0, 30.0],
        size: |value| FleetSize { changes_minute: value, ..FleetSize::default() },
    },
    SlopeSeries {
        name: "model requests a second",
        values: &[0.0, 30.0, 60.0, 120.0],
        size: |value| FleetSize { model_rate: value, ..FleetSize::default() },
    },
    SlopeSeries {
        name: "model requests a second with 18 instances",
        values: &[0.0, 60.0, 120.0],
        size: |value| FleetSize { instances: 18, model_rate: value, ..FleetSize::default() },
    },
    SlopeSeries {
        name: "tokens bound at 60 requests a second",
        values: &[16.0, 64.0, 256.0],
        size: |value| FleetSize {
            model_rate: 60.0,
            max_tokens: value as u32,
            ..FleetSize::default()
        },
    },
    SlopeSeries {
        name: "keyed requests a second",
        values: &[0.0, 50.0, 100.0, 200.0],
        size: |value| FleetSize { keyed_rate: value, ..FleetSize::default() },
    },
];

/// Measures the selected series; prints each point, then slope, intercept and spread of each cost.
///
/// Fails if a process can't be started or controlled.
pub fn run(settings: &SlopeSettings) -> io::Result<()> {
    for series in SERIES.iter().filter(|series| series.name.contains(&settings.only)) {
        println!("\n== {}", series.name);
        FleetCost::print_header();
        let mut points = Vec::new();
        for value in series.values {
            let cost = measure_fleet(settings, &(series.size)(*value))?;
            cost.print(*value);
            points.push((cost.independent_variable(series.name, *value), cost));
        }
        for (name, read) in FleetCost::QUANTITIES {
            let line = LineFit::of(points.iter().map(|(size, cost)| (*size, read(cost))));
            println!("{name:>24}: {line}");
        }
    }
    Ok(())
}
