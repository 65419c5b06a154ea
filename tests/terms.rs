//! The pages' terms at their extremes, on real processes over loopback: `docs/terms-audit.md` names each test's row.

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

/// Starts the program by a configuration of this text, in a folder of its own.
fn start(name: &str, text: &str, faults: &Faults) -> (Running, Box<dyn Iterator<Item = String>>, SocketAddr) {
    let path = file(&format!("terms-{}-{name}.json", std::process::id()), text);
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("terms-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let mut command = shaletack(&["--config", &path]);
    let (child, lines, address) = Running::start(faults.on(&mut command).env("TMPDIR", folder));
    (child, Box::new(lines), address.parse().unwrap())
}

/// Clients that ask for reads of a shard without a rest, until told to stop.
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
                if !ending.is_ok_and(|ending| ending.keeps()) {
                    // Where nobody listens any more the test is over.
                    client = Client::connect(to);
                }
            }
        });
    }
    stop
}

/// What a box in slow start bears within a second, by the standing page, with `cold-bears` 20, a warm-up of 6 s from 0.16
/// of its capacity, and that age at the second's end.
fn slow_start_bears(age: f64) -> usize {
    let n = 20.0 * (0.16 + 0.84 * (age / 6.0).min(1.0)) / 0.16;
    let slack = if n < 30.0 { 3.0 * f64::sqrt(n) + 3.0 } else { 2.0 * f64::sqrt(n) + 2.0 };
    (n + slack) as usize
}

/// How a wall clock misbehaves: at the process's start, and after the list was first heard; and by how much the box's own
/// start is off, in milliseconds.
struct ClockPlay {
    name: &'static str,
    at_start_ms: i64,
    later_ms: i64,
    box_ms: i64,
}

/// A box that joins is in slow start for its warm-up, whatever the wall clock does; and not for longer.
#[test]
fn slow_start_is_kept_by_the_clock_that_runs_on() {
    const HOUR: i64 = 3_600_000;
    let play = |name, at_start_ms, later_ms, box_ms| ClockPlay { name, at_start_ms, later_ms, box_ms };
    let plays = [
        play("true", 0, 0, 0),
        play("an hour ahead", HOUR, HOUR, 0),
        play("four seconds ahead", 4_000, 4_000, 0),
        play("an hour behind", -HOUR, -HOUR, 0),
        play("set right after the start", HOUR, 0, 0),
        play("all clocks step forward", 0, HOUR, HOUR),
        play("all clocks step back", 0, -HOUR, -HOUR),
        play("all clocks step four seconds back", 0, -4_000, -4_000),
    ];
    let domain = r#""cold-bears":20,"unit-mean":1,"units-top":1,"shards":2"#;
    let rules = r#""overload-factor":3,"start-capacity":0.16,"tip-after":1000000000,"warm-up":6000000000,"stop-sending-within":1000000000"#;
    let played: Vec<_> = plays
        .into_iter()
        .enumerate()
        .map(|(number, play)| {
            std::thread::spawn(move || {
                let old = StandInBox::start(Duration::from_millis(5));
                let agent = StandInAgent::start(&[entry("s-00000001", old.address, 1, "up", 0)]);
                let faults = Faults::new(&format!("clock{number}"), &format!("clock {}\n", play.at_start_ms));
                let text = configuration(agent.address, 1200, domain, rules);
                let (_child, _lines, at) = start(&format!("clock{number}"), &text, &faults);
                std::thread::sleep(SECOND);
                faults.set(&format!("clock {}\n", play.later_ms));
                std::thread::sleep(SECOND);
                let joins = StandInBox::start(Duration::from_millis(5));
                let from = Instant::now();
                let born = (unix_ms() as i64 + play.box_ms) as u64;
                agent.tell(entry("s-00000002", joins.address, 0, "up", born));
                let stop = keep_reading(at, 12, 0);
                std::thread::sleep(9 * SECOND);
                stop.store(true, Ordering::Relaxed);
                (play.name, joins.by_second(from, 9))
            })
        })
        .collect();
    let mut wrong = Vec::new();
    for play in played {
        let (name, counts) = play.join().unwrap();
        for (second, count) in counts.iter().enumerate().take(5) {
            let bears = slow_start_bears(second as f64 + 1.0);
            if *count > bears {
                wrong.push(format!("{name}: second {second} has {count} of {bears}: {counts:?}"));
            }
        }
        // Warm by then, and sent what it takes.
        if counts[8] < 200 {
            wrong.push(format!("{name}: still cold: {counts:?}"));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// A stand-in platform of a few boxes, and one process among them whose system calls may fail.
struct Site {
    name: String,
    boxes: Vec<StandInBox>,
    agent: StandInAgent,
    faults: Faults,
    child: Running,
    lines: Box<dyn Iterator<Item = String>>,
    at: SocketAddr,
}

impl Site {
    /// One box for each shard, each answer taking so long; requests wait so long at the most.
    fn start(name: &str, shards: u16, takes: Duration, deadline_ms: u64, plan: &str) -> Self {
        let boxes: Vec<_> = (0..shards).map(|_| StandInBox::start(takes)).collect();
        let listed = |(cell, stand_in): (usize, &StandInBox)| {
            entry(&format!("s-{:08x}", cell + 1), stand_in.address, cell as u16, "up", 0)
        };
        let entries: Vec<String> = boxes.iter().enumerate().map(listed).collect();
        let agent = StandInAgent::start(&entries);
        let faults = Faults::new(name, plan);
        let domain = r#""unit-mean":1,"units-top":1,"shards":4,"changes-data":[false,true]"#;
        let text = configuration(agent.address, deadline_ms, domain, r#""stop-sending-within":1000000000"#);
        let (child, lines, at) = start(name, &text, &faults);
        Site { name: name.into(), boxes, agent, faults, child, lines, at }
    }

    /// How often each request came to a box, by its trace id.
    fn arrivals(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for stand_in in &self.boxes {
            for arrival in stand_in.arrivals.lock().unwrap().iter() {
                *counts.entry(arrival.trace().to_owned()).or_default() += 1;
            }
        }
        counts
    }

    /// Nothing lost, nothing foreign, no write twice, none refused that ran.
    fn is_kept(&self, outcomes: &traffic::Outcomes) {
        let arrivals = self.arrivals();
        let ran = |lost: &String| arrivals.keys().any(|trace| lost.starts_with(trace));
        let lost: Vec<_> = outcomes.lost.iter().map(|lost| (lost, ran(lost))).collect();
        assert!(lost.is_empty(), "{}: {lost:?}", self.name);
        assert_eq!(outcomes.foreign, 0, "{}", self.name);
        let twice = |trace: &&String| arrivals.get(*trace).is_some_and(|count| *count > 1);
        assert_eq!(outcomes.writes.iter().filter(twice).count(), 0, "written twice");
        let ran = |trace: &&String| arrivals.contains_key(*trace);
        assert_eq!(outcomes.refused_writes.iter().filter(ran).count(), 0, "refused, and it ran");
    }
}

/// Interrupted calls, and transfers of a part of what was asked for, are no end of a connection.
#[test]
fn interrupted_and_short_transfers_end_nothing() {
    let mut site = Site::start("interrupted", 4, Duration::from_millis(3), 1000, "interrupt 20\nshort 100\n");
    let outcomes = traffic(site.at, 12, 4, SECOND, 4 * SECOND);
    site.is_kept(&outcomes);
    assert!(outcomes.served > 1000, "{outcomes:?}");
    assert_eq!((outcomes.refused, outcomes.failed_reads, outcomes.failed_writes), (0, 0, 0));
    site.child.signal("-TERM");
    let told: Vec<String> =
        site.lines.by_ref().filter(|line| line.contains("the watch of the list ended")).collect();
    assert!(told.is_empty(), "{told:?}");
    assert!(site.child.0.wait().unwrap().success());
}

/// Calls for new sockets and connections fail for a moment, and boxes are slow: each request has its one answer.
#[test]
fn calls_that_fail_for_a_moment_lose_nothing() {
    let plan = "accept 300\nsocket 100\nconnect 100\ninterrupt 20\nshort 100\n";
    let site = Site::start("moments", 4, Duration::from_millis(3), 1000, plan);
    let outcomes = traffic(site.at, 12, 4, SECOND, 4 * SECOND);
    site.is_kept(&outcomes);
    assert!(outcomes.served > 500, "{outcomes:?}");
}

/// One version after another takes over while accepting fails for a moment again and again, in all of them and at every
/// address: each is ready soon and knows what the one before knew, and clients lose nothing.
#[test]
fn a_new_version_takes_over_while_accepting_fails_for_a_moment() {
    const PLAN: &str = "accept 600\n";
    let held = TcpListener::bind("127.0.0.1:0").unwrap();
    let place = held.local_addr().unwrap();
    let boxes: Vec<_> = (0..2).map(|_| StandInBox::start(Duration::from_millis(3))).collect();
    let listed = |cell: usize| entry(&format!("s-{cell:08x}"), boxes[cell].address, cell as u16, "up", 0);
    let agent = StandInAgent::start(&[listed(0), listed(1)]);
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
    let (mut old, mut old_lines, old_place) = version(&held, &folder, &path, Some(&faults));
    ready(&old_place);
    let clients = std::thread::spawn(move || traffic(place, 6, 2, SECOND / 2, 20 * SECOND));
    for round in 0..8 {
        let start = Instant::now();
        let (new, mut lines, new_place) = version(&held, &folder, &path, Some(&faults));
        ready(&new_place);
        assert!(start.elapsed() < 6 * SECOND, "round {round}: ready after {:?}", start.elapsed());
        let told: Vec<String> = lines.by_ref().take_while(|line| !line.contains(" listens for ")).collect();
        assert!(
            told.iter().any(|line| line.contains(" hand-over state restored ")),
            "round {round}: {told:?}"
        );
        old.signal("-TERM");
        assert!(old.0.wait().unwrap().success());
        let last: Vec<String> = old_lines.collect();
        assert!(last.iter().any(|line| line.contains(" a successor takes over ")), "round {round}: {last:?}");
        (old, old_lines) = (new, lines);
    }
    let outcomes = clients.join().unwrap();
    assert!(outcomes.lost.is_empty(), "{:?}", outcomes.lost);
    assert!(outcomes.served > 1000 && outcomes.foreign == 0, "{outcomes:?}");
}

/// A newcomer whose connection is aborted before it is accepted is no sign that places are full: clients that rest keep
/// theirs.
#[test]
fn aborted_newcomers_end_nobodys_connection() {
    let site = Site::start("aborted", 1, Duration::from_millis(1), 1000, "abort 700\n");
    let ask = |client: &mut Client| {
        let (request, _) = request("GET", "leitura", 0, SECOND, "");
        client.ask(&request, 2 * SECOND).unwrap_or(Ending::Closed)
    };
    let mut resting: Vec<Client> = (0..8).map(|_| Client::connect(site.at).unwrap()).collect();
    assert!(resting.iter_mut().all(|client| ask(client).keeps()));
    for _ in 0..30 {
        assert!(ask(&mut Client::connect(site.at).unwrap()).keeps());
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(resting.iter_mut().all(|client| ask(client).keeps()));
}

/// Many requests on connections that are all closed at one instant, but for one: how many came to the box over 0.1 s after
/// beside that one, and in all.
fn arrivals_after_close(at: SocketAddr, stand_in: &StandInBox) -> (usize, usize) {
    let mut clients: Vec<Client> = (0..40).map(|_| Client::connect(at).unwrap()).collect();
    for client in &mut clients {
        client.send(&request("GET", "leitura", 0, 3 * SECOND, "").0).unwrap();
    }
    let (stays, kept) = request("GET", "leitura", 0, 3 * SECOND, "");
    let mut staying = Client::connect(at).unwrap();
    staying.send(&stays).unwrap();
    std::thread::sleep(SECOND / 2);
    clients.into_iter().for_each(Client::close);
    let late = Instant::now() + Duration::from_millis(100);
    std::thread::sleep(4 * SECOND);
    let arrivals = stand_in.arrivals.lock().unwrap();
    let after = arrivals.iter().filter(|arrival| arrival.at > late && arrival.trace() != kept);
    (after.count(), arrivals.len())
}

/// A request whose client has closed its connection is sent nowhere, whatever it waited for: the units of its limit, a turn
/// at a box in slow start, or a connection that does not come up.
#[test]
fn nothing_is_sent_after_a_close_whatever_the_request_waits_for() {
    let rules = r#""overload-factor":3,"start-capacity":0.16,"tip-after":1000000000,"warm-up":6000000000,"stop-sending-within":1000000000"#;
    let domain = r#""cold-bears":4,"unit-mean":1,"units-top":1,"shards":2"#;
    let start_at = move |name: &'static str, entry: String, plan: &str| {
        let agent = StandInAgent::start(&[entry]);
        let text = configuration(agent.address, 3000, domain, rules)
            .replace(r#"{"name":"basico","shares":1}"#, plan);
        (start(name, &text, &Faults::new(name, "")), agent)
    };
    const FREE: &str = r#"{"name":"basico","shares":1}"#;
    let limit = std::thread::spawn(move || {
        let limited =
            r#"{"name":"basico","shares":1,"base-rate":2,"never-over":2,"limit-burst":4,"tolerance":1}"#;
        let stand_in = StandInBox::start(Duration::from_millis(2));
        let listed = entry("s-00000001", stand_in.address, 0, "up", 0);
        let ((_child, _lines, at), _agent) = start_at("closes-limit", listed, limited);
        arrivals_after_close(at, &stand_in)
    });
    let cold = std::thread::spawn(move || {
        let stand_in = StandInBox::start(Duration::from_millis(2));
        let listed = entry("s-00000001", stand_in.address, 0, "up", unix_ms());
        let ((_child, _lines, at), _agent) = start_at("closes-cold", listed, FREE);
        arrivals_after_close(at, &stand_in)
    });
    let connecting = std::thread::spawn(move || {
        // Its backlog is full: a connection comes up once somebody accepts.
        let stand_in = StandInBox::start_full(Duration::from_millis(2));
        let listed = entry("s-00000001", stand_in.address, 0, "up", 0);
        let ((_child, _lines, at), _agent) = start_at("closes-late", listed, FREE);
        let opens = stand_in.opens.clone();
        std::thread::spawn(move || {
            std::thread::sleep(SECOND);
            opens.store(true, Ordering::Relaxed);
        });
        arrivals_after_close(at, &stand_in)
    });
    let played = [limit.join().unwrap(), cold.join().unwrap(), connecting.join().unwrap()];
    assert!(played.iter().all(|(late, all)| *late == 0 && (1..40).contains(all)), "{played:?}");
}

/// Reads of shard 0 by clients that go on, while its two boxes are told of: when the last request came to the first.
fn last_arrival(stand_in: &StandInBox) -> Option<Instant> {
    stand_in.arrivals.lock().unwrap().last().map(|arrival| arrival.at)
}

/// A change counts as told 4 s after SIGHUP, whatever the first calls at the new address bring, and also where another
/// SIGHUP follows: from 1 s (the settings' grace) and 0.05 s after that on nothing new goes to a box that drains.
#[test]
fn a_drain_behind_a_reload_counts_in_time_whatever_the_next_calls_bring() {
    const TROUBLES: [&[Trouble]; 4] = [
        &[Trouble::Closed, Trouble::HeadOnly],
        &[Trouble::Silent, Trouble::Closed],
        &[Trouble::Refused, Trouble::HalfObject],
        &[Trouble::HeadOnly, Trouble::Silent],
    ];
    let play = |number: usize, troubles: &'static [Trouble]| {
        let boxes =
            [StandInBox::start(Duration::from_millis(3)), StandInBox::start(Duration::from_millis(3))];
        let listed = |first: &str| {
            vec![
                entry("s-00000001", boxes[0].address, 0, first, 0),
                entry("s-00000002", boxes[1].address, 0, "up", 0),
            ]
        };
        let old = StandInAgent::start(&listed("up"));
        let (second, third) = (
            StandInAgent::start_troubled(&listed("draining"), troubles),
            StandInAgent::start_troubled(&listed("draining"), troubles),
        );
        // Versions go on where discovery moves.
        second.tell(entry("s-00000001", boxes[0].address, 0, "draining", 0));
        third.tell(entry("s-00000001", boxes[0].address, 0, "draining", 0));
        let name = format!("reload{number}");
        let rules = r#""stop-sending-within":1000000000"#;
        let text = |agent| configuration(agent, 1000, r#""unit-mean":1,"units-top":1,"shards":1"#, rules);
        let (child, _lines, at) = start(&name, &text(old.address), &Faults::new(&name, ""));
        let path = format!("terms-{}-{name}.json", std::process::id());
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
        let last = last_arrival(&boxes[0]).expect("it was used").saturating_duration_since(counts_from);
        let served = boxes[1].by_second(counts_from, 7);
        (format!("{troubles:?}"), last, served)
    };
    let played: Vec<_> =
        TROUBLES.into_iter().enumerate().map(|(n, t)| std::thread::spawn(move || play(n, t))).collect();
    for one in played {
        let (troubles, last, served) = one.join().unwrap();
        assert!(last <= Duration::from_millis(5050), "{troubles}: sent until {last:?} after SIGHUP");
        assert!(served[6] > 50, "{troubles}: {served:?}");
    }
}

/// What the agent has counts as told from the first moment of a new process, also where its first call is lost.
#[test]
fn a_new_process_sends_nothing_to_what_its_agent_says_drains() {
    const TROUBLES: [&[Trouble]; 3] = [&[], &[Trouble::Closed], &[Trouble::HeadOnly]];
    for (number, troubles) in TROUBLES.into_iter().enumerate() {
        let boxes =
            [StandInBox::start(Duration::from_millis(3)), StandInBox::start(Duration::from_millis(3))];
        let listed = |first: &str| {
            vec![
                entry("s-00000001", boxes[0].address, 0, first, 0),
                entry("s-00000002", boxes[1].address, 0, "up", 0),
            ]
        };
        let agent = StandInAgent::start_troubled(&listed("draining"), troubles);
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
        let last = last_arrival(&boxes[0]).map(|at| at.saturating_duration_since(begins));
        assert!(last.is_none_or(|last| last <= Duration::from_millis(1050)), "{troubles:?}: {last:?}");
        assert!(troubles.is_empty() <= last.is_none(), "{last:?}");
        assert!(boxes[1].by_second(begins, 3)[2] > 50);
    }
}

/// Clients may send many requests at once on a connection. Each has been read and is owed its answer, in turn.
#[test]
fn many_requests_sent_at_once_are_all_answered() {
    let site = Site::start("ahead", 1, Duration::from_millis(2), 3000, "");
    let mut client = Client::connect(site.at).unwrap();
    let requests: Vec<_> = (0..300).map(|_| request("GET", "leitura", 0, 3 * SECOND, "")).collect();
    let all: Vec<u8> = requests.iter().flat_map(|(bytes, _)| bytes.clone()).collect();
    client.send(&all).unwrap();
    for (number, (_, trace)) in requests.iter().enumerate() {
        match client.answer(4 * SECOND) {
            Ending::Answered { status: 200, body, .. } => {
                assert_eq!(body, answer_to(trace).as_bytes(), "number {number}")
            }
            // Its time may run out behind all the others.
            Ending::Answered { status: 503, .. } => {}
            other => panic!("number {number} of {}: {other:?}", requests.len()),
        }
    }
}

/// A request's time counts from its last byte, also where it waits behind others of its connection: what attempts tell
/// their boxes is what is left of it, and each has its answer in time (0.5 s after it at the latest).
#[test]
fn requests_sent_ahead_have_no_more_time_than_their_clients() {
    const PATIENCE: Duration = Duration::from_millis(600);
    let site = Site::start("behind", 2, Duration::from_millis(400), 1000, "");
    let mut client = Client::connect(site.at).unwrap();
    // The second waits behind the first for 0.4 s, the others behind both; the last is for another box, and comes later.
    let requests: Vec<_> = (0..4).map(|n| request("GET", "leitura", n / 3, PATIENCE, "")).collect();
    let sent = Instant::now();
    let first: Vec<u8> = requests[..3].iter().flat_map(|(bytes, _)| bytes.clone()).collect();
    client.send(&first).unwrap();
    std::thread::sleep(Duration::from_millis(300));
    client.send(&requests[3].0).unwrap();
    for (number, _) in requests.iter().enumerate() {
        let ending = client.answer(2 * SECOND);
        let took = sent.elapsed();
        assert!(matches!(ending, Ending::Answered { .. }), "number {number}: {ending:?}");
        let due = PATIENCE + if number == 3 { Duration::from_millis(300) } else { Duration::ZERO };
        assert!(took <= due + SECOND / 2, "number {number}: answered after {took:?}");
    }
    for arrival in site.boxes.iter().flat_map(|stand_in| stand_in.arrivals.lock().unwrap().clone()) {
        let told: f64 = header_of(&arrival.head, "x-expires-in").unwrap().parse().unwrap();
        let number = requests.iter().position(|(_, trace)| trace == arrival.trace()).unwrap();
        let due = sent + PATIENCE + if number == 3 { Duration::from_millis(300) } else { Duration::ZERO };
        let left = due.saturating_duration_since(arrival.at).as_secs_f64();
        assert!(told <= left + 0.15, "number {number}: told {told}, {left} left");
    }
}

/// The file of settings can't be opened for a moment, at the start and at SIGHUP: it is read all the same, and discovery's
/// move counts in time.
#[test]
fn a_configuration_that_can_not_be_opened_for_a_moment_counts() {
    let stand_in = StandInBox::start(Duration::from_millis(3));
    let agents = [(); 2].map(|()| StandInAgent::start(&[entry("s-00000001", stand_in.address, 0, "up", 0)]));
    let text =
        |agent: &StandInAgent| configuration(agent.address, 1000, r#""unit-mean":1,"units-top":1"#, "");
    for round in 0..4 {
        let name = format!("opens{round}");
        let faults = Faults::new(&name, "open 700\n");
        let (child, mut lines, _) = start(&name, &text(&agents[0]), &faults);
        file(&format!("terms-{}-{name}.json", std::process::id()), &text(&agents[1]));
        faults.set("open 1000\n");
        std::thread::sleep(Duration::from_millis(30));
        let begins = Instant::now();
        child.signal("-HUP");
        std::thread::sleep(SECOND / 2);
        faults.set("open 700\n");
        let told = lines.find(|line| line.contains(" configuration ")).unwrap();
        assert!(told.contains("the configuration was reloaded"), "{told}");
        assert!(begins.elapsed() < 3 * SECOND, "{:?}", begins.elapsed());
    }
}

/// For 0.15 s this machine has no socket, port or memory for a connection: attempts wait for one, no longer than a
/// connection may take, and nothing is said of their boxes.
#[test]
fn requests_outlast_a_moment_without_sockets() {
    for plan in ["socket 1000\n", "local 1000\n"] {
        let name = format!("moment-{}", &plan[..5]);
        let site = Site::start(&name, 4, Duration::from_millis(3), 1000, "");
        let mut clients: Vec<Client> = (0..8).map(|_| Client::connect(site.at).unwrap()).collect();
        site.faults.set(plan);
        std::thread::sleep(Duration::from_millis(20));
        for (number, client) in clients.iter_mut().enumerate() {
            let (method, class) = if number % 2 == 0 { ("GET", "leitura") } else { ("PUT", "gravacao") };
            client.send(&request(method, class, number as u16 / 2, SECOND, "").0).unwrap();
        }
        std::thread::sleep(Duration::from_millis(150));
        site.faults.set("");
        for client in &mut clients {
            let ending = client.answer(2 * SECOND);
            assert!(matches!(ending, Ending::Answered { status: 200, .. }), "{plan}: {ending:?}");
        }
    }
}

/// A box in slow start that starts once more before it is warm, and is listed late, twice, or in a whole list, begins its
/// warm-up anew each time, and never earlier.
#[test]
fn an_endpoint_that_restarts_during_slow_start_begins_slow_start_again() {
    let domain = r#""cold-bears":20,"unit-mean":1,"units-top":1,"shards":2"#;
    let rules = r#""overload-factor":3,"start-capacity":0.16,"tip-after":1000000000,"warm-up":6000000000,"stop-sending-within":1000000000"#;
    // How long after its second start the list tells of it.
    let plays = [0_u64, 1500].map(|late_ms| {
        std::thread::spawn(move || {
            let old = StandInBox::start(Duration::from_millis(5));
            let agent = StandInAgent::start(&[entry("s-00000001", old.address, 1, "up", 0)]);
            let name = format!("again{late_ms}");
            let text = configuration(agent.address, 1200, domain, rules);
            let (_child, _lines, at) = start(&name, &text, &Faults::new(&name, ""));
            std::thread::sleep(SECOND);
            let joins = StandInBox::start(Duration::from_millis(5));
            agent.tell(entry("s-00000002", joins.address, 0, "up", unix_ms()));
            let stop = keep_reading(at, 12, 0);
            std::thread::sleep(4 * SECOND);
            let again = unix_ms();
            std::thread::sleep(Duration::from_millis(late_ms));
            // Told twice, the second time as it was.
            agent.tell(entry("s-00000002", joins.address, 0, "up", again));
            let told = Instant::now();
            std::thread::sleep(SECOND / 2);
            agent.tell(entry("s-00000002", joins.address, 0, "up", again));
            std::thread::sleep(5 * SECOND);
            stop.store(true, Ordering::Relaxed);
            (late_ms, joins.by_second(told, 5))
        })
    });
    for play in plays {
        let (late_ms, counts) = play.join().unwrap();
        for (second, count) in counts.iter().enumerate() {
            let age = second as f64 + 1.0 + late_ms as f64 / 1000.0;
            if age > 6.0 {
                // Warm by then, for the list told how long ago it started.
                continue;
            }
            // What was sent just before it was told may still come.
            let bears = slow_start_bears(age) + 12;
            assert!(
                *count <= bears,
                "told {late_ms} ms late: second {second}, {count} of {bears}: {counts:?}"
            );
        }
        assert!(counts[4] > 20, "{counts:?}");
    }
}

/// A log that nobody takes, or whose disk is full, holds nothing up.
#[test]
fn a_log_that_can_not_be_written_holds_nothing_up() {
    let stand_in = StandInBox::start(Duration::from_millis(3));
    let agent = StandInAgent::start(&[entry("s-00000001", stand_in.address, 0, "up", 0)]);
    let held = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = held.local_addr().unwrap();
    drop(held);
    let text = configuration(agent.address, 1000, r#""unit-mean":1,"units-top":1"#, "");
    let path = file(
        &format!("terms-{}-full.json", std::process::id()),
        &text.replace("127.0.0.1:0", &at.to_string()),
    );
    let full = std::fs::OpenOptions::new().write(true).open("/dev/full").unwrap();
    let mut command = shaletack(&["--config", &path]);
    let mut child = Running(command.stderr(full).spawn().unwrap());
    let connect = || {
        std::thread::sleep(Duration::from_millis(10));
        Client::connect(at).ok()
    };
    let mut client = std::iter::repeat_with(connect).take(500).flatten().next().expect("it listens");
    let (request, _) = request("GET", "leitura", 0, SECOND, "");
    assert!(matches!(client.ask(&request, 2 * SECOND), Ok(Ending::Answered { status: 200, .. })));
    child.signal("-TERM");
    assert!(child.0.wait().unwrap().success());
}

/// Connections to boxes and to the agent end in ETIMEDOUT, EHOSTUNREACH or a reset, as they are read and as they are
/// written: nothing lost, nothing foreign, no write twice.
#[test]
fn ways_that_are_lost_lose_no_request() {
    let site = Site::start("ways", 4, Duration::from_millis(3), 1000, "peer 20\ninterrupt 20\n");
    let outcomes = traffic(site.at, 12, 4, SECOND, 4 * SECOND);
    site.is_kept(&outcomes);
    assert!(outcomes.served > 500 && outcomes.failed_writes > 0, "{outcomes:?}");
}

/// The log is bounded, and the line that says where clients connect is in it whatever the list holds.
#[test]
fn a_long_list_pushes_no_other_line_out_of_the_log() {
    let stand_in = StandInBox::start(Duration::from_millis(3));
    let entries: Vec<String> =
        (1..=400).map(|n| entry(&format!("s-{n:08x}"), stand_in.address, n, "up", 0)).collect();
    let agent = StandInAgent::start(&entries);
    let faults = Faults::new("long", "");
    // It waits for that line.
    let (_child, _lines, at) = start("long", &configuration(agent.address, 1000, "", ""), &faults);
    assert!(Client::connect(at).is_ok());
}

/// Troubles of several kinds at once, drawn by a seed: calls that fail, hold-ups of 0.15 s, steps of the wall clock, boxes
/// that hang, drains and reloads, under clients that read and write. `TERMS_SEEDS` sets how many seeds, two by default.
#[test]
fn drawn_faults_together_break_no_rule() {
    let seeds: u64 = std::env::var("TERMS_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(2);
    let from: u64 = std::env::var("TERMS_FROM").ok().and_then(|text| text.parse().ok()).unwrap_or(0);
    for first in (from..from + seeds).step_by(2) {
        let plays: Vec<_> = (first..(from + seeds).min(first + 2))
            .map(|seed| std::thread::spawn(move || play_drawn_troubles(seed)))
            .collect();
        plays.into_iter().for_each(|play| play.join().unwrap());
    }
}

fn play_drawn_troubles(seed: u64) {
    const PATIENCE: Duration = Duration::from_millis(800);
    const GRACE: Duration = Duration::from_millis(1050);
    let mut draws = StdRng::seed_from_u64(seed);
    let mut site = Site::start(&format!("drawn{seed}"), 4, Duration::from_millis(3), 800, "");
    // A second box for each shard, so that one may drain.
    let spare: Vec<_> = (0..4).map(|_| StandInBox::start(Duration::from_millis(3))).collect();
    for (cell, stand_in) in spare.iter().enumerate() {
        site.agent.tell(entry(&format!("s-{:08x}", 0x100 + cell), stand_in.address, cell as u16, "up", 0));
    }
    site.boxes.extend(spare);
    let at = site.at;
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
            if draws.random_bool(0.4) {
                plan += &format!("{kind} {}\n", draws.random_range(1..=most));
            }
        }
        if draws.random_bool(0.3) {
            plan += &format!("clock {}\n", [4_000, -4_000, 3_600_000, -3_600_000][draws.random_range(0..4)]);
        }
        println!("seed {seed}, {:?}: {plan:?}", begins.elapsed());
        site.faults.set(&plan);
        match draws.random_range(0..4) {
            0 => {
                let hangs = site.boxes[draws.random_range(0..8)].hangs.clone();
                hangs.store(true, Ordering::Relaxed);
                std::thread::spawn(move || {
                    std::thread::sleep(Duration::from_millis(500));
                    hangs.store(false, Ordering::Relaxed);
                });
            }
            1 if drained.is_none() => {
                let number: usize = draws.random_range(0..4);
                site.agent.tell(entry(
                    &format!("s-{:08x}", number + 1),
                    site.boxes[number].address,
                    number as u16,
                    "draining",
                    0,
                ));
                drained = Some((number, Instant::now()));
            }
            2 => site.child.signal("-HUP"),
            _ => {}
        }
        std::thread::sleep(Duration::from_millis(600));
    }
    let outcomes = clients.join().unwrap();
    site.is_kept(&outcomes);
    assert!(outcomes.served > 300, "seed {seed}: {outcomes:?}");
    if let Some((number, told)) = drained {
        let last = last_arrival(&site.boxes[number]).map(|at| at.saturating_duration_since(told));
        assert!(last.is_none_or(|last| last <= GRACE), "seed {seed}: sent {last:?} after the drain");
    }
    for arrival in site.boxes.iter().flat_map(|stand_in| stand_in.arrivals.lock().unwrap().clone()) {
        let told: f64 = header_of(&arrival.head, "x-expires-in").unwrap().parse().unwrap();
        assert!(told <= PATIENCE.as_secs_f64(), "seed {seed}: {}", arrival.head);
    }
}

/// A request behind a large one that came slowly has all of its own time: it came after that one's last byte.
#[test]
fn a_request_behind_a_slow_large_one_has_its_own_time() {
    let site = Site::start("slowly", 1, Duration::from_millis(3), 1500, "");
    let mut client = Client::connect(site.at).unwrap();
    let (large, first) = request("PUT", "gravacao", 0, SECOND, &"data".repeat(25_000));
    let (small, second) = request("GET", "leitura", 0, SECOND / 2, "");
    for part in [large, small].concat().chunks(10_000) {
        client.send(part).unwrap();
        std::thread::sleep(Duration::from_millis(100));
    }
    for trace in [first, second] {
        let ending = client.answer(2 * SECOND);
        let Ending::Answered { status: 200, body, .. } = ending else { panic!("{trace}: {ending:?}") };
        assert_eq!(body, answer_to(&trace).as_bytes());
    }
}
