//! Line charts of the report, drawn as inline SVG.

use maud::{Markup, PreEscaped, html};
use plotters::prelude::*;

use super::series::{FaultPeriod, Series};

/// Width and height, pixels.
const SIZE: (u32, u32) = (900, 260);
const MARGIN: u32 = 8;
const X_LABEL_AREA: u32 = 34;
const Y_LABEL_AREA: u32 = 54;
const LINE_WIDTH: u32 = 2;
/// Length of the sample line beside a name in the legend, pixels.
const LEGEND_LINE: i32 = 16;
/// Charts with more series have no legend: it would cover the lines.
const MAX_LEGEND_ENTRIES: usize = 6;
/// Space above the highest point, as a factor.
const HEADROOM: f64 = 1.1;
/// Narrowest band of a fault, as a part of the x axis: short faults stay visible.
const MIN_BAND_PART: f64 = 300.0;

const BAND_COLOUR: RGBColor = RGBColor(200, 60, 40);
const BAND_OPACITY: f64 = 0.10;
const LEGEND_OPACITY: f64 = 0.8;
const LINE_COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 96, 20),
    RGBColor(44, 140, 44),
    RGBColor(150, 60, 160),
    RGBColor(120, 90, 60),
    RGBColor(90, 90, 90),
];

/// A chart with a line for each series and a band for each fault.
pub struct Chart<'a> {
    pub series: &'a [Series],
    pub faults: &'a [FaultPeriod],
    /// Right end of the x axis, which begins at 0.
    pub x_max: f64,
    /// Upper end of the y axis, which begins at 0; by default a little above the highest point.
    pub y_max: Option<f64>,
    pub x_label: &'a str,
    pub y_label: &'a str,
}

impl Chart<'_> {
    /// The chart as SVG, or a paragraph with the error if it cannot be drawn.
    pub fn render(&self) -> Markup {
        let mut svg = String::new();
        match self.draw(&mut svg) {
            Ok(()) => PreEscaped(svg),
            Err(error) => html! { p.bad { "no plot: " (error) } },
        }
    }

    fn draw(&self, svg: &mut String) -> Result<(), DrawingAreaErrorKind<std::io::Error>> {
        self.draw_on(&SVGBackend::with_string(svg, SIZE).into_drawing_area())
    }

    fn draw_on<Backend: DrawingBackend>(
        &self,
        area: &DrawingArea<Backend, plotters::coord::Shift>,
    ) -> Result<(), DrawingAreaErrorKind<Backend::ErrorType>> {
        let y_max = self.y_max.unwrap_or_else(|| self.default_y_max());
        let mut chart = ChartBuilder::on(area)
            .margin(MARGIN)
            .x_label_area_size(X_LABEL_AREA)
            .y_label_area_size(Y_LABEL_AREA)
            .build_cartesian_2d(0.0..self.x_max.max(1.0), 0.0..y_max)?;
        chart
            .configure_mesh()
            .x_desc(self.x_label)
            .y_desc(self.y_label)
            .light_line_style(TRANSPARENT)
            .draw()?;
        for fault in self.faults {
            let right = fault.until_s.max(fault.from_s + self.x_max / MIN_BAND_PART);
            let corners = [(fault.from_s, 0.0), (right, y_max)];
            let style = BAND_COLOUR.mix(BAND_OPACITY).filled();
            chart.draw_series([Rectangle::new(corners, style)])?;
        }
        let has_names = self.series.len() <= MAX_LEGEND_ENTRIES;
        for (index, series) in self.series.iter().enumerate() {
            let style = LINE_COLOURS[index % LINE_COLOURS.len()].stroke_width(LINE_WIDTH);
            let line = chart.draw_series(LineSeries::new(series.points.iter().copied(), style))?;
            if has_names {
                line.label(&series.name)
                    .legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND_LINE, y)], style));
            }
        }
        if has_names && self.series.len() > 1 {
            chart.configure_series_labels().background_style(WHITE.mix(LEGEND_OPACITY)).draw()?;
        }
        area.present()
    }

    fn default_y_max(&self) -> f64 {
        let points = self.series.iter().flat_map(|series| &series.points);
        let highest = points.map(|(_, y)| *y).fold(0.0, f64::max);
        if highest > 0.0 { highest * HEADROOM } else { 1.0 }
    }
}
