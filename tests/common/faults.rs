//! Makes system calls of a real process fail, by a library (`faults.c`) that is preloaded into the process.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// Returns the path of the library, which is built once for each test binary with `cc`, the C compiler that
/// linking Rust requires anyway.
fn library() -> &'static Path {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    BUILT.get_or_init(|| {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let library = folder.join(format!("libfaults-{}.so", std::process::id()));
        let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/common/faults.c");
        let mut compiler = Command::new("cc");
        compiler.args(["-O1", "-shared", "-fPIC", "-o"]).arg(&library).args([source, "-ldl"]);
        assert!(compiler.status().unwrap().success(), "faults.c does not compile");
        library
    })
}

/// The fault plan of one process, which can be changed while the process runs. It is a file that the library
/// reads.
pub struct Faults(PathBuf);

impl Faults {
    /// Creates a plan with the given name and lines; `faults.c` describes their form.
    pub fn new(name: &str, plan: &str) -> Self {
        let file = format!("faults-{}-{name}", std::process::id());
        let faults = Faults(Path::new(env!("CARGO_TARGET_TMPDIR")).join(file));
        faults.set(plan);
        faults
    }

    /// Replaces the plan. The change takes effect within a few milliseconds.
    pub fn set(&self, plan: &str) {
        let new_plan = self.0.with_extension("next");
        std::fs::write(&new_plan, plan).unwrap();
        std::fs::rename(&new_plan, &self.0).unwrap();
    }

    /// Applies the plan to the process that the command starts.
    pub fn on<'a>(&self, command: &'a mut Command) -> &'a mut Command {
        command.env("LD_PRELOAD", library()).env("FAULTS", &self.0)
    }
}
