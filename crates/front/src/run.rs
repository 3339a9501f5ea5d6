//! The readiness loop and the process's start and end.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result};
use lotussaddle_platform::{Config, EPOCH, Net, Platform, SocketId, feed_address};
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Token};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;

use crate::sockets::{Origin, READ_CHUNK_BYTES, Sockets};

const LISTENER: Token = Token(0);
const SIGNALS: Token = Token(1);
/// Connections get tokens above this one, so that they never collide with the two above.
const LAST_RESERVED_TOKEN: u64 = 16;
/// Descriptors that are not connections: standard streams, poll, listener, signals.
const OTHER_DESCRIPTORS: usize = 14;
/// Maximum number of connections accepted in one iteration.
const MAX_ACCEPTS_PER_ITERATION: usize = 64;
/// Connections that the kernel queues before they are accepted.
const LISTEN_BACKLOG: usize = 1024;
/// Time that the callers' input may take in one iteration, so that core servers, the feed and timers are not kept waiting:
/// a fifth of the tolerance that the protocol adds to each time limit.
const CALLER_READ_TIME: Duration = Duration::from_millis(10);
/// Pause after a failed accept, for example when descriptors run out: the condition may pass, and the loop
/// must not spin until then.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// A previous process that is shutting down releases the address within this time.
const ADDRESS_RELEASE_TIMEOUT: Duration = Duration::from_secs(8);
const LISTEN_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time that callers have at the end to read the last messages and to close.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);
/// Upper bound on one wait for readiness.
const MAX_POLL_WAIT: Duration = Duration::from_millis(500);
/// Interval at which the counters are logged.
const COUNTS_INTERVAL: Duration = Duration::from_secs(5);

/// Runs an edge proxy as the platform starts it, until a signal asks it to end.
pub fn serve() -> Result<()> {
    let mut signals = Signals::new([SIGHUP, SIGTERM, SIGINT]).context("cannot install signal handlers")?;
    let path = std::env::var_os("RELAY_CONFIG").context("RELAY_CONFIG is not set")?;
    let path = PathBuf::from(path);
    let config_name = || format!("configuration {}", path.display());
    let text = std::fs::read_to_string(&path).with_context(config_name)?;
    let config = Config::parse(&text).with_context(config_name)?;
    drop(text);

    let mut poll = Poll::new().context("cannot create the poll instance")?;
    poll.registry().register(&mut signals, SIGNALS, Interest::READABLE)?;
    let Some(mut listener) = listen(config.listen, &mut signals)? else { return Ok(()) };
    poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
    let mut listener = Some(listener);

    let bounds = config.bounds.clone();
    let max_connections = bounds.caller_connections * 2 - OTHER_DESCRIPTORS;
    let mut sockets = Sockets::new(
        poll.registry().try_clone()?,
        max_connections,
        bounds.unwritten_bytes,
        LAST_RESERVED_TOKEN,
    );
    let start = Instant::now();
    let clock = || EPOCH + start.elapsed();
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0;
    let name = config.name.clone();
    let mut platform = Platform::new(EPOCH, unix, config);
    platform.start(clock(), &mut sockets);
    tracing::info!(edge = name, "listening, {bounds:?}");

    // All ready connections are reported in one iteration, so that nothing is sent before the input already
    // waiting has been read.
    let mut events = Events::with_capacity(max_connections + OTHER_DESCRIPTORS);
    let mut buffer = Box::new([0u8; READ_CHUNK_BYTES]);
    let mut accept_at: Option<Instant> = None;
    let mut counts_at = start + COUNTS_INTERVAL;
    let mut longest_iteration = Duration::ZERO;
    let mut close_deadline: Option<Instant> = None;
    loop {
        let now = clock();
        let mut wait = platform.next_due().saturating_sub(now).min(MAX_POLL_WAIT);
        let instant = Instant::now();
        for deadline in [accept_at, sockets.next_expiry(), close_deadline].into_iter().flatten() {
            wait = wait.min(deadline.saturating_duration_since(instant));
        }
        if sockets.ready_count() > 0 || !sockets.lost.is_empty() {
            wait = Duration::ZERO;
        }
        match poll.poll(&mut events, Some(wait)) {
            Err(e) if e.kind() == ErrorKind::Interrupted => continue,
            other => other.context("poll")?,
        }
        let iteration_start = Instant::now();
        for event in &events {
            match event.token() {
                LISTENER => accept_at = Some(iteration_start),
                SIGNALS => {
                    for signal in signals.pending() {
                        match signal {
                            SIGHUP => match std::fs::read_to_string(&path)
                                .map_err(|e| e.to_string())
                                .and_then(|text| feed_address(&text).map_err(|e| e.to_string()))
                            {
                                Ok(feed) => platform.feed_moved(clock(), feed, &mut sockets),
                                Err(e) => sockets.log(&format!("configuration not reloaded: {e}")),
                            },
                            _ => platform.start_shutdown(clock(), &mut sockets),
                        }
                    }
                }
                Token(token) => {
                    let socket = SocketId(token as u64);
                    let failed = event.is_error() || event.is_read_closed();
                    if sockets.readiness_changed(
                        socket,
                        event.is_readable() || failed,
                        event.is_writable() || failed,
                    ) {
                        platform.connection_up(clock(), socket, &mut sockets);
                    }
                }
            }
        }
        report_lost_connections(&mut platform, &mut sockets, clock());
        // Expired timers fire before input is read, even if the awaited answer is waiting to be read;
        // connections that have come up count as up.
        fire_timer(&mut platform, &mut sockets, clock());
        let mut accepted_any = false;
        if accept_at.is_some_and(|at| at <= iteration_start) {
            accepted_any = true;
            accept_at = accept(listener.as_ref(), &mut platform, &mut sockets, clock());
        }
        let now = clock();
        if platform.has_stopped_accepting(now)
            && let Some(mut listener) = listener.take()
        {
            // Connections already established by the kernel are accepted; closing the listener would reset
            // them.
            accept_remaining(&listener, &mut platform, &mut sockets, now);
            let _ = poll.registry().deregister(&mut listener);
            (accept_at, accepted_any) = (None, true);
        }
        // Nothing new was reported, and there is no connection that the poll has not covered yet.
        let is_quiet = events.is_empty() && sockets.ready_count() == 0 && !accepted_any;
        for _ in 0..sockets.ready_peers.len() {
            let Some(socket) = sockets.ready_peers.pop_front() else { break };
            read_once(socket, &mut buffer, &mut platform, &mut sockets, &clock);
        }
        // Callers that are not read in time keep their place, and are read first in the next iteration.
        let callers_until = Instant::now() + CALLER_READ_TIME;
        let mut read_from = Instant::now();
        for _ in 0..sockets.ready_callers.len() {
            let Some(socket) = sockets.ready_callers.pop() else { break };
            read_once(socket, &mut buffer, &mut platform, &mut sockets, &clock);
            let read_until = Instant::now();
            sockets.ready_callers.charge(socket, read_until - read_from);
            read_from = read_until;
            if read_until >= callers_until {
                break;
            }
        }
        if sockets.ready_callers.is_round_over() {
            platform.callers_read(clock());
        }
        fire_timer(&mut platform, &mut sockets, clock());
        report_lost_connections(&mut platform, &mut sockets, clock());
        platform.send_set_ups(clock(), &mut sockets);
        report_lost_connections(&mut platform, &mut sockets, clock());
        sockets.close_expired();
        longest_iteration = longest_iteration.max(iteration_start.elapsed());
        let now = clock();
        if let Some(until) = close_deadline {
            if sockets.all_closed() || Instant::now() >= until {
                tracing::info!("ended; {:?}", platform.counts());
                return Ok(());
            }
        } else if platform.can_exit(now)
            && (is_quiet && !sockets.has_unwritten() && !sockets.has_any_unread() || platform.must_exit(now))
        {
            platform.close_callers(now, &mut sockets);
            close_deadline = Some(Instant::now() + CLOSE_TIMEOUT);
        }
        if Instant::now() >= counts_at {
            counts_at = Instant::now() + COUNTS_INTERVAL;
            let (sizes, auxiliary) = (platform.sizes(), platform.auxiliary_sizes());
            tracing::info!(
                "held, callers, cores, remembered {sizes:?}; calls, releases, description bytes {auxiliary:?}; remembered ends (owed, repeated) {:?}; longest iteration {longest_iteration:?}; {:?}; {:?}",
                platform.remembered_ends(),
                platform.counts(),
                platform.core_connection_figures(clock())
            );
            longest_iteration = Duration::ZERO;
        }
    }
}

/// Listens; retries while a previous process still holds the address. `None` if a signal asked to end
/// meanwhile.
fn listen(address: SocketAddr, signals: &mut Signals) -> Result<Option<TcpListener>> {
    let started = Instant::now();
    loop {
        match lotussaddle_links::listen(address) {
            Ok(listener) => {
                listener.set_nonblocking(true)?;
                return Ok(Some(TcpListener::from_std(listener)));
            }
            Err(e) if e.kind() == ErrorKind::AddrInUse && started.elapsed() < ADDRESS_RELEASE_TIMEOUT => {
                if signals.pending().any(|signal| signal != SIGHUP) {
                    return Ok(None);
                }
                std::thread::sleep(LISTEN_RETRY_DELAY);
            }
            Err(e) => return Err(e).with_context(|| format!("listen: cannot listen at {address}")),
        }
    }
}

/// Reads a connection once and passes on what was received.
fn read_once(
    socket: SocketId, buffer: &mut [u8; READ_CHUNK_BYTES], platform: &mut Platform, sockets: &mut Sockets,
    clock: &impl Fn() -> Duration,
) {
    let read = sockets.read(socket, buffer);
    if read > 0 {
        let now = clock();
        platform.bytes_received(now, socket, &buffer[..read], sockets);
        fire_timer(platform, sockets, now);
    }
    report_lost_connections(platform, sockets, clock());
}

fn fire_timer(platform: &mut Platform, sockets: &mut Sockets, now: Duration) {
    if platform.next_due() <= now {
        platform.timer_fired(now, sockets);
    }
}

fn report_lost_connections(platform: &mut Platform, sockets: &mut Sockets, now: Duration) {
    while let Some(lost) = sockets.lost.pop() {
        platform.connection_lost(now, lost.socket, lost.refused, &lost.reason, sockets);
    }
}

/// Accepts waiting connections. Returns when to continue, unless readiness will report more.
fn accept(
    listener: Option<&TcpListener>, platform: &mut Platform, sockets: &mut Sockets, now: Duration,
) -> Option<Instant> {
    let listener = listener?;
    for _ in 0..MAX_ACCEPTS_PER_ITERATION {
        match listener.accept() {
            Ok((stream, _)) => {
                if let Ok(socket) = sockets.add(stream, Origin::Accepted) {
                    platform.connection_accepted(now, socket, sockets);
                }
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => return None,
            Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
            Err(e) => {
                sockets.log(&format!("cannot accept a connection: {e}"));
                return Some(Instant::now() + ACCEPT_RETRY_DELAY);
            }
        }
    }
    Some(Instant::now())
}

/// Accepts all waiting connections for the last time.
fn accept_remaining(listener: &TcpListener, platform: &mut Platform, sockets: &mut Sockets, now: Duration) {
    for _ in 0..LISTEN_BACKLOG / MAX_ACCEPTS_PER_ITERATION + 1 {
        if accept(Some(listener), platform, sockets, now).is_none() {
            return;
        }
    }
}
