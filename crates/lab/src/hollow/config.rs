//! Generates the configuration files of initiators and the entries of the endpoint list.

use super::initiator::{ZONES, ZONES_PER_REGION};
use std::net::SocketAddr;

/// Number of endpoints in every list; two hold each shard.
pub const ENDPOINTS: usize = 880;
const SHARDS: usize = ENDPOINTS / 2;
/// Number of shards in the export.
pub const EXPORTED_SHARDS: usize = 8;
/// Bytes of each shard in the export.
pub const EXTENT_BYTES: u64 = 65_536;

/// Returns the id of an endpoint.
pub fn endpoint_id(number: usize) -> String {
    format!("s-{number:08x}")
}

/// Returns the list entry of an endpoint. The listed endpoints share the addresses of the few that actually
/// listen.
pub fn endpoint_entry(number: usize, endpoints: &[SocketAddr], phase: &str) -> String {
    let (id, at, cell) = (endpoint_id(number), endpoints[number % endpoints.len()], number % SHARDS);
    format!(r#"{{"id":"{id}","host_port":"{at}","cell":{cell},"phase":"{phase}"}}"#)
}

/// Returns an initiator's configuration, with its name and number and the addresses at which it listens for
/// clients and peers. All initiators are configured with the same two peers to join.
pub fn config_text(
    (name, number): (&str, usize),
    [front, listen]: [SocketAddr; 2],
    join: &[SocketAddr],
    etcd: Option<SocketAddr>,
    all: usize,
    endpoints: &[SocketAddr],
    listed: &[usize],
) -> String {
    let request_class = |name: &str, effect: &str| {
        format!(
            r#"{{"name":"{name}","aim":400000000,"deadline":1500000000,"idempotency":"{effect}","value":1}}"#
        )
    };
    let request_classes = [
        request_class("leitura", "idempotent"),
        request_class("gravacao", "at_most_once"),
        request_class("exportacao", "idempotent"),
    ];
    let extents: Vec<String> =
        (0..EXPORTED_SHARDS).map(|s| format!(r#"{{"length":{EXTENT_BYTES},"shard":{s}}}"#)).collect();
    let entries: Vec<String> = listed.iter().map(|n| endpoint_entry(*n, endpoints, "up")).collect();
    let join: Vec<String> = join.iter().map(|at| format!(r#""{at}""#)).collect();
    let etcd = etcd.map_or(String::new(), |at| format!(r#""etcd":{{"address":"{at}","prefix":"/boxes/"}},"#));
    format!(
        r#"{{"listen":"{front}","unit_bytes":4096,"large_from":16384,{etcd}
        "peers":{{"name":"{name}","region":"g{}","zone":"z{}","listen":"{listen}","join":[{}]}},
        "teams":[{{"name":"t","contracts":[{{"plan":"p","reserve":5}}]}}],
        "exports":[{{"name":"serra","team":"t","plan":"p","volume":"a1","size":{},"extents":[{}]}}],
        "boxes":[{}],
        "settings":{{"balancers":{all},"step":1000000,"lanes":[{}],
            "limits":{{"connect-timeout":200000000,"try-limit":2,"cancelling":true}},
            "domain":{{"units-top":8,"unit-mean":1}}}}}}"#,
        number % ZONES / ZONES_PER_REGION,
        number % ZONES,
        join.join(","),
        EXPORTED_SHARDS as u64 * EXTENT_BYTES,
        extents.join(","),
        entries.join(","),
        request_classes.join(",")
    )
}
