//! Tests of the settings file.

use coltsfootshunt_testkit::cases;

use super::{Error, Settings};

/// Settings with all required fields and no optional ones.
const MINIMAL: &str = r#"{
    // An entry host.
    "host": "entry-1",
    "zone": "riga",
    "listen": {
        "callers": "127.0.0.1:7001",
        "operators": "127.0.0.1:7002",
        "peers": "127.0.0.1:7003",
    },
    "platform": "127.0.0.1:7000",
}"#;

#[test]
fn minimal_settings_are_accepted() {
    let settings = Settings::parse("test", MINIMAL).expect("the settings are valid");
    assert_eq!((&*settings.host, settings.weight), ("entry-1", 1));
}

/// Checks that an example settings file is valid.
fn example(text: &str, zone: &str) {
    let settings = Settings::parse("example", text).expect("the example is valid");
    assert_eq!(&*settings.zone, zone);
}

cases! { example:
    riga_centrs(include_str!("../../../../examples/entry-riga-centrs.jsonc"), "riga-centrs");
    riga_kurzeme(include_str!("../../../../examples/entry-riga-kurzeme.jsonc"), "riga-kurzeme");
}

/// Checks that replacing a text in valid settings gives an error in `field` whose span contains
/// `culprit`.
fn points_at(from: &str, to: &str, field: &str, culprit: &str) {
    let text = MINIMAL.replace(from, to);
    let error = Settings::parse("test", &text).expect_err("the settings are invalid");
    let (found, span) = match &error {
        Error::Field { field, span, .. } => (field.as_str(), *span),
        Error::Syntax { span, .. } => ("syntax", *span),
        Error::Unreadable { .. } => panic!("the text is not read from a file"),
    };
    assert_eq!(found, field, "{error:?}");
    let shown = &text[span.offset()..span.offset() + span.len()];
    assert!(shown.contains(culprit), "points at {shown:?}");
}

cases! { points_at:
    address_without_a_port("127.0.0.1:7001", "127.0.0.1", "listen.callers", "127.0.0.1");
    invalid_name("entry-1", "entry 1", "host", "entry 1");
    unknown_field("\"platform\"", "\"platfrom\": 1, \"platform\"", "platfrom", "1");
    wrong_type("\"riga\"", "7", "zone", "7");
    out_of_range("\"zone\"", "\"weight\": 0, \"zone\"", "weight", "0");
    no_connections(
        "\"zone\"",
        "\"clients\": { \"connections\": 0 }, \"zone\"",
        "clients",
        "0"
    );
    less_memory_than_one_body(
        "\"zone\"",
        "\"clients\": { \"body_bytes\": 4194303 }, \"zone\"",
        "clients",
        "4194303"
    );
    stop_shorter_than_its_grace_time(
        "\"zone\"",
        "\"drain\": { \"deadline_ms\": 1 }, \"zone\"",
        "drain",
        "deadline_ms",
    );
    missing_colon("\"zone\":", "\"zone\"", "syntax", "\"");
}

/// The operators' page documents every option of the example, which contains all options.
#[test]
fn every_option_is_documented() {
    let text = include_str!("../../../../examples/entry-riga-centrs.jsonc");
    let page = include_str!("../../../../docs/OPERATIONS.md");
    let options = jsonc_parser::ParseOptions::default();
    let example: serde_json::Value =
        jsonc_parser::parse_to_serde_value(text, &options).expect("the example is valid");
    let mut documented = 0;
    for (key, value) in example.as_object().expect("the example is an object") {
        let nested = value.as_object().into_iter().flatten().map(|(k, _)| format!("{key}.{k}"));
        let nested: Vec<_> = nested.collect();
        let names = if nested.is_empty() { vec![key.clone()] } else { nested };
        for name in names {
            assert!(page.contains(&format!("`{name}`")), "docs/OPERATIONS.md lacks {name}");
            documented += 1;
        }
    }
    assert_eq!(documented, 21, "add a new option to the example and to docs/OPERATIONS.md");
}
