//! What the process believes of data at an endpoint, tested on the real process: an endpoint's memory is lost
//! when it ends, and only what is on stable storage counts as written.

mod common;
use common::net::*;
use common::process::Process;
use shaletack::nbd::codec::{cmd, command_flag, transmission_flag};
use std::path::PathBuf;
use std::time::{Duration, Instant};

const SHARD_BYTES: usize = 1 << 16;
const WRITE_BYTES: u32 = 4096;
/// An offset from which a write reaches into both shards.
const ACROSS_SHARDS: u64 = SHARD_BYTES as u64 - 2048;
/// How long a flush may fail after an endpoint came back.
const FLUSH_TIME: Duration = Duration::from_secs(10);
const FLUSH_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// How long a reloaded file may take to count.
const RELOAD_TIME: Duration = Duration::from_millis(500);

/// Returns an operator's file with one export over two shards.
fn operator_file(endpoints: &[&StubNbdEndpoint; 2], write_back: Option<&PathBuf>) -> String {
    let lane = |name: &str, idempotency: &str| {
        format!(
            r#"{{"name":"{name}","aim":400000000,"deadline":1500000000,"idempotency":"{idempotency}","value":1}}"#
        )
    };
    let lanes =
        [lane("leitura", "idempotent"), lane("gravacao", "at_most_once"), lane("exportacao", "idempotent")];
    let endpoint = |(shard, endpoint): (usize, &&StubNbdEndpoint)| {
        let address = endpoint.address;
        format!(r#"{{"id":"s-{}","host_port":"{address}","cell":{shard},"phase":"up"}}"#, address.port())
    };
    let endpoints: Vec<String> = endpoints.iter().enumerate().map(endpoint).collect();
    let buffer = write_back.map_or(String::new(), |folder| {
        let folder = folder.display();
        format!(
            r#""write_back":{{"folder":"{folder}","most_mib":64,"attempt_lives_ms":300,"unsettled":"ask"}},"#
        )
    });
    format!(
        r#"{{"listen":"127.0.0.1:0","unit_bytes":4096,"large_from":16384,
        "teams":[{{"name":"t","contracts":[{{"plan":"p","reserve":5}}]}}],
        "exports":[{{"name":"serra","team":"t","plan":"p","volume":"a1","size":{},"write_back":{},
            "extents":[{{"length":{SHARD_BYTES},"shard":0}},{{"length":{SHARD_BYTES},"shard":1}}]}}],
        {buffer}"boxes":[{}],
        "settings":{{"balancers":1,"step":1000000,"lanes":[{}],
            "limits":{{"connect-timeout":200000000,"try-limit":3,"cancelling":true}},
            "domain":{{"units-top":8,"unit-mean":2}}}}}}"#,
        2 * SHARD_BYTES,
        write_back.is_some(),
        endpoints.join(","),
        lanes.join(",")
    )
}

async fn write(client: &mut NbdClient, offset: u64, value: u8, flags: u16) -> u32 {
    client.send(cmd::WRITE, flags, 1, offset, WRITE_BYTES, &[value; WRITE_BYTES as usize]).await;
    client.reply().await.error
}

async fn read(client: &mut NbdClient, offset: u64) -> Vec<u8> {
    client.send(cmd::READ, 0, 2, offset, WRITE_BYTES, &[]).await;
    let reply = client.reply().await;
    assert_eq!(reply.error, 0, "{}", reply.text);
    reply.bytes()
}

/// Flushes until a flush succeeds, as a client does that has to know its data durable.
async fn flush(client: &mut NbdClient, case: &str) {
    let start = Instant::now();
    loop {
        client.send(cmd::FLUSH, 0, 3, 0, 0, &[]).await;
        if client.reply().await.error == 0 {
            return;
        }
        assert!(start.elapsed() < FLUSH_TIME, "{case}: no flush succeeds");
        tokio::time::sleep(FLUSH_RETRY_INTERVAL).await;
    }
}

/// What happens to an endpoint between a write and the flush that covers it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    /// The endpoint of the second shard crashes and is back at once.
    Crash,
    /// The endpoint of the second shard crashes, and another one takes its place.
    Replacement,
}

struct Case {
    name: &'static str,
    endpoint_flags: u16,
    write_flags: u16,
    trouble: Trouble,
    /// The flush comes over the connection of another client.
    flushed_by_another: bool,
}

impl Case {
    const fn new(name: &'static str, endpoint_flags: u16) -> Self {
        let trouble = Trouble::Crash;
        Case { name, endpoint_flags, write_flags: 0, trouble, flushed_by_another: false }
    }
}

const NO_FUA: u16 = ALL_FLAGS & !transmission_flag::FUA;
const NO_MULTI_CONN: u16 = ALL_FLAGS & !transmission_flag::MULTI_CONN;

/// Guards against a flush that succeeds although an endpoint lost the written data in a crash, because the
/// write was acknowledged from the endpoint's memory.
#[test]
fn a_flush_covers_a_write_whose_endpoint_crashed_in_between() {
    run_test(async {
        let cases = [
            Case::new("an endpoint with FUA", ALL_FLAGS),
            Case::new("an endpoint without FUA", NO_FUA),
            Case::new("an endpoint that shares no cache between connections", NO_MULTI_CONN),
            Case::new("an endpoint without FUA and FLUSH", transmission_flag::FLAGS),
            Case { write_flags: command_flag::FUA, ..Case::new("a write with FUA", ALL_FLAGS) },
            Case { write_flags: command_flag::FUA, ..Case::new("a write with FUA, flushed", NO_FUA) },
            Case { flushed_by_another: true, ..Case::new("another client flushes", ALL_FLAGS) },
            Case { trouble: Trouble::Replacement, ..Case::new("another endpoint takes over", ALL_FLAGS) },
        ];
        for (number, case) in cases.iter().enumerate() {
            let start = || StubNbdEndpoint::start_with_flags(Script::Serve, SHARD_BYTES, case.endpoint_flags);
            let endpoints = [start().await, start().await];
            let file = format!("durability-{number}.json");
            let mut process = Process::start(&file, &operator_file(&[&endpoints[0], &endpoints[1]], None));
            let front = process.client_address().await;
            let mut client = NbdClient::go(front).await;
            assert_eq!(write(&mut client, ACROSS_SHARDS, 7, case.write_flags).await, 0, "{}", case.name);
            let replacement = match case.trouble {
                Trouble::Crash => {
                    endpoints[1].crash();
                    None
                }
                Trouble::Replacement => {
                    let replacement = endpoints[1].replace().await;
                    process.rewrite_file(&file, &operator_file(&[&endpoints[0], &replacement], None));
                    tokio::time::sleep(RELOAD_TIME).await;
                    Some(replacement)
                }
            };
            if case.flushed_by_another {
                flush(&mut NbdClient::go(front).await, case.name).await;
            } else {
                flush(&mut client, case.name).await;
            }
            let data = read(&mut client, ACROSS_SHARDS).await;
            assert!(data.iter().all(|byte| *byte == 7), "{}: flushed data is lost", case.name);
            drop(replacement);
        }
    });
}

/// How the endpoint treats a buffered write, and then the read that finds out what became of it.
struct BufferedCase {
    name: &'static str,
    endpoint_flags: u16,
    /// The script of the endpoint when the write comes; it keeps the data in memory only.
    at_write: Script,
    /// The script of the endpoint from then on.
    afterwards: Script,
    /// The process is killed once the write was sent, and another one finds its log.
    recovered: bool,
}

impl BufferedCase {
    const fn new(name: &'static str, endpoint_flags: u16, at_write: Script) -> Self {
        BufferedCase { name, endpoint_flags, at_write, afterwards: Script::Serve, recovered: false }
    }
}

/// How long a buffered write has to be sent, and to be read back and settled.
const SETTLE_TIME: Duration = Duration::from_millis(2500);

/// Guards against an acknowledged and flushed write being lost, because its data was found in the memory of an
/// endpoint and dropped from the log.
#[test]
fn a_buffered_write_is_kept_until_its_endpoint_has_it_on_stable_storage() {
    run_test(async {
        let cases = [
            BufferedCase::new("the endpoint fails the write", ALL_FLAGS, Script::Error),
            BufferedCase::new("the endpoint fails the flush behind it", NO_FUA, Script::FailFlush),
            BufferedCase::new("the endpoint closes at the flush", NO_FUA, Script::CloseAtFlush),
            BufferedCase {
                afterwards: Script::FailFlush,
                ..BufferedCase::new("no flush succeeds", ALL_FLAGS, Script::Error)
            },
            BufferedCase::new("a flush proves nothing", NO_MULTI_CONN, Script::Error),
            BufferedCase {
                recovered: true,
                ..BufferedCase::new("another process reads back", ALL_FLAGS, Script::Silent)
            },
        ];
        for (number, case) in cases.iter().enumerate() {
            let start = || StubNbdEndpoint::start_with_flags(case.at_write, SHARD_BYTES, case.endpoint_flags);
            let endpoints = [start().await, start().await];
            let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
                .join(format!("{}-durability-{number}", std::process::id()));
            let _ = std::fs::remove_dir_all(&folder);
            let text = operator_file(&[&endpoints[0], &endpoints[1]], Some(&folder));
            let file = format!("durability-buffered-{number}.json");
            let mut process = Process::start(&file, &text);
            let mut client = NbdClient::go(process.client_address().await).await;
            assert_eq!(write(&mut client, 0, 7, 0).await, 0, "{}", case.name);
            flush(&mut client, case.name).await;
            endpoints[0].received.notified().await;
            if case.recovered {
                process.0.kill().unwrap();
                process.0.wait().unwrap();
                process = Process::start(&file, &text);
                client = NbdClient::go(process.client_address().await).await;
            } else {
                tokio::time::sleep(RELOAD_TIME).await;
            }
            endpoints[0].script.set(case.afterwards);
            tokio::time::sleep(SETTLE_TIME).await;
            endpoints[0].crash();
            let data = read(&mut client, 0).await;
            assert!(data.iter().all(|byte| *byte == 7), "{}: flushed data is lost", case.name);
            assert_eq!(endpoints[0].count(cmd::WRITE), 1, "{}: how often the write was sent", case.name);
        }
    });
}
