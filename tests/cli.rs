//! The program as its users start it: sub-commands, invalid configurations, reloads, shutdown, and the
//! takeover by a new version.

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
fn sub_commands_succeed_with_valid_input() {
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
fn each_error_is_one_line_and_a_failure_status() {
    let operator =
        std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/operator.json")).unwrap();
    let invalid_file = |name: &str, from: &str, to: &str| {
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
            invalid_file("team.json", "\"team\": \"leituras\"", "\"team\": \"x\""),
        ],
        vec!["check-config".into(), "--operator".into(), invalid_file("size.json", "134217728", "134217729")],
        vec![
            "check-config".into(),
            "--operator".into(),
            invalid_file("away.json", "127.0.0.1:10809", "10.0.0.1:10809"),
        ],
        vec![
            "check-config".into(),
            "--operator".into(),
            invalid_file("cell.json", "\"cell\": 0", "\"cell\": 9"),
        ],
        vec![
            "serve".into(),
            "--operator".into(),
            invalid_file("plan.json", "\"limit\": 200", "\"limit\": -1"),
        ],
    ];
    let good = config("127.0.0.1:0", "1");
    let invalid_initiators = [
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
    let text = |n: usize| good.replacen("\"balancers\":1", invalid_initiators[n], 1).replace("{,", "{");
    let arguments = |n: usize| vec!["check-config".into(), file(&format!("initiators{n}.json"), &text(n))];
    let initiator_cases = (0..invalid_initiators.len()).map(arguments);
    for args in cases.into_iter().chain(initiator_cases) {
        let output = run(&args.iter().map(String::as_str).collect::<Vec<_>>());
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{args:?}");
        assert_eq!(errors.lines().count(), 1, "{args:?}: {errors}");
        let is_initiator_case = args.iter().any(|argument| argument.contains("initiators"));
        let names_key = errors.contains("balancers: ") || errors.contains("rank: ");
        assert!(!is_initiator_case || names_key, "{args:?}: {errors}");
    }
}

/// Guards against a SIGHUP without a handler, which ended the process and lost all requests that it had
/// accepted. An invalid file must leave the configuration in force, and a valid one must move the watch to
/// the new discovery address.
#[test]
fn a_hangup_moves_the_watch_to_the_address_in_the_new_file() {
    let agents = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
    let addresses = agents.each_ref().map(|agent| agent.local_addr().unwrap().to_string());
    let text = |agent: &str| {
        config("127.0.0.1:0", "1").replace("\"127.0.0.1:9\",\"seed", &format!("\"{agent}\",\"seed"))
    };
    let path = file("moves.json", &text(&addresses[0]));
    // `ROUTER_DISCOVERY` holds the address of the start and must not override the new file.
    let mut command = shaletack(&["--config", &path]);
    let (mut child, mut lines, _) = Running::start(command.env("ROUTER_DISCOVERY", &addresses[0]));
    let accept_watch = |agent: &TcpListener| {
        let (mut stream, mut request_line) = (agent.accept().unwrap().0, String::new());
        BufReader::new(&stream).read_line(&mut request_line).unwrap();
        assert!(request_line.contains("stream=1&index=41"), "{request_line}");
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n").unwrap();
        stream
    };
    let mut old_watch = accept_watch(&agents[0]);
    let good = text(&addresses[1]);
    for invalid in [
        String::new(),
        good[..good.len() / 2].into(),
        good.replace("\"aim\":150000000,", ""),
        good.replace("\"memory_mb\":192,", ""),
        good.replace("1200000000", "0"),
        good.replace("1200000000", "\"long\""),
        good.replace("\"try-limit\":4", "\"try-limit\":-1"),
    ] {
        assert_ne!(invalid, good);
        file("moves.json", &invalid);
        child.signal("-HUP");
        let line = lines.find(|line| line.contains("configuration")).unwrap();
        assert!(line.contains(" WARN the new configuration is not used why="), "{line}");
    }
    file("moves.json", &text(&addresses[1]));
    child.signal("-HUP");
    let _new_watch = accept_watch(&agents[1]);
    // The old watch ends when the new one brings its first event.
    assert_eq!(old_watch.read_to_end(&mut Vec::new()).unwrap_or(0), 0);
    child.signal("-TERM");
    assert!(child.0.wait().unwrap().success());
}

#[test]
fn a_graceful_shutdown_ends_with_success() {
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

/// A SIGTERM during startup, and a SIGHUP and a second SIGTERM during shutdown, all end the process with
/// success within 3 s.
#[test]
fn a_shutdown_may_come_at_any_time_and_more_than_once() {
    // A silent agent delays the startup for a moment.
    let agent = TcpListener::bind("127.0.0.1:0").unwrap();
    let path = file("early.json", &config("127.0.0.1:0", "1"));
    for early in [true, false] {
        let mut command = shaletack(&["--config", &path]);
        command.env("ROUTER_DISCOVERY", agent.local_addr().unwrap().to_string());
        let mut child = Running(command.spawn().unwrap());
        let mut lines = BufReader::new(child.0.stderr.take().unwrap()).lines().map(|l| l.unwrap());
        let message = if early { " starting " } else { " listens for " };
        lines.find(|line| line.contains(message)).expect("the process logs its startup");
        let start = std::time::Instant::now();
        child.signal("-TERM");
        if !early {
            let stopping = " INFO stopping connections=0 requests=0";
            lines.find(|line| line.ends_with(stopping)).expect("the process logs its shutdown");
            child.signal("-HUP");
            child.signal("-TERM");
        }
        assert!(child.0.wait().unwrap().success());
        assert!(start.elapsed() < std::time::Duration::from_secs(3), "{:?}", start.elapsed());
    }
}

/// Nine in ten restarted processes must be ready within 10 s, even if discovery is silent, refuses
/// connections or calls, or sends a response head and nothing after it. The test starts eight processes at
/// once for each of these failures, and all of them must be ready within 8 s.
#[test]
fn processes_are_ready_soon_whatever_discovery_does() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let agent_with_head = |head: &'static str| {
        let agent = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = agent.local_addr().unwrap().to_string();
        std::thread::spawn(move || {
            let mut open = Vec::new();
            for stream in agent.incoming() {
                let mut stream = stream.unwrap();
                // The process may have closed the connection by now.
                let _ = stream.write_all(head.as_bytes());
                open.push(stream);
            }
        });
        address
    };
    let agents = [
        silent.local_addr().unwrap().to_string(),
        "127.0.0.1:9".into(),
        agent_with_head("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
        agent_with_head("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"),
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
            let line =
                lines.find(|line| line.contains(" listens for ")).expect("the process logs its address");
            assert_eq!(exchange(&mut TcpStream::connect(field(&line, "at")).unwrap(), "GET /_health").0, 200);
        }
        assert!(start.elapsed() < std::time::Duration::from_secs(8), "{:?}", start.elapsed());
    }
}

/// Processes are killed (SIGKILL) during startup, as soon as they listen, and while clients are connected.
/// The next process at that address serves within 3 s, and nothing that the killed one left prevents that.
#[test]
fn a_killed_process_is_replaced_at_its_address_at_once() {
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
    let (first, _lines, address) = Running::start(&mut command("127.0.0.1:0"));
    let mut clients: Vec<_> = (0..8).map(|_| TcpStream::connect(&address).unwrap()).collect();
    assert!(clients.iter_mut().all(|client| health(client) == 200));
    drop(first);
    clients.iter_mut().for_each(|client| assert_eq!(client.read(&mut [0]).unwrap_or(0), 0));
    // A silent agent delays the startup for a moment.
    let agent = TcpListener::bind("127.0.0.1:0").unwrap();
    for _ in 0..3 {
        let mut command = command(&address);
        command.env("ROUTER_DISCOVERY", agent.local_addr().unwrap().to_string());
        let mut child = Running(command.spawn().unwrap());
        let mut lines = BufReader::new(child.0.stderr.take().unwrap()).lines().map(|l| l.unwrap());
        lines.find(|line| line.contains(" starting ")).expect("the process logs its startup");
    }
    for _ in 0..3 {
        let start = std::time::Instant::now();
        let (_killed, _lines, listening_at) = Running::start(&mut command(&address));
        assert_eq!(listening_at, address);
        assert_eq!(health(&mut TcpStream::connect(&address).unwrap()), 200);
        assert!(start.elapsed() < std::time::Duration::from_secs(3), "{:?}", start.elapsed());
    }
}

/// Guards against idle clients that hold every file descriptor, of which there are fewer than the allowed
/// client connections. Clients in the listen backlog waited until an idle client left, and were reset at a
/// shutdown.
#[test]
fn clients_that_wait_for_a_descriptor_are_served_also_during_shutdown() {
    let path = file("short.json", &config("127.0.0.1:0", "1"));
    for shuts_down in [false, true] {
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
        let mut clients: Vec<TcpStream> = Vec::new();
        while clients.len() < 60 {
            let mut client = TcpStream::connect(&address).unwrap();
            client.write_all(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
            clients.push(client);
        }
        let not_accepted = " a connection could not be accepted ";
        lines.find(|line| line.contains(not_accepted)).expect("the process runs out of descriptors");
        if shuts_down {
            child.signal("-TERM");
        }
        // Each client is answered on its first connection.
        let start = std::time::Instant::now();
        clients.iter_mut().for_each(|client| {
            client.set_read_timeout(Some(std::time::Duration::from_secs(10))).unwrap();
            let mut status = [0; 12];
            client.read_exact(&mut status).unwrap_or_else(|error| {
                panic!("shuts down: {shuts_down}, after {:?}: {error}", start.elapsed())
            });
        });
        assert!(start.elapsed() < std::time::Duration::from_secs(6), "{:?}", start.elapsed());
        if !shuts_down {
            assert_eq!(exchange(&mut TcpStream::connect(&address).unwrap(), "GET /_health").0, 200);
        }
    }
}

/// Guards against a new version that can't bind the address of the old one, or does not know the commands
/// that operators gave the old one. The new version inherits the listening socket and takes over the state.
#[test]
fn a_new_version_takes_over_on_the_same_socket_with_the_operators_commands() {
    let held = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = held.local_addr().unwrap();
    let folder =
        std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("over-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    // The hand-over socket that a killed process left behind is not taken for a predecessor.
    let identity = shaletack::net::handover::Identity { name: "n3".into(), listen_address: address };
    drop(std::os::unix::net::UnixListener::bind(identity.socket(&folder)).unwrap());
    let good = file("over.json", &config("127.0.0.1:1", "1"));
    let call = |management: &str, call: &str| exchange(&mut TcpStream::connect(management).unwrap(), call).0;
    let wait_until_ready = |management: &str| while call(management, "GET /v1/readyz") != 200 {};
    let health = |client: &mut TcpStream| exchange(client, "GET /_health");
    let (mut old, mut old_lines, old_management) = start_version(&held, &folder, &good, None);
    wait_until_ready(&old_management);
    let mut kept = TcpStream::connect(address).unwrap();
    assert_eq!(health(&mut kept), (200, true));
    assert_eq!(call(&old_management, "POST /v1/targets/s-5be2a07c/suspend"), 200);
    // An initiator of another customer with the same name, on a socket of its own, shares and inherits
    // nothing.
    let elsewhere = TcpListener::bind("127.0.0.1:0").unwrap();
    let (_other, mut other_lines, other_management) = start_version(&elsewhere, &folder, &good, None);
    wait_until_ready(&other_management);
    let startup: Vec<String> =
        other_lines.by_ref().take_while(|line| !line.contains(" listens for ")).collect();
    assert!(!startup.iter().any(|line| line.contains(" hand-over state restored ")), "{startup:?}");
    assert_eq!(call(&other_management, "POST /v1/initiator/drain"), 200);
    assert_eq!(health(&mut kept), (200, true));
    // A new version that is killed early leaves the old one serving, and the next new version finds the old
    // one.
    let (killed, _, killed_management) = start_version(&held, &folder, &good, None);
    wait_until_ready(&killed_management);
    drop(killed);
    assert!(old_lines.any(|line| line.contains(" the other process is gone")));
    // A file that the old version would reject at SIGHUP does not keep the new version from starting.
    let cut = file("over-cut.json", "{\"name\":");
    let (_new, mut lines, new_management) = start_version(&held, &folder, &cut, None);
    wait_until_ready(&new_management);
    let restored = lines.by_ref().take(60).find(|line| line.contains(" hand-over state restored ")).unwrap();
    assert!(restored.ends_with("endpoints=1 revision=41 suspended=1 drained=false"), "{restored}");
    // A management call to one version takes effect in both.
    assert_eq!(call(&new_management, "POST /v1/initiator/drain"), 200);
    assert_eq!(health(&mut kept), (503, false));
    assert_eq!(call(&old_management, "POST /v1/initiator/activate"), 200);
    assert_eq!(call(&old_management, "POST /v1/targets/s-0badf00d/resume"), 404);
    assert_eq!(call(&old_management, "POST /v1/targets/s-5be2a07c/resume"), 200);
    assert!(
        lines.any(|line| line.ends_with("endpoint resumed by an operator, in slow start id=\"s-5be2a07c\""))
    );
    let mut kept: Vec<_> = (0..8).map(|_| TcpStream::connect(address).unwrap()).collect();
    kept.iter_mut().for_each(|client| assert_eq!(health(client), (200, true)));
    old.signal("-TERM");
    assert!(old_lines.any(|line| line.contains(" a successor takes over ")));
    // Neither waiting nor new connections are refused, and the old version's connections end after an answer
    // or while idle.
    assert_eq!(health(&mut TcpStream::connect(address).unwrap()), (200, true));
    assert!(old.0.wait().unwrap().success());
    assert!(lines.any(|line| line.contains(" the other process is gone")));
    assert_eq!(health(&mut TcpStream::connect(address).unwrap()), (200, true));
}
