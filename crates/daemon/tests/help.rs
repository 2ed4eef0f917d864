//! The help texts list the settings.

use std::process::Command;

#[test]
fn help_lists_every_setting_with_its_variable() {
    let output = Command::new(env!("CARGO_BIN_EXE_dandelionfront")).arg("--help").output();
    let output = output.expect("the daemon starts");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    insta::assert_snapshot!(text);
    let flags = text.lines().filter(|line| line.trim_start().starts_with("--"));
    let variables = text.matches("[env: DANDELIONFRONT_").count();
    assert_eq!(flags.count(), variables, "a setting has no environment variable");
}

#[test]
fn help_of_the_platform_node_lists_its_settings() {
    let output = Command::new(env!("CARGO_BIN_EXE_dandelionfront"))
        .args(["front", "--help"])
        .output()
        .expect("the daemon starts");
    insta::assert_snapshot!(String::from_utf8_lossy(&output.stdout));
}
