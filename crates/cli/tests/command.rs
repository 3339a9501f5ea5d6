//! The command as it is run: days over real sockets, and what is said of wrong input.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use lotussaddle_judge::Verdict;

const PROGRAM: &str = env!("CARGO_BIN_EXE_lotussaddle");

fn run(arguments: &[&str]) -> Output {
    Command::new(PROGRAM).args(arguments).output().expect("it runs")
}

fn said(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

fn path(folder: &Path, name: &str) -> String {
    folder.join(name).display().to_string()
}

/// A surge, a slow and a dying core server, late reports, and an edge proxy killed and restarted, over each other.
#[test]
fn a_short_bad_day_over_sockets_keeps_the_rules_and_its_record_says_so_again() {
    let folder = tempfile::tempdir().unwrap();
    let out = path(folder.path(), "out");
    let played = run(&["demo", "--seconds", "10", "--out", &out]);
    assert_eq!(played.status.code(), Some(0), "{}", said(&played));
    let verdict = std::fs::read_to_string(folder.path().join("out/verdict.json")).unwrap();
    let verdict: Verdict = serde_json::from_str(&verdict).unwrap();
    assert_eq!(verdict.broken, [0; 11]);
    assert!(verdict.stood > 500 && verdict.excused > 0, "an edge proxy was killed at work: {verdict:?}");

    let judged = run(&["day", "judge", &out]);
    assert_eq!(judged.status.code(), Some(0));
    let told = String::from_utf8_lossy(&played.stdout).into_owned();
    assert!(
        told.ends_with(&*String::from_utf8_lossy(&judged.stdout)),
        "the record alone gives the same verdict"
    );

    // One answer more in the record, and the verdict is another one.
    let record = std::fs::read_to_string(folder.path().join("out/record.jsonl")).unwrap();
    let doctored: String = record
        .lines()
        .flat_map(|line| if line.contains("\"refused\"") { vec![line, line] } else { vec![line] })
        .map(|line| format!("{line}\n"))
        .collect();
    std::fs::write(folder.path().join("out/record.jsonl"), doctored).unwrap();
    let judged = run(&["day", "judge", &out]);
    assert_eq!(judged.status.code(), Some(1));
    assert!(said(&judged).contains("a second final answer"));
}

/// Tables that change at midnight and by hand, look-ups that hang, are slow and lie, all over datagrams.
#[test]
fn a_day_of_dialled_numbers_over_sockets_keeps_the_rules() {
    let folder = tempfile::tempdir().unwrap();
    let out = path(folder.path(), "out");
    let text = include_str!("../../day/days/new-year.kdl");
    let (head, _) = text.split_once("troubles {").unwrap();
    let troubles = r#"troubles {
        swap { at "1s"; lasts "4s"; generation "by-hand"; after "500ms"; undo #true; }
        look-ups { at "2s"; lasts "1s"; part 1.0; how "hang"; }
        look-ups { at "3s"; lasts "2s"; part 0.5; how "slow"; share 0.7; by "200ms"; }
        look-ups { at "3s"; lasts "3s"; part 1.0; how "lie"; share 0.3; }
        kill { at "3s"; lasts "1500ms"; part 0.3; }
    }"#;
    let head = head.replace("lasts \"20s\"", "lasts \"7s\"").replace("rate 110.0", "rate 80.0");
    let day = path(folder.path(), "day.kdl");
    std::fs::write(&day, head + troubles).unwrap();
    let played = run(&["day", "play", &day, "--out", &out]);
    assert_eq!(played.status.code(), Some(0), "{}", said(&played));
    let record = std::fs::read_to_string(folder.path().join("out/record.jsonl")).unwrap();
    let count = |what: &str| record.lines().filter(|line| line.contains(what)).count();
    let told = [count("\"datagram\""), count("\"routing\":\"+49"), count("\"frame\":\"tabled\"")];
    assert!(told[0] > 100 && told[1] > 10 && told[2] >= 9, "{told:?}");
    let judged = run(&["day", "judge", &out]);
    assert_eq!(judged.status.code(), Some(0), "{}", said(&judged));
    // A launch under another number is no launch by any table.
    let doctored = record.replacen("\"number\":\"+4930", "\"number\":\"+4931", 1);
    std::fs::write(folder.path().join("out/record.jsonl"), doctored).unwrap();
    let judged = run(&["day", "judge", &out]);
    assert!(judged.status.code() == Some(1) && said(&judged).contains("no generation in force leads there"));
}

/// What tables would do, and what is wrong with them, without an edge proxy.
#[test]
fn numbers_are_explained_step_by_step() {
    let folder = tempfile::tempdir().unwrap();
    let edge = path(folder.path(), "edge.kdl");
    let tables = folder.path().display().to_string();
    std::fs::write(
        &edge,
        format!(
            r#"
name "edge"
listen "127.0.0.1:0"
list "127.0.0.1:1"
numbers {{ folder {tables:?}; start "base"; look-up {{ servers "127.0.0.1:1053"; }}; }}
plan {{
    proxies 1; release "300ms"; cold-share 0.4; warm-after "6s"; fall-multiple 2.5
    product "voice" {{ promised "1s"; lasts "3s"; cut-off "9s"; }}
    tenant "shop" {{ quota 10.0; }}
    group "north" {{ cores 0 1; }}
}}"#
        ),
    )
    .unwrap();
    let base = r#"
plan "de" { country "49"; area "30"; trunk "0"; international "00"; emergency "112"; }
schedule "office" { zone "Europe/Berlin"; open "mon-fri" "08:00" "18:00"; }
way "north" { route "north"; first 1; }
way "closed" { refuse "closed"; }
way "office" { hours "office"; open "north"; closed "closed"; }
way "moved" { ported; table "carriers"; else "office"; }
table "main" { prefix "112" "north"; prefix "+49" "moved"; }
table "carriers" { prefix "+4999" "north"; }
tenant "*" { plan "de"; table "main"; }
"#;
    std::fs::write(folder.path().join("base.kdl"), base).unwrap();
    std::fs::write(
        folder.path().join("next.kdl"),
        "of \"base\"\ntable \"main\" { put \"+4989\" \"closed\" }",
    )
    .unwrap();
    let explain = |more: &[&str]| {
        let arguments = [&["numbers", "explain", "089/123456", "--edge", &edge], more].concat();
        let output = run(&arguments);
        assert_eq!(output.status.code(), Some(0), "{}", said(&output));
        said(&output)
    };
    let at = ["--at", "2026-12-01T09:00:00+01:00[Europe/Berlin]", "--tenant", "shop"];
    insta::assert_snapshot!(explain(&at));
    assert!(explain(&["--at", "2026-12-01T18:00:00+01:00[Europe/Berlin]"]).contains("refused: closed"));
    assert!(explain(&[&at[..], &["--moved", "+49991"]].concat()).contains("routing number +49991"));
    assert!(explain(&[&at[..], &["--generation", "next"]].concat()).contains("refused: closed"));
    let check = |name: &str| run(&["numbers", "check", &edge, name]);
    assert_eq!(said(&check("next")), "next: 4 prefixes, 4 ways, no mistake\n");
    std::fs::write(folder.path().join("bad.kdl"), base.replace("route \"north\"", "route \"south\""))
        .unwrap();
    let bad = check("bad");
    assert!(
        bad.status.code() == Some(1) && said(&bad).contains("bad.kdl:4:15: trunk group south is not known"),
        "{}",
        said(&bad)
    );
    assert_eq!(check("../edge").status.code(), Some(1));
}

/// Hangs, stalls, refused connects, dead and trickling links, drains and resets.
#[test]
fn a_day_of_other_troubles_over_sockets_keeps_the_rules() {
    let folder = tempfile::tempdir().unwrap();
    let quiet = include_str!("../../day/days/quiet.kdl");
    let troubles = r#"troubles {
        hang { at "1s"; lasts "2s"; part 0.25; }
        stall { at "1s"; lasts "4s"; part 0.3; each "600ms"; every "1s"; }
        refuse { at "2s"; lasts "2s"; part 0.25; }
        half-open { at "2500ms"; lasts "3s"; part 0.25; }
        trickle { at "1s"; lasts "3s"; part 0.25; gap "2ms"; }
        answers-lost { at "3s"; lasts "3s"; part 0.5; share 0.2; by-reset #true; }
        replace { at "3s"; lasts "2s"; part 0.5; batch 1; drains "1s"; }
    }"#;
    let day = quiet.replace("lasts \"20s\"", "lasts \"7s\"").replace("troubles {\n}", troubles);
    let sheet = path(folder.path(), "day.kdl");
    std::fs::write(&sheet, day).unwrap();
    let played = run(&["day", "play", &sheet]);
    assert_eq!(played.status.code(), Some(0), "{}", said(&played));
}

#[test]
fn the_same_seed_in_virtual_time_gives_the_same_record_to_the_byte() {
    let folder = tempfile::tempdir().unwrap();
    let record = |name: &str, seed: &str| {
        let out = path(folder.path(), name);
        let played = run(&["day", "play", "rolling", "--virtual", "--seed", seed, "--out", &out]);
        assert_eq!(played.status.code(), Some(0), "{}", said(&played));
        std::fs::read(folder.path().join(name).join("record.jsonl")).unwrap()
    };
    let one = record("one", "5");
    assert!(one == record("two", "5") && one != record("three", "6"));
}

#[test]
fn wrong_input_is_told_with_its_place_and_exits_with_2() {
    let folder = tempfile::tempdir().unwrap();
    let sheet = path(folder.path(), "edge.kdl");
    std::fs::write(&sheet, "name \"e\"\nlisten \"10.0.0.1:5\"\nplan {\n  proxies 0\n}\n").unwrap();
    for (arguments, code) in [(["check", &sheet], 1), (["serve", &sheet], 2)] {
        let output = run(&arguments);
        let said = said(&output);
        assert_eq!(output.status.code(), Some(code), "{said}");
        for wanted in [
            "edge.kdl:1:1: list is missing",
            "edge.kdl:2:1: listen wants a loopback address, not 10.0.0.1:5",
            "edge.kdl:3:1: product is missing: a plan needs one at least",
            "edge.kdl:4:11: proxies wants a whole number from 1 to 100000",
        ] {
            assert!(said.contains(wanted), "{wanted} in {said}");
        }
    }
    let missing = path(folder.path(), "none.kdl");
    for arguments in [
        &["serve", &missing][..],
        &["day", "play", &missing],
        &["day", "judge", &missing],
        &["day", "play", "quiet", "--baseline", "none"],
        &["frobnicate"],
        &["demo", "--seconds", "0"],
    ] {
        let output = run(arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {}", said(&output));
        assert!(!output.stderr.is_empty());
    }
}

/// An edge proxy of its own, ended with the test.
struct Served {
    child: Child,
    address: String,
    errors: std::thread::JoinHandle<String>,
}

fn serve(more: &str) -> Served {
    serve_with("127.0.0.1:1", more)
}

fn serve_with(list: &str, more: &str) -> Served {
    let folder = tempfile::tempdir().unwrap();
    let sheet = path(folder.path(), "edge.kdl");
    let plan = "plan { proxies 1; release \"300ms\"; cold-share 0.4; warm-after \"5s\"; fall-multiple 2.0; \
                product \"p\" { promised \"1s\"; lasts \"2s\"; cut-off \"5s\"; }; }";
    std::fs::write(
        &sheet,
        format!("name \"edge-0\"\nlisten \"127.0.0.1:0\"\nlist \"{list}\"\n{more}\n{plan}\n"),
    )
    .unwrap();
    let mut child = Command::new(PROGRAM)
        .args(["serve", "--tied", &sheet])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    let address = line.trim().strip_prefix("listening ").expect("it says where it listens").to_string();
    let mut errors = child.stderr.take().unwrap();
    let errors = std::thread::spawn(move || {
        let mut all = String::new();
        let _ = errors.read_to_string(&mut all);
        all
    });
    Served { child, address, errors }
}

impl Served {
    /// Ends it; gives its log.
    fn end(mut self) -> String {
        // The log is written by a thread of its own, and what it has not written at the end is lost.
        std::thread::sleep(Duration::from_millis(500));
        drop(self.child.stdin.take());
        let deadline = Instant::now() + Duration::from_secs(20);
        while self.child.try_wait().unwrap().is_none() {
            assert!(Instant::now() < deadline, "it does not end with its input");
            std::thread::sleep(Duration::from_millis(20));
        }
        self.errors.join().unwrap()
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(&self.address).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        stream
    }
}

fn bytes(frame: lotussaddle_trunk::Frame) -> Vec<u8> {
    let mut bytes = Vec::new();
    lotussaddle_trunk::Message::from(frame).encode(&mut bytes);
    bytes
}

fn hello() -> Vec<u8> {
    use lotussaddle_trunk::{Frame, Hello, Role};
    bytes(Frame::Hello(Hello::new(Role::Caller, "test".into())))
}

/// Reads until the other side closes.
fn rest(mut stream: &TcpStream) -> Vec<u8> {
    let (mut all, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return all,
            Ok(n) => all.extend_from_slice(&chunk[..n]),
        }
    }
}

/// A link that works all the while: is a dial answered?
fn answered(stream: &mut TcpStream, name: &str) -> Duration {
    use lotussaddle_trunk::{Decoder, Dial, Frame};
    let dial = Frame::Dial(Dial {
        dialogue: lotussaddle::interface::DialogueId(name.into()),
        key: None,
        product: 0,
        tenant: None,
        first_choice: lotussaddle::interface::ServerNumber(0),
        width: 1.0,
        time_left: Duration::from_millis(200),
        is_retry: false,
        redialled_after_cut: false,
        is_repeat: false,
        sent_at: None,
        try_of: None,
        dialled: None,
    });
    let begun = Instant::now();
    stream.write_all(&bytes(dial)).unwrap();
    let (mut decoder, mut chunk) = (Decoder::default(), [0; 4096]);
    loop {
        let read = stream.read(&mut chunk).expect("an answer comes");
        assert!(read > 0, "the link was closed");
        decoder.feed(&chunk[..read]);
        while let Some(message) = decoder.next_frame() {
            // Nothing is listed: it waits, and is let go in time.
            if matches!(message.unwrap().frame, Frame::Failed { .. } | Frame::Refused { .. }) {
                return begun.elapsed();
            }
        }
    }
}

#[test]
fn garbage_wrong_versions_and_oversized_frames_end_their_own_link_only() {
    use lotussaddle_trunk::{Frame, Hello, Role};
    let served = serve("");
    let mut good = served.connect();
    good.write_all(&hello()).unwrap();
    answered(&mut good, "before");
    let old = bytes(Frame::Hello(Hello { version: 77, ..Hello::new(Role::Caller, "old".into()) }));
    let mut truncated = hello();
    truncated.truncate(truncated.len() - 3);
    let cases: [(&str, Vec<u8>); 6] = [
        ("garbage", b"GET / HTTP/1.1\r\n\r\n".to_vec()),
        ("oversized", vec![0x7f, 0xff, 0xff, 0xff, 1]),
        ("empty", vec![0, 0, 0, 0]),
        ("wrong version", old),
        ("after hello", [hello(), vec![0, 0, 0, 1, 250]].concat()),
        ("truncated", truncated),
    ];
    for (name, case) in cases {
        let mut stream = served.connect();
        stream.write_all(&case).unwrap();
        if name == "truncated" {
            stream.shutdown(std::net::Shutdown::Write).unwrap();
        }
        rest(&stream);
        answered(&mut good, name);
    }
    let log = served.end();
    for wanted in [
        "invalid frame: frame of 1195725856 bytes exceeds the maximum of 65536",
        "invalid frame: frame of 2147483647 bytes",
        "invalid frame: empty frame",
        "speaks version 77, not 1",
        "invalid frame: unknown frame kind 250",
        "closed by its peer within a frame",
    ] {
        assert!(log.contains(wanted), "{wanted} in {log}");
    }
}

#[test]
fn a_flood_of_links_that_say_nothing_leaves_others_their_answers() {
    let served = serve("limits { fresh 64; }");
    let mut good = served.connect();
    good.write_all(&hello()).unwrap();
    answered(&mut good, "before");
    // As many at once as the test's own descriptors allow; five thousand in all.
    let mut silent = std::collections::VecDeque::new();
    for n in 0..5000 {
        silent.push_back(TcpStream::connect(&served.address).unwrap());
        if silent.len() > 300 {
            silent.pop_front();
        }
        if n % 1000 == 999 {
            let took = answered(&mut good, &format!("during-{n}"));
            assert!(took < Duration::from_secs(5), "an answer due in 0.2 s took {took:?}");
        }
    }
    let log = served.end();
    assert!(log.contains("too many links that say no hello"), "{log}");
}

/// The first line of a stand-in says where it listens.
fn stand_in(which: &str, folder: &Path, sheet: &str) -> (Child, String) {
    let file = path(folder, &format!("{which}-{}.kdl", sheet.len()));
    std::fs::write(&file, sheet).unwrap();
    let mut child =
        Command::new(PROGRAM).args(["standin", which, &file]).stdout(Stdio::piped()).spawn().unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.as_mut().unwrap()).read_line(&mut line).unwrap();
    let address = line.trim().strip_prefix("listening ").unwrap_or_default().to_string();
    (child, address)
}

#[test]
fn stand_ins_by_themselves_carry_dialogues_through_an_edge_proxy() {
    let folder = tempfile::tempdir().unwrap();
    let core = "name \"core-0\"\nlisten \"127.0.0.1:0\"\nset-up \"5ms\"\nreports \"lines\" \"queue\"\n";
    let (mut core, core_at) = stand_in("core", folder.path(), core);
    let list = format!("listen \"127.0.0.1:0\"\ncore \"core-0\" {{ number 0; address \"{core_at}\"; }}\n");
    let (mut list, list_at) = stand_in("list", folder.path(), &list);
    let served = serve_with(&list_at, "");
    let callers = format!(
        "edge \"{}\"\nrate 40\nlasts \"2s\"\nproduct \"p\" {{ promised \"1s\"; cut-off \"5s\"; lasts \"200ms\"; choices 0; }}\n",
        served.address
    );
    let sheet = path(folder.path(), "callers.kdl");
    std::fs::write(&sheet, callers).unwrap();
    let output = run(&["standin", "callers", &sheet]);
    let text = said(&output);
    assert_eq!(output.status.code(), Some(0), "{text}");
    let over = text.lines().find_map(|line| line.strip_prefix("over: ")).expect("it says what came of it");
    let figures: Vec<u64> = over.split(' ').filter_map(|word| word.parse().ok()).collect();
    assert!(figures[0] > 40 && figures[1] == figures[0], "all that were dialled stood: {over}");
    for child in [&mut core, &mut list] {
        child.kill().unwrap();
        child.wait().unwrap();
    }
    let log = served.end();
    assert!(log.contains("link of caller callers closed"), "{log}");
}

/// A day as the bench draws one, in its words, with all that is read of it.
fn drawn(troubles: &str) -> String {
    format!(
        r#"{{"site":"s","kind":"trouble","length":8000000,"tick":5000,"zones":["a","b"],
        "net":{{"same":1000,"cross":9000,"jitter":0.1}},"traffic":{{"load":0.9,"over_share_worth":0.2}},
        "clients":{{"retries":2,"try_share":0.35,"backoff_us":500000,"honour":0.5,"max_retry_after":2000000,"marks_retry":true}},
        "discovery":{{"notice":900000}},"allow":{{"cancel":true,"retry_after":true,"max_attempts":4}},
        "drain_grace":500000,"fall_multiple":2.5,"fall_for":1000000,
        "classes":[{{"name":"x","share":1.0,"aim":1500000,"deadline":9000000,"worth":1.0,"late_worth":0.2}}],
        "tenants":[{{"name":"t","traffic":1.0,"quota":0.5}}],
        "tiers":[{{"report_fields":["x0","x1","queue","eps"],"report_period":300000,"report_delay":20000,
        "stated_cold_from":0.3,"stated_cold":5000000}}],"servers":[{{}},{{}},{{}}],"balancers":[{{}},{{}}],
        "troubles":[{troubles}],"fam":{{"n":3,"hold":[3000000],"class_cells":[[0,1,2]],"drift":5000000,"finish_first":false,
        "cancel_drops":false,"follow":0.3,"reject":0.2,"repeat":0.3,"queue":2000000,"release":300000,"resend":500000,
        "size":[500,400,300],"pools":true}},"unknown":1}}"#
    )
}

#[test]
fn a_day_of_the_bench_becomes_a_day_file_that_plays() {
    let folder = tempfile::tempdir().unwrap();
    let of = |kind: &str, more: &str| {
        format!(
            r#"{{"kind":"{kind}","at":1000000,"len":3000000,"tier":0,"size":2.0,"extra":1.0,"on":[0],"which":0{more}}}"#
        )
    };
    let kinds = [
        "burst",
        "crash",
        "slow",
        "ageing",
        "hang",
        "report_late",
        "discovery_stale",
        "origin_slow",
        "zone_cut",
        "mass_restart",
        "retry_abuse",
        "balancer_stall",
        "answer_lost",
        "give_up",
        "deploy",
        "locusts",
    ];
    let all: Vec<String> = kinds.iter().map(|kind| of(kind, r#","steps":[{"stop":[1]}]"#)).collect();
    let json = path(folder.path(), "day.json");
    std::fs::write(&json, drawn(&all.join(","))).unwrap();
    let output = run(&["day", "from-bench", &json]);
    let text = said(&output);
    assert_eq!(output.status.code(), Some(0), "{text}");
    assert!(text.contains("// left out: the trouble locusts\n"), "{text}");
    assert!(text.contains("// left out: the reported figure eps\n"), "{text}");
    assert_eq!(text.matches(" { at \"1s\"; lasts \"3s\";").count(), kinds.len() - 1, "{text}");
    let sheet = path(folder.path(), "day.kdl");
    std::fs::write(&sheet, &output.stdout).unwrap();
    let played = run(&["day", "play", &sheet, "--virtual"]);
    assert_eq!(played.status.code(), Some(0), "{}", said(&played));

    for wrong in ["{}", "not json", &drawn("{}"), &drawn("").replace("\"pools\":true", "\"pools\":false")] {
        std::fs::write(&json, wrong).unwrap();
        let output = run(&["day", "from-bench", &json]);
        assert_eq!(output.status.code(), Some(2), "{wrong}: {}", said(&output));
    }
}

#[test]
fn a_store_is_looked_at_from_outside_and_its_damage_is_placed() {
    let folder = tempfile::tempdir().unwrap();
    let out = path(folder.path(), "out");
    let quiet = include_str!("../../day/days/quiet.kdl").replace("lasts \"20s\"", "lasts \"2s\"");
    let sheet = path(folder.path(), "day.kdl");
    std::fs::write(&sheet, quiet).unwrap();
    let played = run(&["day", "play", &sheet, "--out", &out]);
    assert_eq!(played.status.code(), Some(0), "{}", said(&played));
    let store = path(folder.path(), "out/edge-0.store");
    let log = folder.path().join("out/edge-0.store/log-0000000000000000");
    let before = std::fs::read(&log).unwrap();
    for (command, wanted) in
        [("check", "no damage in 1 segments"), ("stats", "table answered: "), ("dump", "\"what\":\"put\"")]
    {
        let output = run(&["store", command, &store]);
        assert_eq!(output.status.code(), Some(0), "{}", said(&output));
        assert!(said(&output).contains(wanted), "{command}: {}", said(&output));
    }
    assert_eq!(std::fs::read(&log).unwrap(), before, "looking changes nothing");
    let compacted = run(&["store", "compact", &store]);
    assert_eq!(compacted.status.code(), Some(0), "{}", said(&compacted));
    let checked = run(&["store", "check", &store]);
    assert_eq!(checked.status.code(), Some(0), "{}", said(&checked));

    // One bit in the middle.
    let log = folder.path().join("out/edge-0.store/log-0000000000000001");
    let mut spoilt = std::fs::read(&log).unwrap();
    let middle = spoilt.len() / 2;
    spoilt[middle] ^= 4;
    std::fs::write(&log, spoilt).unwrap();
    for command in ["check", "dump", "stats", "compact"] {
        let output = run(&["store", command, &store]);
        assert_eq!(output.status.code(), Some(1), "{command}: {}", said(&output));
        assert!(
            said(&output).contains("log-0000000000000001: damaged at byte "),
            "{command}: {}",
            said(&output)
        );
    }
    let none = run(&["store", "check", &path(folder.path(), "none")]);
    assert_eq!(none.status.code(), Some(2), "{}", said(&none));
}
