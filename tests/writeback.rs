//! Write-back on real files and sockets: the process is killed, and what it promised is there.

mod common;
use common::faults::Faults;
use common::net::*;
use common::process::Process;
use shaletack::nbd::codec::{cmd, command_flag};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

const CELL: u32 = 512;

fn folder(name: &str) -> PathBuf {
    let folder =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-writeback-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

fn file(at: SocketAddr, folder: &std::path::Path, unsettled: &str) -> String {
    let lane = |name: &str, effect: &str| {
        format!(
            r#"{{"name":"{name}","aim":400000000,"deadline":1500000000,"idempotency":"{effect}","value":1}}"#
        )
    };
    let lanes =
        [lane("leitura", "idempotent"), lane("gravacao", "at_most_once"), lane("exportacao", "idempotent")];
    format!(
        r#"{{"listen":"127.0.0.1:0","unit_bytes":4096,"large_from":16384,
        "teams":[{{"name":"t","contracts":[{{"plan":"p","reserve":5}}]}}],
        "exports":[{{"name":"serra","team":"t","plan":"p","volume":"a1","size":65536,"write_back":true,
            "extents":[{{"length":65536,"shard":0}}]}}],
        "write_back":{{"folder":"{}","most_mib":64,"attempt_lives_ms":300,"unsettled":"{unsettled}"}},
        "boxes":[{{"id":"s-1","host_port":"{at}","phase":"up"}}],
        "settings":{{"balancers":1,"step":1000000,"lanes":[{}],
            "limits":{{"connect-timeout":200000000,"try-limit":3,"cancelling":true}},
            "domain":{{"units-top":8,"unit-mean":2}}}}}}"#,
        folder.display(),
        lanes.join(",")
    )
}

async fn write(client: &mut NbdClient, cell: u64, value: u8, flags: u16) -> u32 {
    let data = [value; CELL as usize];
    client.send(cmd::WRITE, flags, cell, cell * u64::from(CELL), CELL, &data).await;
    client.reply().await.error
}

async fn read(client: &mut NbdClient, cell: u64) -> u8 {
    client.send(cmd::READ, 0, 1000 + cell, cell * u64::from(CELL), CELL, &[]).await;
    let got = client.reply().await;
    assert_eq!(got.error, 0, "{}", got.text);
    let bytes = got.bytes();
    assert!(bytes.iter().all(|b| *b == bytes[0]), "a cell of two writes");
    bytes[0]
}

/// How often a write of each cell reached the box.
fn reached(boxed: &StubNbdEndpoint) -> BTreeMap<u64, usize> {
    let mut counts = BTreeMap::new();
    for request in boxed.seen.borrow().iter().filter(|r| r.command == cmd::WRITE) {
        *counts.entry(request.offset / u64::from(CELL)).or_default() += 1;
    }
    counts
}

async fn until(mut done: impl FnMut() -> bool) {
    while !done() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[test]
fn a_stalled_endpoint_delays_no_write_flush_or_read_and_a_kill_loses_nothing() {
    run_test(async {
        let boxed = StubNbdEndpoint::start(Script::Silent, 1 << 16).await;
        let folder = folder("stands");
        let text = file(boxed.address, &folder, "ask");
        let mut first = Process::start("stands.json", &text);
        let mut client = NbdClient::go(first.client_address().await).await;
        assert_eq!(write(&mut client, 1, 11, command_flag::FUA).await, 0);
        assert_eq!(write(&mut client, 2, 22, 0).await, 0);
        client.send(cmd::FLUSH, 0, 99, 0, 0, &[]).await;
        assert_eq!(client.reply().await.error, 0);
        assert_eq!((read(&mut client, 1).await, read(&mut client, 2).await), (11, 22));
        // A second process on the same log is refused, clearly.
        let mut second = Process::start("stands.json", &text);
        second.wait_for_line("another process has this log").await;
        assert!(!second.0.wait().unwrap().success());
        until(|| boxed.count(cmd::WRITE) == 2).await;
        first.0.kill().unwrap();
        drop(first);
        // Both were sent and never answered: they are read back, and not sent again.
        boxed.script.set(Script::Serve);
        let mut again = Process::start("stands.json", &text);
        let mut client = NbdClient::go(again.client_address().await).await;
        assert_eq!((read(&mut client, 1).await, read(&mut client, 2).await), (11, 22));
        until(|| reached(&boxed).len() == 2).await;
        // Long enough to be at rest, and to serve on from there.
        tokio::time::sleep(Duration::from_millis(2500)).await;
        assert_eq!((read(&mut client, 1).await, read(&mut client, 2).await), (11, 22));
        assert_eq!(reached(&boxed), BTreeMap::from([(1, 1), (2, 1)]), "each once");
        // A log of other exports is refused.
        drop(again);
        let mut other = Process::start(
            "stands-other.json",
            &text.replace("\"at\":0", "\"at\":1").replace("\"a1\"", "\"a2\""),
        );
        other.wait_for_line("the log was made for other exports or boxes").await;
        assert!(!other.0.wait().unwrap().success());
    });
}

/// One whose box took nothing of it: it is in doubt, shown, held against what overlaps, and settled by hand.
#[test]
fn a_write_in_doubt_stays_readable_until_an_operator_settles_it() {
    run_test(async {
        let boxed = StubNbdEndpoint::start(Script::Swallow, 1 << 16).await;
        let folder = folder("doubt");
        let text = file(boxed.address, &folder, "ask");
        let path = folder.with_extension("json");
        std::fs::write(&path, &text).unwrap();
        let operate = |words: &[&str]| {
            let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_shaletack"));
            let output = command.arg("writeback").args(words).arg("--operator").arg(&path).output().unwrap();
            let both = [output.stdout, output.stderr].concat();
            (output.status.success(), String::from_utf8(both).unwrap())
        };
        assert!(operate(&["list"]).1.contains("there is no log"));
        let mut first = Process::start("doubt.json", &text);
        let mut client = NbdClient::go(first.client_address().await).await;
        assert_eq!(write(&mut client, 1, 11, command_flag::FUA).await, 0);
        until(|| boxed.count(cmd::WRITE) == 1).await;
        assert!(operate(&["list"]).1.contains("another process has this log"));
        first.0.kill().unwrap();
        drop(first);
        boxed.script.set(Script::Serve);
        let mut again = Process::start("doubt.json", &text);
        let mut client = NbdClient::go(again.client_address().await).await;
        again.wait_for_line("can't be settled without an operator").await;
        assert_eq!(read(&mut client, 1).await, 11);
        assert_eq!(
            write(&mut client, 1, 12, command_flag::FUA).await,
            0,
            "it waits behind, and is taken all the same"
        );
        assert_eq!(read(&mut client, 1).await, 12);
        assert_eq!(boxed.count(cmd::WRITE), 1);
        again.0.kill().unwrap();
        drop(again);
        let (_, listed) = operate(&["list"]);
        assert!(
            listed.starts_with("1 export=serra from=512 length=512 shard=0 at=512 may_have_run=true\n2 "),
            "{listed}"
        );
        assert!(!operate(&["settle", "2", "drop"]).0, "it was never sent");
        assert!(!operate(&["settle", "9", "drop"]).0 && !operate(&["settle", "x", "drop"]).0);
        assert_eq!(operate(&["settle", "1", "drop"]), (true, String::new()));
        let mut last = Process::start("doubt.json", &text);
        let mut client = NbdClient::go(last.client_address().await).await;
        until(|| boxed.count(cmd::WRITE) == 2).await;
        assert_eq!(read(&mut client, 1).await, 12);
    });
}

/// Killed again and again while clients write: what was acknowledged with FUA is there each time, and no write
/// reaches the box twice.
#[test]
fn kills_in_the_midst_of_writing_lose_nothing_acknowledged_and_send_nothing_twice() {
    run_test(async {
        let boxed = StubNbdEndpoint::start(Script::Serve, 1 << 16).await;
        let folder = folder("kills");
        // A write that was to be sent when the process was killed goes again, once it can't run any more.
        let text = file(boxed.address, &folder, "resend");
        let mut promised = BTreeMap::new();
        for life in 0..6u64 {
            let mut process = Process::start("kills.json", &text);
            let mut client = NbdClient::go(process.client_address().await).await;
            for (cell, value) in &promised {
                assert_eq!(read(&mut client, *cell).await, *value, "cell {cell} in life {life}");
            }
            // Each cell is written once in all, so that what reaches the box can be counted.
            for n in 0..=life * 3 {
                let (cell, value) = (life * 16 + n, (life * 16 + n) as u8 + 1);
                assert_eq!(write(&mut client, cell, value, command_flag::FUA).await, 0);
                promised.insert(cell, value);
            }
            process.0.kill().unwrap();
        }
        let mut last = Process::start("kills.json", &text);
        let mut client = NbdClient::go(last.client_address().await).await;
        until(|| reached(&boxed).len() == promised.len()).await;
        for (cell, value) in &promised {
            assert_eq!(read(&mut client, *cell).await, *value);
        }
        assert!(reached(&boxed).values().all(|count| *count == 1), "{:?}", reached(&boxed));
        // A planned stop leaves the log whole.
        let pid = last.0.id().to_string();
        assert!(std::process::Command::new("kill").args(["-TERM", &pid]).status().unwrap().success());
        let line = last.wait_for_line("write-back stops").await;
        assert!(line.contains("durable=true"), "{line}");
    });
}

/// A command's error number, and how long its answer took.
async fn timed(client: &mut NbdClient, command: u16, cell: u64, value: u8, flags: u16) -> (u32, Duration) {
    let start = Instant::now();
    let (data, length) =
        if command == cmd::WRITE { (vec![value; CELL as usize], CELL) } else { (Vec::new(), 0) };
    let offset = if command == cmd::WRITE { cell * u64::from(CELL) } else { 0 };
    client.send(command, flags, cell, offset, length, &data).await;
    (client.reply().await.error, start.elapsed())
}

/// The disk refuses one write and sync in 20, then all of them for a while, then none: what was acknowledged is there
/// after a kill, every command has its answer in time, and the process goes on by itself.
#[test]
fn a_log_that_can_not_be_written_for_a_while_recovers_and_keeps_what_it_accepted() {
    const DEADLINE: Duration = Duration::from_millis(1500);
    const IN_TIME: Duration = Duration::from_millis(1700);
    run_test(async {
        let boxed = StubNbdEndpoint::start(Script::Serve, 1 << 16).await;
        let folder = folder("refuses");
        let text = file(boxed.address, &folder, "resend");
        let faults = Faults::new("disk", "disk 50\n");
        let mut process = Process::start_with_faults(&faults, "refuses.json", &text);
        let mut client = NbdClient::go(process.client_address().await).await;
        let mut promised = BTreeMap::new();
        for cell in 0..60_u64 {
            let value = cell as u8 + 1;
            let (error, took) = timed(&mut client, cmd::WRITE, cell, value, command_flag::FUA).await;
            assert!(took < IN_TIME && error == 0, "cell {cell}: {error} after {took:?}");
            promised.insert(cell, value);
        }
        // With all of that settled and sealed, one is taken without a promise, and then nothing more can be promised.
        faults.set("");
        tokio::time::sleep(Duration::from_millis(1500)).await;
        faults.set("disk 1000\n");
        tokio::time::sleep(Duration::from_millis(30)).await;
        assert_eq!(timed(&mut client, cmd::WRITE, 70, 70, 0).await.0, 0);
        for (command, cell, flags) in
            [(cmd::FLUSH, 0, 0), (cmd::WRITE, 71, command_flag::FUA), (cmd::WRITE, 72, 0), (cmd::FLUSH, 0, 0)]
        {
            let (error, took) = timed(&mut client, command, cell, 73, flags).await;
            assert!(error != 0 && took < IN_TIME, "{command} of {cell}: {error} after {took:?}");
        }
        // Reads go on, and the boxes get what was promised.
        assert_eq!(read(&mut client, 5).await, 6);
        faults.set("");
        let (error, took) = timed(&mut client, cmd::FLUSH, 0, 0, 0).await;
        assert!(error == 0 && took < DEADLINE, "flush: {error} after {took:?}");
        promised.insert(70, 70);
        assert_eq!(timed(&mut client, cmd::WRITE, 80, 80, command_flag::FUA).await.0, 0);
        promised.insert(80, 80);
        // Killed while the disk refuses.
        faults.set("disk 500\n");
        for cell in 81..90_u64 {
            let (error, took) = timed(&mut client, cmd::WRITE, cell, cell as u8, command_flag::FUA).await;
            assert!(took < IN_TIME);
            if error == 0 {
                promised.insert(cell, cell as u8);
            }
        }
        process.0.kill().unwrap();
        process.0.wait().unwrap();
        let mut last = Process::start("refuses.json", &text);
        let mut client = NbdClient::go(last.client_address().await).await;
        for (cell, value) in &promised {
            assert_eq!(read(&mut client, *cell).await, *value, "cell {cell}");
        }
        until(|| promised.keys().all(|cell| reached(&boxed).contains_key(cell))).await;
        assert!(reached(&boxed).values().all(|count| *count == 1), "{:?}", reached(&boxed));
    });
}
