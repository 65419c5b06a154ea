//! Write-back with real files and sockets: the process is killed, and no acknowledged data is lost.

mod common;
use common::faults::Faults;
use common::net::*;
use common::process::Process;
use shaletack::nbd::codec::{cmd, command_flag};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

const CELL_BYTES: u32 = 512;

fn folder(name: &str) -> PathBuf {
    let folder =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-writeback-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

fn operator_file(endpoint: SocketAddr, folder: &std::path::Path, unsettled: &str) -> String {
    let lane = |name: &str, idempotency: &str| {
        format!(
            r#"{{"name":"{name}","aim":400000000,"deadline":1500000000,"idempotency":"{idempotency}","value":1}}"#
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
        "boxes":[{{"id":"s-1","host_port":"{endpoint}","phase":"up"}}],
        "settings":{{"balancers":1,"step":1000000,"lanes":[{}],
            "limits":{{"connect-timeout":200000000,"try-limit":3,"cancelling":true}},
            "domain":{{"units-top":8,"unit-mean":2}}}}}}"#,
        folder.display(),
        lanes.join(",")
    )
}

async fn write(client: &mut NbdClient, cell: u64, value: u8, flags: u16) -> u32 {
    let data = [value; CELL_BYTES as usize];
    client.send(cmd::WRITE, flags, cell, cell * u64::from(CELL_BYTES), CELL_BYTES, &data).await;
    client.reply().await.error
}

async fn read(client: &mut NbdClient, cell: u64) -> u8 {
    client.send(cmd::READ, 0, 1000 + cell, cell * u64::from(CELL_BYTES), CELL_BYTES, &[]).await;
    let reply = client.reply().await;
    assert_eq!(reply.error, 0, "{}", reply.text);
    let bytes = reply.bytes();
    assert!(bytes.iter().all(|b| *b == bytes[0]), "a cell holds the data of a single write");
    bytes[0]
}

/// Returns how many writes of each cell reached the endpoint.
fn write_counts(endpoint: &StubNbdEndpoint) -> BTreeMap<u64, usize> {
    let mut counts = BTreeMap::new();
    for request in endpoint.seen.borrow().iter().filter(|r| r.command == cmd::WRITE) {
        *counts.entry(request.offset / u64::from(CELL_BYTES)).or_default() += 1;
    }
    counts
}

async fn wait_until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[test]
fn a_stalled_endpoint_delays_no_write_flush_or_read_and_a_kill_loses_nothing() {
    run_test(async {
        let endpoint = StubNbdEndpoint::start(Script::Silent, 1 << 16).await;
        let folder = folder("stalled");
        let text = operator_file(endpoint.address, &folder, "ask");
        let mut first = Process::start("stalled.json", &text);
        let mut client = NbdClient::go(first.client_address().await).await;
        assert_eq!(write(&mut client, 1, 11, command_flag::FUA).await, 0);
        assert_eq!(write(&mut client, 2, 22, 0).await, 0);
        client.send(cmd::FLUSH, 0, 99, 0, 0, &[]).await;
        assert_eq!(client.reply().await.error, 0);
        assert_eq!((read(&mut client, 1).await, read(&mut client, 2).await), (11, 22));
        // A second process with the same log exits and reports the reason.
        let mut second = Process::start("stalled.json", &text);
        second.wait_for_line("another process has the log open").await;
        assert!(!second.0.wait().unwrap().success());
        wait_until(|| endpoint.count(cmd::WRITE) == 2).await;
        first.0.kill().unwrap();
        drop(first);
        // Both writes were sent and never answered: the new process reads them back instead of sending them
        // again.
        endpoint.script.set(Script::Serve);
        let mut again = Process::start("stalled.json", &text);
        let mut client = NbdClient::go(again.client_address().await).await;
        assert_eq!((read(&mut client, 1).await, read(&mut client, 2).await), (11, 22));
        wait_until(|| write_counts(&endpoint).len() == 2).await;
        // Long enough for the log to be sealed. Reads are still served after that.
        tokio::time::sleep(Duration::from_millis(2500)).await;
        assert_eq!((read(&mut client, 1).await, read(&mut client, 2).await), (11, 22));
        assert_eq!(write_counts(&endpoint), BTreeMap::from([(1, 1), (2, 1)]), "each write is sent once");
        // A log that was created for other exports is rejected.
        drop(again);
        let mut other = Process::start(
            "stalled-other.json",
            &text.replace("\"at\":0", "\"at\":1").replace("\"a1\"", "\"a2\""),
        );
        other.wait_for_line("the log was made for other exports or boxes").await;
        assert!(!other.0.wait().unwrap().success());
    });
}

/// The endpoint received a write but did not apply it. After a restart the write is in doubt: it is listed,
/// still served to reads, blocks writes that overlap, and can be settled by an operator.
#[test]
fn a_write_in_doubt_stays_readable_until_an_operator_settles_it() {
    run_test(async {
        let endpoint = StubNbdEndpoint::start(Script::Swallow, 1 << 16).await;
        let folder = folder("doubt");
        let text = operator_file(endpoint.address, &folder, "ask");
        let path = folder.with_extension("json");
        std::fs::write(&path, &text).unwrap();
        let run_writeback = |arguments: &[&str]| {
            let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_shaletack"));
            let output =
                command.arg("writeback").args(arguments).arg("--operator").arg(&path).output().unwrap();
            let printed = [output.stdout, output.stderr].concat();
            (output.status.success(), String::from_utf8(printed).unwrap())
        };
        assert!(run_writeback(&["list"]).1.contains("there is no log"));
        let mut first = Process::start("doubt.json", &text);
        let mut client = NbdClient::go(first.client_address().await).await;
        assert_eq!(write(&mut client, 1, 11, command_flag::FUA).await, 0);
        wait_until(|| endpoint.count(cmd::WRITE) == 1).await;
        assert!(run_writeback(&["list"]).1.contains("another process has the log open"));
        first.0.kill().unwrap();
        drop(first);
        endpoint.script.set(Script::Serve);
        let mut again = Process::start("doubt.json", &text);
        let mut client = NbdClient::go(again.client_address().await).await;
        again.wait_for_line("can't be settled without an operator").await;
        assert_eq!(read(&mut client, 1).await, 11);
        assert_eq!(
            write(&mut client, 1, 12, command_flag::FUA).await,
            0,
            "a write that overlaps one in doubt is accepted and waits"
        );
        assert_eq!(read(&mut client, 1).await, 12);
        assert_eq!(endpoint.count(cmd::WRITE), 1);
        again.0.kill().unwrap();
        drop(again);
        let (_, listed) = run_writeback(&["list"]);
        assert!(
            listed.starts_with("1 export=serra from=512 length=512 shard=0 at=512 may_have_run=true\n2 "),
            "{listed}"
        );
        assert!(!run_writeback(&["settle", "2", "drop"]).0, "a write that was never sent needs no decision");
        assert!(!run_writeback(&["settle", "9", "drop"]).0 && !run_writeback(&["settle", "x", "drop"]).0);
        assert_eq!(run_writeback(&["settle", "1", "drop"]), (true, String::new()));
        let mut last = Process::start("doubt.json", &text);
        let mut client = NbdClient::go(last.client_address().await).await;
        wait_until(|| endpoint.count(cmd::WRITE) == 2).await;
        assert_eq!(read(&mut client, 1).await, 12);
    });
}

/// The process is killed repeatedly while clients write. Data acknowledged with FUA is there after each
/// restart, and no write reaches the endpoint twice.
#[test]
fn kills_during_writes_lose_no_acknowledged_data_and_send_no_write_twice() {
    run_test(async {
        let endpoint = StubNbdEndpoint::start(Script::Serve, 1 << 16).await;
        let folder = folder("kills");
        // A write with an intent and no outcome at the kill is sent again once the earlier attempt can no
        // longer run.
        let text = operator_file(endpoint.address, &folder, "resend");
        let mut acknowledged = BTreeMap::new();
        for run in 0..6u64 {
            let mut process = Process::start("kills.json", &text);
            let mut client = NbdClient::go(process.client_address().await).await;
            for (cell, value) in &acknowledged {
                assert_eq!(read(&mut client, *cell).await, *value, "cell {cell} in run {run}");
            }
            // Each cell is written once over all runs, so that the writes that reach the endpoint can be
            // counted.
            for n in 0..=run * 3 {
                let (cell, value) = (run * 16 + n, (run * 16 + n) as u8 + 1);
                assert_eq!(write(&mut client, cell, value, command_flag::FUA).await, 0);
                acknowledged.insert(cell, value);
            }
            process.0.kill().unwrap();
        }
        let mut last = Process::start("kills.json", &text);
        let mut client = NbdClient::go(last.client_address().await).await;
        wait_until(|| write_counts(&endpoint).len() == acknowledged.len()).await;
        for (cell, value) in &acknowledged {
            assert_eq!(read(&mut client, *cell).await, *value);
        }
        assert!(write_counts(&endpoint).values().all(|count| *count == 1), "{:?}", write_counts(&endpoint));
        // After a graceful stop everything in the log is durable.
        let pid = last.0.id().to_string();
        assert!(std::process::Command::new("kill").args(["-TERM", &pid]).status().unwrap().success());
        let line = last.wait_for_line("write-back stopped").await;
        assert!(line.contains("durable=true"), "{line}");
    });
}

/// Sends a command, and returns the error number of its reply and the time until the reply.
async fn timed(client: &mut NbdClient, command: u16, cell: u64, value: u8, flags: u16) -> (u32, Duration) {
    let start = Instant::now();
    let (data, length) =
        if command == cmd::WRITE { (vec![value; CELL_BYTES as usize], CELL_BYTES) } else { (Vec::new(), 0) };
    let offset = if command == cmd::WRITE { cell * u64::from(CELL_BYTES) } else { 0 };
    client.send(command, flags, cell, offset, length, &data).await;
    (client.reply().await.error, start.elapsed())
}

/// The disk fails one write or sync in 20, then all of them for a while, then none. Acknowledged data is
/// there after a kill, every command is answered in time, and the process recovers by itself.
#[test]
fn a_log_that_can_not_be_written_for_a_while_recovers_and_keeps_what_it_accepted() {
    const DEADLINE: Duration = Duration::from_millis(1500);
    const MAX_REPLY_TIME: Duration = Duration::from_millis(1700);
    run_test(async {
        let endpoint = StubNbdEndpoint::start(Script::Serve, 1 << 16).await;
        let folder = folder("refuses");
        let text = operator_file(endpoint.address, &folder, "resend");
        let faults = Faults::new("disk", "disk 50\n");
        let mut process = Process::start_with_faults(&faults, "refuses.json", &text);
        let mut client = NbdClient::go(process.client_address().await).await;
        let mut acknowledged = BTreeMap::new();
        for cell in 0..60_u64 {
            let value = cell as u8 + 1;
            let (error, took) = timed(&mut client, cmd::WRITE, cell, value, command_flag::FUA).await;
            assert!(took < MAX_REPLY_TIME && error == 0, "cell {cell}: {error} after {took:?}");
            acknowledged.insert(cell, value);
        }
        // All of these writes are settled and the log is sealed. One write without FUA is still accepted on
        // the failing disk. From then on no command can be acknowledged.
        faults.set("");
        tokio::time::sleep(Duration::from_millis(1500)).await;
        faults.set("disk 1000\n");
        tokio::time::sleep(Duration::from_millis(30)).await;
        assert_eq!(timed(&mut client, cmd::WRITE, 70, 70, 0).await.0, 0);
        for (command, cell, flags) in
            [(cmd::FLUSH, 0, 0), (cmd::WRITE, 71, command_flag::FUA), (cmd::WRITE, 72, 0), (cmd::FLUSH, 0, 0)]
        {
            let (error, took) = timed(&mut client, command, cell, 73, flags).await;
            assert!(error != 0 && took < MAX_REPLY_TIME, "{command} of {cell}: {error} after {took:?}");
        }
        // Reads are still served, and the endpoint receives the acknowledged writes.
        assert_eq!(read(&mut client, 5).await, 6);
        faults.set("");
        let (error, took) = timed(&mut client, cmd::FLUSH, 0, 0, 0).await;
        assert!(error == 0 && took < DEADLINE, "flush: {error} after {took:?}");
        acknowledged.insert(70, 70);
        assert_eq!(timed(&mut client, cmd::WRITE, 80, 80, command_flag::FUA).await.0, 0);
        acknowledged.insert(80, 80);
        // The process is killed while every second write or sync fails.
        faults.set("disk 500\n");
        for cell in 81..90_u64 {
            let (error, took) = timed(&mut client, cmd::WRITE, cell, cell as u8, command_flag::FUA).await;
            assert!(took < MAX_REPLY_TIME);
            if error == 0 {
                acknowledged.insert(cell, cell as u8);
            }
        }
        process.0.kill().unwrap();
        process.0.wait().unwrap();
        let mut last = Process::start("refuses.json", &text);
        let mut client = NbdClient::go(last.client_address().await).await;
        for (cell, value) in &acknowledged {
            assert_eq!(read(&mut client, *cell).await, *value, "cell {cell}");
        }
        wait_until(|| acknowledged.keys().all(|cell| write_counts(&endpoint).contains_key(cell))).await;
        assert!(write_counts(&endpoint).values().all(|count| *count == 1), "{:?}", write_counts(&endpoint));
    });
}
