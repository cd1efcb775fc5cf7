//! Checks of the files in `examples/` and of the programs' exit codes.

use std::path::{Path, PathBuf};
use std::process::Command;
use verbenapass_load::binary;
use verbenapass_proto::caller::Submit;

fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

/// Guards against example settings that their program rejects.
#[test]
fn examples_settings_pass_the_check() {
    let files = [
        ("verbenapass-platform", "platform.yaml"),
        ("verbenapass-target", "targets.yaml"),
        ("verbenapass-entry", "entry-1.yaml"),
        ("verbenapass-entry", "entry-2.yaml"),
    ];
    for (program, file) in files {
        let output = Command::new(binary::find(program).unwrap())
            .arg("--check")
            .arg("--settings")
            .arg(examples().join(file))
            .output()
            .unwrap();
        let errors = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(0), "{program} {file}: {errors}");
    }
}

/// Guards against an example job that does not parse as a submission of the caller protocol.
#[test]
fn examples_job_is_a_submission() {
    let text = std::fs::read_to_string(examples().join("job.json")).unwrap();
    let submit: Submit = serde_json::from_str(&text).unwrap();
    assert_eq!(submit.tasks.len(), 2);
}

/// Guards against programs whose exit codes for help, version and usage errors are not the
/// documented ones.
#[test]
fn programs_exit_with_2_on_bad_usage() {
    for program in
        ["verbenapass-platform", "verbenapass-target", "verbenapass-entry", "verbenapass-load"]
    {
        let run = |arguments: &[&str]| {
            Command::new(binary::find(program).unwrap()).args(arguments).output().unwrap()
        };
        assert_eq!(run(&["--help"]).status.code(), Some(0), "{program}");
        assert_eq!(run(&["--version"]).status.code(), Some(0), "{program}");
        assert_eq!(run(&["--no-such-flag"]).status.code(), Some(2), "{program}");
        if program != "verbenapass-load" {
            let missing = run(&["--settings", "/nonexistent/settings.yaml"]);
            assert_eq!(missing.status.code(), Some(2), "{program}");
            assert!(
                String::from_utf8_lossy(&missing.stderr).contains("/nonexistent/"),
                "{program}"
            );
        }
    }
}
