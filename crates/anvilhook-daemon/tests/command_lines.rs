//! The command line of the daemon, tested with the real binary.

use std::path::Path;
use std::process::{Command, Output};

fn anvilhookd(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_anvilhookd"));
    command.args(args).output().expect("the daemon can be run")
}

fn settings_file(name: &str) -> String {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/settings");
    dir.join(name).to_str().expect("the path is text").to_owned()
}

#[test]
fn verify_check_accepts_good_settings() {
    let file = settings_file("good/minimal.yaml");

    let output = anvilhookd(&["--check", "--config", &file]);

    assert_eq!(output.status.code(), Some(0));
    assert_eq!(String::from_utf8_lossy(&output.stdout), format!("{file}: good\n"));
    assert!(output.stderr.is_empty());
}

#[test]
fn verify_bad_settings_end_with_one_line_and_status_2() {
    let bad = settings_file("bad/zero-limit.yaml");
    let absent = settings_file("absent.yaml");
    let cases = [
        (&bad, ":13: limits.open_requests: expected at least 1\n"),
        (&absent, ": cannot be read: No such file or directory (os error 2)\n"),
    ];
    for (file, expected) in cases {
        for args in [vec!["--config", file], vec!["--check", "--config", file]] {
            let output = anvilhookd(&args);

            assert_eq!(output.status.code(), Some(2), "{args:?}");
            assert!(output.stdout.is_empty(), "no instance started or announced itself");
            let stderr = String::from_utf8_lossy(&output.stderr);
            assert_eq!(stderr, format!("anvilhookd: {file}{expected}"));
        }
    }
}
