//! Tests of valid and invalid settings files. Next to each invalid file, a file with the extension
//! `error` holds the expected error.

use std::path::Path;

use anvilhook_daemon::settings::{load, parse};

fn verify_good(file: &Path) -> datatest_stable::Result<()> {
    load(file)?;
    Ok(())
}

fn verify_bad(file: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(file)?;
    let expected = std::fs::read_to_string(file.with_extension("error"))?;
    let name = file.file_name().ok_or("a file without a name")?;

    let err = parse(Path::new(name), &text).err().ok_or("the file was accepted")?;

    if err.to_string() != expected.trim_end() {
        return Err(format!("expected {expected:?}, found {:?}", err.to_string()).into());
    }
    Ok(())
}

datatest_stable::harness! {
    { test = verify_good, root = "tests/settings/good", pattern = r"\.yaml$" },
    { test = verify_good, root = "../../examples", pattern = r"anvilhookd\.yaml$" },
    { test = verify_bad, root = "tests/settings/bad", pattern = r"\.yaml$" },
}
