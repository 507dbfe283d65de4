//! Tests of this slice.

use coltsfootshunt_testkit::cases;

use super::{Error, Settings};

const WHOLE: &str = r#"{
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
fn whole_settings_are_taken() {
    let settings = Settings::parse("test", WHOLE).expect("they are whole");
    assert_eq!((&*settings.host, settings.weight), ("entry-1", 1));
}

/// The examples that ship with the project are whole.
fn example(text: &str, zone: &str) {
    let settings = Settings::parse("example", text).expect("the example is whole");
    assert_eq!(&*settings.zone, zone);
}

cases! { example:
    riga_centrs(include_str!("../../../../examples/entry-riga-centrs.jsonc"), "riga-centrs");
    riga_kurzeme(include_str!("../../../../examples/entry-riga-kurzeme.jsonc"), "riga-kurzeme");
}

/// Replacing a text in the whole settings leads to this field and points at this text.
fn points_at(from: &str, to: &str, field: &str, place: &str) {
    let text = WHOLE.replace(from, to);
    let error = Settings::parse("test", &text).expect_err("something is wrong");
    let (found, span) = match &error {
        Error::Field { field, span, .. } => (field.as_str(), *span),
        Error::Syntax { span, .. } => ("syntax", *span),
        Error::Unreadable { .. } => panic!("it was read"),
    };
    assert_eq!(found, field, "{error:?}");
    let shown = &text[span.offset()..span.offset() + span.len()];
    assert!(shown.contains(place), "points at {shown:?}");
}

cases! { points_at:
    no_port("127.0.0.1:7001", "127.0.0.1", "listen.callers", "127.0.0.1");
    not_a_name("entry-1", "entry 1", "host", "entry 1");
    unknown_field("\"platform\"", "\"platfrom\": 1, \"platform\"", "platfrom", "1");
    wrong_type("\"riga\"", "7", "zone", "7");
    out_of_range("\"zone\"", "\"weight\": 0, \"zone\"", "weight", "0");
    stop_shorter_than_its_grace(
        "\"zone\"",
        "\"drain\": { \"deadline_ms\": 1 }, \"zone\"",
        "drain",
        "deadline_ms",
    );
    no_json("\"zone\":", "\"zone\"", "syntax", "\"");
}

/// The operators' page names every option of the example, which has them all.
#[test]
fn page_names_every_option() {
    let text = include_str!("../../../../examples/entry-riga-centrs.jsonc");
    let page = include_str!("../../../../docs/OPERATIONS.md");
    let options = jsonc_parser::ParseOptions::default();
    let example: serde_json::Value =
        jsonc_parser::parse_to_serde_value(text, &options).expect("the example is whole");
    let mut named = 0;
    for (key, value) in example.as_object().expect("it is an object") {
        let inner = value.as_object().into_iter().flatten().map(|(k, _)| format!("{key}.{k}"));
        let inner: Vec<_> = inner.collect();
        let names = if inner.is_empty() { vec![key.clone()] } else { inner };
        for name in names {
            assert!(page.contains(&format!("`{name}`")), "{name} is not on the page");
            named += 1;
        }
    }
    assert_eq!(named, 19, "a new option belongs into the example and on the page");
}
