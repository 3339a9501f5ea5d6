//! The configuration file: an invalid field is named in the error, and two configurations in one process are
//! independent.

use std::time::Duration;

use lotussaddle_platform::Config;

const CONFIG: &str = r#"{"name":"n0","listen":"127.0.0.1:1","seed":"8c1f30d27a5be964","feed":"127.0.0.9:1",
    "limits":{"cores":1.0,"memory_mb":32,"sockets":256},
    "known":{"n":1,"events":[{"n":1,"members":{"seq":0,"whole":true,"hosts":[
        {"host":"a","dial":"127.0.1.1:1","block":0,"health":"Ready","born_ms":0}]}}]},
    "settings":{"categories":[{"name":"voice","promiseMs":400.0,"hardLimitMs":3000.0,"worth":1.5,"lateShare":0.25}],
        "domain":{"classCells":[[0,7]],"classHoldMs":[1900.0],"releaseGuardMs":150.0,"resendMs":125.0,"widths":[2.5]},
        "instances":3,"tickMs":1.0,"rules":{"coldFrom":0.35,"rampTimeMs":15000.0,"tipMultiple":2.25,"fallMs":800.0},
        "limits":{"attemptsCap":6,"cancel":true,"retryAfter":true,"maxRetryAfterMs":2000.0,"connectTimeoutMs":100.0,"connIdleMs":10000.0}}}"#;

fn parse_error(from: &str, to: &str) -> String {
    assert!(CONFIG.contains(from), "{from}");
    match Config::parse(&CONFIG.replacen(from, to, 1)) {
        Ok(_) => panic!("{to} is accepted"),
        Err(e) => e.to_string(),
    }
}

#[test]
fn missing_out_of_range_or_mistyped_fields_are_named_in_the_error() {
    let cases = [
        // Missing fields.
        ("\"promiseMs\":400.0,", "", "promiseMs"),
        ("\"coldFrom\":0.35,", "", "coldFrom"),
        ("\"instances\":3,", "", "instances"),
        ("\"name\":\"voice\",", "", "categories[0].name"),
        ("\"memory_mb\":32,", "", "memory_mb"),
        // Fields of a wrong type.
        ("\"promiseMs\":400.0", "\"promiseMs\":\"soon\"", "categories[0].promiseMs"),
        ("\"widths\":[2.5]", "\"widths\":[[2.5]]", "domain.widths[0]"),
        ("\"instances\":3", "\"instances\":0", "instances"),
        ("\"instances\":3", "\"instances\":-3", "instances"),
        ("\"cancel\":true", "\"cancel\":1", "limits.cancel"),
        ("\"sockets\":256", "\"sockets\":\"256\"", "limits.sockets"),
        ("\"block\":0", "\"block\":\"x\"", "known.events[0].members.hosts[0].block"),
        // Negative values.
        ("\"hardLimitMs\":3000.0", "\"hardLimitMs\":-1", "hardLimitMs=-1"),
        ("\"fallMs\":800.0", "\"fallMs\":-800", "fallMs=-800"),
        ("\"worth\":1.5", "\"worth\":-1", "categories.worth=-1"),
        ("\"worth\":1.5", "\"worth\":0", "categories.worth=0"),
        ("\"coldFrom\":0.35", "\"coldFrom\":-0.35", "rules.coldFrom=-0.35"),
        ("\"tipMultiple\":2.25", "\"tipMultiple\":-2", "rules.tipMultiple=-2"),
        ("\"widths\":[2.5]", "\"widths\":[-1]", "domain.widths=-1"),
        ("\"memory_mb\":32", "\"memory_mb\":-32", "limits.memory_mb=-32"),
        // Values out of range.
        ("\"rampTimeMs\":15000.0", "\"rampTimeMs\":1e300", "rampTimeMs=1"),
        ("\"connIdleMs\":10000.0", "\"connIdleMs\":1e16", "connIdleMs=1"),
        ("\"coldFrom\":0.35", "\"coldFrom\":35", "rules.coldFrom=35"),
        ("\"sockets\":256", "\"sockets\":1e18", "limits.sockets=1"),
        (
            "\"categories\":[{\"name\":\"voice\",\"promiseMs\":400.0,\"hardLimitMs\":3000.0,\"worth\":1.5,\"lateShare\":0.25}]",
            "\"categories\":[]",
            "categories: must not be empty",
        ),
    ];
    for (from, to, named) in cases {
        let error = parse_error(from, to);
        assert!(error.contains(named) && error.lines().count() == 1, "{to}: {error}");
    }
}

#[test]
fn two_configurations_in_one_process_are_independent() {
    let other = CONFIG
        .replace("\"name\":\"voice\"", "\"name\":\"fax\"")
        .replace("[[0,7]]", "[]")
        .replace("\"widths\":[2.5]", "\"widths\":[]")
        .replace("\"connectTimeoutMs\":100.0", "\"connectTimeoutMs\":900.0")
        .replace("\"fallMs\":800.0", "\"fallMs\":2000.0");
    for _ in 0..2 {
        let (one, two) = (Config::parse(CONFIG).unwrap(), Config::parse(&other).unwrap());
        assert_eq!((&one.classes[..], &one.widths[..]), (&["voice".to_owned()][..], &[2.5][..]));
        assert_eq!((&two.classes[..], &two.widths[..]), (&["fax".to_owned()][..], &[][..]));
        assert_eq!((one.first_choices.len(), two.first_choices.len()), (2, 0));
        let times = [&one, &two].map(|config| (config.connect_timeout, config.plan.overload_window));
        let ms = Duration::from_millis;
        assert_eq!(times, [(ms(100), ms(800)), (ms(900), ms(2000))]);
    }
}

/// Guards against a table whose size does not follow the configured memory.
#[test]
fn what_is_remembered_follows_the_memory_limit() {
    let bounds = |memory_mb: u64| {
        let config =
            Config::parse(&CONFIG.replace("\"memory_mb\":32", &format!("\"memory_mb\":{memory_mb}")));
        config.unwrap().bounds
    };
    for memory_mb in [16, 32, 128, 2048] {
        let bounds = bounds(memory_mb);
        let callers_and_dialogues = bounds.edge.max_remembered_callers + bounds.edge.max_concluded;
        assert!(callers_and_dialogues * 200 <= (memory_mb as usize) << 16, "{memory_mb}: {bounds:?}");
        assert!(bounds.description_bytes + bounds.intake.bytes <= (memory_mb as usize) << 16, "{bounds:?}");
    }
}
