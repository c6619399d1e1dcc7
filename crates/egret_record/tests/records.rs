//! Validation of records of both schemas, and the error messages.

use egret_record::{Placement, Priority, Target, parse_record};
use miette::{GraphicalReportHandler, GraphicalTheme};
use proptest::prelude::*;

const DIGEST: &str = "af1349b9f5f9a1a6a0404dea36dcc9499bcb25c9adc112b7cc9a93cae41f3262";

fn schema_1() -> String {
    format!(
        "schema: 1\nname: drafting\nmodel: survey-drafts\nversion: v1\ndigest: {DIGEST}\n\
         origin: http://127.0.0.1:1/m\nreplicas: 4\n"
    )
}

fn schema_2() -> String {
    format!(
        "schema: 2\nname: answers\nmodel:\n  name: answers\n  version: v1\n  digest: {DIGEST}\n  \
         origin: http://127.0.0.1:1/m\nplacement: {{ xela: 2 }}\npriority: 150\n"
    )
}

const SERVICE: &str = "schema: 1
name: register
service: register
path: /register
calls:
  - { method: POST, path: /register/orders, once: true }
";

fn message(text: &str) -> String {
    let error = parse_record("record.yaml", text).expect_err("the record is invalid");
    let mut out = String::new();
    GraphicalReportHandler::new_themed(GraphicalTheme::unicode_nocolor())
        .render_report(&mut out, error.as_ref())
        .expect("rendering into a string");
    out
}

fn check_messages(base: &str, cases: &[(&str, &str, &str)]) {
    parse_record("record.yaml", base).expect("the base record is valid");
    for (name, from, to) in cases {
        assert!(base.contains(from), "{name} changes the base record");
        insta::assert_snapshot!(*name, message(&base.replace(from, to)));
    }
}

#[test]
fn both_schemas_have_one_normalized_form() {
    let first = parse_record("one", &schema_1()).unwrap();
    assert_eq!(
        (first.schema, first.placement, first.priority),
        (1, Placement::Spread(4), Priority::NORMAL)
    );
    let second = parse_record("two", &schema_2()).unwrap();
    assert_eq!((second.schema, second.placement.total(), second.priority), (2, 2, Priority(150)));
    let service = parse_record("service", SERVICE).unwrap();
    assert!(matches!(service.target, Target::Service(_)));
    assert!(service.is_once("POST", "/register/orders"));
    assert!(!service.is_once("POST", "/register/ordersheet"));
    assert!(service.is_idempotent("GET", "/register/status"));
}

#[test]
fn bad_records_of_schema_1() {
    check_messages(
        &schema_1(),
        &[
            ("no_schema", "schema: 1\n", ""),
            ("unknown_schema", "schema: 1", "schema: 3"),
            ("key_of_schema_2", "replicas: 4", "replicas: 4\npriority: 9"),
            ("no_replicas", "replicas: 4\n", ""),
            ("zero_replicas", "replicas: 4", "replicas: 0"),
            ("bad_digest", DIGEST, "af13"),
            ("origin_without_scheme", "http://127", "127"),
            (
                "model_and_service",
                "model: survey-drafts",
                "model: survey-drafts\nservice: register",
            ),
            ("bad_record_name", "name: drafting", "name: Drafting!"),
            ("empty_model", "model: survey-drafts", "model: \"\""),
        ],
    );
}

#[test]
fn bad_records_of_schema_2() {
    check_messages(
        &schema_2(),
        &[
            ("misspelt_placement", "placement", "placment"),
            ("bad_data_centre", "xela: 2", "Xela!: 2"),
            ("no_placement", "{ xela: 2 }", "{}"),
            ("large_priority", "priority: 150", "priority: 1500"),
            ("zero_weight", "priority: 150", "weight: 0"),
            (
                "objective_above_all",
                "priority: 150",
                "objective: { answered_per_100k: 100001, within_ms: 1 }",
            ),
        ],
    );
}

#[test]
fn bad_records_of_services() {
    check_messages(
        SERVICE,
        &[
            ("relative_path", "path: /register\n", "path: register\n"),
            ("reserved_path", "path: /register\n", "path: /v1/register\n"),
            ("unknown_method", "POST", "SEND"),
            ("once_and_idempotent", "once: true", "once: true, idempotent: true"),
            ("relative_call", "/register/orders", "orders"),
        ],
    );
}

proptest! {
    #[test]
    fn arbitrary_text_never_panics(text in "\\PC{0,300}") {
        let _ = parse_record("record", &text);
    }

    #[test]
    fn damaged_records_never_panic(index in 0_usize..200, byte in any::<u8>()) {
        let mut bytes = schema_2().into_bytes();
        let index = index % bytes.len();
        bytes[index] = byte;
        let _ = parse_record("record", &String::from_utf8_lossy(&bytes));
    }
}
