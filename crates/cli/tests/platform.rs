//! The program as the platform starts it, on loopback, between scripted callers, core servers and a feed.

mod rig;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use lotussaddle_platform::codec::{
    BinaryMessage, Framing, MessageSplitter, code, kind, write_binary_message,
};
use rig::{Caller, LONG, config, proxy};

/// A core server that answers each set-up at once, unless it is silent.
fn core(silent: bool) -> (SocketAddr, Arc<AtomicU64>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let set_ups = Arc::new(AtomicU64::new(0));
    let count = set_ups.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, count) = (stream.unwrap(), count.clone());
            thread::spawn(move || {
                let mut splitter = MessageSplitter::new(Framing::Binary);
                let mut buffer = [0; 4096];
                while let Ok(read @ 1..) = stream.read(&mut buffer) {
                    splitter.push(&buffer[..read]);
                    while let Ok(Some(message)) = splitter.next_message() {
                        let message = BinaryMessage::parse(message).unwrap();
                        if message.kind != kind::START {
                            continue;
                        }
                        count.fetch_add(1, Ordering::Relaxed);
                        let answer = [b"for ", message.parameter(code::DESCRIPTION).unwrap()].concat();
                        let mut out = Vec::new();
                        write_binary_message(
                            kind::STARTED,
                            message.tag,
                            &[(code::DESCRIPTION, &answer)],
                            &mut out,
                        );
                        if !silent && stream.write_all(&out).is_err() {
                            return;
                        }
                    }
                }
            });
        }
    });
    (address, set_ups)
}

/// A feed that notes what it is asked and tells one event.
fn feed(event: String) -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let asked = Arc::new(Mutex::new(Vec::new()));
    let noted = asked.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, noted, event) = (stream.unwrap(), noted.clone(), event.clone());
            thread::spawn(move || {
                let mut line = String::new();
                let _ = BufReader::new(stream.try_clone().unwrap()).read_line(&mut line);
                noted.lock().unwrap().push(line.trim().into());
                while stream.write_all(event.as_bytes()).is_ok() {
                    thread::sleep(Duration::from_millis(200));
                }
            });
        }
    });
    (address, asked)
}

#[test]
fn it_serves_beside_hostile_callers_and_ends_in_order() {
    let (core_at, set_ups) = core(false);
    let (feed_at, asked) = feed("1\n".into());
    let mut proxy = proxy(feed_at, core_at, None);
    let mut caller = proxy.call();
    assert!(caller.echo());
    caller.is_served(1);
    // Unreadable, unending, torn, silent.
    let mut bad: Vec<Caller> = (0..4).map(|_| proxy.call()).collect();
    bad[0].say("\u{1}\u{2}}{");
    let endless = bad[1].stream.write_all(&vec![b'x'; 1 << 20]);
    bad[2].stream.write_all(b"{\"verb\":\"START\"").unwrap();
    caller.is_served(2);
    for bad in &mut bad {
        assert!(!bad.hears().contains("STARTED"));
    }
    drop(endless);
    caller.is_served(3);
    assert_eq!(set_ups.load(Ordering::Relaxed), 3);
    assert_eq!(asked.lock().unwrap()[0], "SUB 1");

    // The feed moves; a file that cannot be read leaves all as it is.
    std::fs::write(proxy.folder.path().join("config.json"), "{").unwrap();
    proxy.signal("-HUP");
    caller.is_served(4);
    let (second, asked) = feed("1\n".into());
    std::fs::write(proxy.folder.path().join("config.json"), config(proxy.at, second, core_at)).unwrap();
    proxy.signal("-HUP");
    let since = Instant::now();
    while asked.lock().unwrap().is_empty() && since.elapsed() < LONG {
        thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(asked.lock().unwrap().first().map(String::as_str), Some("SUB 1"));

    proxy.signal("-TERM");
    thread::sleep(Duration::from_millis(100));
    assert!(!caller.echo());
    proxy.call().is_served(5);
    assert_eq!(proxy.exit_code(), Some(0));
}

#[test]
fn what_it_took_before_the_word_to_end_is_answered() {
    let (core_at, set_ups) = core(true);
    let (feed_at, _) = feed("1\n".into());
    let mut proxy = proxy(feed_at, core_at, None);
    let mut caller = proxy.call();
    caller.start(1);
    let since = Instant::now();
    while set_ups.load(Ordering::Relaxed) == 0 && since.elapsed() < LONG {
        thread::sleep(Duration::from_millis(5));
    }
    proxy.signal("-TERM");
    let line = caller.hears();
    assert!(line.contains("FINISH") && line.contains("\"tag\":\"0000000000000001\""), "{line}");
    assert_eq!(proxy.exit_code(), Some(0));
}

#[test]
fn out_of_descriptors_it_neither_ends_nor_spins_and_goes_on() {
    let (core_at, _) = core(false);
    let (feed_at, _) = feed("1\n".into());
    let proxy = proxy(feed_at, core_at, Some(30));
    let mut first = proxy.call();
    first.is_served(1);
    let silent: Vec<Caller> = (0..60).map(|_| proxy.call()).collect();
    first.is_served(2);
    let spent = || {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", proxy.child.id())).unwrap();
        let fields: Vec<&str> = stat.rsplit(") ").next().unwrap().split(' ').collect();
        fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
    };
    let before = spent();
    thread::sleep(Duration::from_millis(1000));
    assert!(spent() - before < 50, "under half a core while it can take none");
    // The silent ones are closed in time, and who waited for a descriptor comes in.
    proxy.call().is_served(3);
    drop(silent);
}

#[test]
fn a_configuration_that_cannot_be_read_is_named() {
    let ends = |text: Option<&str>| {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("config.json");
        if let Some(text) = text {
            std::fs::write(&path, text).unwrap();
        }
        let mut command = Command::new(env!("CARGO_BIN_EXE_lotussaddle"));
        let output = command.args(["serve", "--platform"]).env("RELAY_CONFIG", &path).output().unwrap();
        (output.status.code(), String::from_utf8(output.stderr).unwrap())
    };
    let address = "127.0.0.1:1".parse().unwrap();
    let good = config(address, address, address);
    let cases = [
        (None, "No such file"),
        (Some("{".to_owned()), "EOF"),
        (Some(good.replace("\"feed\"", "\"food\"")), "`feed`"),
        (
            Some(good.replace("\"listen\":\"127.0.0.1:1\"", "\"listen\":\"x\"")),
            "listen: \"x\" is not an address",
        ),
        (Some(good.replace("\"seed\":\"5\"", "\"seed\":\"-\"")), "seed"),
        (Some(good.replace("\"instances\":1,", "")), "settings"),
    ];
    for (text, named) in cases {
        let (code, said) = ends(text.as_deref());
        assert!(code == Some(2) && said.contains(named) && said.lines().count() == 1, "{code:?} {said}");
    }
}
