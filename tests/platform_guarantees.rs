//! Guarantees of the platform front under extreme conditions: failing system calls, clock steps, drains
//! during reloads, restarts and misbehaving clients, each tested on real processes over loopback.
//! `docs/terms-audit.md` has a row for each test.

mod common;
use common::faults::Faults;
use common::platform::*;
use common::program::*;
use common::traffic::{self, traffic};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);

/// Starts the program with the given configuration text and a temporary directory of its own.
fn start(name: &str, text: &str, faults: &Faults) -> (Running, Box<dyn Iterator<Item = String>>, SocketAddr) {
    let path = file(&format!("guarantees-{}-{name}.json", std::process::id()), text);
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("guarantees-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let mut command = shaletack(&["--config", &path]);
    let (child, lines, address) = Running::start(faults.on(&mut command).env("TMPDIR", folder));
    (child, Box::new(lines), address.parse().unwrap())
}

/// Starts clients that send reads of a shard one after another until the returned flag is set.
fn keep_reading(to: SocketAddr, clients: usize, shard: u16) -> Arc<AtomicBool> {
    let stop = Arc::<AtomicBool>::default();
    for _ in 0..clients {
        let stop = stop.clone();
        std::thread::spawn(move || {
            let patience = Duration::from_millis(1200);
            let mut client = Client::connect(to);
            while let Some(connected) = client.as_mut().ok().filter(|_| !stop.load(Ordering::Relaxed)) {
                let (request, _) = request("GET", "leitura", shard, patience, "");
                let ending = connected.ask(&request, 2 * patience);
                if !ending.is_ok_and(|ending| ending.keeps_connection()) {
                    // The loop ends once connecting fails: nobody listens any more, so the test is over.
                    client = Client::connect(to);
                }
            }
        });
    }
    stop
}

/// Returns how many requests an endpoint in slow start may receive within one second, where its age at the
/// end of that second is `age` seconds. Assumes `cold-bears` 20 and a warm-up of 6 s that begins at 0.16 of
/// the capacity, and adds the allowed random deviation: 3 * sqrt(n) + 3 requests below n = 30, otherwise 2 *
/// sqrt(n) + 2.
fn slow_start_limit(age: f64) -> usize {
    let n = 20.0 * (0.16 + 0.84 * (age / 6.0).min(1.0)) / 0.16;
    let slack = if n < 30.0 { 3.0 * f64::sqrt(n) + 3.0 } else { 2.0 * f64::sqrt(n) + 2.0 };
    (n + slack) as usize
}

/// Offsets of the wall clock in milliseconds: of the process at its start, of the process after it has
/// received the first endpoint list, and of the start time that the joining endpoint reports.
struct ClockScenario {
    name: &'static str,
    at_start_ms: i64,
    later_ms: i64,
    endpoint_ms: i64,
}

/// An endpoint that joins is in slow start for the duration of its warm-up, and no longer, whatever the wall
/// clock does: the age of an endpoint is measured by the monotonic clock.
#[test]
fn slow_start_is_kept_by_the_clock_that_runs_on() {
    const HOUR: i64 = 3_600_000;
    let scenario =
        |name, at_start_ms, later_ms, endpoint_ms| ClockScenario { name, at_start_ms, later_ms, endpoint_ms };
    let scenarios = [
        scenario("true", 0, 0, 0),
        scenario("an hour ahead", HOUR, HOUR, 0),
        scenario("four seconds ahead", 4_000, 4_000, 0),
        scenario("an hour behind", -HOUR, -HOUR, 0),
        scenario("set right after the start", HOUR, 0, 0),
        scenario("all clocks step forward", 0, HOUR, HOUR),
        scenario("all clocks step back", 0, -HOUR, -HOUR),
        scenario("all clocks step four seconds back", 0, -4_000, -4_000),
    ];
    let domain = r#""cold-bears":20,"unit-mean":1,"units-top":1,"shards":2"#;
    let rules = r#""overload-factor":3,"start-capacity":0.16,"tip-after":1000000000,"warm-up":6000000000,"stop-sending-within":1000000000"#;
    let running: Vec<_> = scenarios
        .into_iter()
        .enumerate()
        .map(|(number, scenario)| {
            std::thread::spawn(move || {
                let old = StubEndpoint::start(Duration::from_millis(5));
                let agent = StubDiscoveryAgent::start(&[entry("s-00000001", old.address, 1, "up", 0)]);
                let faults =
                    Faults::new(&format!("clock{number}"), &format!("clock {}\n", scenario.at_start_ms));
                let text = configuration(agent.address, 1200, domain, rules);
                let (_child, _lines, at) = start(&format!("clock{number}"), &text, &faults);
                std::thread::sleep(SECOND);
                faults.set(&format!("clock {}\n", scenario.later_ms));
                std::thread::sleep(SECOND);
                let joining = StubEndpoint::start(Duration::from_millis(5));
                let from = Instant::now();
                let started_at = (unix_ms() as i64 + scenario.endpoint_ms) as u64;
                agent.add_entry(entry("s-00000002", joining.address, 0, "up", started_at));
                let stop = keep_reading(at, 12, 0);
                std::thread::sleep(9 * SECOND);
                stop.store(true, Ordering::Relaxed);
                (scenario.name, joining.by_second(from, 9))
            })
        })
        .collect();
    let mut violations = Vec::new();
    for scenario in running {
        let (name, counts) = scenario.join().unwrap();
        for (second, count) in counts.iter().enumerate().take(5) {
            let limit = slow_start_limit(second as f64 + 1.0);
            if *count > limit {
                violations.push(format!(
                    "{name}: second {second} received {count} requests, {limit} are allowed: {counts:?}"
                ));
            }
        }
        // The warm-up is over by then, so the endpoint receives its full load.
        if counts[8] < 200 {
            violations.push(format!("{name}: still in slow start after its warm-up: {counts:?}"));
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}

/// A discovery agent, a few endpoints, and one initiator process whose system calls may fail.
struct TestCluster {
    name: String,
    endpoints: Vec<StubEndpoint>,
    agent: StubDiscoveryAgent,
    faults: Faults,
    child: Running,
    lines: Box<dyn Iterator<Item = String>>,
    at: SocketAddr,
}

impl TestCluster {
    /// Starts one endpoint for each shard, which answers each request after `service_time`. Every request
    /// class has the given deadline, and `fault_plan` says which system calls of the initiator fail.
    fn start(name: &str, shards: u16, service_time: Duration, deadline_ms: u64, fault_plan: &str) -> Self {
        let endpoints: Vec<_> = (0..shards).map(|_| StubEndpoint::start(service_time)).collect();
        let listed = |(cell, endpoint): (usize, &StubEndpoint)| {
            entry(&format!("s-{:08x}", cell + 1), endpoint.address, cell as u16, "up", 0)
        };
        let entries: Vec<String> = endpoints.iter().enumerate().map(listed).collect();
        let agent = StubDiscoveryAgent::start(&entries);
        let faults = Faults::new(name, fault_plan);
        let domain = r#""unit-mean":1,"units-top":1,"shards":4,"changes-data":[false,true]"#;
        let text = configuration(agent.address, deadline_ms, domain, r#""stop-sending-within":1000000000"#);
        let (child, lines, at) = start(name, &text, &faults);
        TestCluster { name: name.into(), endpoints, agent, faults, child, lines, at }
    }

    /// Counts how often each request arrived at an endpoint, by its trace id.
    fn arrivals(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for endpoint in &self.endpoints {
            for arrival in endpoint.arrivals.lock().unwrap().iter() {
                *counts.entry(arrival.trace().to_owned()).or_default() += 1;
            }
        }
        counts
    }

    /// Asserts that no request was lost or answered with another request's response, that no write arrived
    /// twice, and that no write that arrived at an endpoint was rejected.
    fn assert_consistent(&self, outcomes: &traffic::Outcomes) {
        let arrivals = self.arrivals();
        let ran = |lost: &String| arrivals.keys().any(|trace| lost.starts_with(trace));
        let lost: Vec<_> = outcomes.lost.iter().map(|lost| (lost, ran(lost))).collect();
        assert!(lost.is_empty(), "{}: {lost:?}", self.name);
        assert_eq!(outcomes.foreign, 0, "{}", self.name);
        let twice = |trace: &&String| arrivals.get(*trace).is_some_and(|count| *count > 1);
        assert_eq!(outcomes.writes.iter().filter(twice).count(), 0, "writes that arrived twice");
        let ran = |trace: &&String| arrivals.contains_key(*trace);
        assert_eq!(
            outcomes.rejected_writes.iter().filter(ran).count(),
            0,
            "writes that were rejected after they had arrived at an endpoint"
        );
    }
}

/// Interrupted system calls (`EINTR`) and short reads and writes do not end a connection: they are retried or
/// continued.
#[test]
fn interrupted_and_short_transfers_end_nothing() {
    let mut cluster =
        TestCluster::start("interrupted", 4, Duration::from_millis(3), 1000, "interrupt 20\nshort 100\n");
    let outcomes = traffic(cluster.at, 12, 4, SECOND, 4 * SECOND);
    cluster.assert_consistent(&outcomes);
    assert!(outcomes.served > 1000, "{outcomes:?}");
    assert_eq!((outcomes.rejected, outcomes.failed_reads, outcomes.failed_writes), (0, 0, 0));
    cluster.child.signal("-TERM");
    let watch_endings: Vec<String> =
        cluster.lines.by_ref().filter(|line| line.contains("the watch of the list ended")).collect();
    assert!(watch_endings.is_empty(), "{watch_endings:?}");
    assert!(cluster.child.0.wait().unwrap().success());
}

/// Each request gets exactly one response although calls that accept or open sockets and connections fail now
/// and then, and transfers are interrupted or short.
#[test]
fn transient_socket_errors_lose_no_request() {
    let plan = "accept 300\nsocket 100\nconnect 100\ninterrupt 20\nshort 100\n";
    let cluster = TestCluster::start("transient", 4, Duration::from_millis(3), 1000, plan);
    let outcomes = traffic(cluster.at, 12, 4, SECOND, 4 * SECOND);
    cluster.assert_consistent(&outcomes);
    assert!(outcomes.served > 500, "{outcomes:?}");
}

/// Successors take over one after another while `accept` fails now and then in every process and on every
/// listener. Each is ready soon, restores its predecessor's hand-over state, and no client loses a request.
#[test]
fn a_successor_takes_over_while_accept_fails_intermittently() {
    const PLAN: &str = "accept 600\n";
    let held = TcpListener::bind("127.0.0.1:0").unwrap();
    let place = held.local_addr().unwrap();
    let endpoints: Vec<_> = (0..2).map(|_| StubEndpoint::start(Duration::from_millis(3))).collect();
    let listed = |cell: usize| entry(&format!("s-{cell:08x}"), endpoints[cell].address, cell as u16, "up", 0);
    let agent = StubDiscoveryAgent::start(&[listed(0), listed(1)]);
    let domain = r#""unit-mean":1,"units-top":1,"shards":2,"changes-data":[false,true]"#;
    let path = file("accepts.json", &configuration(agent.address, 500, domain, ""));
    let folder =
        std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("accepts-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let faults = Faults::new("accepts", PLAN);
    let ready = |at: &str| {
        let start = Instant::now();
        while exchange(&mut TcpStream::connect(at).unwrap(), "GET /v1/readyz").0 != 200 {
            std::thread::sleep(Duration::from_millis(20));
        }
        start.elapsed()
    };
    let (mut old, mut old_lines, old_place) = start_version(&held, &folder, &path, Some(&faults));
    ready(&old_place);
    let clients = std::thread::spawn(move || traffic(place, 6, 2, SECOND / 2, 20 * SECOND));
    for round in 0..8 {
        let start = Instant::now();
        let (new, mut lines, new_place) = start_version(&held, &folder, &path, Some(&faults));
        ready(&new_place);
        assert!(start.elapsed() < 6 * SECOND, "round {round}: ready after {:?}", start.elapsed());
        let startup_lines: Vec<String> =
            lines.by_ref().take_while(|line| !line.contains(" listens for ")).collect();
        assert!(
            startup_lines.iter().any(|line| line.contains(" hand-over state restored ")),
            "round {round}: {startup_lines:?}"
        );
        old.signal("-TERM");
        assert!(old.0.wait().unwrap().success());
        let shutdown_lines: Vec<String> = old_lines.collect();
        assert!(
            shutdown_lines.iter().any(|line| line.contains(" a successor takes over ")),
            "round {round}: {shutdown_lines:?}"
        );
        (old, old_lines) = (new, lines);
    }
    let outcomes = clients.join().unwrap();
    assert!(outcomes.lost.is_empty(), "{:?}", outcomes.lost);
    assert!(outcomes.served > 1000 && outcomes.foreign == 0, "{outcomes:?}");
}

/// A connection that is aborted before it is accepted does not mean that the connection limit is reached:
/// idle clients keep their connections.
#[test]
fn aborted_connections_do_not_evict_idle_clients() {
    let cluster = TestCluster::start("aborted", 1, Duration::from_millis(1), 1000, "abort 700\n");
    let ask = |client: &mut Client| {
        let (request, _) = request("GET", "leitura", 0, SECOND, "");
        client.ask(&request, 2 * SECOND).unwrap_or(ClientOutcome::Closed)
    };
    let mut idle: Vec<Client> = (0..8).map(|_| Client::connect(cluster.at).unwrap()).collect();
    assert!(idle.iter_mut().all(|client| ask(client).keeps_connection()));
    for _ in 0..30 {
        assert!(ask(&mut Client::connect(cluster.at).unwrap()).keeps_connection());
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(idle.iter_mut().all(|client| ask(client).keeps_connection()));
}

/// Sends one request on each of 41 connections and closes 40 of them at the same instant. Returns how many of
/// those 40 requests arrived at the endpoint more than 0.1 s after the close, and how many requests arrived
/// in all.
fn arrivals_after_close(at: SocketAddr, endpoint: &StubEndpoint) -> (usize, usize) {
    let mut clients: Vec<Client> = (0..40).map(|_| Client::connect(at).unwrap()).collect();
    for client in &mut clients {
        client.send(&request("GET", "leitura", 0, 3 * SECOND, "").0).unwrap();
    }
    let (staying_request, staying_trace) = request("GET", "leitura", 0, 3 * SECOND, "");
    let mut staying = Client::connect(at).unwrap();
    staying.send(&staying_request).unwrap();
    std::thread::sleep(SECOND / 2);
    clients.into_iter().for_each(Client::close);
    let late = Instant::now() + Duration::from_millis(100);
    std::thread::sleep(4 * SECOND);
    let arrivals = endpoint.arrivals.lock().unwrap();
    let after = arrivals.iter().filter(|arrival| arrival.at > late && arrival.trace() != staying_trace);
    (after.count(), arrivals.len())
}

/// A request whose client has closed its connection is not sent to any endpoint, whether it was waiting for
/// units of its plan's limit, for an endpoint in slow start, or for a connection to be established.
#[test]
fn nothing_is_sent_after_the_client_disconnects_whatever_the_request_waits_for() {
    let rules = r#""overload-factor":3,"start-capacity":0.16,"tip-after":1000000000,"warm-up":6000000000,"stop-sending-within":1000000000"#;
    let domain = r#""cold-bears":4,"unit-mean":1,"units-top":1,"shards":2"#;
    let start_at = move |name: &'static str, entry: String, plan: &str| {
        let agent = StubDiscoveryAgent::start(&[entry]);
        let text = configuration(agent.address, 3000, domain, rules)
            .replace(r#"{"name":"basico","shares":1}"#, plan);
        (start(name, &text, &Faults::new(name, "")), agent)
    };
    const FREE: &str = r#"{"name":"basico","shares":1}"#;
    let limit = std::thread::spawn(move || {
        let limited =
            r#"{"name":"basico","shares":1,"base-rate":2,"never-over":2,"limit-burst":4,"tolerance":1}"#;
        let endpoint = StubEndpoint::start(Duration::from_millis(2));
        let listed = entry("s-00000001", endpoint.address, 0, "up", 0);
        let ((_child, _lines, at), _agent) = start_at("closes-limit", listed, limited);
        arrivals_after_close(at, &endpoint)
    });
    let slow_start = std::thread::spawn(move || {
        let endpoint = StubEndpoint::start(Duration::from_millis(2));
        let listed = entry("s-00000001", endpoint.address, 0, "up", unix_ms());
        let ((_child, _lines, at), _agent) = start_at("closes-cold", listed, FREE);
        arrivals_after_close(at, &endpoint)
    });
    let connecting = std::thread::spawn(move || {
        // The endpoint's backlog is full: connections are established only once the endpoint accepts.
        let endpoint = StubEndpoint::start_with_full_backlog(Duration::from_millis(2));
        let listed = entry("s-00000001", endpoint.address, 0, "up", 0);
        let ((_child, _lines, at), _agent) = start_at("closes-late", listed, FREE);
        let opens = endpoint.opens.clone();
        std::thread::spawn(move || {
            std::thread::sleep(SECOND);
            opens.store(true, Ordering::Relaxed);
        });
        arrivals_after_close(at, &endpoint)
    });
    let results = [limit.join().unwrap(), slow_start.join().unwrap(), connecting.join().unwrap()];
    assert!(results.iter().all(|(late, all)| *late == 0 && (1..40).contains(all)), "{results:?}");
}

/// Returns when the last request arrived at the endpoint; `None` if none did.
fn last_arrival(endpoint: &StubEndpoint) -> Option<Instant> {
    endpoint.arrivals.lock().unwrap().last().map(|arrival| arrival.at)
}

/// A change that a new discovery agent lists counts as received at most 4 s after the SIGHUP that names the
/// agent, whatever fault the first calls to the agent meet, and also where another SIGHUP follows. From then
/// on a draining endpoint gets new requests for at most `stop-sending-within` (1 s), with a tolerance of 0.05
/// s.
#[test]
fn a_drain_after_a_reload_takes_effect_in_time_whatever_the_next_calls_meet() {
    const FAULTS: [&[AgentFault]; 4] = [
        &[AgentFault::Closed, AgentFault::HeadOnly],
        &[AgentFault::Silent, AgentFault::Closed],
        &[AgentFault::Refused, AgentFault::HalfObject],
        &[AgentFault::HeadOnly, AgentFault::Silent],
    ];
    let scenario = |number: usize, faults: &'static [AgentFault]| {
        let endpoints =
            [StubEndpoint::start(Duration::from_millis(3)), StubEndpoint::start(Duration::from_millis(3))];
        let listed = |first: &str| {
            vec![
                entry("s-00000001", endpoints[0].address, 0, first, 0),
                entry("s-00000002", endpoints[1].address, 0, "up", 0),
            ]
        };
        let old = StubDiscoveryAgent::start(&listed("up"));
        let (second, third) = (
            StubDiscoveryAgent::start_with_faults(&listed("draining"), faults),
            StubDiscoveryAgent::start_with_faults(&listed("draining"), faults),
        );
        // List revisions continue when discovery moves to another address: the new agents' revision is above
        // the old one's.
        second.add_entry(entry("s-00000001", endpoints[0].address, 0, "draining", 0));
        third.add_entry(entry("s-00000001", endpoints[0].address, 0, "draining", 0));
        let name = format!("reload{number}");
        let rules = r#""stop-sending-within":1000000000"#;
        let text = |agent| configuration(agent, 1000, r#""unit-mean":1,"units-top":1,"shards":1"#, rules);
        let (child, _lines, at) = start(&name, &text(old.address), &Faults::new(&name, ""));
        let path = format!("guarantees-{}-{name}.json", std::process::id());
        let stop = keep_reading(at, 6, 0);
        std::thread::sleep(SECOND);
        let counts_from = Instant::now();
        for agent in [&second, &third] {
            file(&path, &text(agent.address));
            child.signal("-HUP");
            std::thread::sleep(SECOND / 2);
        }
        std::thread::sleep(7 * SECOND);
        stop.store(true, Ordering::Relaxed);
        let last = last_arrival(&endpoints[0])
            .expect("the endpoint was used before the drain")
            .saturating_duration_since(counts_from);
        let served = endpoints[1].by_second(counts_from, 7);
        (format!("{faults:?}"), last, served)
    };
    let running: Vec<_> =
        FAULTS.into_iter().enumerate().map(|(n, t)| std::thread::spawn(move || scenario(n, t))).collect();
    for thread in running {
        let (faults, last, served) = thread.join().unwrap();
        assert!(last <= Duration::from_millis(5050), "{faults}: sent until {last:?} after SIGHUP");
        assert!(served[6] > 50, "{faults}: {served:?}");
    }
}

/// A new process applies the agent's list from its start, also where the first call to the agent fails: an
/// endpoint that the agent lists as draining gets nothing, although the configuration file still lists the
/// endpoint as up.
#[test]
fn a_new_process_sends_nothing_to_an_endpoint_that_the_agent_lists_as_draining() {
    const FAULTS: [&[AgentFault]; 3] = [&[], &[AgentFault::Closed], &[AgentFault::HeadOnly]];
    for (number, faults) in FAULTS.into_iter().enumerate() {
        let endpoints =
            [StubEndpoint::start(Duration::from_millis(3)), StubEndpoint::start(Duration::from_millis(3))];
        let listed = |first: &str| {
            vec![
                entry("s-00000001", endpoints[0].address, 0, first, 0),
                entry("s-00000002", endpoints[1].address, 0, "up", 0),
            ]
        };
        let agent = StubDiscoveryAgent::start_with_faults(&listed("draining"), faults);
        let name = format!("first{number}");
        let rules = r#""stop-sending-within":1000000000"#;
        let text = configuration(agent.address, 1000, r#""unit-mean":1,"units-top":1,"shards":1"#, rules);
        let known =
            format!(r#""known":{{"revision":0,"complete":true,"members":[{}]}}"#, listed("up").join(","));
        let text = text.replace(r#""known":{"revision":0,"complete":true,"members":[]}"#, &known);
        let begins = Instant::now();
        let (_child, _lines, at) = start(&name, &text, &Faults::new(&name, ""));
        let stop = keep_reading(at, 6, 0);
        std::thread::sleep(3 * SECOND);
        stop.store(true, Ordering::Relaxed);
        let last = last_arrival(&endpoints[0]).map(|at| at.saturating_duration_since(begins));
        assert!(last.is_none_or(|last| last <= Duration::from_millis(1050)), "{faults:?}: {last:?}");
        assert!(faults.is_empty() <= last.is_none(), "{last:?}");
        assert!(endpoints[1].by_second(begins, 3)[2] > 50);
    }
}

/// Clients may pipeline many requests on one connection (RFC 9112, section 9.3.2). Each request that was read
/// is answered, in order.
#[test]
fn pipelined_requests_are_all_answered_in_order() {
    let cluster = TestCluster::start("ahead", 1, Duration::from_millis(2), 3000, "");
    let mut client = Client::connect(cluster.at).unwrap();
    let requests: Vec<_> = (0..300).map(|_| request("GET", "leitura", 0, 3 * SECOND, "")).collect();
    let all: Vec<u8> = requests.iter().flat_map(|(bytes, _)| bytes.clone()).collect();
    client.send(&all).unwrap();
    for (number, (_, trace)) in requests.iter().enumerate() {
        match client.answer(4 * SECOND) {
            ClientOutcome::Answered { status: 200, body, .. } => {
                assert_eq!(body, response_body(trace).as_bytes(), "request {number}")
            }
            // The request's deadline may pass while it waits behind the others.
            ClientOutcome::Answered { status: 503, .. } => {}
            other => panic!("request {number} of {}: {other:?}", requests.len()),
        }
    }
}

/// A request's time budget runs from the arrival of its last byte, also while the request waits behind others
/// on its connection: each attempt passes on only the time that is left, and each response comes at most 0.5
/// s after the deadline.
#[test]
fn pipelined_requests_have_no_more_time_than_their_clients() {
    const PATIENCE: Duration = Duration::from_millis(600);
    let cluster = TestCluster::start("behind", 2, Duration::from_millis(400), 1000, "");
    let mut client = Client::connect(cluster.at).unwrap();
    // The second request waits behind the first for 0.4 s, the others behind both. The last one is for
    // another endpoint and is sent 0.3 s later.
    let requests: Vec<_> = (0..4).map(|n| request("GET", "leitura", n / 3, PATIENCE, "")).collect();
    let sent = Instant::now();
    let first: Vec<u8> = requests[..3].iter().flat_map(|(bytes, _)| bytes.clone()).collect();
    client.send(&first).unwrap();
    std::thread::sleep(Duration::from_millis(300));
    client.send(&requests[3].0).unwrap();
    for (number, _) in requests.iter().enumerate() {
        let ending = client.answer(2 * SECOND);
        let took = sent.elapsed();
        assert!(matches!(ending, ClientOutcome::Answered { .. }), "request {number}: {ending:?}");
        let due = PATIENCE + if number == 3 { Duration::from_millis(300) } else { Duration::ZERO };
        assert!(took <= due + SECOND / 2, "request {number}: answered after {took:?}");
    }
    for arrival in cluster.endpoints.iter().flat_map(|endpoint| endpoint.arrivals.lock().unwrap().clone()) {
        let passed_on: f64 = header_of(&arrival.head, "x-expires-in").unwrap().parse().unwrap();
        let number = requests.iter().position(|(_, trace)| trace == arrival.trace()).unwrap();
        let due = sent + PATIENCE + if number == 3 { Duration::from_millis(300) } else { Duration::ZERO };
        let left = due.saturating_duration_since(arrival.at).as_secs_f64();
        assert!(passed_on <= left + 0.15, "request {number}: passed on {passed_on} s, {left} s were left");
    }
}

/// A configuration file that briefly cannot be opened, at the start or at SIGHUP, is read all the same by
/// retrying, and the new address of the discovery agent takes effect in time.
#[test]
fn a_configuration_that_briefly_cannot_be_opened_is_still_loaded() {
    let endpoint = StubEndpoint::start(Duration::from_millis(3));
    let agents =
        [(); 2].map(|()| StubDiscoveryAgent::start(&[entry("s-00000001", endpoint.address, 0, "up", 0)]));
    let text =
        |agent: &StubDiscoveryAgent| configuration(agent.address, 1000, r#""unit-mean":1,"units-top":1"#, "");
    for round in 0..4 {
        let name = format!("opens{round}");
        let faults = Faults::new(&name, "open 700\n");
        let (child, mut lines, _) = start(&name, &text(&agents[0]), &faults);
        file(&format!("guarantees-{}-{name}.json", std::process::id()), &text(&agents[1]));
        faults.set("open 1000\n");
        std::thread::sleep(Duration::from_millis(30));
        let begins = Instant::now();
        child.signal("-HUP");
        std::thread::sleep(SECOND / 2);
        faults.set("open 700\n");
        let line = lines.find(|line| line.contains(" configuration ")).unwrap();
        assert!(line.contains("the configuration was reloaded"), "{line}");
        assert!(begins.elapsed() < 3 * SECOND, "{:?}", begins.elapsed());
    }
}

/// For 0.15 s the initiator's machine has no socket, local port or memory for a new connection. Attempts wait
/// for one, no longer than the connect timeout, and the failure is not held against their endpoints.
#[test]
fn requests_survive_a_brief_lack_of_sockets() {
    for plan in ["socket 1000\n", "local 1000\n"] {
        let name = format!("moment-{}", &plan[..5]);
        let cluster = TestCluster::start(&name, 4, Duration::from_millis(3), 1000, "");
        let mut clients: Vec<Client> = (0..8).map(|_| Client::connect(cluster.at).unwrap()).collect();
        cluster.faults.set(plan);
        std::thread::sleep(Duration::from_millis(20));
        for (number, client) in clients.iter_mut().enumerate() {
            let (method, class) = if number % 2 == 0 { ("GET", "leitura") } else { ("PUT", "gravacao") };
            client.send(&request(method, class, number as u16 / 2, SECOND, "").0).unwrap();
        }
        std::thread::sleep(Duration::from_millis(150));
        cluster.faults.set("");
        for client in &mut clients {
            let ending = client.answer(2 * SECOND);
            assert!(matches!(ending, ClientOutcome::Answered { status: 200, .. }), "{plan}: {ending:?}");
        }
    }
}

/// An endpoint that restarts during slow start begins its warm-up again from its last start, also where the
/// list reports that start late or twice.
#[test]
fn an_endpoint_that_restarts_during_slow_start_begins_slow_start_again() {
    let domain = r#""cold-bears":20,"unit-mean":1,"units-top":1,"shards":2"#;
    let rules = r#""overload-factor":3,"start-capacity":0.16,"tip-after":1000000000,"warm-up":6000000000,"stop-sending-within":1000000000"#;
    // How long after the endpoint's second start the list reports that start.
    let running = [0_u64, 1500].map(|late_ms| {
        std::thread::spawn(move || {
            let old = StubEndpoint::start(Duration::from_millis(5));
            let agent = StubDiscoveryAgent::start(&[entry("s-00000001", old.address, 1, "up", 0)]);
            let name = format!("again{late_ms}");
            let text = configuration(agent.address, 1200, domain, rules);
            let (_child, _lines, at) = start(&name, &text, &Faults::new(&name, ""));
            std::thread::sleep(SECOND);
            let joining = StubEndpoint::start(Duration::from_millis(5));
            agent.add_entry(entry("s-00000002", joining.address, 0, "up", unix_ms()));
            let stop = keep_reading(at, 12, 0);
            std::thread::sleep(4 * SECOND);
            let restarted_at = unix_ms();
            std::thread::sleep(Duration::from_millis(late_ms));
            // The list reports the same start twice.
            agent.add_entry(entry("s-00000002", joining.address, 0, "up", restarted_at));
            let listed_at = Instant::now();
            std::thread::sleep(SECOND / 2);
            agent.add_entry(entry("s-00000002", joining.address, 0, "up", restarted_at));
            std::thread::sleep(5 * SECOND);
            stop.store(true, Ordering::Relaxed);
            (late_ms, joining.by_second(listed_at, 5))
        })
    });
    for thread in running {
        let (late_ms, counts) = thread.join().unwrap();
        for (second, count) in counts.iter().enumerate() {
            let age = second as f64 + 1.0 + late_ms as f64 / 1000.0;
            if age > 6.0 {
                // The endpoint is warm by then: its age counts from the start time in the list.
                continue;
            }
            // Requests sent just before the list reported the restart may still arrive.
            let limit = slow_start_limit(age) + 12;
            assert!(
                *count <= limit,
                "listed {late_ms} ms late: second {second} received {count} requests, {limit} are allowed: {counts:?}"
            );
        }
        assert!(counts[4] > 20, "{counts:?}");
    }
}

/// A log that cannot be written, as on a full disk, does not hold up requests or the shutdown.
#[test]
fn a_log_that_cannot_be_written_holds_up_neither_requests_nor_shutdown() {
    let endpoint = StubEndpoint::start(Duration::from_millis(3));
    let agent = StubDiscoveryAgent::start(&[entry("s-00000001", endpoint.address, 0, "up", 0)]);
    let held = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = held.local_addr().unwrap();
    drop(held);
    let text = configuration(agent.address, 1000, r#""unit-mean":1,"units-top":1"#, "");
    let path = file(
        &format!("guarantees-{}-full.json", std::process::id()),
        &text.replace("127.0.0.1:0", &at.to_string()),
    );
    let full = std::fs::OpenOptions::new().write(true).open("/dev/full").unwrap();
    let mut command = shaletack(&["--config", &path]);
    let mut child = Running(command.stderr(full).spawn().unwrap());
    let connect = || {
        std::thread::sleep(Duration::from_millis(10));
        Client::connect(at).ok()
    };
    let mut client =
        std::iter::repeat_with(connect).take(500).flatten().next().expect("the program listens within 5 s");
    let (request, _) = request("GET", "leitura", 0, SECOND, "");
    assert!(matches!(client.ask(&request, 2 * SECOND), Ok(ClientOutcome::Answered { status: 200, .. })));
    child.signal("-TERM");
    assert!(child.0.wait().unwrap().success());
}

/// Reads and writes on connections to endpoints and to the discovery agent fail with `ETIMEDOUT`,
/// `EHOSTUNREACH` or `ECONNRESET`: no request is lost or answered with another request's response, and no
/// write arrives twice.
#[test]
fn connection_failures_lose_no_request() {
    let cluster =
        TestCluster::start("unreachable", 4, Duration::from_millis(3), 1000, "peer 20\ninterrupt 20\n");
    let outcomes = traffic(cluster.at, 12, 4, SECOND, 4 * SECOND);
    cluster.assert_consistent(&outcomes);
    assert!(outcomes.served > 500 && outcomes.failed_writes > 0, "{outcomes:?}");
}

/// The rate of the log is limited, and yet the line that states the listen address is written however many
/// entries the endpoint list holds.
#[test]
fn a_long_endpoint_list_displaces_no_other_log_line() {
    let endpoint = StubEndpoint::start(Duration::from_millis(3));
    let entries: Vec<String> =
        (1..=400).map(|n| entry(&format!("s-{n:08x}"), endpoint.address, n, "up", 0)).collect();
    let agent = StubDiscoveryAgent::start(&entries);
    let faults = Faults::new("long", "");
    // `start` waits for the line that states the listen address.
    let (_child, _lines, at) = start("long", &configuration(agent.address, 1000, "", ""), &faults);
    assert!(Client::connect(at).is_ok());
}

/// Combines faults drawn from a seed: failing system calls, delays of 0.15 s, steps of the wall clock,
/// endpoints that hang, drains and reloads, while clients read and write. `TERMS_SEEDS` sets the number of
/// seeds (two by default) and `TERMS_FROM` the first one.
#[test]
fn random_fault_combinations_break_no_guarantee() {
    let seeds: u64 = std::env::var("TERMS_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(2);
    let from: u64 = std::env::var("TERMS_FROM").ok().and_then(|text| text.parse().ok()).unwrap_or(0);
    for first in (from..from + seeds).step_by(2) {
        let running: Vec<_> = (first..(from + seeds).min(first + 2))
            .map(|seed| std::thread::spawn(move || run_random_faults(seed)))
            .collect();
        running.into_iter().for_each(|thread| thread.join().unwrap());
    }
}

fn run_random_faults(seed: u64) {
    const PATIENCE: Duration = Duration::from_millis(800);
    /// `stop-sending-within` (1 s) and a tolerance of 0.05 s.
    const DRAIN_LIMIT: Duration = Duration::from_millis(1050);
    let mut rng = StdRng::seed_from_u64(seed);
    let mut cluster = TestCluster::start(&format!("drawn{seed}"), 4, Duration::from_millis(3), 800, "");
    // A second endpoint for each shard, so that one may drain.
    let spare: Vec<_> = (0..4).map(|_| StubEndpoint::start(Duration::from_millis(3))).collect();
    for (cell, endpoint) in spare.iter().enumerate() {
        cluster.agent.add_entry(entry(
            &format!("s-{:08x}", 0x100 + cell),
            endpoint.address,
            cell as u16,
            "up",
            0,
        ));
    }
    cluster.endpoints.extend(spare);
    let at = cluster.at;
    let clients = std::thread::spawn(move || traffic(at, 10, 4, PATIENCE, 5 * SECOND));
    let (begins, mut drained): (_, Option<(usize, Instant)>) = (Instant::now(), None);
    for _ in 0..8 {
        let mut plan = String::new();
        for (kind, most) in [
            ("accept", 300),
            ("connect", 100),
            ("local", 100),
            ("interrupt", 30),
            ("short", 200),
            ("hold", 10),
            ("peer", 10),
        ] {
            if rng.random_bool(0.4) {
                plan += &format!("{kind} {}\n", rng.random_range(1..=most));
            }
        }
        if rng.random_bool(0.3) {
            plan += &format!("clock {}\n", [4_000, -4_000, 3_600_000, -3_600_000][rng.random_range(0..4)]);
        }
        println!("seed {seed}, {:?}: {plan:?}", begins.elapsed());
        cluster.faults.set(&plan);
        match rng.random_range(0..4) {
            0 => {
                let hangs = cluster.endpoints[rng.random_range(0..8)].hangs.clone();
                hangs.store(true, Ordering::Relaxed);
                std::thread::spawn(move || {
                    std::thread::sleep(Duration::from_millis(500));
                    hangs.store(false, Ordering::Relaxed);
                });
            }
            1 if drained.is_none() => {
                let number: usize = rng.random_range(0..4);
                cluster.agent.add_entry(entry(
                    &format!("s-{:08x}", number + 1),
                    cluster.endpoints[number].address,
                    number as u16,
                    "draining",
                    0,
                ));
                drained = Some((number, Instant::now()));
            }
            2 => cluster.child.signal("-HUP"),
            _ => {}
        }
        std::thread::sleep(Duration::from_millis(600));
    }
    let outcomes = clients.join().unwrap();
    cluster.assert_consistent(&outcomes);
    assert!(outcomes.served > 300, "seed {seed}: {outcomes:?}");
    if let Some((number, drained_at)) = drained {
        let last =
            last_arrival(&cluster.endpoints[number]).map(|at| at.saturating_duration_since(drained_at));
        assert!(
            last.is_none_or(|last| last <= DRAIN_LIMIT),
            "seed {seed}: the last request was sent {last:?} after the drain"
        );
    }
    for arrival in cluster.endpoints.iter().flat_map(|endpoint| endpoint.arrivals.lock().unwrap().clone()) {
        let passed_on: f64 = header_of(&arrival.head, "x-expires-in").unwrap().parse().unwrap();
        assert!(passed_on <= PATIENCE.as_secs_f64(), "seed {seed}: {}", arrival.head);
    }
}

/// A request that is pipelined behind a slowly sent large one has its full time budget: the budget runs from
/// the request's own last byte, which arrives after the large request's.
#[test]
fn a_request_behind_a_slow_large_one_has_its_full_time_budget() {
    let cluster = TestCluster::start("slowly", 1, Duration::from_millis(3), 1500, "");
    let mut client = Client::connect(cluster.at).unwrap();
    let (large, first) = request("PUT", "gravacao", 0, SECOND, &"data".repeat(25_000));
    let (small, second) = request("GET", "leitura", 0, SECOND / 2, "");
    for part in [large, small].concat().chunks(10_000) {
        client.send(part).unwrap();
        std::thread::sleep(Duration::from_millis(100));
    }
    for trace in [first, second] {
        let ending = client.answer(2 * SECOND);
        let ClientOutcome::Answered { status: 200, body, .. } = ending else { panic!("{trace}: {ending:?}") };
        assert_eq!(body, response_body(&trace).as_bytes());
    }
}
