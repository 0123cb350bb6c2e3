//! Compares full scan, subset and the best possible in simulated time:
//! `cargo run --release -p testbed --example routing_rig [PLOT.svg]`.

use std::error::Error;
use std::time::Instant;

use plotters::prelude::*;
use testbed::rig::{
    run, Chooser, Connections, Discovery, Replace, Report, Restart, Shape, Trouble, What, Who,
};

type Any = Box<dyn Error>;

const CHOOSERS: [(Chooser, &str); 3] =
    [(Chooser::Whole, "whole"), (Chooser::Subset, "subset"), (Chooser::Ideal, "ideal")];

fn trouble(who: Who, what: What) -> Vec<Trouble> {
    vec![Trouble { from_ms: 1_000.0, to_ms: 3_000.0, who, what }]
}

fn days() -> Vec<(&'static str, Shape)> {
    let plain = Shape::default();
    let with = |who, what| Shape { troubles: trouble(who, what), load: 0.5, ..Shape::default() };
    vec![
        ("calm, load 0.3", Shape { load: 0.3, ..plain.clone() }),
        ("calm, load 0.6", plain.clone()),
        ("calm, load 0.8", Shape { load: 0.8, ..plain.clone() }),
        ("60 gateways, load 0.6", Shape { gateways: 60, ..plain.clone() }),
        ("a third slow x 5", with(Who::Part(1.0 / 3.0), What::Slow(5.0))),
        ("a third fails half", with(Who::Part(1.0 / 3.0), What::Failing(0.5))),
        ("a zone of three dead", with(Who::Zone(1), What::Dead)),
        ("a cell of ten dead", with(Who::Cell(7), What::Dead)),
        ("100 start cold", Shape { cold: (100, 1_000.0), gateways: 60, ..plain.clone() }),
    ]
}

/// A hundred gateways before sixty backends, of a few requests a second each; 20 s.
fn large() -> Vec<(&'static str, Shape)> {
    let plain = Shape {
        gateways: 100,
        backends: 60,
        slots: 4,
        takes_ms: 200.0,
        aim: (8.0, 20.0),
        load: 0.5,
        lasts_ms: 20_000.0,
        discovery: Some(Discovery { per_s: 50.0, late_ms: 1_000.0 }),
        connections: Some(Connections { cost_ms: 10.0, most: 48, idle_ms: 10_000.0 }),
        ..Shape::default()
    };
    let trouble = |who, what, to_ms| Shape {
        troubles: vec![Trouble { from_ms: 4_000.0, to_ms, who, what }],
        ..plain.clone()
    };
    let release = Restart { from_ms: 5_000.0, over_ms: 1_000.0, gateways: 80, down_ms: 1_500.0 };
    let replaced = Replace { from_ms: 4_000.0, over_ms: 7_000.0, backends: 36, grace_ms: 500.0 };
    vec![
        ("100 before 60", plain.clone()),
        ("80 restarted", Shape { restarts: vec![release], ..plain.clone() }),
        ("a zone back cold", trouble(Who::Zone(1), What::Lost, 9_000.0)),
        ("36 of 60 replaced", Shape { replaced: vec![replaced], load: 0.3, ..plain.clone() }),
        ("a tenth slow x 6", trouble(Who::Part(0.1), What::Slow(6.0), 16_000.0)),
        ("a tenth fails 0.6", trouble(Who::Part(0.1), What::Failing(0.6), 16_000.0)),
        ("a tenth dead", trouble(Who::Part(0.1), What::Dead, 16_000.0)),
    ]
}

fn row(name: &str, chooser: &str, r: &Report, seconds: f64) {
    println!(
        "{name:<22} {chooser:<7} {:>8.4} {:>7.1} {:>7.1} {:>6.3} {:>6.3} {:>6.2} {:>6.3} {:>7.4} {:>5.2} \
         {:>5.2} {:>6.1}",
        r.worth(),
        r.latency_ms(0.5),
        r.latency_ms(0.99),
        r.attempts_each(),
        r.wasted,
        r.spread.0,
        r.spread.1,
        r.refused as f64 / r.asked as f64,
        r.cold_most,
        r.cold_least,
        seconds,
    );
    assert_eq!((r.broken, r.strayed), (0, 0), "{name}, {chooser}: a rule is broken");
}

fn plot(path: &str, curves: &[(&str, Vec<(f64, f64)>)]) -> Result<(), Any> {
    let area = SVGBackend::new(path, (720, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let most = curves.iter().flat_map(|(_, c)| c).map(|(_, y)| *y).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .caption("p99 by load, 1,000 backends, 20 gateways", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(56)
        .build_cartesian_2d(0.2..0.95, 0.0..most * 1.05)?;
    chart.configure_mesh().x_desc("load, part of capacity").y_desc("p99, ms").draw()?;
    for (i, (name, curve)) in curves.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        chart
            .draw_series(LineSeries::new(curve.iter().copied(), color.stroke_width(2)))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}

fn main() -> Result<(), Any> {
    println!(
        "{:<22} {:<7} {:>8} {:>7} {:>7} {:>6} {:>6} {:>6} {:>6} {:>7} {:>5} {:>5} {:>6}",
        "1,000 backends",
        "",
        "in time",
        "p50 ms",
        "p99 ms",
        "tries",
        "waste",
        "most",
        "dev.",
        "refused",
        "cold+",
        "cold-",
        "took s"
    );
    for (name, shape) in days().into_iter().chain(large()) {
        for (chooser, called) in CHOOSERS {
            let begun = Instant::now();
            let report = run(&Shape { chooser, ..shape.clone() });
            row(name, called, &report, begun.elapsed().as_secs_f64());
        }
    }
    let Some(path) = std::env::args().nth(1) else { return Ok(()) };
    let mut curves = Vec::new();
    for (chooser, called) in CHOOSERS {
        let points = [0.3, 0.5, 0.6, 0.7, 0.8, 0.9].map(|load| {
            let shape = Shape { chooser, load, lasts_ms: 2_000.0, ..Shape::default() };
            (load, run(&shape).latency_ms(0.99))
        });
        curves.push((called, points.to_vec()));
    }
    plot(&path, &curves)
}
