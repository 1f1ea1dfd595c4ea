//! Validation of settings: the example is valid, and errors name the member and what is allowed.

use jackdawpoint_settings::{parse_settings, settings_schema};

const VALID: &str = include_str!("../../../examples/settings.json");

struct InvalidSettings {
    name: &'static str,
    from: &'static str,
    to: &'static str,
}

const INVALID: [InvalidSettings; 20] = [
    InvalidSettings {
        name: "header limit above that of the HTTP library",
        from: "\"services\": [",
        to: "\"limits\": { \"header_bytes\": 100000 }, \"services\": [",
    },
    InvalidSettings {
        name: "unknown member",
        from: "\"slots\": 32,",
        to: "\"slots\": 32, \"colour\": 1,",
    },
    InvalidSettings {
        name: "wrong type",
        from: "\"slots\": 32",
        to: "\"slots\": \"many\"",
    },
    InvalidSettings {
        name: "missing member",
        from: "\"instance\": \"local-1\",",
        to: "",
    },
    InvalidSettings {
        name: "value out of range",
        from: "\"slots\": 32",
        to: "\"slots\": 0",
    },
    InvalidSettings {
        name: "not an address",
        from: "127.0.0.1:8080",
        to: "localhost",
    },
    InvalidSettings {
        name: "duplicate address",
        from: "127.0.0.1:8081",
        to: "127.0.0.1:8080",
    },
    InvalidSettings {
        name: "empty name",
        from: "\"name\": \"orders\"",
        to: "\"name\": \"\"",
    },
    InvalidSettings {
        name: "duplicate endpoint name",
        from: "orders-0",
        to: "engine-0",
    },
    InvalidSettings {
        name: "no model",
        from: "[\"dietary-advice\"]",
        to: "[]",
    },
    InvalidSettings {
        name: "unknown variant",
        from: "\"checked\"",
        to: "\"sometimes\"",
    },
    InvalidSettings {
        name: "limit out of range",
        from: "\"services\": [",
        to: "\"limits\": { \"largest_timeout_ms\": 5 }, \"services\": [",
    },
    InvalidSettings {
        name: "body_ms without a bound",
        from: "\"services\": [",
        to: "\"limits\": { \"body_ms\": 18446744073709551615 }, \"services\": [",
    },
    InvalidSettings {
        name: "largest_timeout_ms without a bound",
        from: "\"services\": [",
        to: "\"limits\": { \"largest_timeout_ms\": 18446744073709551615 }, \"services\": [",
    },
    InvalidSettings {
        name: "connect_ms without a bound",
        from: "\"services\": [",
        to: "\"limits\": { \"connect_ms\": 18446744073709551615 }, \"services\": [",
    },
    InvalidSettings {
        name: "silence_ms without a bound",
        from: "\"services\": [",
        to: "\"limits\": { \"silence_ms\": 18446744073709551615 }, \"services\": [",
    },
    InvalidSettings {
        name: "claim_window_ms without a bound",
        from: "\"services\": [",
        to: "\"limits\": { \"claim_window_ms\": 18446744073709551615 }, \"services\": [",
    },
    InvalidSettings {
        name: "lame_duck_ms without a bound",
        from: "\"services\": [",
        to: "\"limits\": { \"lame_duck_ms\": 18446744073709551615 }, \"services\": [",
    },
    InvalidSettings {
        name: "quarantine_ms without a bound",
        from: "\"services\": [",
        to: "\"limits\": { \"quarantine_ms\": 18446744073709551615 }, \"services\": [",
    },
    InvalidSettings {
        name: "not JSON",
        from: "{\n  \"instance\"",
        to: "\"instance\"",
    },
];

#[test]
fn the_example_settings_are_valid() {
    let settings = parse_settings(VALID).expect("the example settings are valid");
    assert_eq!(settings.instance, "local-1");
}

#[test]
fn errors_in_settings_name_the_path_of_the_member() {
    let mut lines = Vec::new();
    for case in &INVALID {
        assert!(VALID.contains(case.from), "{}", case.name);
        let text = VALID.replacen(case.from, case.to, 1);
        let error = parse_settings(&text).expect_err(case.name).to_string();
        assert!(
            !error.contains('\n'),
            "{}: the error must be on one line",
            case.name
        );
        lines.push(format!("{}: {error}", case.name));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn the_schema_lists_the_main_members() {
    let schema = settings_schema();
    for member in ["failure_domain", "pools", "services", "limits", "objective"] {
        assert!(schema.contains(member), "{member}");
    }
}
