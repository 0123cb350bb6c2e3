//! Compares full scan, subset and ideal choice of backends in simulated time:
//! `cargo run --release -p testbed --example routing_rig [PLOT.svg]`.

use std::error::Error;
use std::time::Instant;

use plotters::prelude::*;
use testbed::rig::{
    run, Chooser, Connections, Discovery, Fault, FaultKind, FaultTarget, Replace, Report, Restart, Scenario,
};

type AnyError = Box<dyn Error>;

const CHOOSERS: [(Chooser, &str); 3] =
    [(Chooser::FullScan, "whole"), (Chooser::Subset, "subset"), (Chooser::Ideal, "ideal")];

fn fault(target: FaultTarget, kind: FaultKind) -> Vec<Fault> {
    vec![Fault { from_ms: 1_000.0, to_ms: 3_000.0, target, kind }]
}

/// Scenarios with 1,000 backends and short requests.
fn scenarios() -> Vec<(&'static str, Scenario)> {
    let plain = Scenario::default();
    let with = |target, kind| Scenario { faults: fault(target, kind), load: 0.5, ..Scenario::default() };
    vec![
        ("calm, load 0.3", Scenario { load: 0.3, ..plain.clone() }),
        ("calm, load 0.6", plain.clone()),
        ("calm, load 0.8", Scenario { load: 0.8, ..plain.clone() }),
        ("60 gateways, load 0.6", Scenario { gateways: 60, ..plain.clone() }),
        ("a third slow x 5", with(FaultTarget::Fraction(1.0 / 3.0), FaultKind::Slow(5.0))),
        ("a third fails half", with(FaultTarget::Fraction(1.0 / 3.0), FaultKind::Failing(0.5))),
        ("a zone of three dead", with(FaultTarget::Zone(1), FaultKind::Dead)),
        ("a cell of ten dead", with(FaultTarget::Cell(7), FaultKind::Dead)),
        ("100 start cold", Scenario { cold: (100, 1_000.0), gateways: 60, ..plain.clone() }),
    ]
}

/// Scenarios of 20 s with 100 gateways, a few requests per second at each, and 60 backends.
fn many_gateways() -> Vec<(&'static str, Scenario)> {
    let plain = Scenario {
        gateways: 100,
        backends: 60,
        slots: 4,
        service_time_ms: 200.0,
        objective_and_deadline: (8.0, 20.0),
        load: 0.5,
        duration_ms: 20_000.0,
        discovery: Some(Discovery { calls_per_s: 50.0, max_delay_ms: 1_000.0 }),
        connections: Some(Connections { handshake_ms: 10.0, max_per_backend: 48, idle_ms: 10_000.0 }),
        ..Scenario::default()
    };
    let with_fault = |target, kind, to_ms| Scenario {
        faults: vec![Fault { from_ms: 4_000.0, to_ms, target, kind }],
        ..plain.clone()
    };
    let restart = Restart { from_ms: 5_000.0, over_ms: 1_000.0, gateways: 80, down_ms: 1_500.0 };
    let replacement = Replace { from_ms: 4_000.0, over_ms: 7_000.0, backends: 36, grace_ms: 500.0 };
    vec![
        ("100 before 60", plain.clone()),
        ("80 restarted", Scenario { restarts: vec![restart], ..plain.clone() }),
        ("a zone back cold", with_fault(FaultTarget::Zone(1), FaultKind::Lost, 9_000.0)),
        ("36 of 60 replaced", Scenario { replacements: vec![replacement], load: 0.3, ..plain.clone() }),
        ("a tenth slow x 6", with_fault(FaultTarget::Fraction(0.1), FaultKind::Slow(6.0), 16_000.0)),
        ("a tenth fails 0.6", with_fault(FaultTarget::Fraction(0.1), FaultKind::Failing(0.6), 16_000.0)),
        ("a tenth dead", with_fault(FaultTarget::Fraction(0.1), FaultKind::Dead, 16_000.0)),
    ]
}

fn print_row(name: &str, chooser: &str, r: &Report, seconds: f64) {
    println!(
        "{name:<22} {chooser:<7} {:>8.4} {:>7.1} {:>7.1} {:>6.3} {:>6.3} {:>6.2} {:>6.3} {:>7.4} {:>5.2} \
         {:>5.2} {:>6.1}",
        r.in_time_fraction(),
        r.latency_ms(0.5),
        r.latency_ms(0.99),
        r.attempts_per_request(),
        r.wasted,
        r.spread.0,
        r.spread.1,
        r.rejected as f64 / r.requests as f64,
        r.max_slow_start_use,
        r.min_slow_start_work,
        seconds,
    );
    assert_eq!(
        (r.wrongly_answered, r.repeated_across_cells),
        (0, 0),
        "{name}, {chooser}: a rule is violated"
    );
}

fn plot(path: &str, curves: &[(&str, Vec<(f64, f64)>)]) -> Result<(), AnyError> {
    let area = SVGBackend::new(path, (720, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let max = curves.iter().flat_map(|(_, c)| c).map(|(_, y)| *y).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .caption("p99 by load, 1,000 backends, 20 gateways", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(56)
        .build_cartesian_2d(0.2..0.95, 0.0..max * 1.05)?;
    chart.configure_mesh().x_desc("load, fraction of capacity").y_desc("p99, ms").draw()?;
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

fn main() -> Result<(), AnyError> {
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
    for (name, scenario) in scenarios().into_iter().chain(many_gateways()) {
        for (chooser, chooser_name) in CHOOSERS {
            let started = Instant::now();
            let report = run(&Scenario { chooser, ..scenario.clone() });
            print_row(name, chooser_name, &report, started.elapsed().as_secs_f64());
        }
    }
    let Some(path) = std::env::args().nth(1) else { return Ok(()) };
    let mut curves = Vec::new();
    for (chooser, chooser_name) in CHOOSERS {
        let points = [0.3, 0.5, 0.6, 0.7, 0.8, 0.9].map(|load| {
            let scenario = Scenario { chooser, load, duration_ms: 2_000.0, ..Scenario::default() };
            (load, run(&scenario).latency_ms(0.99))
        });
        curves.push((chooser_name, points.to_vec()));
    }
    plot(&path, &curves)
}
