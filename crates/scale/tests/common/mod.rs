//! Records made up for tests.

use lotussaddle_scale::plan::Mode;
use lotussaddle_scale::record::{
    Aggregate, Commit, Distribution, Machine, Measurement, Observations, Quantity, RECORD_FORMAT, Role,
    RunRecord, Unit,
};

/// A record of a run with one measurement and one distribution.
pub fn record(size: usize, seed: u64, bytes_sent: f64) -> RunRecord {
    let measurement =
        Measurement::new(Quantity::BytesSent, Aggregate::Mean, bytes_sent).of_role(Role::EdgeProxy);
    let distribution = Distribution {
        quantity: Quantity::ChangeInForce,
        role: None,
        unit: Unit::Microseconds,
        count: 100,
        p50: 1000,
        p99: 2000,
        max: 3000,
    };
    RunRecord {
        format: RECORD_FORMAT,
        plan_name: "family".into(),
        plan_text: "name \"family\"".into(),
        mode: Mode::Virtual,
        size,
        seed,
        commit: Commit { hash: "0123456789abcdef".into(), dirty: false },
        machine: Machine { cores: 8, memory_bytes: Some(1 << 34) },
        took_ms: 1500,
        observations: Observations { measurements: vec![measurement], distributions: vec![distribution] },
    }
}
