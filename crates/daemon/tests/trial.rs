//! The trial runs a sample program end to end and prints its steps.

use std::process::Command;

#[test]
fn trial_prints_its_steps_and_succeeds() {
    let output = Command::new(env!("CARGO_BIN_EXE_dandelionfront"))
        .args(["--log-level", "error", "trial"])
        .output()
        .expect("trial starts");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{text}\n{}", String::from_utf8_lossy(&output.stderr));
    let program =
        text.split_whitespace().find(|word| word.starts_with("prg-")).expect("program id");
    insta::assert_snapshot!(text.replace(program, "PROGRAM"));
}
