//! Configuration files of initiators, and the endpoints that they list.

use super::initiator::{REGION, ZONES};
use std::net::SocketAddr;

/// Endpoints in every list; two hold each shard.
pub const BOXES: usize = 880;
const SHARDS: usize = BOXES / 2;
/// Of so many shards the export is made.
pub const EXPORTED: usize = 8;
/// Bytes of each of them.
pub const EXTENT: u64 = 65_536;

/// The id of an endpoint.
pub fn name(number: usize) -> String {
    format!("s-{number:08x}")
}

/// An endpoint as a list has it; the few that really listen take their turns at its address.
pub fn entry(number: usize, boxes: &[SocketAddr], phase: &str) -> String {
    let (id, at, cell) = (name(number), boxes[number % boxes.len()], number % SHARDS);
    format!(r#"{{"id":"{id}","host_port":"{at}","cell":{cell},"phase":"{phase}"}}"#)
}

/// An initiator's file: its name and number, where it hears clients and peers; all know the same two peers.
pub fn file(
    me: (&str, usize),
    [front, listen]: [SocketAddr; 2],
    join: &[SocketAddr],
    etcd: Option<SocketAddr>,
    all: usize,
    boxes: &[SocketAddr],
    listed: &[usize],
) -> String {
    let (me, number) = me;
    let lane = |name: &str, effect: &str| {
        format!(
            r#"{{"name":"{name}","aim":400000000,"deadline":1500000000,"idempotency":"{effect}","value":1}}"#
        )
    };
    let lanes =
        [lane("leitura", "idempotent"), lane("gravacao", "at_most_once"), lane("exportacao", "idempotent")];
    let extents: Vec<String> =
        (0..EXPORTED).map(|s| format!(r#"{{"length":{EXTENT},"shard":{s}}}"#)).collect();
    let entries: Vec<String> = listed.iter().map(|n| entry(*n, boxes, "up")).collect();
    let join: Vec<String> = join.iter().map(|at| format!(r#""{at}""#)).collect();
    let etcd = etcd.map_or(String::new(), |at| format!(r#""etcd":{{"address":"{at}","prefix":"/boxes/"}},"#));
    format!(
        r#"{{"listen":"{front}","unit_bytes":4096,"large_from":16384,{etcd}
        "peers":{{"name":"{me}","region":"g{}","zone":"z{}","listen":"{listen}","join":[{}]}},
        "teams":[{{"name":"t","contracts":[{{"plan":"p","reserve":5}}]}}],
        "exports":[{{"name":"serra","team":"t","plan":"p","volume":"a1","size":{},"extents":[{}]}}],
        "boxes":[{}],
        "settings":{{"balancers":{all},"step":1000000,"lanes":[{}],
            "limits":{{"connect-timeout":200000000,"try-limit":2,"cancelling":true}},
            "domain":{{"units-top":8,"unit-mean":1}}}}}}"#,
        number % ZONES / REGION,
        number % ZONES,
        join.join(","),
        EXPORTED as u64 * EXTENT,
        extents.join(","),
        entries.join(","),
        lanes.join(",")
    )
}
