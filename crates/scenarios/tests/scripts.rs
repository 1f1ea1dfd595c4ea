//! Runs every scenario script, and checks the errors of broken scripts.

use std::path::Path;

use jackdawpoint_scenarios::run_script;

#[test]
fn all_scripts_pass() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scripts");
    let mut files: Vec<_> = std::fs::read_dir(folder)
        .expect("the scripts folder is readable")
        .map(|entry| entry.expect("a readable folder entry").path())
        .collect();
    files.sort();
    assert!(!files.is_empty(), "no scripts found");
    let mut failures = Vec::new();
    for file in files {
        let source = std::fs::read_to_string(&file).expect("a script is UTF-8 text");
        if let Err(error) = run_script(&source) {
            failures.push(format!("{}: {error}", file.display()));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

struct BrokenScript {
    name: &'static str,
    source: &'static str,
    error: &'static str,
}

const BROKEN: [BrokenScript; 4] = [
    BrokenScript {
        name: "expectation that does not hold",
        source: r#"world(#{}); expect(false, "the moon is made of cheese");"#,
        error: "expected: the moon is made of cheese",
    },
    BrokenScript {
        name: "no world",
        source: "run(10);",
        error: "must begin with",
    },
    BrokenScript {
        name: "unknown member",
        source: "world(#{ planets: 3 });",
        error: "unknown member `planets`; allowed are",
    },
    BrokenScript {
        name: "member of a wrong type",
        source: r#"world(#{ nodes: "three" });"#,
        error: "`nodes` is of type string, not an integer",
    },
];

#[test]
fn broken_scripts_get_specific_errors() {
    for case in &BROKEN {
        let error = run_script(case.source).expect_err(case.name);
        assert!(error.contains(case.error), "{}: {error}", case.name);
    }
}
