//! Line charts of the report, rendered as inline SVG.

use maud::{Markup, PreEscaped, html};
use plotters::prelude::*;

use super::series::{FaultPeriod, Series};

/// Width and height of a chart, in pixels.
const CHART_SIZE_PX: (u32, u32) = (900, 260);
/// Margin around a chart, in pixels.
const CHART_MARGIN_PX: u32 = 8;
/// Height of the area for the labels of the x axis, in pixels.
const X_LABEL_HEIGHT_PX: u32 = 34;
/// Width of the area for the labels of the y axis, in pixels.
const Y_LABEL_WIDTH_PX: u32 = 54;
/// Width of a line, in pixels.
const LINE_WIDTH_PX: u32 = 2;
/// Length of the sample line beside a name in the legend, in pixels.
const LEGEND_LINE_LENGTH_PX: i32 = 16;
/// Maximum number of series of a chart with a legend; a longer legend would cover the lines.
const MAX_LEGEND_ENTRIES: usize = 6;
/// Ratio of the default upper end of the y axis to the highest point.
const HEADROOM_FACTOR: f64 = 1.1;
/// Ratio of the length of the x axis to the minimum width of a fault's band, which keeps short faults
/// visible.
const MIN_BAND_WIDTH_DIVISOR: f64 = 300.0;

/// Colour of the bands of faults.
const BAND_COLOUR: RGBColor = RGBColor(200, 60, 40);
/// Opacity of the bands of faults, from 0 to 1.
const BAND_OPACITY: f64 = 0.10;
/// Opacity of the background of the legend, from 0 to 1.
const LEGEND_OPACITY: f64 = 0.8;
/// Colours of the lines; further series use them again from the first.
const LINE_COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 96, 20),
    RGBColor(44, 140, 44),
    RGBColor(150, 60, 160),
    RGBColor(120, 90, 60),
    RGBColor(90, 90, 90),
];

/// Chart with a line for each series and a band for each fault.
pub struct Chart<'a> {
    /// Lines of the chart.
    pub series: &'a [Series],
    /// Faults, each shown as a band over its period.
    pub faults: &'a [FaultPeriod],
    /// Right end of the x axis, which begins at 0.
    pub x_max: f64,
    /// Upper end of the y axis, which begins at 0. The default is [`HEADROOM_FACTOR`] times the highest
    /// point, or 1 if no point is above 0.
    pub y_max: Option<f64>,
    /// Label of the x axis.
    pub x_label: &'a str,
    /// Label of the y axis.
    pub y_label: &'a str,
}

impl Chart<'_> {
    /// Renders the chart as SVG, or a paragraph with the error if the chart cannot be drawn.
    pub fn render(&self) -> Markup {
        let mut svg = String::new();
        match self.draw(&mut svg) {
            Ok(()) => PreEscaped(svg),
            Err(error) => html! { p.bad { "The chart could not be drawn: " (error) } },
        }
    }

    fn draw(&self, svg: &mut String) -> Result<(), DrawingAreaErrorKind<std::io::Error>> {
        self.draw_on(&SVGBackend::with_string(svg, CHART_SIZE_PX).into_drawing_area())
    }

    fn draw_on<Backend: DrawingBackend>(
        &self,
        area: &DrawingArea<Backend, plotters::coord::Shift>,
    ) -> Result<(), DrawingAreaErrorKind<Backend::ErrorType>> {
        let y_max = self.y_max.unwrap_or_else(|| self.default_y_max());
        let mut chart = ChartBuilder::on(area)
            .margin(CHART_MARGIN_PX)
            .x_label_area_size(X_LABEL_HEIGHT_PX)
            .y_label_area_size(Y_LABEL_WIDTH_PX)
            .build_cartesian_2d(0.0..self.x_max.max(1.0), 0.0..y_max)?;
        chart
            .configure_mesh()
            .x_desc(self.x_label)
            .y_desc(self.y_label)
            .light_line_style(TRANSPARENT)
            .draw()?;
        for fault in self.faults {
            let right = fault.until_s.max(fault.from_s + self.x_max / MIN_BAND_WIDTH_DIVISOR);
            let corners = [(fault.from_s, 0.0), (right, y_max)];
            let style = BAND_COLOUR.mix(BAND_OPACITY).filled();
            chart.draw_series([Rectangle::new(corners, style)])?;
        }
        let has_names = self.series.len() <= MAX_LEGEND_ENTRIES;
        for (index, series) in self.series.iter().enumerate() {
            let style = LINE_COLOURS[index % LINE_COLOURS.len()].stroke_width(LINE_WIDTH_PX);
            let line = chart.draw_series(LineSeries::new(series.points.iter().copied(), style))?;
            if has_names {
                line.label(&series.name)
                    .legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND_LINE_LENGTH_PX, y)], style));
            }
        }
        if has_names && self.series.len() > 1 {
            chart.configure_series_labels().background_style(WHITE.mix(LEGEND_OPACITY)).draw()?;
        }
        area.present()
    }

    /// Returns the default upper end of the y axis, which is 1 if no point is above 0.
    fn default_y_max(&self) -> f64 {
        let points = self.series.iter().flat_map(|series| &series.points);
        let highest = points.map(|(_, y)| *y).fold(0.0, f64::max);
        if highest > 0.0 { highest * HEADROOM_FACTOR } else { 1.0 }
    }
}
