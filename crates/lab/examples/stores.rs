//! Compares the cost of durable writes to a plain log with that of embedded stores. The results are in
//! `docs/design/WRITEBACK.md`.
//!
//! `cargo run --release -p shaletack-lab --example stores -- plain|zeroed|redb|fjall GROUP`
//!
//! Makes 4,096 writes of 4 KiB durable in groups of `GROUP`, and then removes all of them in the same groups.
//! Prints the microseconds for each group and the bytes sent to the disk for each byte stored. System calls
//! can be counted with `strace -fc`.

use std::fs::{self, OpenOptions};
use std::io::{Seek, SeekFrom, Write};
use std::path::Path;
use std::time::Instant;

/// Number of writes.
const WRITES: u64 = 4096;
/// Bytes of each write.
const SIZE: usize = 4096;

type Outcome = Result<(), Box<dyn std::error::Error>>;

/// Returns the bytes that this process has sent to the disk.
fn disk_bytes_written() -> u64 {
    let io = fs::read_to_string("/proc/self/io").unwrap_or_default();
    io.lines().find_map(|l| l.strip_prefix("write_bytes: ")?.parse().ok()).unwrap_or(0)
}

/// Writes to a log file that grows, or with `zeroed` to one that is filled with zeros beforehand.
fn plain(at: &Path, group: u64, data: &[u8], zeroed: bool) -> Outcome {
    let log = at.join("log");
    let mut file = OpenOptions::new().create_new(true).write(true).open(log)?;
    if zeroed {
        let all = WRITES as usize * (SIZE + 32);
        file.write_all(&vec![0; all])?;
        file.sync_all()?;
        file.seek(SeekFrom::Start(0))?;
    }
    let mut commit = |bytes: &[u8]| -> Outcome {
        file.write_all(bytes)?;
        Ok(file.sync_data()?)
    };
    for _ in 0..WRITES / group {
        commit(&data.repeat(group as usize))?;
    }
    // The removal of a write is one record of 32 bytes.
    for _ in 0..WRITES / group {
        commit(&vec![1; 32 * group as usize])?;
    }
    Ok(())
}

/// Writes to and removes from a redb database, one transaction for each group.
fn redb(at: &Path, group: u64, data: &[u8]) -> Outcome {
    const TABLE: redb::TableDefinition<u64, &[u8]> = redb::TableDefinition::new("writes");
    let store = redb::Database::create(at.join("redb"))?;
    for from in (0..WRITES).step_by(group as usize) {
        let batch = store.begin_write()?;
        for id in from..from + group {
            batch.open_table(TABLE)?.insert(id, data)?;
        }
        batch.commit()?;
    }
    for from in (0..WRITES).step_by(group as usize) {
        let batch = store.begin_write()?;
        for id in from..from + group {
            batch.open_table(TABLE)?.remove(id)?;
        }
        batch.commit()?;
    }
    Ok(())
}

/// Writes to and removes from a fjall keyspace, one sync for each group.
fn fjall(at: &Path, group: u64, data: &[u8]) -> Outcome {
    let store = fjall::Database::builder(at.join("fjall")).open()?;
    let writes = store.keyspace("writes", fjall::KeyspaceCreateOptions::default)?;
    for from in (0..WRITES).step_by(group as usize) {
        for id in from..from + group {
            writes.insert(id.to_be_bytes(), data)?;
        }
        store.persist(fjall::PersistMode::SyncData)?;
    }
    for from in (0..WRITES).step_by(group as usize) {
        for id in from..from + group {
            writes.remove(id.to_be_bytes())?;
        }
        store.persist(fjall::PersistMode::SyncData)?;
    }
    Ok(())
}

fn main() -> Outcome {
    let mut args = std::env::args().skip(1);
    let (store, group) = (args.next().unwrap_or_default(), args.next().unwrap_or_default().parse()?);
    let directory = tempfile::tempdir_in(".")?;
    // The bytes differ, so that compression saves nothing.
    let data: Vec<u8> =
        (0..SIZE as u64).map(|i| (i.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 56) as u8).collect();
    let (bytes_before, start) = (disk_bytes_written(), Instant::now());
    match store.as_str() {
        "plain" => plain(directory.path(), group, &data, false)?,
        "zeroed" => plain(directory.path(), group, &data, true)?,
        "redb" => redb(directory.path(), group, &data)?,
        "fjall" => fjall(directory.path(), group, &data)?,
        other => return Err(format!("'{other}' is not one of plain, zeroed, redb, fjall").into()),
    }
    let micros = start.elapsed().as_micros() as f64 / (2 * WRITES / group) as f64;
    let bytes = (disk_bytes_written() - bytes_before) as f64 / (WRITES as f64 * SIZE as f64);
    println!(
        "{store}, groups of {group}: {micros:.0} us a group, {bytes:.2} bytes to the disk for each kept"
    );
    Ok(())
}
