//! SVG plot of the token rate over time.

use plotters::prelude::{
    BLACK, BLUE, ChartBuilder, Color, GREEN, IntoDrawingArea, LineSeries, PathElement, RED,
    SVGBackend, WHITE,
};

use crate::{InjectedFault, RunRecord};

/// Interval over which tokens are counted for one point, in microseconds.
const BUCKET_MICROS: u64 = 100_000;

/// Draws the tokens per second over time, with the throughput bound and the times of the faults.
///
/// # Errors
///
/// Returns the message of the plotting library if the plot cannot be drawn.
pub fn plot_svg(
    record: &RunRecord,
    bound: f64,
    faults: &[InjectedFault],
) -> Result<String, String> {
    let mut svg = String::new();
    draw(&mut svg, record, bound, faults).map_err(|error| error.to_string())?;
    Ok(svg)
}

fn draw(
    svg: &mut String,
    record: &RunRecord,
    bound: f64,
    faults: &[InjectedFault],
) -> Result<(), Box<dyn std::error::Error>> {
    let rates = token_rates(record);
    let seconds = rates.len() as f64 * BUCKET_MICROS as f64 / 1e6;
    let max_rate = rates.iter().copied().fold(bound, f64::max) * 1.1 + 1.0;
    let area = SVGBackend::with_string(svg, (900, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..seconds.max(0.1), 0.0..max_rate)?;
    chart.configure_mesh().x_desc("seconds").y_desc("tokens a second").draw()?;
    let points = rates.iter().enumerate();
    let points = points.map(|(index, rate)| (index as f64 * BUCKET_MICROS as f64 / 1e6, *rate));
    chart.draw_series(LineSeries::new(points, BLUE.stroke_width(2)))?;
    let line = [(0.0, bound), (seconds, bound)];
    chart.draw_series(LineSeries::new(line, GREEN.stroke_width(1)))?;
    for fault in faults {
        let at = fault.at_micros as f64 / 1e6;
        let color = if fault.planned.fault.is_planned() { BLACK } else { RED };
        let mark = PathElement::new(vec![(at, 0.0), (at, max_rate)], color.stroke_width(1));
        chart.draw_series(std::iter::once(mark))?;
    }
    area.present()?;
    drop(chart);
    drop(area);
    Ok(())
}

fn token_rates(record: &RunRecord) -> Vec<f64> {
    let last = record.calls.iter().flat_map(|call| &call.tokens_at).copied().max().unwrap_or(0);
    let mut rates = vec![0.0; (last / BUCKET_MICROS + 1) as usize];
    for at in record.calls.iter().flat_map(|call| &call.tokens_at) {
        rates[(at / BUCKET_MICROS) as usize] += 1e6 / BUCKET_MICROS as f64;
    }
    rates
}
