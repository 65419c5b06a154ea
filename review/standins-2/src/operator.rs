//! The operator's file of a small deployment, and the processes of one: the initiator and its boxes.

use crate::process::Process;
use crate::record::Record;
use crate::{free_port, nbd, wait_until, TempFolder};
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

/// The name of the only export.
pub const EXPORT: &str = "leituras-serra";
/// The number of boxes. Each holds one shard of the export.
pub const BOXES: usize = 8;
/// The bytes of the export on each box.
pub const EXTENT: u64 = 32 << 20;

/// What differs between the cases.
pub struct Deployment {
    /// What the settings say of writes: `at_most_once` or `idempotent`.
    pub writes: &'static str,
    /// The `write_back` object of the file; `None`: writes go straight to the boxes.
    pub write_back: Option<WriteBack>,
    /// The transmission flags of the boxes.
    pub flags: u16,
    /// How long a box works on a command, in milliseconds.
    pub work_ms: u64,
}

/// The settings of the write-back log.
#[derive(Clone, Copy)]
pub struct WriteBack {
    pub most_mib: u64,
    pub attempt_lives_ms: u64,
}

/// The processes of a deployment.
pub struct Running {
    pub folder: TempFolder,
    pub record: Record,
    pub deployment: Deployment,
    pub port: u16,
    pub box_ports: Vec<u16>,
    pub boxes: Vec<Process>,
    /// What discovery says of each box: `up` or `draining`.
    pub phases: Vec<&'static str>,
    pub initiator: Option<Process>,
}

impl Running {
    /// Starts the boxes, and then the initiator.
    pub fn start(name: &str, record: &Record, deployment: Deployment) -> Self {
        let mut running = Running {
            folder: TempFolder::new(name),
            record: record.clone(),
            deployment,
            port: free_port(),
            box_ports: (0..BOXES).map(|_| free_port()).collect(),
            boxes: Vec::new(),
            phases: vec!["up"; BOXES],
            initiator: None,
        };
        for index in 0..BOXES {
            let started = running.start_box(index);
            running.boxes.push(started);
        }
        running.write_file();
        running.start_initiator();
        running
    }

    /// Returns the path of a box's log.
    pub fn box_log(&self, index: usize) -> PathBuf {
        self.folder.file(&format!("box-{index}.log"))
    }

    /// Returns the lines that a box wrote of what it began and ran.
    pub fn box_lines(&self, index: usize) -> Vec<String> {
        let text = std::fs::read_to_string(self.box_log(index)).unwrap_or_default();
        text.lines().map(String::from).collect()
    }

    /// Starts a box with what its store holds.
    pub fn start_box(&self, index: usize) -> Process {
        let program = std::env::current_exe().expect("this program's path").with_file_name("nbd-box");
        let mut command = Command::new(program);
        command
            .arg(self.box_ports[index].to_string())
            .arg(self.folder.file(&format!("box-{index}.store")))
            .arg(EXTENT.to_string())
            .arg(self.deployment.flags.to_string())
            .arg(self.deployment.work_ms.to_string());
        let started = Process::start(&mut command, &self.box_log(index));
        let port = self.box_ports[index];
        assert!(
            wait_until(Duration::from_secs(10), || nbd::Client::connect(port, "").is_ok()),
            "box {index} listens"
        );
        started
    }

    /// Kills a box outright and starts it again: what it had not written to its store is gone.
    pub fn restart_box(&mut self, index: usize, down_for: Duration) {
        self.boxes[index].kill();
        self.record.say(&format!("box {index} is killed"));
        std::thread::sleep(down_for);
        self.boxes[index] = self.start_box(index);
        self.record.say(&format!("box {index} is back, with what its store holds"));
    }

    /// Starts the initiator and waits until it serves the export.
    pub fn start_initiator(&mut self) {
        let mut command = Command::new("target/release/shaletack");
        command.args(["serve", "--operator"]).arg(self.folder.file("operator.json"));
        self.initiator = Some(Process::start_guarded(&mut command, &self.folder.file("initiator.log")));
        let port = self.port;
        assert!(
            wait_until(Duration::from_secs(30), || nbd::Client::connect(port, EXPORT).is_ok()),
            "the initiator serves"
        );
        self.record.say("the initiator serves");
    }

    /// Returns a client of the export.
    pub fn client(&self) -> nbd::Client {
        nbd::Client::connect(self.port, EXPORT).expect("a client can connect")
    }

    /// Writes the operator's file.
    pub fn write_file(&self) {
        let boxes: Vec<String> = (0..BOXES)
            .map(|index| {
                format!(
                    r#"{{"id":"s-{:08x}","host_port":"127.0.0.1:{}","locality":"sala","cell":{index},"phase":"{}","up_since_ms":0}}"#,
                    index + 1,
                    self.box_ports[index],
                    self.phases[index]
                )
            })
            .collect();
        let extents: Vec<String> =
            (0..BOXES).map(|index| format!(r#"{{"length":{EXTENT},"shard":{index},"at":0}}"#)).collect();
        let log = self.deployment.write_back.map(|WriteBack { most_mib, attempt_lives_ms }| {
            let folder = self.folder.file("log");
            format!(
                r#""write_back":{{"folder":"{}","most_mib":{most_mib},"attempt_lives_ms":{attempt_lives_ms}}},"#,
                folder.display()
            )
        });
        let text = format!(
            r#"{{"listen":"127.0.0.1:{port}","unit_bytes":16384,"large_from":65536,"box_export":"","sockets":1024,
{log}"teams":[{{"name":"leituras","contracts":[{{"plan":"prioritario","reserve":40,"limit":0,"weight":3,"burst":0}}]}}],
"exports":[{{"name":"{EXPORT}","team":"leituras","plan":"prioritario","volume":"0000000000000001","hosts":1,
  "write_back":{buffered},"size":{size},"extents":[{extents}]}}],
"boxes":[{boxes}],
"settings":{{"balancers":1,"rank":0,"my-zone":0,"zones":["sala"],"step":2000000,"membership-mode":"pushed",
 "lanes":[
  {{"name":"leitura","aim":150000000,"deadline":1200000000,"idempotency":"idempotent","group":"all","late-worth":0.1,"memory-span":5000000000,"value":2.0}},
  {{"name":"gravacao","aim":200000000,"deadline":1500000000,"idempotency":"{writes}","group":"all","late-worth":0.15,"memory-span":5000000000,"value":2.0}},
  {{"name":"exportacao","aim":750000000,"deadline":2500000000,"idempotency":"idempotent","group":"all","late-worth":0.3,"memory-span":5000000000,"value":1.0}}],
 "limits":{{"cancelling":true,"connect-timeout":250000000,"keepalive":15000000000,"max-retry-after":500000000,"try-limit":4,"second-copies":false}},
 "domain":{{"cold-bears":16.0,"unit-mean":2.0,"units-top":6,"share-worth":0.35,"beyond-share":0.1,"changes-data":[false,true,false]}},
 "invariants":{{"start-capacity":0.16,"warm-up":16000000000,"overload-factor":3.0,"tip-after":3000000000,"stop-sending-within":1000000000}}}}}}"#,
            port = self.port,
            log = log.unwrap_or_default(),
            buffered = self.deployment.write_back.is_some(),
            size = EXTENT * BOXES as u64,
            extents = extents.join(","),
            boxes = boxes.join(",\n  "),
            writes = self.deployment.writes,
        );
        std::fs::write(self.folder.file("operator.json"), text).expect("the operator's file can be written");
    }
}
