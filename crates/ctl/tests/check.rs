//! Tests that `check` accepts the example files and reports every fault with file and line.

use std::path::PathBuf;

use dandelionctl::cli::FileArgs;
use dandelionctl::commands::read_objects;

fn repository_path(path: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..").join(path)
}

#[test]
fn examples_have_no_faults() {
    let sizes: Vec<_> = ["examples/merrimack", "examples/majlis"]
        .into_iter()
        .map(|folder| {
            let objects = read_objects(&FileArgs { files: vec![repository_path(folder)] });
            let objects = objects.unwrap_or_else(|error| panic!("{folder}: {error}"));
            (folder, objects.backend.len(), objects.team.len(), objects.route.len())
        })
        .collect();
    insta::assert_debug_snapshot!(sizes);
}

#[test]
fn every_fault_names_file_line_and_remedy() {
    let fixture = repository_path("crates/ctl/tests/fixtures/faulty.toml");
    let error =
        read_objects(&FileArgs { files: vec![fixture.clone()] }).expect_err("fixture has faults");
    let folder = fixture.parent().expect("fixture is in a folder").display().to_string();
    insta::assert_snapshot!(error.to_string().replace(&folder, "FIXTURES"));
}
