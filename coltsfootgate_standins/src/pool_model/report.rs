//! A table and plots of runs with different loads and assignments.

use std::fmt::Display;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

use plotters::prelude::*;

use super::{
    Assignment, FleetProfile, LoadBurst, PoolOutcome, generate_load, long_answers, review_and_chat,
    run_pool,
};

/// Start and length of the burst in each run.
const BURST_START: Duration = Duration::from_secs(4);
const BURST_LENGTH: Duration = Duration::from_secs(6);
/// Multiples of the usual traffic that are compared.
const BURST_FACTORS: [f64; 3] = [1.0, 1.8, 3.0];
/// Size of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (760, 420);
const MEGA: f64 = 1e6;

/// What a report covers.
#[derive(Clone, Debug)]
pub struct ReportSettings {
    /// Simulated seconds of each run.
    pub seconds: u64,
    /// Seed of the load.
    pub seed: u64,
    /// Directory for the plots.
    pub plots: Option<PathBuf>,
}

/// Makes the profile of a pool and its fleet.
type ProfileMaker = fn(Assignment) -> FleetProfile;

/// One way to decide, with its name in the report.
struct ComparedWay {
    name: &'static str,
    assignment: Assignment,
}

/// The results of one pool, by way and burst.
struct PoolResults {
    pool: &'static str,
    /// For each way, its name and the outcome of each burst factor.
    ways: Vec<(&'static str, Vec<PoolOutcome>)>,
}

fn compared_ways() -> Vec<ComparedWay> {
    let owners = |owner_endpoints, knows_processors| Assignment::Owners {
        owner_endpoints,
        knows_processors,
    };
    let way = |name, assignment| ComparedWay { name, assignment };
    vec![
        way("16 engines an owner", owners(16, false)),
        way("32 engines, strongest", owners(64, true)),
        way("60 engines, strongest", owners(120, true)),
        way("one owner, strongest", owners(300, true)),
        way("entries alone", Assignment::Entries { lag: Duration::from_millis(250) }),
    ]
}

/// Runs all combinations, prints a table and draws the plots.
///
/// # Errors
///
/// Fails if the table or a plot cannot be written.
pub fn write_report(settings: &ReportSettings, output: &mut impl Write) -> io::Result<()> {
    let pools: [(&'static str, ProfileMaker); 2] =
        [("long-answers", long_answers), ("review-and-chat", review_and_chat)];
    for (pool, profile) in pools {
        let results = run_ways(pool, profile, settings);
        write_table(&results, &profile(compared_ways()[0].assignment), output)?;
        if let Some(directory) = &settings.plots {
            draw_plots(&results, directory)?;
        }
    }
    Ok(())
}

fn run_ways(pool: &'static str, profile: ProfileMaker, settings: &ReportSettings) -> PoolResults {
    let run = |way: &ComparedWay, factor: f64| {
        let fleet = profile(way.assignment);
        let burst = LoadBurst { start: BURST_START, length: BURST_LENGTH, class: None, factor };
        let length = Duration::from_secs(settings.seconds);
        let instances = fleet.instances.len();
        let load = generate_load(&fleet.classes, &[burst], instances, length, settings.seed);
        run_pool(&fleet, &load)
    };
    let outcomes = |way: &ComparedWay| BURST_FACTORS.map(|factor| run(way, factor)).to_vec();
    let ways = compared_ways().iter().map(|way| (way.name, outcomes(way))).collect();
    PoolResults { pool, ways }
}

fn write_table(
    results: &PoolResults,
    profile: &FleetProfile,
    output: &mut impl Write,
) -> io::Result<()> {
    let classes = profile.classes.iter().map(|class| format!("{} on time", class.name));
    let columns = ["burst", "shared read again, M", "once, M", "busiest engine", "asked"]
        .map(str::to_owned)
        .into_iter()
        .chain(classes)
        .chain(["refused or given up", "core share", "KB/s", "longest wait"].map(str::to_owned));
    let columns: Vec<String> = columns.collect();
    writeln!(output, "\n| {} | {} |", results.pool, columns.join(" | "))?;
    writeln!(output, "|{}", " --- |".repeat(columns.len() + 1))?;
    for (name, outcomes) in &results.ways {
        for (factor, outcome) in BURST_FACTORS.iter().zip(outcomes) {
            writeln!(output, "| {name} | {} |", table_cells(*factor, outcome).join(" | "))?;
        }
    }
    Ok(())
}

fn table_cells(factor: f64, outcome: &PoolOutcome) -> Vec<String> {
    let unserved: u32 = outcome
        .classes
        .iter()
        .map(|class| class.refused + class.gave_up_waiting + class.gave_up_running)
        .sum();
    let on_time = outcome.classes.iter().map(|class| format!("{:.3}", class.on_time_share()));
    let mut cells = vec![
        format!("{factor}"),
        format!("{:.1}", outcome.shared_again as f64 / MEGA),
        format!("{:.1}", outcome.shared_once as f64 / MEGA),
        format!("{:.2}", outcome.busiest_engine),
        format!("{:.2}", outcome.asked),
    ];
    cells.extend(on_time);
    cells.extend([
        unserved.to_string(),
        format!("{:.3}", outcome.busiest_processor),
        format!("{:.0}", outcome.busiest_bytes / 1e3),
        format!("{} ms", outcome.longest_wait.as_millis()),
    ]);
    cells
}

/// Draws what is read again, and the share on time of the class that has the smallest one.
fn draw_plots(results: &PoolResults, directory: &Path) -> io::Result<()> {
    let again = |outcome: &PoolOutcome| outcome.shared_again as f64 / MEGA;
    let worst = |outcome: &PoolOutcome| {
        outcome.classes.iter().map(|class| class.on_time_share()).fold(1.0, f64::min)
    };
    let path = |plot: &str| directory.join(format!("{}-{plot}.svg", results.pool));
    let caption = format!("{}: shared tokens read again, millions", results.pool);
    draw_plot(&path("shared"), &caption, results, again).map_err(io::Error::other)?;
    let caption = format!("{}: share on time of the worst class", results.pool);
    draw_plot(&path("on-time"), &caption, results, worst).map_err(io::Error::other)
}

/// Draws a value of each way over the burst factor.
fn draw_plot(
    path: &Path,
    caption: &str,
    results: &PoolResults,
    value: impl Fn(&PoolOutcome) -> f64,
) -> Result<(), String> {
    let fault = |error: &dyn Display| format!("{}: {error}", path.display());
    let values = results.ways.iter().flat_map(|(_, outcomes)| outcomes).map(&value);
    let top = values.fold(0.0, f64::max) * 1.05;
    let factors = BURST_FACTORS[0]..BURST_FACTORS[BURST_FACTORS.len() - 1];
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|error| fault(&error))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(factors, 0.0..top)
        .map_err(|error| fault(&error))?;
    let mut mesh = chart.configure_mesh();
    mesh.x_desc("multiple of the usual traffic for six seconds");
    mesh.draw().map_err(|error| fault(&error))?;
    for (number, (name, outcomes)) in results.ways.iter().enumerate() {
        let color = Palette99::pick(number).stroke_width(2);
        let points = BURST_FACTORS.iter().copied().zip(outcomes.iter().map(&value));
        let series = LineSeries::new(points, color);
        let drawn = chart.draw_series(series).map_err(|error| fault(&error))?;
        drawn.label(*name).legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    let mut labels = chart.configure_series_labels();
    labels.border_style(BLACK).background_style(WHITE.mix(0.8));
    labels.draw().map_err(|error| fault(&error))?;
    area.present().map_err(|error| fault(&error))
}
