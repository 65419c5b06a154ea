//! What a durable write costs: a plain log against embedded stores, for `docs/design/WRITEBACK.md`.
//!
//! `cargo run --release -p shaletack-lab --example stores -- plain|zeroed|redb|fjall GROUP`: 4,096 writes of 4 KiB, so
//! many made durable at a time, then all of them removed the same way. Prints microseconds for each group and how
//! many bytes went to the disk for each byte kept; calls are counted from outside (`strace -fc`).

use std::fs::{self, OpenOptions};
use std::io::{Seek, SeekFrom, Write};
use std::path::Path;
use std::time::Instant;

const WRITES: u64 = 4096;
const SIZE: usize = 4096;

type Done = Result<(), Box<dyn std::error::Error>>;

/// Bytes this process has sent to the disk.
fn written() -> u64 {
    let io = fs::read_to_string("/proc/self/io").unwrap_or_default();
    io.lines().find_map(|l| l.strip_prefix("write_bytes: ")?.parse().ok()).unwrap_or(0)
}

/// A log that grows, or one whose bytes are there before they are used.
fn plain(at: &Path, group: u64, data: &[u8], zeroed: bool) -> Done {
    let log = at.join("log");
    let mut file = OpenOptions::new().create_new(true).write(true).open(log)?;
    if zeroed {
        let all = WRITES as usize * (SIZE + 32);
        file.write_all(&vec![0; all])?;
        file.sync_all()?;
        file.seek(SeekFrom::Start(0))?;
    }
    let mut commit = |bytes: &[u8]| -> Done {
        file.write_all(bytes)?;
        Ok(file.sync_data()?)
    };
    for _ in 0..WRITES / group {
        commit(&data.repeat(group as usize))?;
    }
    // A write that is settled is one record of 32 bytes.
    for _ in 0..WRITES / group {
        commit(&vec![1; 32 * group as usize])?;
    }
    Ok(())
}

fn redb(at: &Path, group: u64, data: &[u8]) -> Done {
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

fn fjall(at: &Path, group: u64, data: &[u8]) -> Done {
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

fn main() -> Done {
    let mut args = std::env::args().skip(1);
    let (store, group) = (args.next().unwrap_or_default(), args.next().unwrap_or_default().parse()?);
    let folder = tempfile::tempdir_in(".")?;
    // Not all alike, so that nothing is saved by packing it.
    let data: Vec<u8> =
        (0..SIZE as u64).map(|i| (i.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 56) as u8).collect();
    let (before, start) = (written(), Instant::now());
    match store.as_str() {
        "plain" => plain(folder.path(), group, &data, false)?,
        "zeroed" => plain(folder.path(), group, &data, true)?,
        "redb" => redb(folder.path(), group, &data)?,
        "fjall" => fjall(folder.path(), group, &data)?,
        other => return Err(format!("'{other}' is none of plain, zeroed, redb, fjall").into()),
    }
    let micros = start.elapsed().as_micros() as f64 / (2 * WRITES / group) as f64;
    let bytes = (written() - before) as f64 / (WRITES as f64 * SIZE as f64);
    println!(
        "{store}, groups of {group}: {micros:.0} us a group, {bytes:.2} bytes to the disk for each kept"
    );
    Ok(())
}
