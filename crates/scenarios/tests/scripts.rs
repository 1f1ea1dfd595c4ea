//! Runs every scenario script.

use std::path::Path;

use jackdawpoint_scenarios::run_script;

#[test]
fn every_script_passes() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scripts");
    let mut files: Vec<_> = std::fs::read_dir(folder)
        .expect("the folder is part of the package")
        .map(|entry| entry.expect("an entry").path())
        .collect();
    files.sort();
    assert!(!files.is_empty(), "there are scripts");
    let mut failures = Vec::new();
    for file in files {
        let source = std::fs::read_to_string(&file).expect("a script is text");
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
        name: "an expectation that does not hold",
        source: r#"world(#{}); expect(false, "the moon is made of cheese");"#,
        error: "expected: the moon is made of cheese",
    },
    BrokenScript {
        name: "no world",
        source: "run(10);",
        error: "must begin with",
    },
    BrokenScript {
        name: "an unknown member",
        source: "world(#{ planets: 3 });",
        error: "`planets` is not one of",
    },
    BrokenScript {
        name: "a member of a wrong type",
        source: r#"world(#{ nodes: "three" });"#,
        error: "`nodes` is",
    },
];

#[test]
fn broken_scripts_say_what_is_wrong() {
    for case in &BROKEN {
        let error = run_script(case.source).expect_err(case.name);
        assert!(error.contains(case.error), "{}: {error}", case.name);
    }
}
