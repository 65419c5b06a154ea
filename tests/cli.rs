//! The program as its users start it: sub-commands, a bad configuration, a planned stop.

mod common;
use common::program::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Command, Output, Stdio};

fn run(args: &[&str]) -> Output {
    shaletack(args).output().unwrap()
}

fn config(listen: &str, seed: &str) -> String {
    format!(
        r#"{{"name":"n3","listen":"{listen}","discovery":"127.0.0.1:9","seed":"{seed}",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
        "known":{{"revision":41,"complete":true,"members":[
            {{"id":"s-5be2a07c","host_port":"127.0.0.1:9","locality":"a","cell":3,"phase":"up","up_since_ms":0}}]}},
        "settings":{{"balancers":1,"lanes":[{{"name":"leitura","deadline":1200000000,"aim":150000000,"idempotency":"idempotent"}}],
            "plans":[{{"name":"basico"}}],"limits":{{"try-limit":4}}}}}}"#
    )
}

#[test]
fn the_sub_commands_say_what_they_find() {
    let version = run(&["version"]);
    assert_eq!(
        String::from_utf8_lossy(&version.stdout),
        concat!("shaletack ", env!("CARGO_PKG_VERSION"), "\n")
    );
    let good = file("good.json", &config("127.0.0.1:0", "8c1f30d27a5be964"));
    assert!(run(&["check-config", &good]).status.success());
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/operator.json");
    let checked = run(&["check-config", "--operator", example]);
    assert!(checked.status.success(), "{checked:?}");
    assert!(run(&["--help"]).status.success());
}

#[test]
fn what_is_wrong_is_one_line_and_a_failure() {
    let operator =
        std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/operator.json")).unwrap();
    let wrong = |name: &str, from: &str, to: &str| {
        assert!(operator.contains(from), "{from}");
        file(name, &operator.replacen(from, to, 1))
    };
    let cases = [
        vec!["serve".into(), "--config".into(), "/nonexistent".into()],
        vec!["check-config".into(), file("cut.json", "{\"name\":")],
        vec!["--config".into(), file("seed.json", &config("127.0.0.1:0", "zzz"))],
        vec!["--config".into(), file("listen.json", &config("nowhere", "1"))],
        vec!["fly".into()],
        vec!["--log-form".into(), "xml".into()],
        vec!["--log-level".into(), "loud".into()],
        vec![],
        vec![
            "check-config".into(),
            "--operator".into(),
            wrong("team.json", "\"team\": \"leituras\"", "\"team\": \"x\""),
        ],
        vec!["check-config".into(), "--operator".into(), wrong("size.json", "134217728", "134217729")],
        vec![
            "check-config".into(),
            "--operator".into(),
            wrong("away.json", "127.0.0.1:10809", "10.0.0.1:10809"),
        ],
        vec!["check-config".into(), "--operator".into(), wrong("cell.json", "\"cell\": 0", "\"cell\": 9")],
        vec!["serve".into(), "--operator".into(), wrong("plan.json", "\"limit\": 200", "\"limit\": -1")],
    ];
    let good = config("127.0.0.1:0", "1");
    let fleets = [
        "",
        "\"balancers\":0",
        "\"balancers\":-3",
        "\"balancers\":2.5",
        "\"balancers\":\"many\"",
        "\"balancers\":3,\"rank\":3",
        "\"balancers\":3,\"rank\":-1",
        "\"balancers\":70000",
        "\"balancers\":3",
    ];
    let told = |n: usize| good.replacen("\"balancers\":1", fleets[n], 1).replace("{,", "{");
    let named = |n: usize| vec!["check-config".into(), file(&format!("fleet{n}.json"), &told(n))];
    let told_fleet = (0..fleets.len()).map(named);
    for args in cases.into_iter().chain(told_fleet) {
        let output = run(&args.iter().map(String::as_str).collect::<Vec<_>>());
        let said = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{args:?}");
        assert_eq!(said.lines().count(), 1, "{args:?}: {said}");
        let fleet = args.iter().any(|a| a.contains("fleet"));
        assert!(!fleet || said.contains("balancers: ") || said.contains("rank: "), "{args:?}: {said}");
    }
}

/// SIGHUP ended the process, which no handler waited for, and with it all that it had taken.
#[test]
fn a_hangup_moves_the_watch_to_where_the_new_file_says() {
    let agents = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
    let places = agents.each_ref().map(|a| a.local_addr().unwrap().to_string());
    let text = |agent: &str| {
        config("127.0.0.1:0", "1").replace("\"127.0.0.1:9\",\"seed", &format!("\"{agent}\",\"seed"))
    };
    let path = file("moves.json", &text(&places[0]));
    // The environment's word, right at the start, must not hold for a new file.
    let mut command = shaletack(&["--config", &path]);
    let (mut child, mut lines, _) = Running::start(command.env("ROUTER_DISCOVERY", &places[0]));
    let watched = |agent: &TcpListener| {
        let (mut stream, mut asked) = (agent.accept().unwrap().0, String::new());
        BufReader::new(&stream).read_line(&mut asked).unwrap();
        assert!(asked.contains("stream=1&index=41"), "{asked}");
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n").unwrap();
        stream
    };
    let mut old = watched(&agents[0]);
    let good = text(&places[1]);
    for bad in [
        String::new(),
        good[..good.len() / 2].into(),
        good.replace("\"aim\":150000000,", ""),
        good.replace("\"memory_mb\":192,", ""),
        good.replace("1200000000", "0"),
        good.replace("1200000000", "\"long\""),
        good.replace("\"try-limit\":4", "\"try-limit\":-1"),
    ] {
        assert_ne!(bad, good);
        file("moves.json", &bad);
        child.signal("-HUP");
        let told = lines.find(|l| l.contains("configuration")).unwrap();
        assert!(told.contains(" WARN the new configuration is not used why="), "{told}");
    }
    file("moves.json", &text(&places[1]));
    child.signal("-HUP");
    let _new = watched(&agents[1]);
    // Where the new watch has spoken the old one ends.
    assert_eq!(old.read_to_end(&mut Vec::new()).unwrap_or(0), 0);
    child.signal("-TERM");
    assert!(child.0.wait().unwrap().success());
}

#[test]
fn a_planned_stop_ends_with_success() {
    let good = file("stop.json", &config("127.0.0.1:0", "1"));
    let (mut child, mut lines, address) = Running::start(&mut shaletack(&["--config", &good]));
    let mut client = TcpStream::connect(address).unwrap();
    client.write_all(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
    let mut status = [0; 12];
    client.read_exact(&mut status).unwrap();
    assert_eq!(&status, b"HTTP/1.1 200");
    child.signal("-TERM");
    assert!(child.0.wait().unwrap().success());
    assert!(lines.any(|l| l.ends_with(" INFO stopped: every accepted request is answered")));
}

/// SIGTERM right at the start, a second one, and a SIGHUP while it stops: each ends with success, and soon.
#[test]
fn a_stop_comes_at_any_time_and_more_than_once() {
    // An agent that says nothing holds the start up for a moment.
    let agent = TcpListener::bind("127.0.0.1:0").unwrap();
    let path = file("early.json", &config("127.0.0.1:0", "1"));
    for early in [true, false] {
        let mut command = shaletack(&["--config", &path]);
        command.env("ROUTER_DISCOVERY", agent.local_addr().unwrap().to_string());
        let mut child = Running(command.spawn().unwrap());
        let mut lines = BufReader::new(child.0.stderr.take().unwrap()).lines().map(|l| l.unwrap());
        let sign = if early { " starting " } else { " listens for " };
        lines.find(|l| l.contains(sign)).expect("it says so");
        let start = std::time::Instant::now();
        child.signal("-TERM");
        if !early {
            lines.find(|l| l.ends_with(" INFO stopping connections=0 requests=0")).expect("it stops");
            child.signal("-HUP");
            child.signal("-TERM");
        }
        assert!(child.0.wait().unwrap().success());
        assert!(start.elapsed() < std::time::Duration::from_secs(3), "{:?}", start.elapsed());
    }
}

/// Nine in ten restarted processes are to be ready within 10 s, also where discovery says nothing, refuses connections or
/// calls, or gives a head and no more: eight at once with each, and all of them.
#[test]
fn processes_are_ready_soon_whatever_discovery_does() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let says = |head: &'static str| {
        let agent = TcpListener::bind("127.0.0.1:0").unwrap();
        let place = agent.local_addr().unwrap().to_string();
        std::thread::spawn(move || {
            let mut held = Vec::new();
            for stream in agent.incoming() {
                let mut stream = stream.unwrap();
                // Whoever asks may be gone by now.
                let _ = stream.write_all(head.as_bytes());
                held.push(stream);
            }
        });
        place
    };
    let agents = [
        silent.local_addr().unwrap().to_string(),
        "127.0.0.1:9".into(),
        says("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
        says("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"),
    ];
    for mode in ["pushed", "on_request"] {
        let text = config("127.0.0.1:0", "1")
            .replace("{\"balancers\":1,", &format!("{{\"balancers\":1,\"membership-mode\":\"{mode}\","));
        let path = file(&format!("ready-{mode}.json"), &text);
        let start = std::time::Instant::now();
        let mut started = Vec::new();
        for agent in agents.iter().flat_map(|agent| [agent; 8]) {
            let mut child =
                Running(shaletack(&["--config", &path]).env("ROUTER_DISCOVERY", agent).spawn().unwrap());
            let lines = BufReader::new(child.0.stderr.take().unwrap()).lines().map(|l| l.unwrap());
            started.push((child, lines));
        }
        for (_, lines) in &mut started {
            let line = lines.find(|l| l.contains(" listens for ")).expect("it says where");
            assert_eq!(exchange(&mut TcpStream::connect(field(&line, "at")).unwrap(), "GET /_health").0, 200);
        }
        assert!(start.elapsed() < std::time::Duration::from_secs(8), "{:?}", start.elapsed());
    }
}

/// Processes are killed (SIGKILL) right at their start, just when they listen, and under clients that are connected:
/// the next one at that address is there at once, with nothing of the dead one's in its way.
#[test]
fn a_killed_process_is_followed_at_its_address_at_once() {
    let folder =
        std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("killed-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let command = |listen: &str| {
        let path = file("killed.json", &config(listen, "1"));
        let mut command = shaletack(&["--config", &path]);
        command.env("TMPDIR", &folder);
        command
    };
    let health = |client: &mut TcpStream| exchange(client, "GET /_health").0;
    let (first, _lines, place) = Running::start(&mut command("127.0.0.1:0"));
    let mut clients: Vec<_> = (0..8).map(|_| TcpStream::connect(&place).unwrap()).collect();
    assert!(clients.iter_mut().all(|client| health(client) == 200));
    drop(first);
    clients.iter_mut().for_each(|client| assert_eq!(client.read(&mut [0]).unwrap_or(0), 0));
    // An agent that says nothing holds the start up for a moment.
    let agent = TcpListener::bind("127.0.0.1:0").unwrap();
    for _ in 0..3 {
        let mut command = command(&place);
        command.env("ROUTER_DISCOVERY", agent.local_addr().unwrap().to_string());
        let mut child = Running(command.spawn().unwrap());
        let mut lines = BufReader::new(child.0.stderr.take().unwrap()).lines().map(|l| l.unwrap());
        lines.find(|l| l.contains(" starting ")).expect("it says so");
    }
    for _ in 0..3 {
        let start = std::time::Instant::now();
        let (_killed, _lines, at) = Running::start(&mut command(&place));
        assert_eq!(at, place);
        assert_eq!(health(&mut TcpStream::connect(&place).unwrap()), 200);
        assert!(start.elapsed() < std::time::Duration::from_secs(3), "{:?}", start.elapsed());
    }
}

/// Idle clients took every descriptor, more than the places are: who waited in the backlog waited until they left, and at
/// a stop was reset.
#[test]
fn who_waits_for_a_descriptor_gets_in_also_at_a_stop() {
    let path = file("short.json", &config("127.0.0.1:0", "1"));
    for stops in [false, true] {
        let mut command = Command::new("/bin/sh");
        command.args([
            "-c",
            "ulimit -n 24; exec \"$0\" \"$@\"",
            env!("CARGO_BIN_EXE_shaletack"),
            "--config",
            &path,
        ]);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let (child, mut lines, address) = Running::start(&mut command);
        let ask = |client: &mut TcpStream| exchange(client, "GET /_health");
        let mut clients: Vec<TcpStream> = Vec::new();
        while clients.len() < 60 {
            let mut client = TcpStream::connect(&address).unwrap();
            client.write_all(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
            clients.push(client);
        }
        lines.find(|l| l.contains(" a connection could not be accepted ")).expect("there are too many");
        if stops {
            child.signal("-TERM");
        }
        // Each is answered on the connection that it has.
        let start = std::time::Instant::now();
        clients.iter_mut().for_each(|client| {
            client.set_read_timeout(Some(std::time::Duration::from_secs(10))).unwrap();
            let mut status = [0; 12];
            client
                .read_exact(&mut status)
                .unwrap_or_else(|e| panic!("stops: {stops}, after {:?}: {e}", start.elapsed()));
        });
        assert!(start.elapsed() < std::time::Duration::from_secs(6), "{:?}", start.elapsed());
        if !stops {
            assert_eq!(ask(&mut TcpStream::connect(&address).unwrap()).0, 200);
        }
    }
}

/// A second version could not bind what the first one holds; and it must know what operators told the first.
#[test]
fn a_new_version_takes_over_on_the_same_socket_and_knows_the_operators_commands() {
    let held = TcpListener::bind("127.0.0.1:0").unwrap();
    let place = held.local_addr().unwrap();
    let folder =
        std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("over-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    // What a predecessor that was killed leaves is no predecessor.
    let me = shaletack::net::handover::Identity { name: "n3".into(), clients: place };
    drop(std::os::unix::net::UnixListener::bind(me.socket(&folder)).unwrap());
    let good = file("over.json", &config("127.0.0.1:1", "1"));
    let call = |at: &str, call: &str| exchange(&mut TcpStream::connect(at).unwrap(), call).0;
    let ready = |at: &str| while call(at, "GET /v1/readyz") != 200 {};
    let health = |client: &mut TcpStream| exchange(client, "GET /_health");
    let (mut old, mut old_lines, old_place) = start_version(&held, &folder, &good, None);
    ready(&old_place);
    let mut kept = TcpStream::connect(place).unwrap();
    assert_eq!(health(&mut kept), (200, true));
    assert_eq!(call(&old_place, "POST /v1/targets/s-5be2a07c/suspend"), 200);
    // Another customer's initiator of that name, on a socket of its own, shares and inherits nothing.
    let elsewhere = TcpListener::bind("127.0.0.1:0").unwrap();
    let (_other, mut other_lines, other_place) = start_version(&elsewhere, &folder, &good, None);
    ready(&other_place);
    let told: Vec<String> = other_lines.by_ref().take_while(|l| !l.contains(" listens for ")).collect();
    assert!(!told.iter().any(|l| l.contains(" hand-over state restored ")), "{told:?}");
    assert_eq!(call(&other_place, "POST /v1/initiator/drain"), 200);
    assert_eq!(health(&mut kept), (200, true));
    // One that dies early leaves the old one serving, and found by the next.
    let (dies, _, early) = start_version(&held, &folder, &good, None);
    ready(&early);
    drop(dies);
    assert!(old_lines.any(|l| l.contains(" the other process is gone")));
    // What the old one turned down at SIGHUP must not stop the new one.
    let cut = file("over-cut.json", "{\"name\":");
    let (_new, mut lines, new_place) = start_version(&held, &folder, &cut, None);
    ready(&new_place);
    let inherited = lines.by_ref().take(60).find(|l| l.contains(" hand-over state restored ")).unwrap();
    assert!(inherited.ends_with("endpoints=1 revision=41 suspended=1 drained=false"), "{inherited}");
    // A call to either binds both.
    assert_eq!(call(&new_place, "POST /v1/initiator/drain"), 200);
    assert_eq!(health(&mut kept), (503, false));
    assert_eq!(call(&old_place, "POST /v1/initiator/activate"), 200);
    assert_eq!(call(&old_place, "POST /v1/targets/s-0badf00d/resume"), 404);
    assert_eq!(call(&old_place, "POST /v1/targets/s-5be2a07c/resume"), 200);
    assert!(lines.any(|l| l.ends_with("endpoint resumed by an operator, in slow start id=\"s-5be2a07c\"")));
    let mut kept: Vec<_> = (0..8).map(|_| TcpStream::connect(place).unwrap()).collect();
    kept.iter_mut().for_each(|client| assert_eq!(health(client), (200, true)));
    old.signal("-TERM");
    assert!(old_lines.any(|l| l.contains(" a successor takes over ")));
    // Nothing that waits or comes is refused, and what the old one holds ends with an answer or at rest.
    assert_eq!(health(&mut TcpStream::connect(place).unwrap()), (200, true));
    assert!(old.0.wait().unwrap().success());
    assert!(lines.any(|l| l.contains(" the other process is gone")));
    assert_eq!(health(&mut TcpStream::connect(place).unwrap()), (200, true));
}
