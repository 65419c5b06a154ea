//! What is concluded from the outcome of each step of a write over NBD, tested on the real process. A write
//! that may have run is neither sent again nor reported as rejected.

mod common;
use common::net::*;
use common::process::Process;
use shaletack::nbd::codec::{cmd, command_flag, errno, transmission_flag};
use std::path::PathBuf;
use std::time::Duration;

const EXPORT_BYTES: usize = 1 << 16;
const WRITE_BYTES: u32 = 4096;
/// An endpoint that makes a write durable only by a flush behind it.
const FLUSH_ONLY: u16 = transmission_flag::FLAGS | transmission_flag::FLUSH;
/// How long an attempt may live at an endpoint that drops what its client no longer waits for.
const SHORT_ATTEMPT_LIFETIME_MS: u64 = 300;
/// How long buffered writes have to reach their endpoint.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// One case: what the endpoints support and do, and the flags of the client's write.
struct Case {
    name: &'static str,
    endpoint_flags: u16,
    script: Script,
    write_flags: u16,
}

/// Returns an operator's file with one export on shard 0, which both endpoints serve.
fn operator_file(endpoints: &[StubNbdEndpoint], write_back: Option<&PathBuf>) -> String {
    operator_file_with(endpoints, write_back, "at_most_once", SHORT_ATTEMPT_LIFETIME_MS)
}

/// Like [`operator_file`], with the effect of writes and the time that an attempt may live at an endpoint.
fn operator_file_with(
    endpoints: &[StubNbdEndpoint],
    write_back: Option<&PathBuf>,
    writes: &str,
    attempt_lifetime_ms: u64,
) -> String {
    let lane = |name: &str, idempotency: &str| {
        format!(
            r#"{{"name":"{name}","aim":400000000,"deadline":1500000000,"idempotency":"{idempotency}","value":1}}"#
        )
    };
    let lanes = [lane("leitura", "idempotent"), lane("gravacao", writes), lane("exportacao", "idempotent")];
    let boxes: Vec<String> = endpoints
        .iter()
        .enumerate()
        .map(|(number, endpoint)| {
            format!(r#"{{"id":"s-{number}","host_port":"{}","phase":"up"}}"#, endpoint.address)
        })
        .collect();
    let buffer = write_back.map_or(String::new(), |folder| {
        let folder = folder.display();
        format!(
            r#""write_back":{{"folder":"{folder}","most_mib":64,"attempt_lives_ms":{attempt_lifetime_ms},"unsettled":"ask"}},"#
        )
    });
    format!(
        r#"{{"listen":"127.0.0.1:0","unit_bytes":4096,"large_from":16384,
        "teams":[{{"name":"t","contracts":[{{"plan":"p","reserve":5}}]}}],
        "exports":[{{"name":"serra","team":"t","plan":"p","volume":"a1","size":{EXPORT_BYTES},"write_back":{},
            "extents":[{{"length":{EXPORT_BYTES},"shard":0}}]}}],
        {buffer}"boxes":[{}],
        "settings":{{"balancers":1,"step":1000000,"lanes":[{}],
            "limits":{{"connect-timeout":200000000,"try-limit":3,"cancelling":true}},
            "domain":{{"units-top":8,"unit-mean":2,"changes-data":[false,true,false]}}}}}}"#,
        write_back.is_some(),
        boxes.join(","),
        lanes.join(",")
    )
}

/// Returns an empty folder for a write-back log.
fn folder(name: &str) -> PathBuf {
    let name = format!("{}-write-outcomes-{name}", std::process::id());
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

/// Starts two endpoints of the same shard.
async fn start_endpoints(case: &Case) -> [StubNbdEndpoint; 2] {
    let start = || StubNbdEndpoint::start_with_flags(case.script, EXPORT_BYTES, case.endpoint_flags);
    [start().await, start().await]
}

/// Returns how often the endpoints together ran a command.
fn count(endpoints: &[StubNbdEndpoint], command: u16) -> usize {
    endpoints.iter().map(|endpoint| endpoint.count(command)).sum()
}

async fn write(client: &mut NbdClient, flags: u16) -> u32 {
    client.send(cmd::WRITE, flags, 1, 0, WRITE_BYTES, &[7; WRITE_BYTES as usize]).await;
    client.reply().await.error
}

/// Guards against a write that ran being sent again to another endpoint, because the flush behind it was
/// rejected by an endpoint that shuts down.
#[test]
fn a_write_whose_flush_is_rejected_or_fails_runs_once() {
    run_test(async {
        let cases = [
            Case {
                name: "flush rejected",
                endpoint_flags: FLUSH_ONLY,
                script: Script::RejectFlush,
                write_flags: 0,
            },
            Case {
                name: "flush of a FUA write rejected",
                endpoint_flags: FLUSH_ONLY | transmission_flag::MULTI_CONN,
                script: Script::RejectFlush,
                write_flags: command_flag::FUA,
            },
            Case {
                name: "flush failed",
                endpoint_flags: FLUSH_ONLY,
                script: Script::FailFlush,
                write_flags: 0,
            },
            Case {
                name: "connection closed at the flush",
                endpoint_flags: FLUSH_ONLY,
                script: Script::CloseAtFlush,
                write_flags: 0,
            },
            Case {
                name: "write rejected after it ran",
                endpoint_flags: ALL_FLAGS,
                script: Script::RejectAfterWrite,
                write_flags: 0,
            },
        ];
        for (number, case) in cases.iter().enumerate() {
            let endpoints = start_endpoints(case).await;
            let text = operator_file(&endpoints, None);
            let mut process = Process::start(&format!("write-outcomes-{number}.json"), &text);
            let mut client = NbdClient::go(process.client_address().await).await;
            let error = write(&mut client, case.write_flags).await;
            assert_eq!(error, errno::IO, "{}: a rejection would promise that nothing ran", case.name);
            assert_eq!(count(&endpoints, cmd::WRITE), 1, "{}: how often the write ran", case.name);
        }
    });
}

/// Guards against a buffered write being recorded as one that never ran, and sent again, because the flush
/// behind it was rejected.
#[test]
fn a_buffered_write_whose_flush_is_rejected_runs_once() {
    run_test(async {
        let case = Case {
            name: "write-back",
            endpoint_flags: FLUSH_ONLY,
            script: Script::RejectFlush,
            write_flags: command_flag::FUA,
        };
        let endpoints = start_endpoints(&case).await;
        let folder = folder("rejected-flush");
        let text = operator_file(&endpoints, Some(&folder));
        let mut process = Process::start("write-outcomes-buffered.json", &text);
        let mut client = NbdClient::go(process.client_address().await).await;
        assert_eq!(write(&mut client, case.write_flags).await, 0, "the write is durable in the log");
        tokio::time::sleep(SETTLE_TIME).await;
        assert_eq!(count(&endpoints, cmd::WRITE), 1, "{}: how often the write ran", case.name);
        assert!(count(&endpoints, cmd::READ) > 0, "whether the write ran was found out by reading");
    });
}

/// Guards against a read that an endpoint rejected failing: it changes nothing and may be sent again.
#[test]
fn a_rejected_read_is_sent_again() {
    run_test(async {
        let case =
            Case { name: "read", endpoint_flags: ALL_FLAGS, script: Script::RejectOneRead, write_flags: 0 };
        let endpoints = start_endpoints(&case).await;
        let text = operator_file(&endpoints, None);
        let mut process = Process::start("write-outcomes-read.json", &text);
        let mut client = NbdClient::go(process.client_address().await).await;
        client.send(cmd::READ, 0, 1, 0, WRITE_BYTES, &[]).await;
        assert_eq!(client.reply().await.error, 0);
        assert!(count(&endpoints, cmd::READ) > 1, "the read was rejected first");
    });
}

/// A case of a write that its endpoint runs long after its client stopped waiting.
struct LateCase {
    name: String,
    script: Script,
    idempotency: &'static str,
    write_back: bool,
}

/// Guards against a write being sent again while its first attempt may still run: a newer write that was
/// acknowledged in between is undone by the late run.
#[test]
fn a_write_that_an_endpoint_may_still_run_is_not_sent_again() {
    run_test(async {
        let scripts = [("no reply", Script::LateFirstWrite), ("lost", Script::LateFirstWriteClosed)];
        let kinds =
            [("at_most_once", true), ("idempotent", true), ("at_most_once", false), ("idempotent", false)];
        let case = |((ending, script), (idempotency, write_back))| LateCase {
            name: format!("{idempotency}, buffered: {write_back}, {ending}"),
            script,
            idempotency,
            write_back,
        };
        let cases = scripts.into_iter().flat_map(|script| kinds.map(|kind| case((script, kind))));
        for (number, case) in cases.enumerate() {
            let expected = if case.write_back { 0 } else { errno::IO };
            let endpoint = StubNbdEndpoint::start(case.script, EXPORT_BYTES).await;
            let endpoints = [endpoint];
            let folder = folder(&format!("late-{number}"));
            let buffer = Some(&folder).filter(|_| case.write_back);
            let lifetime = LATE_WRITE_DELAY.as_millis() as u64 + 1000;
            let text = operator_file_with(&endpoints, buffer, case.idempotency, lifetime);
            let mut process = Process::start(&format!("write-outcomes-late-{number}.json"), &text);
            let mut client = NbdClient::go(process.client_address().await).await;
            let error = write(&mut client, command_flag::FUA).await;
            assert_eq!(error, expected, "{}: a rejection would promise that nothing ran", case.name);
            if !case.write_back {
                tokio::time::sleep(LATE_WRITE_DELAY).await;
                assert_eq!(count(&endpoints, cmd::WRITE), 1, "{}: how often the write ran", case.name);
                continue;
            }
            endpoints[0].received.notified().await;
            let newer = [8; WRITE_BYTES as usize];
            client.send(cmd::WRITE, command_flag::FUA, 2, 0, WRITE_BYTES, &newer).await;
            assert_eq!(client.reply().await.error, 0, "{}: the newer write", case.name);
            tokio::time::sleep(LATE_WRITE_DELAY + SETTLE_TIME).await;
            client.send(cmd::READ, 0, 3, 0, WRITE_BYTES, &[]).await;
            let data = client.reply().await.bytes();
            assert!(data == newer, "{}: the newer write is lost", case.name);
            assert_eq!(count(&endpoints, cmd::WRITE), 2, "{}: each write is sent once", case.name);
        }
    });
}
