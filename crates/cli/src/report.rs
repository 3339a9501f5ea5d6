//! A verdict for people to read.

use std::fmt::Write;

use lotussaddle_judge::{Rule, Verdict};

const RULES: [&str; 11] = [
    "1 one final answer before the cut-off, nothing after",
    "2 never two launches out",
    "3 nothing new to a draining or gone server",
    "4 no cold server pushed over",
    "5 no relaunch within the release",
    "6 each launch agrees with one generation of tables",
    "7 fleet: never two different answers",
    "8 fleet: never two launches out",
    "9 fleet: no relaunch within the release",
    "10 fleet: no line in use for nobody",
    "fleet: duties by numbers that go up",
];

pub fn text(v: &Verdict) -> String {
    let mut out = String::new();
    let _ = writeln!(out, "day {}, seed {}", v.day, v.seed);
    let _ = writeln!(
        out,
        "dialogues {}: stood {}, refused {}, failed {}, left {}, declined {}, lost with a killed proxy or a link {}",
        v.dialogues, v.stood, v.refused, v.failed, v.left, v.declined, v.excused
    );
    let _ = writeln!(out, "launches {}, cut {}, cold servers fallen over {}", v.launches, v.cut, v.fell);
    let g = &v.gain;
    let _ = writeln!(
        out,
        "gain on time {:.3} ({:.0} of {:.0}); worst 10 s {:.3}, worst product {:.3}, worst tenant {:.3}",
        g.whole, g.earned, g.offered, g.worst_10s, g.worst_product, g.worst_tenant
    );
    for (product, share) in &g.by_product {
        let p99 = v.times.p99_by_product.get(product).copied().unwrap_or_default();
        let _ = writeln!(out, "  {product}: {share:.3}, stands after {p99:.0} ms at p99");
    }
    for (what, times) in [("stands", &v.times.stands), ("let go", &v.times.let_go)] {
        let of = |name: &str| times.get(name).copied().unwrap_or_default();
        let (p50, p99, p999, most) = (of("p50"), of("p99"), of("p99.9"), of("most"));
        let _ = writeln!(out, "{what} after ms: p50 {p50:.1}, p99 {p99:.1}, p99.9 {p999:.1}, most {most:.1}");
    }
    if let Some(f) = &v.fleet {
        let _ = writeln!(
            out,
            "fleet: dialled again {}: same answer {}, stood {}, over {}, unsure {}; without acknowledgement {} launches, {} \
             answers; lines left {}, adopted {}, longest {} ms; between members {} frames, {} bytes",
            f.repeats,
            f.same,
            f.stood,
            f.concluded,
            f.unsure,
            f.launched_bare,
            f.answered_bare,
            f.orphans,
            f.adopted,
            f.longest_orphan_ms,
            f.peer_frames,
            f.peer_bytes,
        );
    }
    for (rule, count) in RULES.iter().zip(v.broken) {
        let _ = writeln!(
            out,
            "rule {rule}: {}",
            if count == 0 { "kept".into() } else { format!("broken {count} times") }
        );
    }
    for found in v.breaks.iter().take(20) {
        let rule = Rule::ALL.iter().position(|r| *r == found.rule).unwrap_or_default() + 1;
        let _ = writeln!(
            out,
            "  rule {rule}: edge-{} {} {}: {} (lines {:?}, at {:?} s)",
            found.edge, found.dialogue, found.server, found.what, found.lines, found.times
        );
    }
    out
}
