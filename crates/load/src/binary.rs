//! Finds the programs of the workspace next to the running one.

use crate::error::Error;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

static BUILT: OnceLock<Result<(), String>> = OnceLock::new();

/// Returns the path of a program of the workspace. Under cargo, the programs are built once per
/// process in the profile of the running program, so that they are never older than it.
pub fn find(name: &str) -> Result<PathBuf, Error> {
    let failed = |message: String| Error::Program(name.into(), message);
    let current = std::env::current_exe().map_err(|cause| failed(cause.to_string()))?;
    let directory = profile_directory(&current)
        .ok_or_else(|| failed(format!("{} has no directory", current.display())))?;
    if let Some(cargo) = std::env::var_os("CARGO") {
        let built = BUILT.get_or_init(|| build(Path::new(&cargo), directory));
        built.clone().map_err(failed)?;
    }
    let path = directory.join(name);
    if path.is_file() {
        return Ok(path);
    }
    Err(failed(format!("not found as {}; run cargo build --workspace", path.display())))
}

/// Returns `target/<profile>` for a program in it or in its `deps` directory.
fn profile_directory(program: &Path) -> Option<&Path> {
    let directory = program.parent()?;
    if directory.ends_with("deps") { directory.parent() } else { Some(directory) }
}

fn build(cargo: &Path, directory: &Path) -> Result<(), String> {
    let manifest = concat!(env!("CARGO_MANIFEST_DIR"), "/../../Cargo.toml");
    let mut command = Command::new(cargo);
    command.args(["build", "--quiet", "--locked", "--workspace", "--bins"]);
    command.args(["--manifest-path", manifest]);
    if directory.ends_with("release") {
        command.arg("--release");
    }
    let output = command.output().map_err(|cause| cause.to_string())?;
    if output.status.success() {
        return Ok(());
    }
    Err(format!("build failed:\n{}", String::from_utf8_lossy(&output.stderr)))
}
