//! The operator's file: all errors are reported at once, each with its path, and both parsers of the settings
//! agree.

use shaletack::{json::JsonField, operator, settings};

const EXAMPLE: &str = include_str!("../deploy/operator.json");

fn parse(text: &str) -> Result<operator::OperatorConfig, operator::ValidationErrors> {
    operator::read(&mut text.to_owned().into_bytes())
}

/// Returns the example file with the first occurrence of each text replaced.
fn example_with(changes: &[(&str, &str)]) -> String {
    changes.iter().fold(EXAMPLE.to_owned(), |text, (from, to)| {
        assert!(text.contains(from), "{from}");
        text.replacen(from, to, 1)
    })
}

#[test]
fn every_schema_violation_is_reported_at_once_with_its_path() {
    let invalid = example_with(&[
        ("\"unit_bytes\": 16384", "\"unit_bytes\": 7, \"unit_bits\": 1"),
        ("\"limit\": 200", "\"limit\": -1"),
        ("\"shard\": 0", "\"shard\": \"0\""),
        ("\"phase\": \"up\"", "\"phase\": \"asleep\""),
        ("\"try-limit\": 4", "\"try-limits\": 4"),
    ]);
    let errors = parse(&invalid).unwrap_err().lines();
    let expected = [
        ("", "unit_bits"),
        ("/unit_bytes: ", "512"),
        ("/teams/0/contracts/1/limit: ", "minimum of 0"),
        ("/exports/0/extents/0/shard: ", "integer"),
        ("/boxes/0/phase: ", "asleep"),
        ("/settings/limits: ", "try-limits"),
    ];
    for (path, text) in expected {
        let is_expected = |error: &&String| error.starts_with(path) && error.contains(text);
        assert!(errors.iter().find(is_expected).is_some(), "no error '{path}' with '{text}': {errors:#?}");
    }
    assert_eq!(errors.len(), expected.len(), "{errors:#?}");
}

#[test]
fn every_inconsistency_between_parts_is_reported_at_once() {
    let inconsistent = example_with(&[
        ("127.0.0.1:10809", "10.0.0.1:10809"),
        ("\"reserve\": 0, \"limit\": 200, \"weight\": 1, \"burst\": 400", "\"reserve\": 300, \"limit\": 200"),
        ("\"name\": \"relatorios\"", "\"name\": \"leituras\""),
        ("\"size\": 134217728", "\"size\": 134217729"),
        ("\"cell\": 1", "\"cell\": 9"),
        ("\"name\": \"exportacao\", \"aim\": 750000000, \"deadline\": 2500000000, \"idempotency\": \"idempotent\"",
         "\"name\": \"exportacao\", \"aim\": 750000000, \"deadline\": 2500000000, \"idempotency\": \"at_most_once\""),
        ("s-00000002", "s-00000001"),
    ]);
    let errors = parse(&inconsistent).unwrap_err().lines();
    let paths: Vec<&str> = errors.iter().map(|error| error.split_once(": ").unwrap().0).collect();
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
    assert_eq!(paths, expected, "{errors:#?}");
    assert!(parse("{").unwrap_err().lines()[0].starts_with("not JSON: "));
}

/// The parser of the platform's settings and the schema types of the operator's file give equal settings for
/// one text.
#[test]
fn both_parsers_give_the_same_settings() {
    let mut text = EXAMPLE.to_owned().into_bytes();
    let value = shaletack::json::parse(&mut text).unwrap();
    let mut platform =
        settings::read_settings(JsonField::object(&value, "file").unwrap().field("settings")).unwrap();
    let operator = parse(EXAMPLE).unwrap();
    platform.plans = operator.settings.plans.clone();
    assert_eq!(platform, operator.settings);
    assert_eq!((operator.exports[0].extents[1].export_offset, operator.exports[1].plan), (67108864, 2));
}

#[test]
fn the_schema_rejects_unknown_keys_in_every_object() {
    /// Checks every object type below `value`, and counts them in `object_types`.
    fn check_objects(value: &serde_json::Value, object_types: &mut usize) {
        if value.get("properties").is_some() {
            assert_eq!(value["additionalProperties"], serde_json::json!(false), "{value:#}");
            *object_types += 1;
        }
        value.as_object().into_iter().flatten().for_each(|(_, child)| check_objects(child, object_types));
    }
    let mut object_types = 0;
    check_objects(&operator::schema(), &mut object_types);
    assert!(object_types >= 10, "{object_types}");
}

#[test]
fn the_example_files_are_valid_and_invalid_peers_are_reported() {
    let pair =
        [include_str!("../deploy/peers-n1.json"), include_str!("../deploy/peers-n2.json")].map(|text| {
            let peers = parse(text).unwrap().peers.unwrap();
            (peers.listen, peers.join)
        });
    assert_eq!(
        (&pair[0].1[0], &pair[1].1[0]),
        (&pair[1].0, &pair[0].0),
        "each file lists the other initiator"
    );
    assert_eq!(parse(EXAMPLE).unwrap().peers, None, "gossip is off without the key");
    let buffered = parse(include_str!("../deploy/writeback.json")).unwrap();
    assert!(
        buffered.write_back.is_some() && buffered.exports[0].write_back && !buffered.exports[1].write_back
    );
    let without_cache = example_with(&[("\"hosts\": 1", "\"hosts\": 2, \"write_back\": true")]);
    let errors: Vec<String> = parse(&without_cache).unwrap_err().lines();
    assert!(errors[0].starts_with("/exports/0/write_back: ") && errors[1].starts_with("/exports/0/hosts: "));
    let errors_with_peers = |name: &str, listen: &str, join: &str| {
        let peers =
            format!("\"peers\": {{\"name\": \"{name}\", \"listen\": \"{listen}\", \"join\": [\"{join}\"]}}");
        let text = example_with(&[("\"unit_bytes\"", &format!("{peers}, \"unit_bytes\""))]);
        parse(&text).unwrap_err().lines()
    };
    assert!(errors_with_peers("n1", "127.0.0.1:0", "127.0.0.1:1")[0].starts_with("/peers/listen: "));
    assert!(errors_with_peers("n1", "127.0.0.1:9", "10.0.0.1:1")[0].starts_with("/peers/join/0: "));
    assert!(errors_with_peers("", "127.0.0.1:9", "127.0.0.1:1")[0].starts_with("/peers/name: "));
}

/// Guards against finding the classes of commands by their names, which differ between deployments.
#[test]
fn classes_are_found_by_their_properties_and_not_by_name() {
    let other_names =
        [("\"leitura\"", "\"lookup\""), ("\"gravacao\"", "\"booking\""), ("\"exportacao\"", "\"export\"")];
    let parse_with = |changes: &[(&str, &str)]| parse(&example_with(&[&other_names[..], changes].concat()));
    let class_numbers = |operator: operator::OperatorConfig| {
        let operator::Classes { read, large_read, write } = operator.classes;
        (read, large_read, write)
    };
    assert_eq!(class_numbers(parse_with(&[]).unwrap()), (0, 2, 1));
    // `changes-data` selects the class that writes, even if that class is idempotent.
    let idempotent_write = ("\"at_most_once\"", "\"idempotent\"");
    let domain = |flags: &'static str| ("\"cold-bears\"", flags);
    let second_writes = domain("\"changes-data\": [false, true, false], \"cold-bears\"");
    assert_eq!(class_numbers(parse_with(&[idempotent_write, second_writes]).unwrap()), (0, 2, 1));
    let third_at_most_once = (
        "\"idempotency\": \"idempotent\", \"group\": \"all\", \"late-worth\": 0.3",
        "\"idempotency\": \"at_most_once\", \"group\": \"all\", \"late-worth\": 0.3",
    );
    let error_texts = |result: Result<operator::OperatorConfig, operator::ValidationErrors>| {
        result.unwrap_err().lines().join("; ")
    };
    // An empty text: the file is valid.
    for (changes, text) in [
        (vec![idempotent_write], "no class writes data"),
        (vec![third_at_most_once], "'booking', 'export' all write data"),
        (vec![domain("\"changes-data\": [false, true], \"cold-bears\"")], "2 entries for 3 lanes"),
        (vec![domain("\"changes-data\": [true, false, false], \"cold-bears\""), third_at_most_once], ""),
        (vec![("\"at_most_once\"", "\"deduplicated\"")], "NBD has no idempotency key"),
    ] {
        match (text, parse_with(&changes)) {
            ("", operator) => assert_eq!(class_numbers(operator.unwrap()), (1, 2, 0)),
            (text, result) => {
                let errors = error_texts(result);
                assert!(errors.contains(text) && errors.starts_with("/settings/"), "no '{text}': {errors}");
            }
        }
    }
}
