//! Gain on time of the module beside the baselines: the bad days that come with the program, five seeds each, in
//! virtual time. `cargo bench -p lotussaddle-day --bench gain`

use lotussaddle::brain::Brain;
use lotussaddle_day::baseline::Baseline;
use lotussaddle_day::days;
use lotussaddle_day::virt::{Play, play_with};
use lotussaddle_judge::Verdict;

fn row(day: &str, name: &str, verdicts: &[Verdict]) {
    let column = |of: &dyn Fn(&Verdict) -> f64| {
        let all: Vec<f64> = verdicts.iter().map(of).collect();
        let mean = all.iter().sum::<f64>() / all.len() as f64;
        let (least, most) = all.iter().fold((f64::MAX, f64::MIN), |(l, m), v| (l.min(*v), m.max(*v)));
        format!("{mean:.3} ({least:.3} to {most:.3})")
    };
    let broken: Vec<u64> = (0..5).map(|rule| verdicts.iter().map(|v| v.broken[rule]).sum()).collect();
    let p99 = column(&|v| v.times.stands.get("p99").copied().unwrap_or_default() / 1000.0);
    println!(
        "| {day} | {name} | {} | {} | {p99} | {broken:?} |",
        column(&|v| v.gain.whole),
        column(&|v| v.gain.worst_10s),
    );
}

fn main() {
    println!("| day | decisions | gain on time | worst 10 s | stands after s, p99 | rules 1 to 5 broken |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for name in ["sale-week", "rolling", "cut-off-region"] {
        let days: Vec<_> = (1..=5)
            .map(|seed| {
                let mut day = days::by_name(name).expect("it comes with the program").expect("it is right");
                day.seed = seed;
                day
            })
            .collect();
        let module: Vec<Verdict> = days
            .iter()
            .map(|day| play_with(day, &Play::default(), Brain::new).expect("it plays").verdict)
            .collect();
        row(name, "module", &module);
        for (baseline_name, baseline) in Baseline::ALL {
            let decisions = |plan, _| baseline.decisions(plan);
            let verdicts: Vec<Verdict> = days
                .iter()
                .map(|day| play_with(day, &Play::default(), decisions).expect("it plays").verdict)
                .collect();
            row(name, baseline_name, &verdicts);
        }
    }
}
