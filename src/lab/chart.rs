//! Pictures of a play over time.

use plotters::prelude::*;

use super::outcome::{Outcome, Sample};

const WIDTH_PX: u32 = 1_100;
const HEIGHT_PER_POOL_PX: u32 = 260;
const HEADROOM: f64 = 1.05;

/// One line of a chart: its name, its colour, and the figure that it shows.
type Line = (&'static str, RGBColor, fn(&Sample, f64) -> f64);

/// Draws, for each pool, its hosts, what its tasks reserve, and its demand and forecast in cores, as SVG.
pub fn draw(outcome: &Outcome, cores_per_host: f64) -> Result<String, String> {
    let mut svg = String::new();
    let mut pools: Vec<&str> = outcome.samples.iter().map(|sample| sample.pool.as_str()).collect();
    pools.sort_unstable();
    pools.dedup();
    let height_px = HEIGHT_PER_POOL_PX * pools.len().max(1) as u32;
    {
        let area = SVGBackend::with_string(&mut svg, (WIDTH_PX, height_px)).into_drawing_area();
        area.fill(&WHITE).map_err(|error| error.to_string())?;
        for (pool, panel) in pools.iter().zip(area.split_evenly((pools.len().max(1), 1))) {
            let samples: Vec<&Sample> = outcome.samples.iter().filter(|sample| sample.pool == **pool).collect();
            draw_pool(&panel, pool, &samples, cores_per_host).map_err(|error| error.to_string())?;
        }
        area.present().map_err(|error| error.to_string())?;
    }
    Ok(svg)
}

fn draw_pool<Backend: DrawingBackend>(
    panel: &DrawingArea<Backend, plotters::coord::Shift>,
    pool: &str,
    samples: &[&Sample],
    cores_per_host: f64,
) -> Result<(), DrawingAreaErrorKind<Backend::ErrorType>> {
    let lines: [Line; 5] = [
        ("hosts", BLACK, |sample, cores_per_host| f64::from(sample.hosts) * cores_per_host),
        ("reserved", GREEN, |sample, _| sample.reserved_cores),
        ("on-time demand", BLUE, |sample, _| sample.demand_cores),
        ("forecast", RGBColor(200, 120, 0), |sample, _| sample.forecast_cores),
        ("late demand", RED, |sample, _| sample.late_cores),
    ];
    let end_s = samples.iter().map(|sample| sample.at_s).fold(1.0, f64::max);
    // A forecast that is far off must not hide the other lines.
    let highest = lines.iter().filter(|(name, ..)| *name != "forecast");
    let highest = highest.flat_map(|(_, _, figure)| samples.iter().map(|sample| figure(sample, cores_per_host)));
    let highest = highest.fold(1.0, f64::max) * HEADROOM;
    let mut chart = ChartBuilder::on(panel)
        .caption(format!("{pool}: cores"), ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..end_s, 0.0..highest)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    for (name, colour, figure) in lines {
        let points = samples.iter().map(|sample| (sample.at_s, figure(sample, cores_per_host).min(highest)));
        let series = chart.draw_series(LineSeries::new(points, &colour))?;
        series.label(name).legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 14, y)], colour));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()
}
