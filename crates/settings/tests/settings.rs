//! Settings that cannot be used, and what is said of them.

use jackdawpoint_settings::{parse_settings, settings_schema};

const USABLE: &str = include_str!("../../../examples/settings.json");

struct BadSettings {
    name: &'static str,
    from: &'static str,
    to: &'static str,
}

const BAD: [BadSettings; 13] = [
    BadSettings {
        name: "a head that the HTTP library does not take",
        from: "\"services\": [",
        to: "\"limits\": { \"header_bytes\": 100000 }, \"services\": [",
    },
    BadSettings {
        name: "unknown member",
        from: "\"slots\": 32,",
        to: "\"slots\": 32, \"colour\": 1,",
    },
    BadSettings {
        name: "wrong type",
        from: "\"slots\": 32",
        to: "\"slots\": \"many\"",
    },
    BadSettings {
        name: "missing member",
        from: "\"instance\": \"local-1\",",
        to: "",
    },
    BadSettings {
        name: "impossible value",
        from: "\"slots\": 32",
        to: "\"slots\": 0",
    },
    BadSettings {
        name: "not an address",
        from: "127.0.0.1:8080",
        to: "localhost",
    },
    BadSettings {
        name: "one address twice",
        from: "127.0.0.1:8081",
        to: "127.0.0.1:8080",
    },
    BadSettings {
        name: "empty name",
        from: "\"name\": \"orders\"",
        to: "\"name\": \"\"",
    },
    BadSettings {
        name: "one endpoint twice",
        from: "orders-0",
        to: "engine-0",
    },
    BadSettings {
        name: "no model",
        from: "[\"dietary-advice\"]",
        to: "[]",
    },
    BadSettings {
        name: "unknown variant",
        from: "\"checked\"",
        to: "\"sometimes\"",
    },
    BadSettings {
        name: "impossible limit",
        from: "\"services\": [",
        to: "\"limits\": { \"largest_timeout_ms\": 5 }, \"services\": [",
    },
    BadSettings {
        name: "not JSON",
        from: "{\n  \"instance\"",
        to: "\"instance\"",
    },
];

#[test]
fn the_example_is_usable() {
    let settings = parse_settings(USABLE).expect("the example is usable");
    assert_eq!(settings.instance, "local-1");
}

#[test]
fn bad_settings_are_named_by_their_path() {
    let mut lines = Vec::new();
    for case in &BAD {
        assert!(USABLE.contains(case.from), "{}", case.name);
        let text = USABLE.replacen(case.from, case.to, 1);
        let fault = parse_settings(&text).expect_err(case.name).to_string();
        assert!(!fault.contains('\n'), "{} is on one line", case.name);
        lines.push(format!("{}: {fault}", case.name));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn the_schema_names_every_part() {
    let schema = settings_schema();
    for part in ["failure_domain", "pools", "services", "limits", "objective"] {
        assert!(schema.contains(part), "{part}");
    }
}
