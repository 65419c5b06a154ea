//! The operator's file: every fault at once, each with its path, and the two readers of settings agree.

use shaletack::{json::JsonField, operator, settings};

const EXAMPLE: &str = include_str!("../deploy/operator.json");

fn read(text: &str) -> Result<operator::Operator, operator::Faults> {
    operator::read(&mut text.to_owned().into_bytes())
}

/// The example with one text in place of another that it holds.
fn with(changes: &[(&str, &str)]) -> String {
    changes.iter().fold(EXAMPLE.to_owned(), |text, (from, to)| {
        assert!(text.contains(from), "{from}");
        text.replacen(from, to, 1)
    })
}

#[test]
fn every_fault_of_a_file_is_reported_at_once_with_its_path() {
    let shape = with(&[
        ("\"unit_bytes\": 16384", "\"unit_bytes\": 7, \"unit_bits\": 1"),
        ("\"limit\": 200", "\"limit\": -1"),
        ("\"shard\": 0", "\"shard\": \"0\""),
        ("\"phase\": \"up\"", "\"phase\": \"asleep\""),
        ("\"try-limit\": 4", "\"try-limits\": 4"),
    ]);
    let faults = read(&shape).unwrap_err().lines();
    let expected = [
        ("", "unit_bits"),
        ("/unit_bytes: ", "512"),
        ("/teams/0/contracts/1/limit: ", "minimum of 0"),
        ("/exports/0/extents/0/shard: ", "integer"),
        ("/boxes/0/phase: ", "asleep"),
        ("/settings/limits: ", "try-limits"),
    ];
    for (path, word) in expected {
        let told = |f: &&String| f.starts_with(path) && f.contains(word);
        assert!(faults.iter().find(told).is_some(), "{path} {word}: {faults:#?}");
    }
    assert_eq!(faults.len(), expected.len(), "{faults:#?}");
}

#[test]
fn parts_that_do_not_fit_together_are_all_reported() {
    let misfit = with(&[
        ("127.0.0.1:10809", "10.0.0.1:10809"),
        ("\"reserve\": 0, \"limit\": 200, \"weight\": 1, \"burst\": 400", "\"reserve\": 300, \"limit\": 200"),
        ("\"name\": \"relatorios\"", "\"name\": \"leituras\""),
        ("\"size\": 134217728", "\"size\": 134217729"),
        ("\"cell\": 1", "\"cell\": 9"),
        ("\"name\": \"exportacao\", \"aim\": 750000000, \"deadline\": 2500000000, \"idempotency\": \"idempotent\"",
         "\"name\": \"exportacao\", \"aim\": 750000000, \"deadline\": 2500000000, \"idempotency\": \"at_most_once\""),
        ("s-00000002", "s-00000001"),
    ]);
    let faults = read(&misfit).unwrap_err().lines();
    let paths: Vec<&str> = faults.iter().map(|f| f.split_once(": ").unwrap().0).collect();
    let expected = [
        "/listen",
        "/settings/lanes",
        "/teams/0/contracts/1/burst",
        "/teams/0/contracts/1/reserve",
        "/teams/1/name",
        "/boxes/1/id",
        "/exports/0/extents/1/shard",
        "/exports/0/size",
        "/exports/1/extents/0/shard",
        "/exports/1/team",
    ];
    assert_eq!(paths, expected, "{faults:#?}");
    assert!(read("{").unwrap_err().lines()[0].starts_with("not JSON: "));
}

/// One settings object, read by the platform's reader and by the record, means the same.
#[test]
fn the_settings_mean_the_same_to_both_readers() {
    let mut text = EXAMPLE.to_owned().into_bytes();
    let value = shaletack::json::parse(&mut text).unwrap();
    let mut platform =
        settings::read_settings(JsonField::object(&value, "file").unwrap().field("settings")).unwrap();
    let operator = read(EXAMPLE).unwrap();
    platform.plans = operator.settings.plans.clone();
    assert_eq!(platform, operator.settings);
    assert_eq!((operator.exports[0].extents[1].export_offset, operator.exports[1].plan), (67108864, 2));
}

#[test]
fn the_schema_refuses_unknown_keys_in_every_record() {
    fn records(value: &serde_json::Value, closed: &mut usize) {
        if value.get("properties").is_some() {
            assert_eq!(value["additionalProperties"], serde_json::json!(false), "{value:#}");
            *closed += 1;
        }
        value.as_object().into_iter().flatten().for_each(|(_, v)| records(v, closed));
    }
    let mut closed = 0;
    records(&operator::schema(), &mut closed);
    assert!(closed >= 10, "{closed}");
}

#[test]
fn the_examples_are_sound_and_peers_are_checked_too() {
    let pair =
        [include_str!("../deploy/peers-n1.json"), include_str!("../deploy/peers-n2.json")].map(|text| {
            let peers = read(text).unwrap().peers.unwrap();
            (peers.listen, peers.join)
        });
    assert_eq!((&pair[0].1[0], &pair[1].1[0]), (&pair[1].0, &pair[0].0), "each lists the other");
    assert_eq!(read(EXAMPLE).unwrap().peers, None, "off where nothing is said of them");
    let buffered = read(include_str!("../deploy/writeback.json")).unwrap();
    assert!(
        buffered.write_back.is_some() && buffered.exports[0].write_back && !buffered.exports[1].write_back
    );
    let lacks = with(&[("\"hosts\": 1", "\"hosts\": 2, \"write_back\": true")]);
    let paths: Vec<String> = read(&lacks).unwrap_err().lines();
    assert!(paths[0].starts_with("/exports/0/write_back: ") && paths[1].starts_with("/exports/0/hosts: "));
    let peers = |name: &str, listen: &str, join: &str| {
        let set =
            format!("\"peers\": {{\"name\": \"{name}\", \"listen\": \"{listen}\", \"join\": [\"{join}\"]}}");
        let text = with(&[("\"unit_bytes\"", &format!("{set}, \"unit_bytes\""))]);
        read(&text).unwrap_err().lines()
    };
    assert!(peers("n1", "127.0.0.1:0", "127.0.0.1:1")[0].starts_with("/peers/listen: "));
    assert!(peers("n1", "127.0.0.1:9", "10.0.0.1:1")[0].starts_with("/peers/join/0: "));
    assert!(peers("", "127.0.0.1:9", "127.0.0.1:1")[0].starts_with("/peers/name: "));
}

/// Commands found their classes by three names of one deployment.
#[test]
fn classes_are_found_by_what_they_do_whatever_they_are_called() {
    let others =
        [("\"leitura\"", "\"lookup\""), ("\"gravacao\"", "\"booking\""), ("\"exportacao\"", "\"export\"")];
    let read_with = |more: &[(&str, &str)]| read(&with(&[&others[..], more].concat()));
    let found = |operator: operator::Operator| {
        let operator::Classes { read, large_read, write } = operator.classes;
        (read, large_read, write)
    };
    assert_eq!(found(read_with(&[]).unwrap()), (0, 2, 1));
    // The settings say which class writes, also of one that may be repeated.
    let safe = ("\"at_most_once\"", "\"idempotent\"");
    let domain = |flags: &'static str| ("\"cold-bears\"", flags);
    let said = domain("\"changes-data\": [false, true, false], \"cold-bears\"");
    assert_eq!(found(read_with(&[safe, said]).unwrap()), (0, 2, 1));
    // One class that reads has large reads as well.
    let two = (
        "\"idempotency\": \"idempotent\", \"group\": \"all\", \"late-worth\": 0.3",
        "\"idempotency\": \"at_most_once\", \"group\": \"all\", \"late-worth\": 0.3",
    );
    let told = |result: Result<operator::Operator, operator::Faults>| result.unwrap_err().lines().join("; ");
    for (changes, word) in [
        (vec![safe], "no class writes"),
        (vec![two], "'booking', 'export' all write"),
        (vec![domain("\"changes-data\": [false, true], \"cold-bears\"")], "2 entries for 3 lanes"),
        (vec![domain("\"changes-data\": [true, false, false], \"cold-bears\""), two], ""),
        (vec![("\"at_most_once\"", "\"deduplicated\"")], "NBD carries no key"),
    ] {
        match (word, read_with(&changes)) {
            ("", operator) => assert_eq!(found(operator.unwrap()), (1, 2, 0)),
            (word, result) => {
                let faults = told(result);
                assert!(faults.contains(word) && faults.starts_with("/settings/"), "{word}: {faults}");
            }
        }
    }
}
