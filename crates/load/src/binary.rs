//! Locates programs of the workspace in the directory of the running program.

use crate::error::Error;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// Result of the build that [`find`] runs at most once in a process.
static BUILD_RESULT: OnceLock<Result<(), String>> = OnceLock::new();

/// Returns the path of a program of the workspace.
///
/// Under cargo, the first call in a process builds all programs in the profile of the running
/// program, so that tests never start outdated ones. An error if the build fails or the program does
/// not exist.
pub fn find(name: &str) -> Result<PathBuf, Error> {
    let failed = |message: String| Error::Program(name.into(), message);
    let current = std::env::current_exe().map_err(|cause| failed(cause.to_string()))?;
    let directory = profile_directory(&current)
        .ok_or_else(|| failed(format!("{} has no parent directory", current.display())))?;
    if let Some(cargo) = std::env::var_os("CARGO") {
        let result = BUILD_RESULT.get_or_init(|| build(Path::new(&cargo), directory));
        result.clone().map_err(failed)?;
    }
    let path = directory.join(name);
    if path.is_file() {
        return Ok(path);
    }
    Err(failed(format!("not found as {}; run cargo build --workspace", path.display())))
}

/// Returns the directory `target/<profile>` of a running program. A test program is in its
/// subdirectory `deps`, other programs are directly in it.
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
    Err(format!("cargo build failed:\n{}", String::from_utf8_lossy(&output.stderr)))
}
