//! SVG charts of load results.

use std::collections::BTreeSet;
use std::fmt::Write;

use crate::result::{LoadResult, Percentiles};

const WIDTH: f64 = 960.0;
const CHART_HEIGHT: f64 = 320.0;
const MARGIN_LEFT: f64 = 70.0;
const MARGIN_RIGHT: f64 = 20.0;
const MARGIN_TOP: f64 = 60.0;
const MARGIN_BOTTOM: f64 = 40.0;
/// Horizontal grid lines of a chart above its base line.
const GRID_LINES: u32 = 4;
/// Share of the width of a group that its bars fill.
const BAR_WIDTH_SHARE: f64 = 0.8;
/// Approximate width of a character as a fraction of the font size. It serves to shrink the labels
/// of many tiers so that they don't overlap, down to the smallest font size.
const CHARACTER_WIDTH: f64 = 0.6;
/// Colours of the results, used in turn. They are distinguishable with the common kinds of colour
/// blindness.
const COLOURS: [&str; 8] = [
    "#0072b2", "#e69f00", "#009e73", "#cc79a7", "#56b4e9", "#d55e00", "#999999", "#f0e442",
];

/// A group of adjacent bars with a common label, one bar for each result.
struct BarGroup {
    label: String,
    values: Vec<Option<f64>>,
}

/// Selects one percentile.
type SelectPercentile = fn(Percentiles) -> f64;

/// Draws the goodput by tier and the latency percentiles by tier.
pub(crate) fn draw(names: &[String], results: &[LoadResult]) -> String {
    let tiers: BTreeSet<&String> = results.iter().flat_map(|r| r.tiers.keys()).collect();
    let goodput = tiers.iter().map(|tier| {
        let value = |r: &LoadResult| Some(r.tiers.get(*tier)?.goodput_tokens_per_second);
        BarGroup {
            label: (*tier).clone(),
            values: results.iter().map(value).collect(),
        }
    });
    let percentiles: [(&str, SelectPercentile); 3] = [
        ("p50", |times| times.p50),
        ("p95", |times| times.p95),
        ("p99", |times| times.p99),
    ];
    let latency = tiers.iter().flat_map(|tier| {
        percentiles.map(|(label, select)| {
            let value = |r: &LoadResult| r.tiers.get(*tier)?.first_token_seconds.map(select);
            BarGroup {
                label: format!("{tier} {label}"),
                values: results.iter().map(value).collect(),
            }
        })
    });
    let charts = [
        ("Goodput by tier, tokens/s", goodput.collect::<Vec<_>>()),
        ("First token by tier, seconds", latency.collect()),
    ];
    let mut svg = String::new();
    let height = CHART_HEIGHT * 2.0;
    append(
        &mut svg,
        format_args!(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {WIDTH} {height}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"{WIDTH}\" height=\"{height}\" fill=\"white\"/>\n"
        ),
    );
    let mut top = 0.0;
    for (title, groups) in charts {
        draw_chart(&mut svg, top, title, names, &groups);
        top += CHART_HEIGHT;
    }
    svg.push_str("</svg>\n");
    svg
}

fn draw_chart(svg: &mut String, top: f64, title: &str, names: &[String], groups: &[BarGroup]) {
    let (base, height) = (
        top + CHART_HEIGHT - MARGIN_BOTTOM,
        CHART_HEIGHT - MARGIN_TOP - MARGIN_BOTTOM,
    );
    let values = groups
        .iter()
        .flat_map(|group| group.values.iter().flatten());
    let maximum = axis_maximum(values.copied().fold(0.0, f64::max));
    append(
        svg,
        format_args!(
            "<text x=\"{MARGIN_LEFT}\" y=\"{:.1}\" font-size=\"15\">{}</text>\n",
            top + 22.0,
            escape(title)
        ),
    );
    draw_legend(svg, top + 42.0, names);
    for line in 0..=GRID_LINES {
        let fraction = f64::from(line) / f64::from(GRID_LINES);
        let y = base - height * fraction;
        append(
            svg,
            format_args!(
                "<line x1=\"{MARGIN_LEFT}\" y1=\"{y:.1}\" x2=\"{:.1}\" y2=\"{y:.1}\" \
             stroke=\"#ccc\"/>\n\
             <text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"end\">{}</text>\n",
                WIDTH - MARGIN_RIGHT,
                MARGIN_LEFT - 6.0,
                y + 4.0,
                format_number(maximum * fraction)
            ),
        );
    }
    let step = (WIDTH - MARGIN_LEFT - MARGIN_RIGHT) / at_least_one(groups.len());
    let bar_width = step * BAR_WIDTH_SHARE / at_least_one(names.len());
    let longest_label = groups.iter().map(|group| group.label.chars().count()).max();
    let font_size =
        (step / (at_least_one(longest_label.unwrap_or(1)) * CHARACTER_WIDTH)).clamp(6.0, 12.0);
    let mut x = MARGIN_LEFT;
    for group in groups {
        append(
            svg,
            format_args!(
                "<text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"middle\" \
                 font-size=\"{font_size:.1}\">{}</text>\n",
                x + step / 2.0,
                base + 18.0,
                escape(&group.label)
            ),
        );
        let mut left = x + step * (1.0 - BAR_WIDTH_SHARE) / 2.0;
        for (index, value) in group.values.iter().enumerate() {
            if let Some(value) = value {
                let bar_height = height * value / maximum;
                append(
                    svg,
                    format_args!(
                        "<rect x=\"{left:.1}\" y=\"{:.1}\" width=\"{bar_width:.1}\" \
                     height=\"{bar_height:.1}\" fill=\"{}\"><title>{} {}: {}</title></rect>\n",
                        base - bar_height,
                        COLOURS[index % COLOURS.len()],
                        escape(&names[index]),
                        escape(&group.label),
                        format_number(*value)
                    ),
                );
            }
            left += bar_width;
        }
        x += step;
    }
}

fn draw_legend(svg: &mut String, y: f64, names: &[String]) {
    let step = (WIDTH - MARGIN_LEFT - MARGIN_RIGHT) / at_least_one(names.len()).max(4.0);
    let mut x = MARGIN_LEFT;
    for (index, name) in names.iter().enumerate() {
        append(
            svg,
            format_args!(
                "<rect x=\"{x:.1}\" y=\"{:.1}\" width=\"10\" height=\"10\" fill=\"{}\"/>\n\
             <text x=\"{:.1}\" y=\"{y:.1}\">{}</text>\n",
                y - 9.0,
                COLOURS[index % COLOURS.len()],
                x + 14.0,
                escape(name)
            ),
        );
        x += step;
    }
}

/// Upper end of an axis: the smallest of 1, 2, 4 and 10 times a power of ten that is not below the
/// value.
fn axis_maximum(value: f64) -> f64 {
    if value <= 0.0 {
        return 1.0;
    }
    let power = 10f64.powf(value.log10().floor());
    let steps = [1.0, 2.0, 4.0, 10.0].map(|step| step * power);
    let mut fits = steps.into_iter().filter(|step| *step >= value);
    fits.next().unwrap_or(power * 10.0)
}

/// Formats a number with three decimals below 10 and with none otherwise, without trailing zeros.
fn format_number(value: f64) -> String {
    let digits = if value >= 10.0 { 0 } else { 3 };
    let text = format!("{value:.digits$}");
    if text.contains('.') {
        text.trim_end_matches('0').trim_end_matches('.').to_owned()
    } else {
        text
    }
}

/// A count as a divisor, at least 1 to avoid division by zero.
fn at_least_one(bars: usize) -> f64 {
    f64::from(u32::try_from(bars).unwrap_or(u32::MAX).max(1))
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

fn append(svg: &mut String, text: std::fmt::Arguments<'_>) {
    // Writing to a string never fails.
    let _ = svg.write_fmt(text);
}
